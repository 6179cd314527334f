// Package move defines the replicated record of a move of traffic between two
// versions of a pool.
package move

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// State is a step in the life of a move.
type State string

const (
	// StatePending awaits upstreams that are ready with the new version.
	StatePending State = "pending"
	// StateCanary sends the first small share to the new version.
	StateCanary State = "canary"
	// StateRamping grows the share with the evidence.
	StateRamping State = "ramping"
	// StateWatching has all traffic on the new version, the old one kept ready.
	StateWatching State = "watching"
	// StateDone is final: the new version serves the pool.
	StateDone State = "done"
	// StateTakenBack is final: the old version serves the pool.
	StateTakenBack State = "taken_back"
)

// Final reports whether a move in this state changes no more.
func (s State) Final() bool {
	return s == StateDone || s == StateTakenBack
}

// Record is the committed progress of one move.
type Record struct {
	Name ident.MoveName
	Pool ident.PoolName
	From ident.VersionName
	To   ident.VersionName
	// Revision is the configuration that created the move.
	Revision ident.Revision
	State    State
	// Share is the part of idempotent traffic, 0 to 1, that To may get.
	Share float64
	// NonIdempotentShare is the same for non-idempotent routes, which move last.
	NonIdempotentShare float64
	Reason             string
	At                 time.Time
	// Epoch is the scheduler epoch that proposed the record. A record of a
	// lower epoch than the pool's lease is refused.
	Epoch ident.Epoch
}

// rank orders the states of a move that goes forward.
func (s State) rank() int {
	switch s {
	case StatePending:
		return 0
	case StateCanary:
		return 1
	case StateRamping:
		return 2
	case StateWatching:
		return 3
	case StateDone:
		return 4
	default:
		return -1
	}
}

// MayFollow tells whether a record in state next may replace one in state s: a
// move advances or falls back by one step, is done only after watching, and
// may be taken back from any state that isn't final.
func (s State) MayFollow(next State) bool {
	if s.Final() || s.rank() < 0 {
		return false
	}
	if next == StateTakenBack {
		return true
	}
	step := next.rank() - s.rank()
	if next.rank() < 0 || step > 1 || step < -1 {
		return false
	}
	return next != StatePending || s == StatePending
}
