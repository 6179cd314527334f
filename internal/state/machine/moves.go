package machine

import (
	"maps"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// syncMoves updates the move records after a configuration change. A move that is
// new, or whose pool or versions changed, starts as pending. The records of removed
// moves are deleted.
func (m *Machine) syncMoves() {
	configured := m.config.Config.Moves
	for _, name := range slices.Sorted(maps.Keys(m.moves)) {
		if _, kept := configured[name]; !kept {
			delete(m.moves, name)
			m.changes.add(ChangedObject{Move: name})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(configured)) {
		object := configured[name]
		if r, known := m.moves[name]; known && sameMove(r, object) {
			continue
		}
		m.setMove(move.Record{
			Name: name, Pool: object.Pool, From: object.From, To: object.To,
			Revision: m.config.Revision, State: move.StatePending, At: m.clock,
		})
	}
}

func sameMove(r move.Record, m config.Move) bool {
	return r.Pool == m.Pool && r.From == m.From && r.To == m.To
}

func (m *Machine) setMove(r move.Record) {
	m.moves[r.Name] = r
	m.changes.add(ChangedObject{Move: r.Name})
}

// commitMove replaces the record of a move. It refuses a record that doesn't carry
// the current scheduler epoch of the pool, and any change of a final record.
func (m *Machine) commitMove(r move.Record) Result {
	old, known := m.moves[r.Name]
	if !known || old.Revision != r.Revision || old.Pool != r.Pool || old.From != r.From || old.To != r.To {
		return Result{Refusal: RefusedUnknown}
	}
	r.At = r.At.Round(0).UTC()
	if old == r {
		return Result{Move: &r}
	}
	pool := m.pools[r.Pool]
	if pool.Holder == "" || pool.Epoch != r.Epoch {
		return Result{Refusal: RefusedEpoch, Move: &old}
	}
	if !old.State.CanTransitionTo(r.State) || !isShare(r.Share) || !isShare(r.NonIdempotentShare) {
		return Result{Refusal: RefusedTransition, Move: &old}
	}
	m.setMove(r)
	return Result{Move: &r}
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }

// Move returns the committed record of a move.
func (m *Machine) Move(name ident.MoveName) (move.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, known := m.moves[name]
	return r, known
}

// Moves returns all move records in the order of the moves' names.
func (m *Machine) Moves() []move.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sortedValues(m.moves)
}
