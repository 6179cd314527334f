package scheduler

import "time"

func (e *entry) shareKey() shareKey {
	return shareKey{route: e.ticket.Route, idempotent: e.ticket.Idempotent}
}

// matchWindow is the number of tickets of a tier among which the best match for a
// free slot is chosen.
const matchWindow = 4

// minMatchSlack is the slack below which a ticket takes the first slot it can
// get.
const minMatchSlack = 5 * time.Second

// place grants slots in strict tier order while any ticket can be placed. A
// ticket that no upstream can take does not block the others.
func (p *Pool) place(now time.Duration) {
	var passed []*entry
	for _, q := range p.tiers {
		if !p.canPlace(now) {
			break
		}
		passed = p.placeTier(q, passed, now)
	}
	for _, e := range passed {
		p.enqueue(e)
	}
}

// placeTier grants slots to one tier and appends the tickets it passed over.
func (p *Pool) placeTier(q *tierQueue, passed []*entry, now time.Duration) []*entry {
	var buffer [matchWindow]*entry
	window := buffer[:0]
	// Held tickets don't count towards the limit: many copies of a suspected request, or
	// the tickets of a gateway that all upstreams asked for a pause, must not keep a tier
	// from being served.
	var held heldTickets
	limit := len(passed) + maxPassedOver
	for p.canPlace(now) && len(passed) < limit {
		window = p.fillWindow(q, window, &held, now)
		if len(window) == 0 {
			return append(passed, held.entries...)
		}
		at, g := p.bestMatch(window, now)
		if g == nil {
			passed = append(passed, window...)
			window = window[:0]
			continue
		}
		e := window[at]
		window = append(window[:at], window[at+1:]...)
		p.grant(e, g, now)
	}
	return append(append(passed, window...), held.entries...)
}

// fillWindow moves the next tickets of a tier to the window, and those that have to
// wait for a suspected request, for the end of a pause or for their regions to the held ones.
func (p *Pool) fillWindow(q *tierQueue, window []*entry, held *heldTickets, now time.Duration) []*entry {
	for len(window) < matchWindow && held.bounded < maxHeld && p.anyPlaceable(q) {
		e := q.next()
		if e == nil {
			break
		}
		p.dequeue(e)
		if !p.hold(e, held, now) {
			window = append(window, e)
		}
	}
	return window
}

// bestMatch returns the index of the ticket with the lowest regret and the free
// upstream that suits it best, nil if none is free. Earlier tickets win ties, and
// a ticket with little slack wins immediately.
func (p *Pool) bestMatch(window []*entry, now time.Duration) (at int, best *engine) {
	var least time.Duration
	for i, e := range window {
		g := p.choose(e, now)
		if g == nil {
			continue
		}
		if e.latestStart() < now+minMatchSlack {
			return i, g
		}
		regret := p.regret(e, g)
		if best == nil || regret < least {
			at, best, least = i, g, regret
		}
		if regret == 0 {
			break
		}
	}
	return at, best
}

// regret returns the prefill time that the upstream would spend on prompt tokens
// which another upstream has cached.
func (p *Pool) regret(e *entry, g *engine) time.Duration {
	anywhere := longestMatch(e.ticket.Prefixes, p.holders.has)
	here := g.cache.match(e.ticket.Prefixes)
	return g.speed.prefillTime(float64(e.cachedTokens(anywhere) - e.cachedTokens(here)))
}

// grant assigns a slot of the upstream to a ticket that is in no queue.
func (p *Pool) grant(e *entry, g *engine, now time.Duration) {
	e.state = stateGranted
	e.engine = g
	if p.holdsSuspect(e) {
		p.evidence.apart = e
	}
	if p.isSuspectRequest(e) {
		p.evidence.byRequest.running = append(p.evidence.byRequest.running, e)
	}
	e.version = g.upstream.Version
	e.grantExpires = now + GrantTTL
	e.startedAt = now
	e.firstTokenAt = 0
	p.spendQuota(e, now)
	e.matchedBlocks = g.cache.match(e.ticket.Prefixes)
	e.uncachedTokens = e.ticket.PromptTokens - e.cachedTokens(e.matchedBlocks)
	g.cache.store(e.ticket.Prefixes, now)
	e.prefillAhead = g.backlog.ahead(g.speed.prefillRate(), now)
	g.backlog.add(e.uncachedTokens, now)
	e.expectedFirstToken = g.coldFirstToken(e.prefillAhead+float64(e.ticket.PromptTokens), now)
	if g.health.ejected {
		g.health.probe = e
	}
	if g.used() == 0 && g.speed.isStale(now) {
		p.staleGrants++
	}
	if zone := p.view.Zones.ownZone(&e.ticket); zone != "" && zone != g.upstream.Zone {
		p.grantsElsewhere++
	}
	g.running[e], g.grantedAt = struct{}{}, now
	g.spendToken()
	g.spendColdToken(e)
	p.countColdHold(e, now)
	p.spaceOut(g, now)
	e.batchAtStart = g.used()
	p.running++
	p.tierOf(e).held++
	e.shareGeneration = p.shares.spend(e.shareKey(), e.version)
	p.queueOf(e).charge(e.tokenCost())
	p.countGrant(e, now)
	p.refresh(g, now)
	p.refreshCold(g, now)
	p.timers.add(timer{at: e.grantExpires + confirmMargin, kind: timerGrant, entry: e})
	p.emitGrant(e, now)
}

// release frees the slot of a granted or running ticket.
func (p *Pool) release(e *entry, now time.Duration) {
	if e.firstTokenAt == 0 {
		e.engine.backlog.done(e.uncachedTokens, now)
	}
	delete(e.engine.running, e)
	e.engine.health.clearProbe(e)
	p.tierOf(e).held--
	p.running--
	p.takeTurn(e.engine, now-e.startedAt, now)
	p.refresh(e.engine, now)
}

// orphan turns the slot of a granted or running ticket into an orphaned one.
func (p *Pool) orphan(e *entry, now time.Duration) {
	p.release(e, now)
	timeout := p.orphanTimeoutFor(e)
	if e.engine.brittle != nil {
		timeout = brittleOrphanTimeout(e)
	}
	p.addOrphan(e.engine, now, timeout)
	p.end(e, now)
}

const (
	// minOrphanTimeout is the minimum time for which an orphaned slot counts. An
	// upstream needs part of it to notice that the connection was closed.
	minOrphanTimeout = 250 * time.Millisecond
	// orphanTimeoutFactor is the multiple of an answer's expected time after
	// which a plain service is assumed to have ended a request. It equals
	// silenceFactor.
	orphanTimeoutFactor = 4.0
)

// orphanTimeoutFor returns how long an orphaned request counts as running. A
// plain service does not report its load, and its answers all take about the same
// time. If each request that missed its deadline counted for the full timeout, a
// flood of requests near their deadlines would leave no slot to serve any.
func (p *Pool) orphanTimeoutFor(e *entry) time.Duration {
	if e.ticket.PromptTokens > 0 || e.expectedFirstToken <= 0 {
		return p.tuning.orphanTimeout
	}
	return min(p.tuning.orphanTimeout, max(minOrphanTimeout, scaleBy(e.expectedFirstToken, orphanTimeoutFactor)))
}

// addOrphan counts a slot whose request may still run, for the given time.
func (p *Pool) addOrphan(g *engine, now, timeout time.Duration) {
	g.orphans = append(g.orphans, orphan{since: now, until: now + timeout})
	p.refresh(g, now)
	p.timers.add(timer{at: now + timeout, kind: timerOrphan, engine: g})
}
