package consensus

import (
	"context"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// Header holds the sender and the recipient of a message between members. A
// receiver rejects the message unless its cluster, ID and incarnation are those
// of Cluster and To.
type Header struct {
	Cluster ClusterID
	From    Replica
	To      Replica
}

// VoteRequest asks for a vote, or for a pre-vote, which changes no state.
type VoteRequest struct {
	Header    Header
	Term      uint64
	LastIndex uint64
	LastTerm  uint64
	// Pre is true for a pre-vote, which asks only whether a vote would be
	// granted.
	Pre bool
	// Transfer means that the leader of the previous term gave up its lease in
	// favour of the candidate, so that receivers need not wait for the lease to
	// expire.
	Transfer bool
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Term    uint64
	Granted bool
	// Refusal is the reason why the vote was not granted, for logs.
	Refusal VoteRefusal
}

// VoteRefusal is the reason for a refused vote; empty if the vote was granted.
type VoteRefusal string

// Reasons for a refused vote.
const (
	RefusedNotMember VoteRefusal = "not a member"
	RefusedBlocked   VoteRefusal = "may have a leader"
	RefusedOldTerm   VoteRefusal = "old term"
	RefusedVoted     VoteRefusal = "voted for another"
	RefusedLogBehind VoteRefusal = "log behind"
)

// AppendRequest carries the entries after PrevIndex. Without entries it is a
// heartbeat or a probe for the index up to which the logs agree.
type AppendRequest struct {
	Header    Header
	Term      uint64
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []wal.Entry
	Commit    uint64
	// Heartbeat is true for a heartbeat, which carries Silent: the voters that
	// have not answered the leader for ElectionMax.
	Heartbeat bool
	Silent    []SilentVoter
}

// SilentVoter is a voter that has not answered the leader for a time.
type SilentVoter struct {
	Replica Replica
	For     time.Duration
}

// AppendReply answers an AppendRequest.
type AppendReply struct {
	Term    uint64
	Success bool
	// Match is the last index up to which the log agrees with the leader's and
	// is durable. It is valid if Success is set.
	Match uint64
	// Hint is an index at or below which the logs may agree. It is valid if
	// Success is not set.
	Hint uint64
}

// SnapshotRequest carries one chunk of a snapshot.
type SnapshotRequest struct {
	Header Header
	Term   uint64
	// Index and SnapshotTerm are those of the last entry in the snapshot.
	// Members is the encoded membership at that entry.
	Index        uint64
	SnapshotTerm uint64
	Members      []byte
	// Offset is the position of Data in the snapshot and Total the size of the
	// snapshot, both in bytes.
	Offset uint64
	Total  uint64
	Data   []byte
}

// SnapshotReply answers a SnapshotRequest.
type SnapshotReply struct {
	Term uint64
	// Next is the offset of the next chunk that the receiver needs, in bytes.
	Next uint64
	// Done means that the receiver has installed the snapshot durably or does
	// not need it.
	Done bool
}

// ElectRequest asks a voter to campaign without waiting for its election
// timeout. The sender has given up its lease for the rest of Term.
type ElectRequest struct {
	Header Header
	Term   uint64
}

// ElectReply answers an ElectRequest.
type ElectReply struct {
	Accepted bool
}

// Genesis is the ID and the first membership of a cluster. Every replica stores
// it.
type Genesis struct {
	Cluster ClusterID
	Members Membership
}

// ProbeRequest asks a node for its identity, cluster and knowledge of a leader.
// The sender need not be a member.
type ProbeRequest struct {
	From Replica
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	Replica Replica
	// Formed is true if the node belongs to the cluster that Genesis describes.
	Formed  bool
	Genesis Genesis
	// Led is true if the node leads or knows a leader.
	Led bool
	// JoinOnly is true if the node never forms a cluster.
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
	// Removed means that this incarnation was removed and can't join again.
	Removed bool
	// Leader is the node to ask instead; empty if unknown.
	Leader ident.NodeID
}

// RecoverRequest asks the voters for what a voter that lost its disk needs to
// recover its vote while there is no leader.
type RecoverRequest struct {
	Cluster ClusterID
	// From is the new incarnation.
	From Replica
	// Term is the term from which on the receiver is to follow leaders only; 0 asks
	// for no promise.
	Term uint64
}

// RecoverReply answers a RecoverRequest. It is durable when it is sent.
type RecoverReply struct {
	Replica Replica
	Term    uint64
	// Led is true if a leader may exist; the sender joins through it then.
	Led bool
	// Promised means that the receiver follows no leader of a term before Term.
	Promised bool
	// Tip is the end of the log that the receiver's votes rely on. Memberships are
	// those that may be in effect there; empty if the receiver is no voter or
	// recovers its own vote.
	Tip         logTip
	Memberships []MembershipAt
}

// MembershipAt is a membership and the index of its log entry.
type MembershipAt struct {
	Index   uint64
	Members Membership
}

// LeaveRequest tells the leader that a voter is about to stop, so that the
// quorum can shrink before it does.
type LeaveRequest struct {
	Cluster ClusterID
	Replica Replica
}

// LeaveReply answers a LeaveRequest.
type LeaveReply struct {
	// Done means that the replica may stop: either it votes no more, or its vote
	// doesn't raise the quorum.
	Done bool
}

// Peers sends requests to other replicas. Every call returns by the deadline of
// its context. Calls to the same node may be reordered. An error doesn't tell
// whether the request arrived.
type Peers interface {
	Vote(ctx context.Context, to ident.NodeID, req *VoteRequest) (*VoteReply, error)
	Append(ctx context.Context, to ident.NodeID, req *AppendRequest) (*AppendReply, error)
	Snapshot(ctx context.Context, to ident.NodeID, req *SnapshotRequest) (*SnapshotReply, error)
	Elect(ctx context.Context, to ident.NodeID, req *ElectRequest) (*ElectReply, error)
	Probe(ctx context.Context, to ident.NodeID, req *ProbeRequest) (*ProbeReply, error)
	Join(ctx context.Context, to ident.NodeID, req *JoinRequest) (*JoinReply, error)
	Leave(ctx context.Context, to ident.NodeID, req *LeaveRequest) (*LeaveReply, error)
	Recover(ctx context.Context, to ident.NodeID, req *RecoverRequest) (*RecoverReply, error)
}
