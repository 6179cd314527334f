package control

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// Member is one live node of a fleet as the leader knows it.
type Member struct {
	ID          ident.NodeID
	Incarnation ident.Incarnation
	Zone        ident.Zone
	// CallerAddress is host:port of the callers' listener; empty for a node
	// that takes no callers.
	CallerAddress string
	// InternalAddress is host:port of the net/rpc listener.
	InternalAddress string
	// Replica is true for a node that keeps the replicated state.
	Replica bool
	// Draining nodes get no new callers.
	Draining bool
}

// Gateway reports whether the node takes callers.
func (m Member) Gateway() bool { return m.CallerAddress != "" }

// Discovered is one upstream that the platform's list names.
type Discovered struct {
	Name     ident.UpstreamName
	Upstream config.Upstream
	// Leaving upstreams get no new work.
	Leaving bool
}

// FleetVersion orders what the leaders spread: by term, then by sequence.
type FleetVersion struct {
	Term     uint64
	Sequence uint64
}

// Newer reports whether v comes after o.
func (v FleetVersion) Newer(o FleetVersion) bool {
	return v.Term > o.Term || v.Term == o.Term && v.Sequence > o.Sequence
}

// SyncArgs tells the leader that a node lives, and asks for what it lacks.
type SyncArgs struct {
	Member       Member
	HaveRevision ident.Revision
	HaveSpread   FleetVersion
	// HotTeams are those that the node's schedulers see near their quotas.
	HotTeams []ident.TeamName
	// Hold is how long the call may wait for a change. It is cut to MaxSyncHold.
	Hold time.Duration
}

// SyncReply answers a sync. When it is served, the node's configuration was the
// newest at some moment after the call was sent.
type SyncReply struct {
	Status
	// Config is what the node lacks of the configuration.
	Config ConfigDelivery
	// Spread is what the node lacks of what the leader spreads.
	Spread FleetDelivery
}

// ApplyNumberedArgs puts a configuration in force unless a higher number is.
type ApplyNumberedArgs struct{ Numbered config.Numbered }

// ApplyNumberedReply answers an apply. Number is the highest that is committed.
type ApplyNumberedReply struct {
	Status
	Outcome config.Outcome
	Number  uint64
}

// ReadDocumentArgs asks for the newest numbered configuration's own text.
type ReadDocumentArgs struct{}

// ReadDocumentReply holds it. Number is 0 if there is none.
type ReadDocumentReply struct {
	Status
	Number   uint64
	Document []byte
}

// StartRolloutArgs orders a rollout.
type StartRolloutArgs struct{ Order rollout.Order }

// ReadRolloutArgs asks for a pool's latest rollout.
type ReadRolloutArgs struct{ Pool ident.PoolName }

// EndRolloutArgs makes a rollout final.
type EndRolloutArgs struct{ End rollout.End }

// RolloutReply answers calls about rollouts. Record is nil if there is none.
type RolloutReply struct {
	Status
	Refusal string
	Record  *rollout.Record
}
