package scheduler

import "time"

const (
	// failuresToEject is the number of consecutive failures at which an upstream
	// is ejected.
	failuresToEject = 3
	// failureRatio is the ratio of failures among recent requests at which it is
	// ejected too.
	failureRatio = 0.5
	// outcomeWeight is the weight of the latest sample in the averages of
	// failures and slowness.
	outcomeWeight = 0.2
	// ejectSlowness is the slowness above which an upstream is ejected, as a
	// multiple of the time expected from its own learned speed.
	ejectSlowness = 3.0
	// maxProbeSlowness is the slowness up to which a probe passes.
	maxProbeSlowness = 2.0
	// minSilence and silenceFactor set when a request counts as silent: after
	// minSilence plus silenceFactor times the time expected to its next sign of
	// life.
	minSilence    = 2 * time.Second
	silenceFactor = 4.0
	// probeMinInterval and probeMaxInterval bound the time between probes, which
	// doubles with each failed probe.
	probeMinInterval = time.Second
	probeMaxInterval = 30 * time.Second
	// maxProbePrompt bounds the prompt of a probe, in tokens.
	maxProbePrompt = 2000
	// probeLowestTierWait is how long a due probe waits for a request of the
	// lowest active tier. probeSuitableWait is how long it waits for a request
	// that is idempotent and has a short prompt; after that it takes any request.
	probeLowestTierWait = 5 * time.Second
	probeSuitableWait   = 15 * time.Second
	// slowProbesToAccept is the number of consecutive slow probes after which the
	// slowness is accepted as the upstream's normal speed.
	slowProbesToAccept = 8
	// recoveredLimit is the concurrency limit after a passed probe.
	recoveredLimit = 2
	// failureFading is the time in which the failure rate of an upstream without requests
	// fades, as a multiple of that in which its samples do.
	failureFading = 3
)

// health tracks whether an upstream is in rotation. An ejected upstream gets
// single requests as probes; the first that passes returns it to rotation with a
// small limit.
type health struct {
	tuning  *tuning
	ejected bool
	probeAt time.Duration
	// earliestProbeAt is when the next probe may start if no upstream is in
	// rotation.
	earliestProbeAt time.Duration
	backoff         time.Duration
	probe           *entry
	failures        int
	// failureRate is the part of the latest requests that failed, and outcome when the
	// latest of them ended.
	failureRate float64
	outcome     sampleTime
	// slowProbes counts consecutive probes that were answered slowly.
	slowProbes int
	slowness   float64
	// pauseEnd is when the upstream went on after the latest pause, in which it answered
	// nothing: several slow answers from then tell of one pause.
	pauseEnd time.Duration
}

const (
	// minPause is the shortest time without an answer that counts as a pause, and
	// minPauseInterval the shortest from the end of one to the begin of the next: an
	// upstream that pauses more often is slow.
	minPause         = 200 * time.Millisecond
	minPauseInterval = 500 * time.Millisecond
)

// observeResponse records an answer after a time in which one was awaited but none came.
func (h *health) observeResponse(awaitedSince, now time.Duration) {
	if now-awaitedSince >= minPause && awaitedSince-h.pauseEnd >= minPauseInterval {
		h.pauseEnd = now
	}
}

func newHealth(t *tuning) health {
	return health{tuning: t, slowness: 1}
}

// nextProbe returns when the next probe may start. While no upstream is in
// rotation, probes follow at short intervals.
func (h *health) nextProbe(noneInRotation bool) time.Duration {
	if noneInRotation {
		return h.earliestProbeAt
	}
	return h.probeAt
}

// eject takes the upstream out of rotation.
func (h *health) eject(now time.Duration) {
	if h.ejected {
		return
	}
	h.ejected = true
	h.backoff = h.tuning.probeMinInterval
	h.probeAt = now + h.backoff
	h.earliestProbeAt = h.probeAt
	h.probe = nil
}

