package moves

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// Event is a change of a move, for the timeline.
type Event struct {
	At     time.Time
	Move   ident.MoveName
	Pool   ident.PoolName
	From   move.State
	To     move.State
	Share  float64
	Reason string
}

// Set drives the moves of one pool for the holder of the pool's lease. It is
// not safe for concurrent use. At most one move of a pool may be in progress.
type Set struct {
	pool ident.PoolName
	opts Options
	// configured is the pool's version in the configuration.
	configured ident.VersionName
	records    map[ident.MoveName]move.Record
	open       map[ident.MoveName]*Move

	readiness []Readiness
	events    []Event
}

// NewSet returns an empty set for a new holder of the pool's lease.
func NewSet(pool ident.PoolName, o Options) *Set {
	return &Set{
		pool:    pool,
		opts:    o,
		records: make(map[ident.MoveName]move.Record),
		open:    make(map[ident.MoveName]*Move),
	}
}

// Configure applies the configuration and the committed records of its moves. A
// move without a record is not started until its record arrives. A move that
// was removed from the configuration ends at once. A pending move that
// conflicts with another one is taken back, with the conflict as the reason.
// Records older than the known ones are ignored.
func (s *Set) Configure(c config.Config, records []move.Record, now time.Time) {
	s.configured = c.Pools[s.pool].Version
	kept := s.matching(c, records)
	s.dropRemoved(kept, now)
	for _, r := range kept {
		s.adopt(c.Moves[r.Name], r, now)
	}
	for _, r := range kept {
		s.abortConflicting(r.Name)
	}
}

