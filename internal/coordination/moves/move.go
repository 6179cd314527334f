package moves

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// Move drives one move and implements Controller. Its evidence about the
// versions is kept in memory only; after a fail-over, only the committed record
// is left.
type Move struct {
	spec      config.Move
	opts      Options
	committed move.Record
	// takeBackReason is why the move must be taken back. Once set, it does not
	// change.
	takeBackReason string
	// ceiling bounds the share below the committed one after a suspicion or a
	// fail-over, until there is enough new evidence. It applies only while
	// reduced is true.
	ceiling float64
	reduced bool
	// suspicionReason is why the share was last reduced. It is empty after a
	// fail-over.
	suspicionReason string
	// suspicions counts the suspicions that have not expired. The more there
	// are, the more samples the share needs to recover.
	suspicions    int
	lastSuspicion time.Time
	started       time.Time
	// releasedCapital is the part of the martingales' capital that has been
	// released, 0 to 1. It never falls.
	releasedCapital float64

	// oldPeakCapacity is the highest ready capacity of the old version so far.
	oldPeakCapacity float64
	readiness       map[ident.VersionName]Readiness
	loads           map[ident.VersionName]*ewma
	routes          map[ident.RouteName]*routeEvidence
	outageFilter    outageFilter
}

var _ Controller = (*Move)(nil)

// New returns the controller of a move whose last committed record is r. The
// evidence for that record's share is lost, so an open move resumes with half
// of the share, but not less than the canary share. A final move is not
// resumed.
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
		loads:     make(map[ident.VersionName]*ewma),
		routes:    make(map[ident.RouteName]*routeEvidence),
	}
}

// Pending returns the first record of a move, in state move.StatePending.
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
	m.markStarted(now)
	m.load(s.Version).add(s.Load, now)
	if !m.outageFilter.observe(s, now) {
		return
	}
	e := m.route(s)
	e.observe(s, isNew, m.releaseCapital(now), now)
	m.evaluate(e, now)
}

func (m *Move) markStarted(now time.Time) {
	if m.started.IsZero() {
		m.started = now
	}
}

func (m *Move) load(v ident.VersionName) *ewma {
	l := m.loads[v]
	if l == nil {
		l = &ewma{}
		m.loads[v] = l
	}
	return l
}

func (m *Move) route(s Sample) *routeEvidence {
	e := m.routes[s.Route]
	if e == nil {
		e = newRouteEvidence(s, m.opts.routeAlpha(len(m.routes)), m.opts.Tolerance)
		m.routes[s.Route] = e
	}
	return e
}

// releaseCapital returns the part of the martingales' capital that is released
// by now: half of it at the start and the rest evenly until the deadline, to
// detect faults that begin later.
func (m *Move) releaseCapital(now time.Time) float64 {
	horizon := m.spec.Deadline.Sub(m.started)
	passed := 1.0
	if horizon > 0 {
		passed = min(now.Sub(m.started).Seconds()/horizon.Seconds(), 1)
	}
	m.releasedCapital = max(m.releasedCapital, 0.5+0.5*passed)
	return m.releasedCapital
}

// evaluate acts on a route's evidence. If the evidence reaches the route's
// limit, the move is taken back; a suspicion reduces the share at once.
func (m *Move) evaluate(e *routeEvidence, now time.Time) {
	if m.takeBackReason != "" || m.committed.State == move.StatePending {
		return
	}
	if e.value() >= e.limit {
		m.takeBackReason = e.explain(m.spec.From, m.spec.To)
		return
	}
	if e.suspicious() {
		m.reduceShare(e, now)
	}
}

// reduceShare reduces the share after a suspicion. After more than
// maxSuspicions of them it takes the move back. A suspicion counts only if the
// share had grown since the previous reduction.
func (m *Move) reduceShare(suspect *routeEvidence, now time.Time) {
	if !m.reduced || m.ceiling > m.spec.CanaryShare*suspicionShareFactor {
		expired := int(now.Sub(m.lastSuspicion) / suspicionExpiry)
		m.suspicions = max(m.suspicions-expired, 0) + 1
		m.lastSuspicion = now
	}
	if m.suspicions > maxSuspicions {
		m.takeBackReason = fmt.Sprintf("suspected %d times: %s", m.suspicions, suspect.explain(m.spec.From, m.spec.To))
		return
	}
	m.ceiling = m.spec.CanaryShare * suspicionShareFactor
	m.reduced = true
	suspect.suspect = true
	m.suspicionReason = suspect.explain(m.spec.From, m.spec.To)
	for _, e := range m.routes {
		e.resetSuspicion()
	}
}

// SetReadiness implements Controller. Versions that are not listed have no
// ready upstream.
func (m *Move) SetReadiness(rs []Readiness, now time.Time) {
	m.markStarted(now)
	clear(m.readiness)
	for _, r := range rs {
		m.readiness[r.Version] = r
	}
	m.oldPeakCapacity = max(m.oldPeakCapacity, m.capacity(m.spec.From))
}

// Abort takes the move back for a reason other than the evidence. It does not
// replace an earlier reason.
func (m *Move) Abort(reason string) {
	if m.takeBackReason == "" {
		m.takeBackReason = reason
	}
}

// SetDeadline replaces the deadline after a configuration change.
func (m *Move) SetDeadline(deadline time.Time) {
	m.spec.Deadline = deadline
}

// Tick implements Controller. It returns a record again until it is committed
// or a later one replaces it.
func (m *Move) Tick(now time.Time) *move.Record {
	if m.committed.State.Final() {
		return nil
	}
	m.markStarted(now)
	if m.takeBackReason == "" && !now.Before(m.spec.Deadline) {
		m.atDeadline(now)
	}
	if m.takeBackReason != "" {
		return m.takeBack(now)
	}
	m.raiseCeiling(now)
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

// Committed implements Controller. It ignores any record after a final one.
func (m *Move) Committed(r move.Record, now time.Time) {
	if m.committed.State.Final() {
		return
	}
	m.markStarted(now)
	m.committed = r
	for _, e := range m.routes {
		e.comparedSinceStep = 0
	}
}

// Record implements Controller.
func (m *Move) Record() move.Record {
	return m.committed
}

// Shares implements Controller. The shares never exceed the committed ones.
func (m *Move) Shares() (idempotent, nonIdempotent float64) {
	switch {
	case m.committed.State == move.StateDone:
		return 1, 1
	case m.committed.State == move.StateTakenBack, m.takeBackReason != "":
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

// capacityLimit returns the share of the pool's current demand that the ready
// upstreams of the new version can serve. It is 1 once their capacity reaches
// the peak capacity of the old version.
func (m *Move) capacityLimit() float64 {
	to := m.capacity(m.spec.To)
	if to <= 0 {
		return 0
	}
	from := m.capacity(m.spec.From)
	if to >= m.oldPeakCapacity {
		return 1
	}
	demand := m.load(m.spec.From).value*from + m.load(m.spec.To).value*to
	if demand <= to*maxUtilization {
		return 1
	}
	return to * maxUtilization / demand
}

// capacity returns the ready concurrency of a version, with at least one
// request for each ready upstream.
func (m *Move) capacity(v ident.VersionName) float64 {
	r := m.readiness[v]
	if r.Ready <= 0 {
		return 0
	}
	return float64(max(r.Capacity, r.Ready))
}

func (m *Move) takeBack(now time.Time) *move.Record {
	return m.propose(move.StateTakenBack, 0, 0, m.takeBackReason, now)
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