// currentFailureRate returns the failure rate, which fades while the upstream gets no
// requests, more slowly than its samples do: a failure costs more than a slow answer.
func (h *health) currentFailureRate(s *speed, now time.Duration) float64 {
	if h.failureRate == 0 || s.pool == nil {
		return h.failureRate
	}
	return h.failureRate * max(0, 1-s.staleness(h.outcome, now)/failureFading)
}

// recordFailure counts a request that the upstream failed or did not receive. It
// reports whether the upstream should be ejected.
func (h *health) recordFailure(e *entry, now time.Duration) bool {
	h.failures++
	h.failureRate = h.currentFailureRate(&e.engine.speed, now)
	h.failureRate += outcomeWeight * (1 - h.failureRate)
	h.outcome = e.engine.speed.sampleTime(now)
	if h.probe == e {
		h.probeFailed(now)
	}
	return h.failures >= h.tuning.failuresToEject || h.failureRate >= h.tuning.failureRatio
}

// recordFailure counts a request that its upstream failed or did not receive, and
// ejects the upstream after too many failures. A shared scheduler keeps half of a
// version in rotation: if a fault hits most upstreams, spreading the requests
// over all of them does less harm than loading the few that remain. A failure that the
// gateway's own path may have caused is no evidence against the upstream.
func (p *Pool) recordFailure(e *entry, r Report, now time.Duration) {
	g := e.engine
	switch {
	case r.PathSuspect:
	case !g.health.recordFailure(e, now):
	case p.view.Shared != nil:
		p.ejectUnlessHalfOut(g, now)
	default:
		g.health.eject(now)
	}
}

// recordMisdirected ejects an upstream at whose address another upstream answers.
// The address is of no use until the upstreams are listed again.
func (h *health) recordMisdirected(e *entry, now time.Duration) {
	if h.probe == e {
		h.probeFailed(now)
		return
	}
	h.eject(now)
}

func (h *health) probeFailed(now time.Duration) {
	h.probe = nil
	h.backoff = min(h.tuning.probeMaxInterval, 2*h.backoff)
	h.probeAt = now + h.backoff
	h.earliestProbeAt = now + h.tuning.probeMinInterval
}

// recordAnswer counts an answer. slowness is the ratio of its actual to its
// expected time. It reports whether the answer returned the upstream to rotation.
func (h *health) recordAnswer(e *entry, slowness float64, now time.Duration) bool {
	h.failures = 0
	h.failureRate = (1 - outcomeWeight) * h.currentFailureRate(&e.engine.speed, now)
	h.outcome = e.engine.speed.sampleTime(now)
	if h.ejected {
		return h.recordProbe(e, slowness, now)
	}
	h.slowness += outcomeWeight * (min(slowness, 2*ejectSlowness) - h.slowness)
	return false
}

func (h *health) recordProbe(e *entry, slowness float64, now time.Duration) bool {
	if h.probe != e {
		return false
	}
	if slowness > maxProbeSlowness {
		h.slowProbes++
		if h.slowProbes < slowProbesToAccept {
			h.probeFailed(now)
			return false
		}
	}
	*h = newHealth(h.tuning)
	return true
}

// clearProbe forgets a probe that ended without an outcome.
func (h *health) clearProbe(e *entry) {
	if h.probe == e {
		h.probe = nil
	}
}

// isSilent reports whether a running request should have shown a sign of life by
// now. It is false if no time is expected for that.
func (e *entry) isSilent(minimum, now time.Duration) bool {
	if e.state != stateRunning {
		return false
	}
	if e.engine.limitTrusted && e.firstTokenAt != 0 {
		// The lengths of answers vary too much to detect silence from the total
		// time. The gateway itself detects pauses in a stream.
		return false
	}
	since, expected := e.startedAt, e.expectedFirstToken
	if e.firstTokenAt != 0 {
		since, expected = e.firstTokenAt, e.longest
	}
	return expected > 0 && now-since > minimum+scaleBy(expected, silenceFactor)
}

