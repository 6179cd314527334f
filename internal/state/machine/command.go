// Package machine is the one replicated state machine: configuration, request
// ledger, leases, move records and fencing numbers. It is deterministic and
// does no I/O; every command carries its proposer's time.
package machine

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// Command is one entry of the replicated log: exactly one pointer is set.
type Command struct {
	// At is the proposer's wall-clock time. The machine's clock never goes back.
	At time.Time
	// Term is the leader term that decided a command about leases or orders. It
	// is refused unless it is the term of the latest Begin: a decision made
	// from a former leader's memory has no effect.
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
}

// SetHotTeams replaces the teams that have used up most of their quotas. After a
// loss of all schedulers only these are taken to have none left.
type SetHotTeams struct {
	// Teams are in order.
	Teams []ident.TeamName
}

// Begin marks the start of a leader's term.
type Begin struct {
	Leader ident.NodeID
	Term   uint64
}

// GrantNode grants a node lease or replaces the attributes of a live one of
// the same incarnation.
type GrantNode struct {
	Node lease.Node
}

// RevokeNodes ends node leases that have run out.
type RevokeNodes struct {
	Nodes []RevokedNode
}

// RevokedNode names one life of a node.
type RevokedNode struct {
	ID          ident.NodeID
	Incarnation ident.Incarnation
}

// GrantPools changes scheduler leases.
type GrantPools struct {
	Changes []PoolChange
}

// PoolChange changes the scheduler lease of one pool.
type PoolChange struct {
	Pool ident.PoolName
	// Epoch is the lease's present epoch; zero for a pool without one.
	Epoch ident.Epoch
	// Holder is empty to take the lease back.
	Holder            ident.NodeID
	HolderIncarnation ident.Incarnation
	// Drop removes the lease of a pool that is no longer configured.
	Drop bool
}

// OrderKind is what an order asks of an upstream.
type OrderKind string

const (
	// OrderLoad loads a model, adapter or version.
	OrderLoad OrderKind = "load"
	// OrderUnload unloads one.
	OrderUnload OrderKind = "unload"
	// OrderRole changes the upstream's role.
	OrderRole OrderKind = "role"
)

// OrderID identifies one order through all its resends.
type OrderID string

// FencingNumber orders all orders. An upstream that checks refuses a number
// below the highest that it has seen.
type FencingNumber uint64

// IssueOrder writes an order down before it is sent.
type IssueOrder struct {
	ID       OrderID
	Upstream ident.UpstreamName
	Kind     OrderKind
	// Subject is the model, adapter, version or role.
	Subject string
}

// CompleteOrder tells that an order has certainly ended.
type CompleteOrder struct {
	Number FencingNumber
	// Detail is the upstream's answer, for people.
	Detail string
}

// Order is an order that was written down.
type Order struct {
	Number FencingNumber
	IssueOrder
	// Term is the leader term that issued the order.
	Term   uint64
	At     time.Time
	Done   bool
	Detail string
}

// Result is the typed result of a command: the field of its kind is set.
type Result struct {
	// Superseded means that the command's term has ended; nothing was done.
	Superseded bool
	// Invalid means that the command didn't decode or held nothing.
	Invalid bool
	// Refusal tells why a lease, move or order was refused; empty if done.
	Refusal Refusal
	Config  *config.Outcome
	Claim   *ledger.ClaimResult
	Ledger  ledger.Outcome
	Order   *Order
	Move    *move.Record
	Rollout *rollout.Record
}

// Refusal tells why a command had no effect.
type Refusal string

const (
	// RefusedIncarnation means that a later life of the node holds a lease.
	RefusedIncarnation Refusal = "incarnation"
	// RefusedEpoch means that the epoch isn't the pool's present one.
	RefusedEpoch Refusal = "epoch"
	// RefusedHolder means that the named holder has no live node lease.
	RefusedHolder Refusal = "holder"
	// RefusedUnknown means that the named object doesn't exist.
	RefusedUnknown Refusal = "unknown"
	// RefusedTransition means that a move can't change in this way.
	RefusedTransition Refusal = "transition"
	// RefusedQuorum means that too few replicas would be left.
	RefusedQuorum Refusal = "quorum"
	// RefusedFull means that a bound was reached.
	RefusedFull Refusal = "full"
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

// Encode returns the command as an entry of the log.
func (c *Command) Encode() []byte {
	data, err := encoding.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("machine: a command always encodes: %v", err))
	}
	return data
}

// DecodeCommand reads an entry of the log.
func DecodeCommand(data []byte) (*Command, error) {
	var c Command
	if err := cbor.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("machine: decode command: %w", err)
	}
	return &c, nil
}
