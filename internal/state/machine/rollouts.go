package machine

import (
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// BasisLevel is the feature level from which operators' orders have a basis.
const BasisLevel = 3

// startRollout starts a rollout, which replaces a running one. A repetition of the pool's
// latest order returns its record unchanged, and an order that may be a late copy is refused
// with the record. The basis is nil for an order from a build without bases.
func (m *Machine) startRollout(o rollout.Order, basis *rollout.Basis) Result {
	current, known := m.rollouts[o.Pool]
	if basis != nil && m.features >= BasisLevel {
		switch basis.Judge(current, o) {
		case rollout.VerdictRepeat:
			return Result{Rollout: &current}
		case rollout.VerdictOutdated:
			return Result{Rollout: &current, Refusal: RefusedOutdated}
		}
	} else if known && current.Repeats(o, m.clock) {
		return Result{Rollout: &current}
	}
	m.rolloutNumber++
	// Replicas of builds without withheld versions leave them out. No result depends on them.
	record := rollout.Record{Order: o, Number: m.rolloutNumber, State: rollout.StateRunning, At: m.clock, Withheld: current.WithheldAfter(o.Target)}
	m.setRollout(record)
	return Result{Rollout: &record}
}

// endRollout makes a running rollout final. If it is already final, the record is
// returned unchanged.
func (m *Machine) endRollout(e rollout.End) Result {
	record, known := m.rollouts[e.Pool]
	if !known || record.Number != e.Number || !e.State.Final() {
		return Result{Refusal: RefusedUnknown}
	}
	if record.State.Final() {
		return Result{Rollout: &record}
	}
	record.State = e.State
	record.Reason = e.Reason
	record.EndedAt = m.clock
	m.setRollout(record)
	return Result{Rollout: &record}
}

// forgetVersions drops versions from those that a pool's latest rollout withholds.
func (m *Machine) forgetVersions(f rollout.Forget) Result {
	record, known := m.rollouts[f.Pool]
	if !known {
		return Result{Refusal: RefusedUnknown}
	}
	// The list is shared with readers, so it is replaced.
	record.Withheld = slices.DeleteFunc(slices.Clone(record.Withheld), func(w rollout.Withheld) bool {
		return slices.Contains(f.Versions, w.Version)
	})
	m.setRollout(record)
	return Result{Rollout: &record}
}

func (m *Machine) setRollout(r rollout.Record) {
	m.rollouts[r.Pool] = r
	m.notifyChanged()
}

// Rollouts returns the latest rollout of each pool, in the order of the pools' names.
func (m *Machine) Rollouts() []rollout.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sortedValues(m.rollouts)
}

// Rollout returns a pool's latest rollout.
func (m *Machine) Rollout(pool ident.PoolName) (rollout.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, known := m.rollouts[pool]
	return r, known
}
