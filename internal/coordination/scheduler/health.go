package scheduler

import "time"

const (
	// failuresToEject is the number of failures in a row that ejects an upstream.
	failuresToEject = 3
	// failurePart is the part of recent outcomes that does so as well.
	failurePart = 0.5
	// outcomeWeight is the weight of the latest outcome or slowness.
	outcomeWeight = 0.2
	// slowToEject is the slowness, against its own learned speed, that ejects.
	slowToEject = 3.0
	// slowProbe is the slowness up to which a probe counts as passed.
	slowProbe = 2.0
	// silentBase and silentStretch bound the time to an expected answer.
	silentBase    = 2 * time.Second
	silentStretch = 4.0
	// probeFirst and probeMax bound the time between probes, which doubles.
	probeFirst = time.Second
	probeMax   = 30 * time.Second
	// probeTokens bounds the prompt of a probe.
	probeTokens = 2000
	// probeOverdue is how long a probe waits for a request of the lowest tier,
	// probeAny for one that suits it at all.
	probeOverdue = 5 * time.Second
	probeAny     = 15 * time.Second
	// probesToAccept is the number of slow answers to probes in a row after
	// which the slowness is taken as the upstream's own speed.
	probesToAccept = 8
	// recoveredLimit is where the limit starts again after a passed probe.
	recoveredLimit = 2
)

// health tells whether an upstream is in rotation. An ejected one gets single
// requests as probes; the first that passes returns it, with a small limit.
type health struct {
	tempo   *tempo
	ejected bool
	since   time.Duration
	probeAt time.Duration
	// soonest is when the next probe may start if nothing else can serve.
	soonest  time.Duration
	backoff  time.Duration
	probe    *entry
	failures int
	failing  float64
	// slowProbes counts the probes in a row that were answered slowly.
	slowProbes int
	slowness   float64
}

func newHealth(t *tempo) health {
	return health{tempo: t, slowness: 1}
}

