package moves

import (
	"fmt"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

func (m *Move) tickPending(now time.Time) *move.Record {
	if m.readiness[m.spec.To].Ready == 0 || m.capacityLimit() == 0 {
		return nil
	}
	if now.Sub(m.started) < routeDiscoveryTime && !m.deadlineNear(now) {
		return nil
	}
	reason := fmt.Sprintf("%d upstreams with %s are ready", m.readiness[m.spec.To].Ready, m.spec.To)
	if m.onlyNonIdempotent(now) {
		return m.propose(move.StateCanary, m.spec.CanaryShare, m.spec.CanaryShare, reason, now)
	}
	return m.propose(move.StateCanary, m.spec.CanaryShare, 0, reason, now)
}

// deadlineNear reports whether too little time is left to wait for route
// discovery.
func (m *Move) deadlineNear(now time.Time) bool {
	return m.rampTime(now) < 10*routeDiscoveryTime
}

// rampTime returns the time left until the watch phase should begin. It is at
// least an eighth of the time to the deadline.
func (m *Move) rampTime(now time.Time) time.Duration {
	left := m.spec.Deadline.Sub(now)
	return max(left-m.spec.Watch, left/8, 0)
}

func (m *Move) tickRamping(now time.Time) *move.Record {
	if now.Sub(m.committed.At) < minStepTime || m.reduced {
		return nil
	}
	if m.blockedReason(now) != "" {
		return nil
	}
	share, nonIdempotent := m.nextShares(now)
	if share >= 1 && nonIdempotent >= 1 {
		reason := fmt.Sprintf("all traffic may go to %s; %s stays ready for %v", m.spec.To, m.spec.From, m.spec.Watch)
		return m.propose(move.StateWatching, 1, 1, reason, now)
	}
	if share > m.committed.Share && share*(1-HoldbackShare) > m.capacityLimit() {
		return nil
	}
	reason := fmt.Sprintf("no fault of %s seen at the former share", m.spec.To)
	return m.propose(move.StateRamping, share, nonIdempotent, reason, now)
}

// nextShares returns the shares after one step. Idempotent traffic moves first
// and non-idempotent traffic after all of it, unless there is no idempotent
// traffic to learn from: then both shares grow together.
func (m *Move) nextShares(now time.Time) (idempotent, nonIdempotent float64) {
	share, non := m.committed.Share, m.committed.NonIdempotentShare
	if m.onlyNonIdempotent(now) {
		next := nextShare(non, m.spec.CanaryShare)
		return max(share, next), next
	}
	if share < 1 {
		return nextShare(share, m.spec.CanaryShare), non
	}
	if !m.hasRoute(false) {
		return 1, 1
	}
	return 1, nextShare(non, m.spec.CanaryShare)
}

func (m *Move) tickWatching(now time.Time) *move.Record {
	watched := now.Sub(m.committed.At)
	if m.reduced || watched < m.requiredWatch(now) || m.blockedReason(now) != "" {
		return nil
	}
	reason := fmt.Sprintf("%s served all traffic for %v without a fault", m.spec.To, watched.Round(time.Second))
	return m.propose(move.StateDone, 1, 1, reason+m.sparseNote(now), now)
}

// requiredWatch returns how long the move must be watched: the configured watch
// time or, once the deadline is within commitMargin, minWatchFraction of it.
func (m *Move) requiredWatch(now time.Time) time.Duration {
	if m.spec.Deadline.Sub(now) > commitMargin {
		return m.spec.Watch
	}
	return time.Duration(minWatchFraction * float64(m.spec.Watch))
}

// atDeadline takes the move back because it is not done at the deadline.
func (m *Move) atDeadline(now time.Time) {
	switch {
	case m.committed.State == move.StatePending:
		m.Abort(fmt.Sprintf("no upstream with %s was ready by the deadline", m.spec.To))
	case m.capacityLimit() == 0:
		m.Abort(fmt.Sprintf("no upstream with %s is ready at the deadline", m.spec.To))
	default:
		m.Abort("not done by the deadline: " + m.unfinishedReason(now))
	}
}

// unfinishedReason returns why the move is not done.
func (m *Move) unfinishedReason(now time.Time) string {
	if limit := m.capacityLimit(); limit < 1 {
		return fmt.Sprintf("the ready upstreams with %s can carry %.0f%% of the traffic", m.spec.To, 100*limit)
	}
	if reason := m.blockedReason(now); reason != "" {
		return reason
	}
	if m.committed.State == move.StateWatching {
		return fmt.Sprintf("watched for %v of %v", now.Sub(m.committed.At).Round(time.Second), m.spec.Watch)
	}
	return fmt.Sprintf("reached %.0f%% of idempotent and %.0f%% of other traffic",
		100*m.committed.Share, 100*m.committed.NonIdempotentShare)
}

// blockedReason returns why the next step may not be taken, or an empty string
// if it may. Suspicious routes are reported before routes with too few compared
// samples, each group by name.
func (m *Move) blockedReason(now time.Time) string {
	for _, e := range m.sortedRoutes() {
		if e.suspicious() || e.value() >= holdEvidence {
			return fmt.Sprintf("route %s: %s is under suspicion", e.name, m.spec.To)
		}
	}
	checked := 0
	for _, e := range m.sortedRoutes() {
		if !m.hasTraffic(e, now) || !m.inPhase(e, now) {
			continue
		}
		checked++
		if need := m.requiredSamples(e, now); e.comparedSinceStep < need {
			return fmt.Sprintf("route %s: %d of %d requests compared", e.name, e.comparedSinceStep, need)
		}
	}
	if checked == 0 && !m.anyRouteHasTraffic(now) {
		return "no route carries enough traffic to compare the versions"
	}
	return ""
}

// anyRouteHasTraffic reports whether any route has traffic, in the current
// phase or not.
func (m *Move) anyRouteHasTraffic(now time.Time) bool {
	for _, e := range m.routes {
		if m.hasTraffic(e, now) {
			return true
		}
	}
	return false
}

// inPhase reports whether the next step depends on the route: on idempotent
// routes until all of their traffic has moved, then on non-idempotent ones, and
// on all routes during the watch phase.
func (m *Move) inPhase(e *routeEvidence, now time.Time) bool {
	if m.committed.State == move.StateWatching || m.onlyNonIdempotent(now) {
		return true
	}
	return e.idempotent == (m.committed.NonIdempotentShare == 0)
}

// hasTraffic reports whether the route has enough samples to be evaluated and
// is not idle.
func (m *Move) hasTraffic(e *routeEvidence, now time.Time) bool {
	return e.samples >= routeMinSamples && now.Sub(e.lastSeen) <= routeIdleTimeout
}

// hasRoute reports whether a route with the given idempotency has been seen.
func (m *Move) hasRoute(idempotent bool) bool {
	for _, e := range m.routes {
		if e.idempotent == idempotent {
			return true
		}
	}
	return false
}

// onlyNonIdempotent reports whether all traffic seen is non-idempotent. It is
// false until the time for route discovery has passed.
func (m *Move) onlyNonIdempotent(now time.Time) bool {
	if m.hasRoute(true) {
		return false
	}
	return m.hasRoute(false) && now.Sub(m.started) >= routeDiscoveryTime
}

// requiredSamples returns how many compared samples a route needs for the next
// step.
func (m *Move) requiredSamples(e *routeEvidence, now time.Time) int {
	canary := m.spec.CanaryShare
	if m.committed.State == move.StateWatching {
		return stepSamples
	}
	share := m.committed.NonIdempotentShare
	left := m.rampTime(now)
	if m.committed.Share < 1 {
		share = m.committed.Share
		if m.hasRoute(false) && !m.onlyNonIdempotent(now) {
			left /= 2
		}
	}
	return samplesForStep(stepWeight(share, canary), remainingWork(share, canary), e.rate.perSecond(now), left)
}

// raiseCeiling raises a reduced share by one step once the routes that caused
// the suspicion have enough new samples. After a fail-over, all routes must
// have them. The reduction ends when the ceiling has reached the committed
// share.
func (m *Move) raiseCeiling(now time.Time) {
	if !m.reduced {
		return
	}
	suspects := slices.ContainsFunc(m.sortedRoutes(), func(e *routeEvidence) bool { return e.suspect })
	neededSamples := recoverSamples << min(max(m.suspicions-1, 0), maxBackoffDoublings)
	for _, e := range m.routes {
		required := e.idempotent || m.committed.NonIdempotentShare > 0
		required = required && (e.suspect || !suspects)
		if required && m.hasTraffic(e, now) && e.comparedSinceCeiling < neededSamples {
			return
		}
	}
	for _, e := range m.routes {
		e.comparedSinceCeiling = 0
	}
	if m.ceiling >= m.committed.Share {
		m.reduced = false
		m.clearSuspects()
		return
	}
	m.ceiling = nextShare(m.ceiling, m.spec.CanaryShare)
}

func (m *Move) clearSuspects() {
	for _, e := range m.routes {
		e.suspect = false
	}
}

// sparseNote returns a note on the routes that had too little traffic to be
// evaluated.
func (m *Move) sparseNote(now time.Time) string {
	note := ""
	for _, e := range m.sortedRoutes() {
		if !m.hasTraffic(e, now) {
			note += fmt.Sprintf("; route %s had too little traffic to be judged", e.name)
		}
	}
	return note
}

func (m *Move) sortedRoutes() []*routeEvidence {
	es := make([]*routeEvidence, 0, len(m.routes))
	for _, e := range m.routes {
		es = append(es, e)
	}
	slices.SortFunc(es, func(a, b *routeEvidence) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return es
}
