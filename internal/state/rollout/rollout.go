// Package rollout defines the replicated record of an operator's order to bring
// all traffic of a pool to the upstreams of one version by a deadline.
package rollout

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// State is a step in the life of a rollout.
type State string

const (
	// StateRunning means that the decision is open.
	StateRunning State = "running"
	// StateCompleted is final: the target version serves the pool.
	StateCompleted State = "completed"
	// StateRolledBack is final: the target version gets nothing more.
	StateRolledBack State = "rolled_back"
)

// Final reports whether a rollout in this state changes no more.
func (s State) Final() bool { return s == StateCompleted || s == StateRolledBack }

// RepeatWindow is how long after the end of a rollout the same order counts as
// a repetition of it; operators resend an order for some seconds.
const RepeatWindow = 30 * time.Second

// Order asks for a rollout.
type Order struct {
	Pool   ident.PoolName
	Target ident.VersionName
	// Duration is the time that the rollout may take from its acceptance.
	Duration time.Duration
}

// Record is the committed state of one pool's latest rollout.
type Record struct {
	Order
	// Number orders the rollouts of all pools.
	Number uint64
	State  State
	// At is when the rollout was accepted, EndedAt when it became final.
	At      time.Time
	EndedAt time.Time
	Reason  string
}

// Repeats reports whether an order at the given time is a repetition of the
// one that made the record.
func (r Record) Repeats(o Order, now time.Time) bool {
	return r.Order == o && (!r.State.Final() || now.Sub(r.EndedAt) < RepeatWindow)
}

// End makes a running rollout final.
type End struct {
	Pool   ident.PoolName
	Number uint64
	State  State
	Reason string
}