// checkUpstreams ejects upstreams that hold silent requests, and records the own
// counts for the estimates of external load.
func (p *Pool) checkUpstreams(now time.Duration) {
	p.dropUnlistedLimits(now)
	p.dropCold(now)
	p.checkBrittle(now)
	p.checkRejections(now)
	p.dropPauses(now)
	p.dropLeaving(now)
	for _, g := range p.orderedEngines {
		g.external.record(g.used(), now)
		for e := range g.running {
			if !e.isSilent(p.tuning.minSilence, now) || g.limitTrusted && g.lastResponseAt > e.startedAt {
				// The upstream has answered since, so only this answer was lost.
				continue
			}
			if g.health.probe == e {
				g.health.probeFailed(now)
			}
			p.ejectUnlessHalfOut(g, now)
			break
		}
	}
}

// ejectUnlessHalfOut ejects an upstream unless half of its version is out of
// rotation already: then the load or the estimate is at fault rather than the
// upstream. Evacuated upstreams don't count beside one that isn't: they take none of the
// load.
func (p *Pool) ejectUnlessHalfOut(g *engine, now time.Duration) {
	all, out := 0, 0
	for _, other := range p.orderedEngines {
		if other.upstream.Version != g.upstream.Version || !other.listed || other.upstream.Evacuated && !g.upstream.Evacuated {
			continue
		}
		all++
		if other.health.ejected {
			out++
		}
	}
	if 2*(out+1) <= all {
		g.health.eject(now)
		p.refresh(g, now)
	}
}

// probeDue reports whether an ejected upstream may get its next probe. Urgent is true if only
// probes can be served.
func (p *Pool) probeDue(g *engine, urgent bool, now time.Duration) bool {
	h := &g.health
	due := h.ejected && h.probe == nil && now >= h.nextProbe(urgent)
	return due && !g.isHeld(now) && g.acceptsWork() && g.used() < g.upstream.MaxConcurrent && p.refreshRate(g, now)
}

// noneInRotation reports whether no upstream is in rotation, so that only probes
// can be served.
func (p *Pool) noneInRotation() bool { return p.slots == 0 }

// canPlace reports whether any upstream may take a ticket.
func (p *Pool) canPlace(now time.Duration) bool {
	if !p.hasCapacity() {
		return false
	}
	if p.readyEngines > 0 {
		return true
	}
	for _, g := range p.ejected {
		if p.probeDue(g, p.noneInRotation() || p.hasRegionalWork(), now) {
			return true
		}
	}
	return false
}

// sharedProbeLowestTierWait is how long a due probe of a shared scheduler waits
// for a request of the lowest active tier.
const sharedProbeLowestTierWait = 500 * time.Millisecond

// suitableAsProbe reports whether a ticket may be used as a probe that has been
// due for the given time. While no upstream is in rotation, any ticket may.
// Otherwise only short idempotent requests of the lowest active tier may at
// first, then those of any tier but the highest, and finally any request. A
// shared scheduler only waits for a request of the lowest active tier, then takes
// any.
func (p *Pool) suitableAsProbe(e *entry, waited, now time.Duration) bool {
	if p.view.Shared != nil {
		return p.isLowestActive(p.tierOf(e), now) || waited >= sharedProbeLowestTierWait || p.noneInRotationFor(e)
	}
	if waited >= probeSuitableWait || p.noneInRotationFor(e) {
		return true
	}
	if !e.ticket.Idempotent || e.ticket.PromptTokens > maxProbePrompt {
		return false
	}
	tier := p.tierOf(e)
	return p.isLowestActive(tier, now) || waited >= probeLowestTierWait && tier != p.tiers[0]
}

// probeEngine returns an ejected upstream that the ticket may probe, or nil.
func (p *Pool) probeEngine(e *entry, now time.Duration) *engine {
	if len(p.ejected) == 0 {
		return nil
	}
	urgent := p.noneInRotationFor(e)
	for _, g := range p.ejected {
		if !p.probeDue(g, urgent, now) || !e.mayUse(g) || g.isPausedFor(e.ticket.Gateway, now) {
			continue
		}
		waited := now - g.health.probeAt
		if p.suitableAsProbe(e, waited, now) && p.shares.allows(e.shareKey(), g.upstream.Version) {
			return g
		}
	}
	return nil
}
