// Package move defines the replicated record of a move, which shifts the traffic of
// a pool from one version to another.
package move

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// State is the state of a move.
type State string

const (
	// StatePending waits until upstreams with the new version are ready.
	StatePending State = "pending"
	// StateCanary sends a small first share of the traffic to the new version.
	StateCanary State = "canary"
	// StateRamping increases the share of the new version as long as its results
	// are good.
	StateRamping State = "ramping"
	// StateWatching sends all traffic to the new version and keeps the old one ready
	// for a rollback.
	StateWatching State = "watching"
	// StateDone is final: the new version serves the pool.
	StateDone State = "done"
	// StateTakenBack is final: the move was rolled back, and the old version serves
	// the pool.
	StateTakenBack State = "taken_back"
)

// Final reports whether the state of a move can't change any more.
func (s State) Final() bool {
	return s == StateDone || s == StateTakenBack
}

// Record is the committed progress of one move.
type Record struct {
	Name ident.MoveName
	Pool ident.PoolName
	From ident.VersionName
	To   ident.VersionName
	// Revision is the configuration revision that created the move.
	Revision ident.Revision
	State    State
	// Share is the fraction of idempotent traffic, 0 to 1, that To may get.
	Share float64
	// NonIdempotentShare is the same for non-idempotent traffic, which is moved last.
	NonIdempotentShare float64
	Reason             string
	At                 time.Time
	// Epoch is the epoch of the scheduler that proposed the record. A record with
	// another epoch than the pool's lease is refused.
	Epoch ident.Epoch
}

// rank returns the position of s in the sequence from pending to done, or -1 if s is
// not in it.
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

// CanTransitionTo reports whether a record in state next may replace one in state s. A
// move stays in its state, or advances or falls back by one state; it is done only
// after watching, and doesn't return to pending. It can be rolled back from any state
// that isn't final.
func (s State) CanTransitionTo(next State) bool {
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
