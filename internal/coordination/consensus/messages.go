package consensus

import (
	"context"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// Header addresses a message between members. A receiver that is not exactly
// To in Cluster refuses it.
type Header struct {
	Cluster ClusterID
	From    Replica
	To      Replica
}

// VoteRequest asks for a vote, or for a pre-vote that changes no state.
type VoteRequest struct {
	Header    Header
	Term      uint64
	LastIndex uint64
	LastTerm  uint64
	// Pre asks only whether a vote would be granted.
	Pre bool
	// Transfer says that the leader of the previous term gave up its lease in
	// favour of the candidate.
	Transfer bool
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Term    uint64
	Granted bool
}

// AppendRequest carries entries after PrevIndex, or is a heartbeat.
type AppendRequest struct {
	Header    Header
	Term      uint64
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []wal.Entry
	Commit    uint64
}

// AppendReply answers an AppendRequest.
type AppendReply struct {
	Term    uint64
	Success bool
	// Match is the last index that is known to agree with the leader's log and
	// is durable. Valid if Success.
	Match uint64
	// Hint is an index at or below which the logs may agree. Valid if not Success.
	Hint uint64
}

// SnapshotRequest carries one chunk of a snapshot.
type SnapshotRequest struct {
	Header Header
	Term   uint64
	// Index, SnapshotTerm and Members describe the snapshot.
	Index        uint64
	SnapshotTerm uint64
	Members      []byte
	// Offset is the position of Data, and Total the size of the state, in bytes.
	Offset uint64
	Total  uint64
	Data   []byte
}

// SnapshotReply answers a SnapshotRequest.
type SnapshotReply struct {
	Term uint64
	// Next is the offset of the chunk that the receiver wants, in bytes.
	Next uint64
	// Done means that the snapshot is durable and installed.
	Done bool
}

// ElectRequest tells a voter to campaign at once. The sender has given up its
// lease for good in Term.
type ElectRequest struct {
	Header Header
	Term   uint64
}

// ElectReply answers an ElectRequest.
type ElectReply struct {
	Accepted bool
}

// Genesis is the first membership of a cluster. Every replica stores it.
type Genesis struct {
	Cluster ClusterID
	Members Membership
}

// ProbeRequest asks a node who it is. It needs no membership.
type ProbeRequest struct {
	From Replica
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	Replica Replica
	// Formed is true if the node belongs to the cluster that Genesis began.
	Formed  bool
	Genesis Genesis
	// Led is true if the node leads or knows a leader.
	Led bool
	// JoinOnly is true if the node never forms a cluster itself.
	JoinOnly bool
}

// JoinRequest asks to be added as a learner.
type JoinRequest struct {
	Cluster ClusterID
	Replica Replica
}

// JoinReply answers a JoinRequest.
type JoinReply struct {
	Accepted bool
	// Removed means that this incarnation was removed and never returns.
	Removed bool
	// Leader is the node to ask instead; empty if unknown.
	Leader ident.NodeID
}

// Peers sends requests to other replicas. Every call ends by the deadline of
// its context. Calls to one node may overtake each other. An error says nothing
// about whether the request arrived.
type Peers interface {
	Vote(ctx context.Context, to ident.NodeID, req *VoteRequest) (*VoteReply, error)
	Append(ctx context.Context, to ident.NodeID, req *AppendRequest) (*AppendReply, error)
	Snapshot(ctx context.Context, to ident.NodeID, req *SnapshotRequest) (*SnapshotReply, error)
	Elect(ctx context.Context, to ident.NodeID, req *ElectRequest) (*ElectReply, error)
	Probe(ctx context.Context, to ident.NodeID, req *ProbeRequest) (*ProbeReply, error)
	Join(ctx context.Context, to ident.NodeID, req *JoinRequest) (*JoinReply, error)
}
