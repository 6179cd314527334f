package scheduler

import (
	"cmp"
	"time"
)

// Report implements Scheduler.
func (p *Pool) Report(r Report, now time.Duration) {
	if r.Kind == ReportNotice {
		p.recordNotice(r, now)
		p.step(now)
		return
	}
	e, known := p.entries[r.Ticket]
	if known && e.lapsed && e.ticket.Gateway == r.Gateway && e.engine.upstream.Name == r.Upstream {
		p.revive(e, r.Kind, now)
	}
	if known && e.holdsSlot() && e.ticket.Gateway == r.Gateway && e.engine.upstream.Name == r.Upstream {
		g := e.engine
		p.applyReport(e, r, now)
		p.refresh(g, now)
	}
	p.step(now)
}

func (p *Pool) applyReport(e *entry, r Report, now time.Duration) {
	at := now - max(0, r.Age)
	if r.Kind != ReportDispatched && r.Kind != ReportFirstToken {
		p.observeAnswer(e, r, now)
	}
	switch r.Kind {
	case ReportFirstToken, ReportEnded, ReportFailed, ReportRejected:
		e.engine.recordContact(cmp.Or(r.Via, r.Gateway), at)
	}
	p.observeColdReport(e.engine, r, at, now)
	switch r.Kind {
	case ReportDispatched:
		p.recordStart(e, r, at)
	case ReportFirstToken:
		p.recordStart(e, r, at)
		p.recordFirstToken(e, r, at, now)
	case ReportEnded:
		e.engine.recordResponse(now-r.Elapsed, now)
		p.retractEnd(e, r.ConnAge)
		p.observeEnd(e, r, now)
		p.release(e, now)
		p.end(e, now)
	case ReportFailed:
		p.recordFailure(e, r, now)
		p.release(e, now)
		p.end(e, now)
	case ReportUnsent:
		e.engine.refundToken()
		p.recordFailure(e, r, now)
		p.ejectUnreachable(e, r, now)
		p.recordUnreachable(r.Upstream, now)
		p.uncountRetry(e)
		p.refundShare(e)
		p.requeue(e, now, p.view.Shared == nil)
	case ReportRetryable:
		p.keepCounted(e)
		p.recordFailure(e, r, now)
		if r.Broken == Abandoned && e.engine.brittle != nil {
			p.addOrphan(e.engine, now, brittleOrphanTimeout(e))
		}
		p.requeue(e, now, true)
	case ReportRejected:
		p.keepCounted(e)
		g := e.engine
		// What bounds the upstream must be known before the ticket is placed again.
		inFlight := g.used() - 1
		p.recordRejection(e, g, inFlight, now)
		p.requeue(e, now, true)
		p.turnedAway(g, g.used(), now)
	case ReportMisdirected:
		p.keepCounted(e)
		refundColdToken(e)
		e.engine.health.recordMisdirected(e, now)
		p.refundShare(e)
		p.requeue(e, now, true)
	case ReportDropped:
		p.recordDropped(e, now)
	case ReportUnknown:
		p.recordFailure(e, r, now)
		p.orphan(e, now)
	case ReportOverdue:
		p.recordOverdue(e, r, now)
		p.orphan(e, now)
	}
}

// recordOverdue counts an answer that did not arrive by its deadline. That
// indicates a slow upstream rather than one that refuses work, so half of a
// version stays in rotation: when every process pauses for a moment, deadlines
// pass at all upstreams.
func (p *Pool) recordOverdue(e *entry, r Report, now time.Duration) {
	g := e.engine
	if e.ticket.PromptTokens == 0 {
		g.limiter.observeOverdue(r.Elapsed, e.startedAt, now)
	}
	if !r.PathSuspect && g.health.recordFailure(e, now) {
		p.ejectUnlessHalfOut(g, now)
	}
}

// revive counts a request again that was dispatched under a grant but confirmed
// only after the grant had expired.
func (p *Pool) revive(e *entry, kind ReportKind, now time.Duration) {
	if e.state != stateEnded || kind == ReportUnsent || kind == ReportDropped {
		return
	}
	p.occupy(e, e.engine, now)
}

func (p *Pool) recordStart(e *entry, r Report, at time.Duration) {
	if e.state == stateGranted {
		e.state = stateRunning
		e.startedAt = at - r.Elapsed
	}
}

// recordFirstToken records a first token that came at the given time.
func (p *Pool) recordFirstToken(e *entry, r Report, at, now time.Duration) {
	if e.firstTokenAt != 0 {
		return
	}
	e.firstTokenAt = max(1, at)
	p.retractEnd(e, r.ConnAge)
	e.engine.recordResponse(at-r.Elapsed, at)
	e.engine.backlog.done(e.uncachedTokens, now)
	if e.ticket.PromptTokens > 0 {
		missed := max(0, e.ticket.PromptTokens-r.CachedTokens)
		e.engine.cache.observeMatch(e.matchedBlocks, e.cachedBlocks(r.CachedTokens+1))
		e.engine.speed.observeFirstToken(e.prefillAhead+float64(missed), r.Elapsed, now)
	}
	e.startedAt = at - r.Elapsed
}

