package scheduler

import "time"

// Report implements Scheduler.
func (p *Pool) Report(r Report, now time.Duration) {
	e, known := p.entries[r.Ticket]
	if known && e.lapsed && e.ticket.Gateway == r.Gateway && e.engine.upstream.Name == r.Upstream {
		p.revive(e, r.Kind, now)
	}
	if known && e.holdsSlot() && e.ticket.Gateway == r.Gateway && e.engine.upstream.Name == r.Upstream {
		g := e.engine
		p.report(e, r, now)
		p.refresh(g, now)
	}
	p.step(now)
}

func (p *Pool) report(e *entry, r Report, now time.Duration) {
	switch r.Kind {
	case ReportDispatched:
		p.started(e, r, now)
	case ReportFirstToken:
		p.started(e, r, now)
		p.firstToken(e, r, now)
	case ReportEnded:
		e.engine.heardAt = now
		p.observeEnd(e, r, now)
		p.release(e, now)
		p.end(e, now)
	case ReportFailed:
		p.failed(e, now)
		p.release(e, now)
		p.end(e, now)
	case ReportUnsent:
		p.failed(e, now)
		p.unreachable(e, now)
		p.unsent(e, now, p.view.Shared == nil)
	case ReportRepeat:
		p.failed(e, now)
		p.unsent(e, now, true)
	case ReportRejected:
		p.unsent(e, now, true)
	case ReportMisdirected:
		e.engine.health.misdirected(e, now)
		p.unsent(e, now, true)
	case ReportDropped:
		p.dropped(e, now)
	case ReportUnknown:
		p.failed(e, now)
		p.orphan(e, now)
	case ReportOverdue:
		p.overdue(e, r, now)
		p.orphan(e, now)
	}
}

// overdue counts an answer that did not come by its deadline. That shows a slow
// upstream, not one that refuses work, so half of a version stays in rotation:
// with every process stopped for a moment the deadlines pass at all upstreams.
func (p *Pool) overdue(e *entry, r Report, now time.Duration) {
	g := e.engine
	if e.ticket.PromptTokens == 0 {
		g.limiter.observeOverdue(r.Elapsed, e.startedAt, now)
	}
	if g.health.failed(e, now) {
		p.ejectSlow(g, now)
	}
}

// revive counts a request again that was dispatched under a grant whose
// confirmation came after the grant had expired.
func (p *Pool) revive(e *entry, kind ReportKind, now time.Duration) {
	if e.state != stateEnded || kind == ReportUnsent || kind == ReportDropped {
		return
	}
	p.occupy(e, e.engine, now)
}

func (p *Pool) started(e *entry, r Report, now time.Duration) {
	if e.state == stateGranted {
		e.state = stateRunning
		e.startedAt = now - r.Elapsed
	}
}

func (p *Pool) firstToken(e *entry, r Report, now time.Duration) {
	if e.firstTokenAt != 0 {
		return
	}
	e.firstTokenAt = max(1, now)
	e.engine.heardAt = now
	e.engine.backlog.done(e.missed, now)
	if e.ticket.PromptTokens > 0 {
		missed := max(0, e.ticket.PromptTokens-r.CachedTokens)
		e.engine.cache.observeMatch(e.matched, e.cachedBlocks(r.CachedTokens+1))
		e.engine.speed.observeFirstToken(e.prefillAhead+float64(missed), r.Elapsed)
	}
	e.startedAt = now - r.Elapsed
}

// observeEnd learns from a whole answer. A plain service's answer counts as
// its first token.
func (p *Pool) observeEnd(e *entry, r Report, now time.Duration) {
	full := e.engine.used() >= e.engine.limit()
	if e.ticket.PromptTokens == 0 {
		e.engine.speed.observeFirstToken(0, r.Elapsed)
		e.engine.limiter.observeService(r.Elapsed, e.startedAt, now, full)
		p.answered(e, r.Elapsed, e.expectedFirst, now)
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
	p.answered(e, gap, expected, now)
	if e.engine.health.ejected {
		return
	}
	e.engine.speed.observePerToken(max(1, batch), gap)
	e.engine.limiter.observe(gap, e.engine.speed.perTokenBound(), e.startedAt, now, full)
}

// answered compares an answer's speed with what its upstream was expected to do.
func (p *Pool) answered(e *entry, actual, expected, now time.Duration) {
	slowness := 1.0
	if expected > 0 {
		slowness = float64(actual) / float64(expected)
	}
	g := e.engine
	if e.trial && slowness < trialFaster {
		g.speed.forget()
		p.speed.forget()
	}
	if g.health.answered(e, slowness, now) {
		g.limiter.restart(recoveredLimit)
		if slowness > slowProbe {
			g.speed.forget()
		}
	}
	if !g.health.ejected && g.health.slowness > slowToEject {
		p.ejectSlow(g, now)
	}
}

// unreachable ejects an upstream to which no connection can be made, where
// probes follow soon.
func (p *Pool) unreachable(e *entry, now time.Duration) {
	if p.view.Shared != nil {
		p.ejectSlow(e.engine, now)
	}
}

// unsent returns a ticket that may be sent again to the queue. Those that have
// reached an upstream are bounded by the retry budget.
func (p *Pool) unsent(e *entry, now time.Duration, budgeted bool) {
	p.release(e, now)
	p.shares.refund(e.shareKey(), e.version, e.generation)
	p.queueOf(e).charge(-e.tokens())
	e.ticket.Excluded = append(e.ticket.Excluded[:len(e.ticket.Excluded):len(e.ticket.Excluded)], e.engine.upstream.Name)
	e.retries++
	if e.retries > maxRetries || p.exhausted(e) || budgeted && !p.retries.take() {
		p.refuse(e, ReasonUnsent, now)
		return
	}
	p.enqueue(e)
}

// dropped ends a ticket whose gateway let it go. A request that was already
// sent may still run.
func (p *Pool) dropped(e *entry, now time.Duration) {
	if e.state == stateRunning {
		p.orphan(e, now)
		return
	}
	p.release(e, now)
	p.shares.refund(e.shareKey(), e.version, e.generation)
	p.queueOf(e).charge(-e.tokens())
	p.end(e, now)
}

// Load implements Scheduler.
func (p *Pool) Load(r LoadReport, now time.Duration) {
	if g, known := p.engines[r.Upstream]; known {
		p.load(g, r, now)
		p.refresh(g, now)
	}
	p.step(now)
}

func (p *Pool) load(g *engine, r LoadReport, now time.Duration) {
	at := now - r.Age
	g.observeLoad(r.Running, at)
	g.foreign.observe(r.Running, r.Age, now)
	if now < p.startedAt+takeoverWindow {
		for g.used() < r.Running {
			p.addOrphan(g, now, p.tempo.orphanBound)
		}
	}
	g.unready = len(r.Versions) > 0
	for _, version := range r.Versions {
		if version == g.upstream.Version {
			g.unready = false
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
