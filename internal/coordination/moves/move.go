package moves

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// Move drives one move. It implements Controller. What it knows of the
// versions' behaviour is soft state; only the committed record survives it.
type Move struct {
	spec      config.Move
	opts      Options
	committed move.Record
	// verdict is the reason to take the move back; once set it stays.
	verdict string
	// ceiling bounds the share below the committed one after a suspicion or a
	// fail-over, until evidence has grown anew. It is in force while reduced.
	ceiling float64
	reduced bool
	// suspicion says why the share was last reduced; empty after a fail-over.
	suspicion string
	// retreats counts suspicions; each makes recovery take longer.
	retreats    int
	lastRetreat time.Time
	started     time.Time
	// spent is the part of the processes' capital invested; it never falls.
	spent float64

	// fromPeak is the greatest ready capacity of the old version seen.
	fromPeak  float64
	readiness map[ident.VersionName]Readiness
	loads     map[ident.VersionName]*level
	routes    map[ident.RouteName]*routeEvidence
	outages   outages
}

var _ Controller = (*Move)(nil)

// New returns the controller of a move whose last committed record is r. It
// resumes an open move with at most half the committed share, since the
// evidence for that share is lost, and never resumes a final one.
func New(m config.Move, r move.Record, o Options) *Move {
	if m.CanaryShare <= 0 {
		m.CanaryShare = DefaultCanaryShare
	}
	m.CanaryShare = min(m.CanaryShare, MaxCanaryShare)
	if m.Watch <= 0 {
		m.Watch = DefaultWatch
	}
	return &Move{
		spec:      m,
		opts:      o.withDefaults(),
		committed: r,
		ceiling:   max(r.Share/stepFactor, m.CanaryShare),
		reduced:   r.Share > m.CanaryShare,
		readiness: make(map[ident.VersionName]Readiness),
		loads:     make(map[ident.VersionName]*level),
		routes:    make(map[ident.RouteName]*routeEvidence),
	}
}

// Pending returns the first record of a move.
func Pending(name ident.MoveName, m config.Move, revision ident.Revision, epoch ident.Epoch, now time.Time) move.Record {
	return move.Record{
		Name: name, Pool: m.Pool, From: m.From, To: m.To,
		Revision: revision, Epoch: epoch,
		State:  move.StatePending,
		Reason: fmt.Sprintf("waiting for upstreams with %s", m.To),
		At:     now,
	}
}

// Observe implements Controller. Samples of other versions are ignored.
func (m *Move) Observe(s Sample, now time.Time) {
	isNew := s.Version == m.spec.To
	if m.committed.State.Final() || (!isNew && s.Version != m.spec.From) {
		return
	}
	m.start(now)
	m.load(s.Version).add(s.Load, now)
	if !m.outages.counts(s, now) {
		return
	}
	e := m.route(s)
	e.observe(s, isNew, m.released(now), now)
	m.judge(e, now)
}

func (m *Move) start(now time.Time) {
	if m.started.IsZero() {
		m.started = now
	}
}

func (m *Move) load(v ident.VersionName) *level {
	l := m.loads[v]
	if l == nil {
		l = &level{}
		m.loads[v] = l
	}
	return l
}

func (m *Move) route(s Sample) *routeEvidence {
	e := m.routes[s.Route]
	if e == nil {
		e = newRouteEvidence(s, m.opts.alphaOf(len(m.routes)), m.opts.Tolerance)
		m.routes[s.Route] = e
	}
	return e
}

// released returns the part of the processes' capital invested by now: half at
// once, the rest evenly until the deadline, for faults that begin later.
func (m *Move) released(now time.Time) float64 {
	horizon := m.spec.Deadline.Sub(m.started)
	passed := 1.0
	if horizon > 0 {
		passed = min(now.Sub(m.started).Seconds()/horizon.Seconds(), 1)
	}
	m.spent = max(m.spent, 0.5+0.5*passed)
	return m.spent
}

// judge acts on a route's evidence: a verdict is final, a suspicion reduces
// the share at once.
func (m *Move) judge(e *routeEvidence, now time.Time) {
	if m.verdict != "" || m.committed.State == move.StatePending {
		return
	}
	if e.value() >= e.limit {
		m.verdict = e.explain(m.spec.From, m.spec.To)
		return
	}
	if e.suspicious() {
		m.retreat(e, now)
	}
}