// observeEnd learns from a complete answer. A plain service's answer counts as
// its first token.
func (p *Pool) observeEnd(e *entry, r Report, now time.Duration) {
	full := e.engine.used() >= e.engine.limit()
	if e.ticket.PromptTokens == 0 {
		e.engine.speed.observeFirstToken(0, r.Elapsed, now)
		e.engine.limiter.observeService(r.Elapsed, e.startedAt, now, full)
		actual := r.Elapsed
		if e.wasPaused(r.Elapsed, now) {
			actual = e.expectedFirstToken
		}
		p.recordSpeed(e, actual, e.expectedFirstToken, now)
		return
	}
	p.outputs.observe(e.ticket.Route, e.ticket.OutputTokens, r.OutputTokens)
	first := e.firstTokenAt - e.startedAt
	if e.firstTokenAt == 0 || r.OutputTokens < 2 || r.Elapsed <= first {
		return
	}
	gap := (r.Elapsed - first) / time.Duration(r.OutputTokens-1)
	batch := (e.batchAtStart + e.engine.used()) / 2
	expected := e.engine.speed.perToken(max(1, batch))
	p.recordSpeed(e, gap, expected, now)
	if e.engine.health.ejected {
		return
	}
	e.engine.speed.observePerToken(max(1, batch), gap)
	e.engine.limiter.observe(gap, e.engine.speed.perTokenBound(), e.startedAt, now, full)
}

// wasPaused reports whether a complete answer says nothing about its upstream's speed,
// because the request was sent before the end of a pause. A probe or trial must be fast as
// a whole.
func (e *entry) wasPaused(elapsed, now time.Duration) bool {
	return !e.trial && !e.engine.health.ejected && now-elapsed < e.engine.health.pauseEnd
}

// recordSpeed updates the upstream's health from the actual and the expected time
// of an answer.
func (p *Pool) recordSpeed(e *entry, actual, expected, now time.Duration) {
	slowness := 1.0
	if expected > 0 {
		slowness = float64(actual) / float64(expected)
	}
	if e.cold {
		// It was expected to be slow, which says nothing about its health.
		slowness = min(1, slowness)
	}
	g := e.engine
	if e.trial && slowness < trialFastRatio {
		g.speed.forget()
		p.speed.forget()
	}
	if g.health.recordAnswer(e, slowness, now) {
		g.limiter.restart(recoveredLimit)
		if slowness > maxProbeSlowness {
			g.speed.forget()
		}
	}
	if !g.health.ejected && g.health.slowness > ejectSlowness {
		p.ejectUnlessHalfOut(g, now)
	}
}

// ejectUnreachable ejects an upstream that accepts no connections. Only a shared
// scheduler does so, since its probes follow soon.
func (p *Pool) ejectUnreachable(e *entry, r Report, now time.Duration) {
	if p.view.Shared != nil && !r.PathSuspect {
		p.ejectUnlessHalfOut(e.engine, now)
	}
}

// requeue returns a ticket that may be sent again to the queue, or refuses it if
// no retry is left. A budgeted retry, such as that of a request which has reached
// an upstream, uses up the retry budget.
func (p *Pool) requeue(e *entry, now time.Duration, budgeted bool) {
	p.release(e, now)
	p.queueOf(e).charge(-e.tokenCost())
	e.ticket.Excluded = append(e.ticket.Excluded[:len(e.ticket.Excluded):len(e.ticket.Excluded)], e.engine.upstream.Name)
	e.retries++
	e.admitted = true
	if reason := p.refusedReason(e); reason != "" {
		p.refuse(e, reason, now)
		return
	}
	if e.retries > maxRetries || p.exhausted(e) {
		p.refuse(e, ReasonUnsent, now)
		return
	}
	if budgeted && e.retry != retryReserved && !p.reserveRetry(e, now) {
		return
	}
	p.enqueue(e)
}

// refundShare takes a request that did not reach its version off what that version got. One that
// the version failed or rejected counts.
func (p *Pool) refundShare(e *entry) {
	p.shares.refund(e.shareKey(), e.version, e.shareGeneration)
}

// recordDropped ends a ticket that its gateway dropped. A request that was
// already sent may still run.
func (p *Pool) recordDropped(e *entry, now time.Duration) {
	if e.state == stateRunning {
		p.orphan(e, now)
		return
	}
	e.engine.refundToken()
	refundColdToken(e)
	p.uncountGrant(e)
	p.release(e, now)
	p.refundShare(e)
	p.queueOf(e).charge(-e.tokenCost())
	p.end(e, now)
}

// Load implements Scheduler.
func (p *Pool) Load(r LoadReport, now time.Duration) {
	if g, known := p.engines[r.Upstream]; known {
		p.applyLoad(g, r, now)
		p.refresh(g, now)
	}
	p.step(now)
}

func (p *Pool) applyLoad(g *engine, r LoadReport, now time.Duration) {
	at := now - r.Age
	g.observeLoad(r.Running, at)
	g.external.observe(r.Running, r.Age, now)
	if now < p.startedAt+takeoverWindow {
		for g.used() < r.Running {
			p.addOrphan(g, now, p.tuning.orphanTimeout)
		}
	}
	g.versionNotLoaded = len(r.Versions) > 0
	for _, version := range r.Versions {
		if version == g.upstream.Version {
			g.versionNotLoaded = false
		}
	}
}

// Cache implements Scheduler.
func (p *Pool) Cache(c CacheEvent, now time.Duration) {
	if g, known := p.engines[c.Upstream]; known {
		g.cache.observe(c, now)
	}
	p.step(now)
}
