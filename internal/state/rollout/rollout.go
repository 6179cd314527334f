// Package rollout defines the replicated record of a rollout: an operator's order to
// send all traffic of a pool to the upstreams of one version by a deadline.
package rollout

import (
	"slices"
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

// RepeatWindow is how long after the end of a rollout an equal order without a basis is
// treated as a retry of the same order instead of a new one. Operators retry an order for
// some seconds.
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
	// Withheld holds the versions that were rolled back in earlier rollouts and that no order
	// has named as its target since, in the order of those rollouts.
	Withheld []Withheld `cbor:",omitempty"`
}

// Withheld is a version that was rolled back. It gets no requests until an order names it as
// its target.
type Withheld struct {
	Version ident.VersionName
	// Number is that of the rollout that was rolled back, and Reason why it was.
	Number uint64
	Reason string
}

// AllWithheld returns the versions that get no requests, including the target of a rollout that
// was itself rolled back.
func (r Record) AllWithheld() []Withheld {
	if r.State != StateRolledBack {
		return r.Withheld
	}
	return append(slices.Clip(r.Withheld), Withheld{Version: r.Target, Number: r.Number, Reason: r.Reason})
}

// Withholds reports whether a version gets no requests.
func (r Record) Withholds(v ident.VersionName) bool {
	return slices.ContainsFunc(r.AllWithheld(), func(w Withheld) bool { return w.Version == v })
}

// WithheldAfter returns the versions that stay withheld when an order for a target replaces the
// record.
func (r Record) WithheldAfter(target ident.VersionName) []Withheld {
	return slices.DeleteFunc(slices.Clone(r.AllWithheld()), func(w Withheld) bool { return w.Version == target })
}

// Forget names versions of a pool whose upstreams have left for good, so that they need not be
// withheld any more.
type Forget struct {
	Pool     ident.PoolName
	Versions []ident.VersionName
}

// Basis is the state of a pool's rollout that was certainly known when an order was sent. An
// order is carried out only if the rollout hasn't changed since: a copy of an order that was
// held up on its way must not replace one that was accepted after it.
type Basis struct {
	// Known is false for an order that comes from a build without bases.
	Known bool
	// Number is that of the pool's latest rollout; 0 if there was none.
	Number uint64
	// Final is true if that rollout had ended.
	Final bool
}

// Basis returns the basis of an order that was sent when the record was known.
func (r Record) Basis() Basis {
	return Basis{Known: true, Number: r.Number, Final: r.State.Final()}
}

// Verdict says what becomes of an order.
type Verdict int

const (
	// VerdictStart means that the order starts a rollout.
	VerdictStart Verdict = iota
	// VerdictRepeat means that the order is a copy of the one that started the running rollout.
	VerdictRepeat
	// VerdictOutdated means that the rollout may have changed since the order was sent, so that
	// it may be a late copy of an order.
	VerdictOutdated
)

// Judge returns what becomes of an order with a basis while current is the latest rollout of
// its pool; the zero Record if there was none. An order that may be a late copy is never
// carried out; one that isn't always is, also if it equals an earlier one.
func (b Basis) Judge(current Record, o Order) Verdict {
	switch {
	case current.Order == o && !current.State.Final():
		return VerdictRepeat
	case b == current.Basis():
		return VerdictStart
	case b.Number == current.Number && current.Order != o:
		// The rollout has ended since the order was sent, and no other has begun.
		return VerdictStart
	default:
		return VerdictOutdated
	}
}

// Repeats reports whether an order without a basis, received at time now, is a retry of the
// one that created the record.
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