// nextProbe is when the next probe may start. An upstream in whose place no
// other can serve is probed at short intervals.
func (h *health) nextProbe(alone bool) time.Duration {
	if alone {
		return h.soonest
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
	h.backoff = h.tempo.probeFirst
	h.probeAt = now + h.backoff
	h.soonest = h.probeAt
	h.probe = nil
}

// failed counts a request that the upstream failed or did not get. It returns
// true if the upstream is to be ejected.
func (h *health) failed(e *entry, now time.Duration) bool {
	h.failures++
	h.failing += outcomeWeight * (1 - h.failing)
	if h.probe == e {
		h.probeFailed(now)
	}
	return h.failures >= h.tempo.failuresToEject || h.failing >= h.tempo.failurePart
}

// failed counts a request that its upstream failed or did not get, and ejects
// the upstream if that happens too often. Where others may stand beside this
// scheduler, half of a version stays in rotation: a fault that hits most
// upstreams is better borne than served by a few.
func (p *Pool) failed(e *entry, now time.Duration) {
	g := e.engine
	switch {
	case !g.health.failed(e, now):
	case p.view.Shared != nil:
		p.ejectSlow(g, now)
	default:
		g.health.eject(now)
	}
}

// misdirected notes that another upstream answers at the address: nothing will be
// served there until the upstreams are listed anew.
func (h *health) misdirected(e *entry, now time.Duration) {
	if h.probe == e {
		h.probeFailed(now)
		return
	}
	h.eject(now)
}

func (h *health) probeFailed(now time.Duration) {
	h.probe = nil
	h.backoff = min(h.tempo.probeMax, 2*h.backoff)
	h.probeAt = now + h.backoff
	h.soonest = now + h.tempo.probeFirst
}

// answered counts an answer that took the given multiple of what was expected.
// It returns true if that returns the upstream to rotation.
func (h *health) answered(e *entry, slowness float64, now time.Duration) bool {
	h.failures = 0
	h.failing -= outcomeWeight * h.failing
	if h.ejected {
		return h.probed(e, slowness, now)
	}
	h.slowness += outcomeWeight * (min(slowness, 2*slowToEject) - h.slowness)
	return false
}

func (h *health) probed(e *entry, slowness float64, now time.Duration) bool {
	if h.probe != e {
		return false
	}
	if slowness > slowProbe {
		h.slowProbes++
		if h.slowProbes < probesToAccept {
			h.probeFailed(now)
			return false
		}
	}
	*h = newHealth(h.tempo)
	return true
}

// released forgets a probe that ended without an outcome.
func (h *health) released(e *entry) {
	if h.probe == e {
		h.probe = nil
	}
}

// silent tells whether a running request should have shown a sign of life.
// Without an expectation it can't be told.
func (e *entry) silent(base, now time.Duration) bool {
	if e.state != stateRunning {
		return false
	}
	if e.engine.declared && e.firstTokenAt != 0 {
		// Lengths of answers are far too uncertain to tell silence by them; the
		// gateway sees the pauses of a stream itself.
		return false
	}
	since, expected := e.startedAt, e.expectedFirst
	if e.firstTokenAt != 0 {
		since, expected = e.firstTokenAt, e.longest
	}
	return expected > 0 && now-since > base+scaleBy(expected, silentStretch)
}

// checkUpstreams ejects the upstreams that hold requests without a sign of
// life, and notes the own counts.
func (p *Pool) checkUpstreams(now time.Duration) {
	for _, g := range p.order {
		g.foreign.remember(g.used(), now)
		for e := range g.running {
			if !e.silent(p.tempo.silentBase, now) || g.declared && g.heardAt > e.startedAt {
				// Where others were served meanwhile, one answer was lost.
				continue
			}
			if g.health.probe == e {
				g.health.probeFailed(now)
			}
			p.ejectSlow(g, now)
			break
		}
	}
}

// ejectSlow takes a slow upstream out of rotation unless half of its version
// is out already: then the load or the estimate is at fault.
func (p *Pool) ejectSlow(g *engine, now time.Duration) {
	all, out := 0, 0
	for _, other := range p.order {
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
	due := h.ejected && h.probe == nil && now >= h.nextProbe(p.alone())
	return due && g.open() && g.used() < g.upstream.MaxConcurrent
}

// alone tells whether no upstream is in rotation, so that only probes can
// serve.
func (p *Pool) alone() bool { return p.slots == 0 }

// canPlace tells whether any upstream may take a ticket.
func (p *Pool) canPlace(now time.Duration) bool {
	if !p.hasRoom() {
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

// sharedProbeOverdue is how long a probe of a scheduler that others may stand
// beside waits for a request of the lowest tier at work.
const sharedProbeOverdue = 500 * time.Millisecond

// suitsProbe tells whether a ticket may be a probe that has been due for a
// while: any if no upstream is in rotation; else at first only short idempotent ones of the lowest tier at work, then
// of any tier but the highest, at last any ticket.
func (p *Pool) suitsProbe(e *entry, waited, now time.Duration) bool {
	if p.view.Shared != nil {
		return p.isLowest(p.tierOf(e), now) || waited >= sharedProbeOverdue || p.alone()
	}
	if waited >= probeAny || p.alone() {
		return true
	}
	if !e.ticket.Idempotent || e.ticket.PromptTokens > probeTokens {
		return false
	}
	tier := p.tierOf(e)
	return p.isLowest(tier, now) || waited >= probeOverdue && tier != p.tiers[0]
}

// probeEngine returns an ejected upstream that the ticket may probe, or nil.
func (p *Pool) probeEngine(e *entry, now time.Duration) *engine {
	for _, g := range p.ejected {
		if !p.probeDue(g, now) || e.excludes(g.upstream.Name) {
			continue
		}
		waited := now - g.health.probeAt
		if p.suitsProbe(e, waited, now) && p.shares.allows(e.shareKey(), g.upstream.Version) {
			return g
		}
	}
	return nil
}
