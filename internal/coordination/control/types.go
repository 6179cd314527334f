package control

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// Status is the outcome of a call. The zero value means that the call was served.
type Status struct {
	// NotLeader means that the call certainly had no effect here.
	NotLeader bool
	// Redirect is the replica believed to lead; empty if unknown.
	Redirect ident.NodeID
	// Uncertain means that the call may or may not take effect. Every call may be
	// resent with the same arguments.
	Uncertain bool
	// Detail is a human-readable reason why the call was not served.
	Detail string
}

// OK reports whether the call was served.
func (s Status) OK() bool { return !s.NotLeader && !s.Uncertain }

// Reply is implemented by every reply of the service.
type Reply interface {
	// CallStatus returns the status of the call.
	CallStatus() Status
}

// CallStatus implements Reply.
func (s Status) CallStatus() Status { return s }

// HeartbeatArgs requests a node lease or its renewal. The lease counts from when
// the node sent the heartbeat.
type HeartbeatArgs struct {
	Node lease.Node
	// Load is the node's load, 0 to 255, by which the addresses for callers are
	// ordered.
	Load uint8
	// HaveRevision is the configuration revision in force at the node.
	HaveRevision ident.Revision
	// HaveView is the sequence number of the members that the node acts on. The
	// node has stopped acting on scheduler leases that this view takes from it.
	HaveView uint64
	// WantLoads requests the loads of all nodes.
	WantLoads bool
	// Features is the feature level that the node's build supports; 0 for older builds.
	// It isn't part of the lease, which replicas of older builds would compare without it.
	Features uint32
	// Stamp is the timestamp of the sender's timeline clock.
	Stamp timeline.Stamp
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	Status
	// TTL is how long after sending the heartbeat the node may rely on its lease.
	// Zero means that the node holds no lease yet and should send again.
	TTL time.Duration
	// Stamp is the timestamp of the receiver's timeline clock.
	Stamp timeline.Stamp
	// Superseded means that a later incarnation of the node is known. The process
	// must then stop.
	Superseded bool
	// Revision is the current configuration revision. The lease is valid only at
	// a node that has this revision in force.
	Revision ident.Revision
	// Update is set if the node is behind the current configuration.
	Update *config.Update
	// View is set if the node is behind the current members.
	View *machine.View
	// Loads is set if WantLoads was.
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

// CompleteArgs carries the outcome of a request.
type CompleteArgs struct{ Complete ledger.Complete }

// ResolveArgs carries the outcome that the upstream service reports for a request
// whose answer was lost.
type ResolveArgs struct{ Resolve ledger.Resolve }

// LedgerReply answers a release, a completion or a resolution.
type LedgerReply struct {
	Status
	Outcome ledger.Outcome
}

// LookupArgs requests what is recorded for a key.
type LookupArgs struct {
	Key ledger.Key
	// Wait is how long the call may wait for a running claim to end, limited to
	// MaxLookupWait.
	Wait time.Duration
}

// LookupReply answers a lookup.
type LookupReply struct {
	Status
	// Found is false when no claim holds the key.
	Found  bool
	Result ledger.ClaimResult
}

// ApplyConfigArgs requests that the files replace the configuration of revision
// Base.
type ApplyConfigArgs struct {
	ID    config.OperationID
	Base  ident.Revision
	Who   string
	Files []config.File
	// Wait is how long the call may wait until the revision is in force
	// everywhere, limited to MaxApplyWait. Zero selects MaxApplyWait.
	Wait time.Duration
}

// ApplyConfigReply answers an apply.
type ApplyConfigReply struct {
	Status
	// Mistakes lists all errors in the files. If there are any, nothing was
	// changed.
	Mistakes []config.Mistake
	// Warnings lists what is valid in the files but looks unintended.
	Warnings []config.Mistake
	Outcome  config.Outcome
	// InForce means that every node with a live lease has the revision.
	InForce bool
	// Waiting lists the nodes that do not have the revision yet.
	Waiting []ident.NodeID
}

// ShowConfigArgs requests the current configuration.
type ShowConfigArgs struct{}

// ShowConfigReply holds the current configuration.
type ShowConfigReply struct {
	Status
	Revision ident.Revision
	Digest   config.Digest
	Config   config.Config
}

// HistoryArgs requests the latest accepted changes, at most Limit.
type HistoryArgs struct{ Limit int }

// HistoryReply holds accepted changes, the latest last.
type HistoryReply struct {
	Status
	Changes []config.Change
}

// StatusArgs requests the state of the system.
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
	// Evacuations are the evacuated data centres, in order.
	Evacuations []evacuation.Record
	// Features is the committed feature level.
	Features uint32
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

// CommitMoveReply answers a commit. Record is the move's current record.
type CommitMoveReply struct {
	Status
	Refusal machine.Refusal
	Record  *move.Record
}

// IssueOrderArgs holds an order to commit.
type IssueOrderArgs struct{ Order machine.IssueOrder }

// CompleteOrderArgs reports that an order has ended.
type CompleteOrderArgs struct{ Order machine.CompleteOrder }

// OrderReply answers IssueOrder and CompleteOrder. Order holds the fencing
// number.
type OrderReply struct {
	Status
	Refusal machine.Refusal
	Order   *machine.Order
}

// DrainArgs asks the leader to mark a node as draining. The node itself learns of
// it from its view.
type DrainArgs struct{ Node ident.NodeID }

// DrainReply answers a drain.
type DrainReply struct {
	Status
	Refusal machine.Refusal
}
