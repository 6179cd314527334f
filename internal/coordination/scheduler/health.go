package scheduler

import "time"

const (
	// failuresToEject is the number of failures in a row that ejects an upstream.
	failuresToEject = 3
	// failureRatio is the part of recent outcomes that does so as well.
	failureRatio = 0.5
	// outcomeWeight is the weight of the latest outcome or slowness.
	outcomeWeight = 0.2
	// ejectSlowness is the slowness, against its own learned speed, that ejects.
	ejectSlowness = 3.0
	// maxProbeSlowness is the slowness up to which a probe counts as passed.
	maxProbeSlowness = 2.0
	// minSilence and silentStretch bound the time to an expected answer.
	minSilence    = 2 * time.Second
	silenceFactor = 4.0
	// probeMinInterval and probeMax bound the time between probes, which doubles.
	probeMinInterval = time.Second
	probeMaxInterval = 30 * time.Second
	// maxProbePrompt bounds the prompt of a probe.
	maxProbePrompt = 2000
	// probeLowestTierWait is how long a probe waits for a request of the lowest tier,
	// probeAny for one that suits it at all.
	probeLowestTierWait = 5 * time.Second
	probeSuitableWait   = 15 * time.Second
	// slowProbesToAccept is the number of slow answers to probes in a row after
	// which the slowness is taken as the upstream's own speed.
	slowProbesToAccept = 8
	// recoveredLimit is where the limit starts again after a passed probe.
	recoveredLimit = 2
)

// health tells whether an upstream is in rotation. An ejected one gets single
// requests as probes; the first that passes returns it, with a small limit.
type health struct {
	tuning  *tuning
	ejected bool
	since   time.Duration
	probeAt time.Duration
	// earliestProbeAt is when the next probe may start if nothing else can serve.
	earliestProbeAt time.Duration
	backoff         time.Duration
	probe           *entry
	failures        int
	failureRate     float64
	// slowProbes counts the probes in a row that were answered slowly.
	slowProbes int
	slowness   float64
}

func newHealth(t *tuning) health {
	return health{tuning: t, slowness: 1}
}

// nextProbe is when the next probe may start. An upstream in whose place no
// other can serve is probed at short intervals.
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
	h.since = now
	h.backoff = h.tuning.probeMinInterval
	h.probeAt = now + h.backoff
	h.earliestProbeAt = h.probeAt
	h.probe = nil
}

// recordFailure counts a request that the upstream recordFailure or did not get. It returns
// true if the upstream is to be ejected.
func (h *health) recordFailure(e *entry, now time.Duration) bool {
	h.failures++
	h.failureRate += outcomeWeight * (1 - h.failureRate)
	if h.probe == e {
		h.probeFailed(now)
	}
	return h.failures >= h.tuning.failuresToEject || h.failureRate >= h.tuning.failureRatio
}

// recordFailure counts a request that its upstream recordFailure or did not get, and ejects
// the upstream if that happens too often. Where others may stand beside this
// scheduler, half of a version stays in rotation: a fault that hits most
// upstreams is better borne than served by a few.
func (p *Pool) recordFailure(e *entry, now time.Duration) {
	g := e.engine
	switch {
	case !g.health.recordFailure(e, now):
	case p.view.Shared != nil:
		p.ejectUnlessHalfOut(g, now)
	default:
		g.health.eject(now)
	}
}

// recordMisdirected notes that another upstream answers at the address: nothing will be
// served there until the upstreams are listed anew.
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

// recordAnswer counts an answer that took the given multiple of what was expected.
// It returns true if that returns the upstream to rotation.
func (h *health) recordAnswer(e *entry, slowness float64, now time.Duration) bool {
	h.failures = 0
	h.failureRate -= outcomeWeight * h.failureRate
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

// isSilent tells whether a running request should have shown a sign of life.
// Without an expectation it can't be told.
func (e *entry) isSilent(minimum, now time.Duration) bool {
	if e.state != stateRunning {
		return false
	}
	if e.engine.limitTrusted && e.firstTokenAt != 0 {
		// Lengths of answers are far too uncertain to tell silence by them; the
		// gateway sees the pauses of a stream itself.
		return false
	}
	since, expected := e.startedAt, e.expectedFirstToken
	if e.firstTokenAt != 0 {
		since, expected = e.firstTokenAt, e.longest
	}
	return expected > 0 && now-since > minimum+scaleBy(expected, silenceFactor)
}

// checkUpstreams ejects the upstreams that hold requests without a sign of
// life, and notes the own counts.
func (p *Pool) checkUpstreams(now time.Duration) {
	for _, g := range p.orderedEngines {
		g.external.record(g.used(), now)
		for e := range g.running {
			if !e.isSilent(p.tuning.minSilence, now) || g.limitTrusted && g.lastResponseAt > e.startedAt {
				// Where others were served meanwhile, one answer was lost.
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

// ejectUnlessHalfOut takes a slow upstream out of rotation unless half of its version
// is out already: then the load or the estimate is at fault.
func (p *Pool) ejectUnlessHalfOut(g *engine, now time.Duration) {
	all, out := 0, 0
	for _, other := range p.orderedEngines {
		if other.upstream.Version != g.upstream.Version || !other.listed {
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

// probeDue tells whether an ejected upstream may get its next probe.
func (p *Pool) probeDue(g *engine, now time.Duration) bool {
	h := &g.health
	due := h.ejected && h.probe == nil && now >= h.nextProbe(p.noneInRotation())
	return due && g.acceptsWork() && g.used() < g.upstream.MaxConcurrent
}

// noneInRotation tells whether no upstream is in rotation, so that only probes can
// serve.
func (p *Pool) noneInRotation() bool { return p.slots == 0 }

// canPlace tells whether any upstream may take a ticket.
func (p *Pool) canPlace(now time.Duration) bool {
	if !p.hasCapacity() {
		return false
	}
	if p.readyEngines > 0 {
		return true
	}
	for _, g := range p.ejected {
		if p.probeDue(g, now) {
			return true
		}
	}
	return false
}

// sharedProbeLowestTierWait is how long a probe of a scheduler that others may stand
// beside waits for a request of the lowest tier at work.
const sharedProbeLowestTierWait = 500 * time.Millisecond

// suitableAsProbe tells whether a ticket may be a probe that has been due for a
// while: any if no upstream is in rotation; else at first only short idempotent ones of the lowest tier at work, then
// of any tier but the highest, at last any ticket.
func (p *Pool) suitableAsProbe(e *entry, waited, now time.Duration) bool {
	if p.view.Shared != nil {
		return p.isLowestActive(p.tierOf(e), now) || waited >= sharedProbeLowestTierWait || p.noneInRotation()
	}
	if waited >= probeSuitableWait || p.noneInRotation() {
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
	for _, g := range p.ejected {
		if !p.probeDue(g, now) || e.excludes(g.upstream.Name) {
			continue
		}
		waited := now - g.health.probeAt
		if p.suitableAsProbe(e, waited, now) && p.shares.allows(e.shareKey(), g.upstream.Version) {
			return g
		}
	}
	return nil
}
