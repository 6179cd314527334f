package control

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// Member is one live node of a fleet as the leader knows it.
type Member struct {
	ID          ident.NodeID
	Incarnation ident.Incarnation
	Zone        ident.Zone
	// CallerAddress is host:port of the callers' listener; empty for a node that
	// does not accept callers.
	CallerAddress string
	// InternalAddress is host:port of the net/rpc listener.
	InternalAddress string
	// Replica is true for a node that keeps the replicated state.
	Replica bool
	// Draining is true for a node that gets no new callers.
	Draining bool
	// Region is the region of the node's data centre; empty if it has none.
	Region ident.Region
	// Features is the feature level that the node's build supports; 0 for builds that
	// don't state one.
	Features uint32
}

// Gateway reports whether the node accepts callers.
func (m Member) Gateway() bool { return m.CallerAddress != "" }

// Discovered is an upstream in the platform's list.
type Discovered struct {
	Name     ident.UpstreamName
	Upstream config.Upstream
	// Started is when the upstream started, by the platform's list, in Unix milliseconds; 0 if unknown.
	Started int64
	// Leaving is true for an upstream that gets no new work.
	Leaving bool
	// ColdFor is how much longer the upstream was cold when ColdNumber last changed; 0 for
	// one that isn't. ColdNumber grows each time that the upstream becomes cold or stays so
	// for longer.
	ColdFor    time.Duration
	ColdNumber uint64
}

// FleetVersion is a version of the fleet state, ordered by term, then by sequence
// number.
type FleetVersion struct {
	Term     uint64
	Sequence uint64
}

// Newer reports whether v is newer than o.
func (v FleetVersion) Newer(o FleetVersion) bool {
	return v.Term > o.Term || v.Term == o.Term && v.Sequence > o.Sequence
}

// SyncArgs reports that a node is live, and the versions that it has.
type SyncArgs struct {
	Member       Member
	HaveRevision ident.Revision
	HaveSpread   FleetVersion
	// HotTeams are the teams that a node which schedules for all gateways sees near their
	// quotas.
	HotTeams []ident.TeamName
	// TeamUse holds, from a node that schedules for some of the gateways, the part of its
	// quota that each team has used there in the current window, without those that have
	// used little.
	TeamUse map[ident.TeamName]float64
	// Poison holds the records of refused parts and requests that the leader does not
	// know, as far as the node can tell.
	Poison []poison.Record
	// Ends holds the ends of upstreams under requests that the leader does not know.
	Ends []poison.End
	// Cleared holds requests under which upstreams had ended and that were answered
	// since, and ClearedParts the parts of prompts, by pool, of which the same is true.
	Cleared      []uint64
	ClearedParts map[ident.PoolName][]uint64
	// Hold is how long the call may wait for a change, limited to MaxSyncHold.
	Hold time.Duration
}

// SyncReply answers a sync. If the call was served, the node's configuration,
// with Config applied, was the newest at some moment after the call was sent.
type SyncReply struct {
	Status
	// Config is the configuration update that the node lacks.
	Config ConfigDelivery
	// Spread is the update of the fleet state that the node lacks.
	Spread FleetDelivery
}

// ApplyNumberedArgs holds a configuration to put in force unless one with the
// same or a higher number is committed.
type ApplyNumberedArgs struct {
	// Numbered has only a number if the caller knows that it has been committed.
	Numbered config.Numbered
	// Patience is how long the caller waits for the reply; 0 if it is not known.
	Patience time.Duration
}

// ApplyNumberedReply answers an ApplyNumbered call. Number is the highest
// committed number.
type ApplyNumberedReply struct {
	Status
	Outcome config.Outcome
	Number  uint64
}

// ReadDocumentArgs requests the original text of the newest numbered
// configuration.
type ReadDocumentArgs struct{}

// ReadDocumentReply holds the original text. Number is 0 if there is none.
type ReadDocumentReply struct {
	Status
	Number   uint64
	Document []byte
}

// StartRolloutArgs holds the order to start a rollout.
type StartRolloutArgs struct {
	Order rollout.Order
	// Basis is the state of the pool's rollout that was certainly known when the operator
	// sent the order.
	Basis rollout.Basis
}

// ReadRolloutArgs requests a pool's latest rollout.
type ReadRolloutArgs struct{ Pool ident.PoolName }

// EndRolloutArgs holds the final state of a rollout.
type EndRolloutArgs struct{ End rollout.End }

// RolloutReply answers StartRollout, ReadRollout and EndRollout. Record is nil if
// there is no rollout.
type RolloutReply struct {
	Status
	Refusal string
	Record  *rollout.Record
	// Age is for how long the replica that answers StartRollout or ReadRollout has known Record,
	// at the time of the answer; 0 if it doesn't say.
	Age time.Duration
}
