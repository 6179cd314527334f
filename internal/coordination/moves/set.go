package moves

import (
	"fmt"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// Event is a change of a move for the time line.
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
// not safe for concurrent use. At most one move of a pool is open.
type Set struct {
	pool    ident.PoolName
	opts    Options
	base    ident.VersionName
	records map[ident.MoveName]move.Record
	open    map[ident.MoveName]*Move
	// fresh holds first records until they are committed.
	fresh     map[ident.MoveName]move.Record
	specs     map[ident.MoveName]config.Move
	readiness []Readiness
	events    []Event
}

// NewSet returns the moves of a pool from the committed records of a new
// holder. Records of other pools are ignored.
func NewSet(pool ident.PoolName, o Options, records []move.Record) *Set {
	s := &Set{
		pool:    pool,
		opts:    o,
		records: make(map[ident.MoveName]move.Record),
		open:    make(map[ident.MoveName]*Move),
		fresh:   make(map[ident.MoveName]move.Record),
		specs:   make(map[ident.MoveName]config.Move),
	}
	for _, r := range records {
		if r.Pool == pool {
			s.records[r.Name] = r
		}
	}
	return s
}

// Configure takes in a revision of the configuration: it opens new moves,
// takes back those that were removed or changed, and refuses those that
// conflict with an open one.
func (s *Set) Configure(c config.Config, revision ident.Revision, now time.Time) {
	s.base = c.Pools[s.pool].Version
	s.specs = make(map[ident.MoveName]config.Move)
	for name, spec := range c.Moves {
		if spec.Pool == s.pool {
			s.specs[name] = spec
		}
	}
	s.abortRemoved()
	for _, name := range sortedNames(s.records) {
		s.resume(name, now)
	}
	for _, name := range sortedNames(s.specs) {
		s.begin(name, revision, now)
	}
}

func (s *Set) abortRemoved() {
	for name, m := range s.open {
		spec, kept := s.specs[name]
		switch {
		case !kept:
			m.Abort("the move was removed from the configuration")
		case spec.From != m.spec.From || spec.To != m.spec.To:
			m.Abort("the versions of the move were changed; a move under another name can replace it")
		default:
			m.SetDeadline(spec.Deadline)
		}
	}
}

// resume opens a committed move that is not final.
func (s *Set) resume(name ident.MoveName, now time.Time) {
	r := s.records[name]
	if r.State.Final() || s.open[name] != nil {
		return
	}
	spec, kept := s.specs[name]
	changed := kept && (spec.From != r.From || spec.To != r.To)
	if !kept || changed {
		spec = config.Move{Pool: r.Pool, From: r.From, To: r.To, Deadline: now}
	}
	m := New(spec, r, s.opts)
	m.SetReadiness(s.readiness, now)
	if !kept || changed {
		m.Abort("the move was removed from the configuration")
	}
	s.open[name] = m
}

// begin opens a move that has no record yet, or refuses it.
func (s *Set) begin(name ident.MoveName, revision ident.Revision, now time.Time) {
	if _, known := s.records[name]; known || s.open[name] != nil {
		return
	}
	spec := s.specs[name]
	first := Pending(name, spec, revision, s.opts.Epoch, now)
	m := New(spec, first, s.opts)
	m.SetReadiness(s.readiness, now)
	if reason := s.conflict(name, spec); reason != "" {
		m.Abort(reason)
	}
	s.open[name] = m
	s.fresh[name] = first
}

// conflict says why a new move may not run; it is empty if it may.
func (s *Set) conflict(name ident.MoveName, spec config.Move) string {
	for _, other := range sortedNames(s.open) {
		if other != name && s.open[other].verdict == "" {
			return fmt.Sprintf("refused: move %s of pool %s is not finished", other, s.pool)
		}
	}
	if serving := s.Serving(); spec.From != serving {
		return fmt.Sprintf("refused: pool %s serves %s, not %s", s.pool, serving, spec.From)
	}
	return ""
}

// Serving returns the version that serves while no move is open: the
// configured one, or where finished moves led from it.
func (s *Set) Serving() ident.VersionName {
	var done []move.Record
	for _, r := range s.records {
		if _, kept := s.specs[r.Name]; kept && r.State == move.StateDone {
			done = append(done, r)
		}
	}
	slices.SortFunc(done, func(a, b move.Record) int { return a.At.Compare(b.At) })
	serving := s.base
	for _, r := range done {
		if r.From == serving {
			serving = r.To
		}
	}
	return serving
}

// Observe takes in the outcome of one request of the pool.
func (s *Set) Observe(sample Sample, now time.Time) {
	for _, m := range s.open {
		m.Observe(sample, now)
	}
}

// SetReadiness takes in which versions of the pool can serve.
func (s *Set) SetReadiness(rs []Readiness, now time.Time) {
	s.readiness = slices.Clone(rs)
	for _, m := range s.open {
		m.SetReadiness(rs, now)
	}
}

// Tick returns the records to commit, sorted by name. It repeats them until
// they are committed.
func (s *Set) Tick(now time.Time) []move.Record {
	var rs []move.Record
	for _, name := range sortedNames(s.open) {
		m := s.open[name]
		if first, uncommitted := s.fresh[name]; uncommitted && m.verdict == "" {
			rs = append(rs, first)
			continue
		}
		if r := m.Tick(now); r != nil {
			rs = append(rs, *r)
		}
	}
	return rs
}

// Committed tells that a record is durable. It returns false for records of
// unknown moves and for those that would change a final one.
func (s *Set) Committed(r move.Record, now time.Time) bool {
	m := s.open[r.Name]
	if m == nil {
		return false
	}
	before := m.Record()
	delete(s.fresh, r.Name)
	m.Committed(r, now)
	s.records[r.Name] = m.Record()
	s.events = append(s.events, Event{
		At: now, Move: r.Name, Pool: r.Pool,
		From: before.State, To: r.State, Share: r.Share, Reason: r.Reason,
	})
	if r.State.Final() {
		delete(s.open, r.Name)
	}
	return true
}

// Shares returns the present shares of the pool's versions. They sum to 1.
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

// Events returns and clears the changes since the last call.
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
