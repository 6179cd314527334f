// Package rollout defines the replicated record of a rollout: an operator's order to
// send all traffic of a pool to the upstreams of one version by a deadline.
package rollout

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// State is the state of a rollout.
type State string

const (
	// StateRunning means that the rollout has neither completed nor been rolled back.
	StateRunning State = "running"
	// StateCompleted is final: the target version serves the pool.
	StateCompleted State = "completed"
	// StateRolledBack is final: the target version gets no more requests.
	StateRolledBack State = "rolled_back"
)

// Final reports whether the state of a rollout can't change any more.
func (s State) Final() bool { return s == StateCompleted || s == StateRolledBack }

// RepeatWindow is how long after the end of a rollout an equal order is treated as a
// retry of the same order instead of a new one. Operators retry an order for some
// seconds.
const RepeatWindow = 30 * time.Second

// Order is a request for a rollout to the version Target.
type Order struct {
	Pool   ident.PoolName
	Target ident.VersionName
	// Duration is the maximum duration of the rollout from its acceptance.
	Duration time.Duration
}

// Record is the committed state of one pool's latest rollout.
type Record struct {
	Order
	// Number increases with every rollout, across all pools.
	Number uint64
	State  State
	// At is the time when the rollout was accepted, and EndedAt when it became final.
	At      time.Time
	EndedAt time.Time
	Reason  string
}

// Repeats reports whether an order received at time now is a retry of the one that
// created the record.
func (r Record) Repeats(o Order, now time.Time) bool {
	return r.Order == o && (!r.State.Final() || now.Sub(r.EndedAt) < RepeatWindow)
}

// End is a request to make a running rollout final.
type End struct {
	Pool   ident.PoolName
	Number uint64
	State  State
	Reason string
}
