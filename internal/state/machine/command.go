// Package machine implements the replicated state machine. It holds the
// configuration, the request ledger, leases, move and rollout records, and the
// fencing numbers of orders. It is deterministic and does no I/O: every command
// carries the time of its proposer.
package machine

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// Command is one entry of the replicated log. Exactly one of its pointers is
// set, but for the bases.
type Command struct {
	// At is the proposer's wall-clock time. An earlier time than that of a previous
	// command doesn't set the machine's clock back.
	At time.Time
	// Term is the leader term in which a command about leases, orders or hot teams
	// was decided. The command is refused unless Term is that of the latest Begin,
	// so that decisions based on the memory of a former leader have no effect.
	Term uint64 `cbor:",omitempty"`

	Begin         *Begin            `cbor:",omitempty"`
	GrantNode     *GrantNode        `cbor:",omitempty"`
	RevokeNodes   *RevokeNodes      `cbor:",omitempty"`
	GrantPools    *GrantPools       `cbor:",omitempty"`
	ApplyConfig   *config.Operation `cbor:",omitempty"`
	Claim         *ledger.Claim     `cbor:",omitempty"`
	Release       *ledger.Release   `cbor:",omitempty"`
	Complete      *ledger.Complete  `cbor:",omitempty"`
	Resolve       *ledger.Resolve   `cbor:",omitempty"`
	CommitMove    *move.Record      `cbor:",omitempty"`
	IssueOrder    *IssueOrder       `cbor:",omitempty"`
	CompleteOrder *CompleteOrder    `cbor:",omitempty"`
	StartRollout  *rollout.Order    `cbor:",omitempty"`
	EndRollout    *rollout.End      `cbor:",omitempty"`
	SetHotTeams   *SetHotTeams      `cbor:",omitempty"`
	SetPoison     *SetPoison        `cbor:",omitempty"`

	// The following need feature level 3. RolloutBasis goes with StartRollout, and
	// EvacuationBasis with Evacuate.
	RolloutBasis    *rollout.Basis    `cbor:",omitempty"`
	EvacuationBasis *evacuation.Basis `cbor:",omitempty"`
	ForgetVersions  *rollout.Forget   `cbor:",omitempty"`

	// The following need feature level 1. RefreshConfig puts the configuration of the
	// current number in force once more, as a newer build reads its text.
	SetFeatures   *SetFeatures      `cbor:",omitempty"`
	Evacuate      *evacuation.Order `cbor:",omitempty"`
	RefreshConfig *config.Operation `cbor:",omitempty"`
}

// SetPoison replaces the records of prompt parts on which upstreams end.
type SetPoison struct{ Parts []poison.Record }

// SetHotTeams replaces the set of teams that have used up most of their quotas. If
// all schedulers are lost, only these teams are assumed to have no quota left.
type SetHotTeams struct {
	// Teams is in ascending order.
	Teams []ident.TeamName
}

// Begin marks the start of a leader's term.
type Begin struct {
	Leader ident.NodeID
	Term   uint64
}

// GrantNode grants a node lease, or replaces the attributes of a live lease of the
// same incarnation.
type GrantNode struct {
	Node lease.Node
}

// RevokeNodes ends node leases that have expired.
type RevokeNodes struct {
	Nodes []RevokedNode
}

// RevokedNode identifies one incarnation of a node.
type RevokedNode struct {
	ID          ident.NodeID
	Incarnation ident.Incarnation
}

// GrantPools grants, revokes or removes scheduler leases.
type GrantPools struct {
	Changes []PoolChange
}

// PoolChange changes the scheduler lease of one pool.
type PoolChange struct {
	Pool ident.PoolName
	// Epoch is the current epoch of the lease; zero for a pool without a lease.
	// The change is refused if the epoch differs.
	Epoch ident.Epoch
	// Holder is the node that gets the lease. If it is empty, the lease is revoked.
	Holder            ident.NodeID
	HolderIncarnation ident.Incarnation
	// Drop removes the lease record of a pool that is no longer configured.
	Drop bool
}

// OrderKind is the kind of change that an order requests from an upstream.
type OrderKind string

const (
	// OrderLoad loads a model, adapter or version.
	OrderLoad OrderKind = "load"
	// OrderUnload unloads a model, adapter or version.
	OrderUnload OrderKind = "unload"
	// OrderRole changes the upstream's role.
	OrderRole OrderKind = "role"
)

// OrderID identifies an order. Retries of an order use the same ID.
type OrderID string

// FencingNumber increases with every order, across all upstreams. An upstream that
// checks fencing numbers refuses one below the highest that it has seen.
type FencingNumber uint64

// IssueOrder records an order before it is sent to its upstream.
type IssueOrder struct {
	ID       OrderID
	Upstream ident.UpstreamName
	Kind     OrderKind
	// Subject is the model, adapter, version or role.
	Subject string
}

// CompleteOrder records that an order has definitely ended.
type CompleteOrder struct {
	Number FencingNumber
	// Detail is the upstream's answer, for display.
	Detail string
}

// Order is a recorded order.
type Order struct {
	Number FencingNumber
	IssueOrder
	// Term is the leader term that issued the order.
	Term   uint64
	At     time.Time
	Done   bool
	Detail string
}

// Result is the result of a command. The field for the kind of command is set.
type Result struct {
	// Superseded means that the command belongs to a former term; it had no effect.
	Superseded bool
	// Invalid means that the command could not be decoded or was empty.
	Invalid bool
	// Refusal is the reason why a lease, move, order or rollout was refused; empty
	// if it was accepted.
	Refusal Refusal
	Config  *config.Outcome
	Claim   *ledger.ClaimResult
	Ledger  ledger.Outcome
	Order   *Order
	Move    *move.Record
	Rollout *rollout.Record
}

// Refusal is the reason why a command had no effect.
type Refusal string

const (
	// RefusedIncarnation means that another incarnation of the node holds a lease.
	RefusedIncarnation Refusal = "incarnation"
	// RefusedEpoch means that the epoch isn't the current one of the pool's lease.
	RefusedEpoch Refusal = "epoch"
	// RefusedHolder means that the new holder of a pool lease has no live node
	// lease, that the pool lease is already held, or that there is no holder to
	// revoke it from. It also refuses to remove the replica that leads.
	RefusedHolder Refusal = "holder"
	// RefusedUnknown means that the named object doesn't exist.
	RefusedUnknown Refusal = "unknown"
	// RefusedTransition means that a move can't change to the requested state.
	RefusedTransition Refusal = "transition"
	// RefusedQuorum means that too few replicas would be left.
	RefusedQuorum Refusal = "quorum"
	// RefusedFull means that the maximum number of open orders was reached.
	RefusedFull Refusal = "full"
	// RefusedFeatures means that some nodes may run a build that doesn't know the command.
	RefusedFeatures Refusal = "features"
	// RefusedOutdated means that the order may be a late copy: what it changes may have
	// changed since it was sent.
	RefusedOutdated Refusal = "outdated"
)

var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	options := cbor.CanonicalEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(fmt.Sprintf("machine: encoding options: %v", err))
	}
	return mode
}

// Encode returns the CBOR encoding of the command, as it is stored in the log.
func (c *Command) Encode() []byte {
	data, err := encoding.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("machine: encode command: %v", err))
	}
	return data
}

// DecodeCommand decodes a log entry.
func DecodeCommand(data []byte) (*Command, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("machine: decode command: %w", err)
	}
	return &c, nil
}