// retreat reduces the share after a suspicion. Too many of them, each after
// growth from a small share, are a verdict by themselves.
func (m *Move) retreat(suspect *routeEvidence, now time.Time) {
	if !m.reduced || m.ceiling > m.spec.CanaryShare*retreatPart {
		calm := int(now.Sub(m.lastRetreat) / calmTime)
		m.retreats = max(m.retreats-calm, 0) + 1
		m.lastRetreat = now
	}
	if m.retreats > maxRetreats {
		m.verdict = fmt.Sprintf("suspected %d times: %s", m.retreats, suspect.explain(m.spec.From, m.spec.To))
		return
	}
	m.ceiling = m.spec.CanaryShare * retreatPart
	m.reduced = true
	suspect.suspect = true
	m.suspicion = suspect.explain(m.spec.From, m.spec.To)
	for _, e := range m.routes {
		e.forgive()
	}
}

// SetReadiness implements Controller. Versions that are not named have no
// ready upstream.
func (m *Move) SetReadiness(rs []Readiness, now time.Time) {
	m.start(now)
	clear(m.readiness)
	for _, r := range rs {
		m.readiness[r.Version] = r
	}
	m.fromPeak = max(m.fromPeak, m.capacity(m.spec.From))
}

// Abort takes the move back for a reason outside the evidence.
func (m *Move) Abort(reason string) {
	if m.verdict == "" {
		m.verdict = reason
	}
}

// SetDeadline replaces the deadline after a change of configuration.
func (m *Move) SetDeadline(deadline time.Time) {
	m.spec.Deadline = deadline
}

// Tick implements Controller. It repeats a record until it is committed or a
// later one replaces it.
func (m *Move) Tick(now time.Time) *move.Record {
	if m.committed.State.Final() {
		return nil
	}
	m.start(now)
	if m.verdict == "" && !now.Before(m.spec.Deadline) {
		m.atDeadline(now)
	}
	if m.verdict != "" {
		return m.takeBack(now)
	}
	m.recover(now)
	switch m.committed.State {
	case move.StatePending:
		return m.tickPending(now)
	case move.StateCanary, move.StateRamping:
		return m.tickRamping(now)
	case move.StateWatching:
		return m.tickWatching(now)
	}
	return nil
}

// Committed implements Controller. A final record is never superseded.
func (m *Move) Committed(r move.Record, now time.Time) {
	if m.committed.State.Final() {
		return
	}
	m.start(now)
	m.committed = r
	for _, e := range m.routes {
		e.compared = 0
	}
}

// Record implements Controller.
func (m *Move) Record() move.Record {
	return m.committed
}

// Shares implements Controller. They never exceed the committed shares.
func (m *Move) Shares() (idempotent, nonIdempotent float64) {
	switch {
	case m.committed.State == move.StateDone:
		return 1, 1
	case m.committed.State == move.StateTakenBack, m.verdict != "":
		return 0, 0
	}
	limit := m.capacityLimit()
	if m.reduced {
		limit = min(limit, m.ceiling)
	}
	if m.capacity(m.spec.From) > 0 {
		limit = min(limit, 1-HoldbackShare)
	}
	idempotent = min(m.committed.Share, limit)
	return idempotent, min(m.committed.NonIdempotentShare, idempotent)
}

// capacityLimit returns the share of the pool's present demand that the ready
// upstreams of the new version can carry: all of it once they are as many as
// the old version ever had.
func (m *Move) capacityLimit() float64 {
	to := m.capacity(m.spec.To)
	if to <= 0 {
		return 0
	}
	from := m.capacity(m.spec.From)
	if to >= m.fromPeak {
		return 1
	}
	demand := m.load(m.spec.From).value*from + m.load(m.spec.To).value*to
	if demand <= to*headroom {
		return 1
	}
	return to * headroom / demand
}

// capacity returns the ready concurrency of a version, at least one request
// for each ready upstream.
func (m *Move) capacity(v ident.VersionName) float64 {
	r := m.readiness[v]
	if r.Ready <= 0 {
		return 0
	}
	return float64(max(r.Capacity, r.Ready))
}

func (m *Move) takeBack(now time.Time) *move.Record {
	return m.propose(move.StateTakenBack, 0, 0, m.verdict, now)
}

func (m *Move) propose(s move.State, share, nonIdempotent float64, reason string, now time.Time) *move.Record {
	r := m.committed
	r.State = s
	r.Share = share
	r.NonIdempotentShare = nonIdempotent
	r.Reason = reason
	r.At = now
	r.Epoch = m.opts.Epoch
	return &r
}
