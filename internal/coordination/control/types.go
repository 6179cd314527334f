package control

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// Status tells whether a call was served. The zero value means that it was.
type Status struct {
	// NotLeader means that the call had certainly no effect here.
	NotLeader bool
	// Redirect is the replica believed to lead; empty if unknown.
	Redirect ident.NodeID
	// Uncertain means that the call may or may not take effect. Every call may
	// be sent again with the same arguments.
	Uncertain bool
	// Detail explains an unserved call to people.
	Detail string
}

// OK tells whether the call was served.
func (s Status) OK() bool { return !s.NotLeader && !s.Uncertain }

// Reply is implemented by every reply of the service.
type Reply interface {
	// CallStatus returns the status of the call.
	CallStatus() Status
}

// CallStatus implements Reply.
func (s Status) CallStatus() Status { return s }

// HeartbeatArgs asks for a node lease or its renewal. The lease counts from
// the moment when the node sent the heartbeat.
type HeartbeatArgs struct {
	Node lease.Node
	// Load is the node's load for the choice of addresses, 0 to 255.
	Load uint8
	// HaveRevision is the configuration revision in force at the node.
	HaveRevision ident.Revision
	// HaveView is the sequence of the members that the node acts on. The node
	// has stopped to act on scheduler leases that this view takes from it.
	HaveView uint64
	// WantLoads asks for the loads of all nodes.
	WantLoads bool
	// Stamp is the sender's time line clock.
	Stamp timeline.Stamp
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	Status
	// TTL is how long after sending the heartbeat the node may rely on its
	// lease. Zero means that it holds none yet: it sends again.
	TTL time.Duration
	// Stamp is the receiver's time line clock.
	Stamp timeline.Stamp
	// Superseded means that a later life of the node is known; this one ends.
	Superseded bool
	// Revision is the present configuration. The lease counts only at a node
	// that has it in force.
	Revision ident.Revision
	// Update is set when the node is behind the present configuration.
	Update *config.Update
	// View is set when the node is behind the present members.
	View *machine.View
	// Loads is set on demand.
	Loads []NodeLoad
}

// NodeLoad is the load that a node reported, 0 to 255.
type NodeLoad struct {
	Node ident.NodeID
	Load uint8
}

// ClaimArgs carries a claim.
type ClaimArgs struct{ Claim ledger.Claim }

// ClaimReply answers a claim.
type ClaimReply struct {
	Status
	Result ledger.ClaimResult
}

// ReleaseArgs carries a release.
type ReleaseArgs struct{ Release ledger.Release }

// CompleteArgs carries an outcome.
type CompleteArgs struct{ Complete ledger.Complete }

// ResolveArgs carries the service's word on a lost outcome.
type ResolveArgs struct{ Resolve ledger.Resolve }

// LedgerReply answers a release, a completion or a resolution.
type LedgerReply struct {
	Status
	Outcome ledger.Outcome
}

// LookupArgs asks what is known of a key.
type LookupArgs struct {
	Key ledger.Key
	// Wait bounds how long the call waits for a running claim to end. It is
	// cut to MaxLookupWait.
	Wait time.Duration
}

// LookupReply answers a lookup.
type LookupReply struct {
	Status
	// Found is false when no claim holds the key.
	Found  bool
	Result ledger.ClaimResult
}

// ApplyConfigArgs replaces the configuration of revision Base by the files.
type ApplyConfigArgs struct {
	ID    config.OperationID
	Base  ident.Revision
	Who   string
	Files []config.File
	// Wait bounds how long the call waits until the revision is in force
	// everywhere. It is cut to MaxApplyWait; zero selects MaxApplyWait.
	Wait time.Duration
}

// ApplyConfigReply answers an apply.
type ApplyConfigReply struct {
	Status
	// Mistakes lists all that is wrong with the files; nothing was changed.
	Mistakes []config.Mistake
	// Warnings lists what is odd about the files but permitted.
	Warnings []config.Mistake
	Outcome  config.Outcome
	// InForce means that every node with a live lease has the revision.
	InForce bool
	// Waiting names the nodes that don't have it yet.
	Waiting []ident.NodeID
}

// ShowConfigArgs asks for the present configuration.
type ShowConfigArgs struct{}

// ShowConfigReply holds the present configuration.
type ShowConfigReply struct {
	Status
	Revision ident.Revision
	Digest   config.Digest
	Config   config.Config
}

// HistoryArgs asks for accepted changes.
type HistoryArgs struct{ Limit int }

// HistoryReply holds accepted changes, the latest last.
type HistoryReply struct {
	Status
	Changes []config.Change
}

// StatusArgs asks for the state of the system.
type StatusArgs struct{}

// StatusReply is the state of the system as the leader sees it.
type StatusReply struct {
	Status
	Leader        ident.NodeID
	Term          uint64
	Index         uint64
	Revision      ident.Revision
	Nodes         []NodeStatus
	Pools         []lease.Pool
	Moves         []move.Record
	OpenOrders    []machine.Order
	Replicas      []consensus.Member
	LedgerEntries int
	LedgerBytes   int64
}

// NodeStatus is one live node as the leader sees it.
type NodeStatus struct {
	lease.Node
	Revision ident.Revision
	Load     uint8
	// Silent is the time since the last heartbeat.
	Silent time.Duration
}

// CommitMoveArgs carries a move's next record.
type CommitMoveArgs struct{ Record move.Record }

// CommitMoveReply answers a commit. Record is the present record.
type CommitMoveReply struct {
	Status
	Refusal machine.Refusal
	Record  *move.Record
}

// IssueOrderArgs writes an order down.
type IssueOrderArgs struct{ Order machine.IssueOrder }

// CompleteOrderArgs tells that an order has ended.
type CompleteOrderArgs struct{ Order machine.CompleteOrder }

// OrderReply answers both. Order holds the fencing number.
type OrderReply struct {
	Status
	Refusal machine.Refusal
	Order   *machine.Order
}

// DrainArgs asks the leader to mark a node as draining. The node itself also
// learns it from its view.
type DrainArgs struct{ Node ident.NodeID }

// DrainReply answers a drain.
type DrainReply struct {
	Status
	Refusal machine.Refusal
}