// matching returns the pool's records that belong to configured moves, sorted
// with pending moves last, then by revision and name.
func (s *Set) matching(c config.Config, records []move.Record) []move.Record {
	var kept []move.Record
	for _, r := range records {
		spec, configured := c.Moves[r.Name]
		if configured && spec.Pool == s.pool && r.Pool == s.pool && spec.From == r.From && spec.To == r.To {
			kept = append(kept, r)
		}
	}
	slices.SortFunc(kept, func(a, b move.Record) int {
		return cmp.Or(
			cmp.Compare(pendingRank(a.State), pendingRank(b.State)),
			cmp.Compare(a.Revision, b.Revision),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return kept
}

// pendingRank is a sort key that puts pending moves last.
func pendingRank(s move.State) int {
	if s == move.StatePending {
		return 1
	}
	return 0
}

func (s *Set) dropRemoved(kept []move.Record, now time.Time) {
	for name, r := range s.records {
		known := slices.ContainsFunc(kept, func(k move.Record) bool { return sameMove(k, r) })
		if known {
			continue
		}
		if !r.State.Final() {
			s.addEvent(r, move.StateTakenBack, "the move was removed from the configuration", now)
		}
		delete(s.records, name)
		delete(s.open, name)
	}
}

func sameMove(a, b move.Record) bool {
	return a.Name == b.Name && a.Revision == b.Revision && a.From == b.From && a.To == b.To
}

// adopt applies a committed record of a configured move.
func (s *Set) adopt(spec config.Move, r move.Record, now time.Time) {
	last, known := s.records[r.Name]
	if !known {
		s.records[r.Name] = r
		if !r.State.Final() {
			m := New(spec, r, s.opts)
			m.SetReadiness(s.readiness, now)
			s.open[r.Name] = m
		}
		return
	}
	if m := s.open[r.Name]; m != nil {
		m.SetDeadline(spec.Deadline)
	}
	newer := r.Epoch >= last.Epoch && r.At.After(last.At)
	if newer || (r.State.Final() && !last.State.Final()) {
		s.Committed(r, now)
	}
}

// abortConflicting aborts a pending move if another move comes before it or if
// it does not start from the serving version.
func (s *Set) abortConflicting(name ident.MoveName) {
	m := s.open[name]
	if m == nil || m.Record().State != move.StatePending {
		return
	}
	for _, other := range sortedNames(s.open) {
		if other != name && s.open[other].before(m) && s.open[other].takeBackReason == "" {
			m.Abort(fmt.Sprintf("refused: move %s of pool %s is not finished", other, s.pool))
		}
	}
	if serving := s.Serving(); m.spec.From != serving {
		m.Abort(fmt.Sprintf("refused: pool %s serves %s, not %s", s.pool, serving, m.spec.From))
	}
}

// before reports whether m precedes other, a pending move of the same pool.
func (m *Move) before(other *Move) bool {
	a, b := m.committed, other.committed
	return cmp.Or(
		cmp.Compare(pendingRank(a.State), pendingRank(b.State)),
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.Name, b.Name),
	) < 0
}

// Serving returns the version that serves while no move is open: the configured
// version or, if done moves led away from it, the version of the last one.
func (s *Set) Serving() ident.VersionName {
	var done []move.Record
	for _, r := range s.records {
		if r.State == move.StateDone {
			done = append(done, r)
		}
	}
	slices.SortFunc(done, func(a, b move.Record) int { return a.At.Compare(b.At) })
	serving := s.configured
	for _, r := range done {
		if r.From == serving {
			serving = r.To
		}
	}
	return serving
}

// Observe passes the outcome of one request to the open moves.
func (s *Set) Observe(sample Sample, now time.Time) {
	for _, m := range s.open {
		last := m.lastSuspicion
		m.Observe(sample, now)
		if m.lastSuspicion != last && m.takeBackReason == "" {
			s.addShareEvent(m, "suspicion: "+m.suspicionReason, now)
		}
	}
}

// SetReadiness sets which versions of the pool can serve.
func (s *Set) SetReadiness(rs []Readiness, now time.Time) {
	s.readiness = slices.Clone(rs)
	for _, m := range s.open {
		m.SetReadiness(rs, now)
	}
}

// Tick returns the records to commit, sorted by name. A record is returned
// again on each call until it is committed.
func (s *Set) Tick(now time.Time) []move.Record {
	var rs []move.Record
	for _, name := range sortedNames(s.open) {
		m := s.open[name]
		reduced := m.reduced
		r := m.Tick(now)
		if reduced && !m.reduced {
			s.addShareEvent(m, "the share is restored", now)
		}
		if r != nil {
			rs = append(rs, *r)
		}
	}
	return rs
}

// Committed applies a record that is durable. It returns false if the record's
// move is not open.
func (s *Set) Committed(r move.Record, now time.Time) bool {
	m := s.open[r.Name]
	if m == nil {
		return false
	}
	last := m.Record()
	m.Committed(r, now)
	s.records[r.Name] = m.Record()
	s.addEvent(last, r.State, r.Reason, now)
	if r.State.Final() {
		delete(s.open, r.Name)
	}
	return true
}

// addShareEvent adds an event for a change of the share within one state.
func (s *Set) addShareEvent(m *Move, reason string, now time.Time) {
	share, _ := m.Shares()
	r := m.Record()
	s.events = append(s.events, Event{
		At: now, Move: r.Name, Pool: r.Pool,
		From: r.State, To: r.State, Share: share, Reason: reason,
	})
}

func (s *Set) addEvent(last move.Record, to move.State, reason string, now time.Time) {
	s.events = append(s.events, Event{
		At: now, Move: last.Name, Pool: last.Pool,
		From: last.State, To: to, Share: s.records[last.Name].Share, Reason: reason,
	})
}

// Shares returns the current shares of the pool's versions. They sum to 1.
func (s *Set) Shares() []scheduler.VersionShare {
	for _, name := range sortedNames(s.open) {
		m := s.open[name]
		share, non := m.Shares()
		if share <= 0 && non <= 0 {
			continue
		}
		return []scheduler.VersionShare{
			{Version: m.spec.From, Share: 1 - share, NonIdempotentShare: 1 - non},
			{Version: m.spec.To, Share: share, NonIdempotentShare: non},
		}
	}
	return []scheduler.VersionShare{{Version: s.Serving(), Share: 1, NonIdempotentShare: 1}}
}

// Records returns the committed records, sorted by name.
func (s *Set) Records() []move.Record {
	rs := make([]move.Record, 0, len(s.records))
	for _, name := range sortedNames(s.records) {
		rs = append(rs, s.records[name])
	}
	return rs
}

// Events returns the changes since the last call and clears them.
func (s *Set) Events() []Event {
	events := s.events
	s.events = nil
	return events
}

func sortedNames[V any](m map[ident.MoveName]V) []ident.MoveName {
	names := make([]ident.MoveName, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
