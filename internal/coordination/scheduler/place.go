package scheduler

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func (e *entry) shareKey() shareKey {
	return shareKey{route: e.ticket.Route, idempotent: e.ticket.Idempotent}
}

// place grants slots in strict tier order while there are tickets that can be
// placed. A ticket that finds no slot does not hold up those that can.
func (p *Pool) place(now time.Duration) {
	var passed []*entry
	for _, q := range p.tiers {
		for len(passed) < placeAttempts {
			e := q.next()
			if e == nil {
				break
			}
			p.dequeue(e)
			if g := p.choose(e, now); g != nil {
				p.grant(e, g, now)
				continue
			}
			passed = append(passed, e)
			if !p.anyFree() {
				break
			}
		}
	}
	for _, e := range passed {
		p.enqueue(e)
	}
}

func (p *Pool) anyFree() bool {
	for _, g := range p.engines {
		if g.free() > 0 {
			return true
		}
	}
	return false
}

// choose returns the upstream with the least expected completion among the
// versions that the shares allow, or nil.
func (p *Pool) choose(e *entry, now time.Duration) *engine {
	if len(p.shares.shares) == 0 {
		return p.chooseAny(e, now)
	}
	var buffer [4]ident.VersionName
	for _, version := range p.shares.order(e.shareKey(), buffer[:0]) {
		if g := p.chooseAmong(e, p.versions[version], now); g != nil {
			return g
		}
	}
	return nil
}

// chooseAny serves a view without shares, where every version is as good.
func (p *Pool) chooseAny(e *entry, now time.Duration) *engine {
	var best *engine
	for _, engines := range p.versions {
		g := p.chooseAmong(e, engines, now)
		if g != nil && (best == nil || g.expect(e, now) < best.expect(e, now)) {
			best = g
		}
	}
	return best
}

func (p *Pool) chooseAmong(e *entry, engines []*engine, now time.Duration) *engine {
	var best *engine
	var bestCost time.Duration
	for _, g := range engines {
		if g.free() == 0 || e.excludes(g.upstream.Name) || g.prefillWait(now) > maxBacklog {
			continue
		}
		cost := g.expect(e, now)
		if best == nil || cost < bestCost || cost == bestCost && lighter(g, best) {
			best, bestCost = g, cost
		}
	}
	return best
}

// lighter orders upstreams by load, then by name.
func lighter(a, b *engine) bool {
	loadA := a.used() * b.limit()
	loadB := b.used() * a.limit()
	if loadA != loadB {
		return loadA < loadB
	}
	return a.upstream.Name < b.upstream.Name
}

// affinityWeight prices a prompt token to compute, beyond the time it takes the
// ticket itself, for the work that it keeps from others.
const affinityWeight = 1.0

// expect estimates the time to complete the ticket on the upstream, and adds
// the price of the prompt that its cache does not hold.
func (g *engine) expect(e *entry, now time.Duration) time.Duration {
	missed := float64(e.ticket.PromptTokens - e.cachedTokens(g.cache.match(e.ticket.Prefixes)))
	tokens := g.backlog.ahead(g.speed.prefillRate(), now) + missed
	service := g.speed.service(tokens, e.output, g.used()+1)
	return service + scaleBy(g.speed.prefillTime(missed), affinityWeight)
}

// grant gives a slot to a ticket that is in no queue.
func (p *Pool) grant(e *entry, g *engine, now time.Duration) {
	e.state = stateGranted
	e.engine = g
	e.version = g.upstream.Version
	e.grantExpires = now + GrantTTL
	e.startedAt = now
	e.firstTokenAt = 0
	e.matched = g.cache.match(e.ticket.Prefixes)
	e.missed = e.ticket.PromptTokens - e.cachedTokens(e.matched)
	g.cache.store(e.ticket.Prefixes, now)
	e.prefillAhead = g.backlog.ahead(g.speed.prefillRate(), now)
	g.backlog.add(e.missed, now)
	g.running[e] = struct{}{}
	e.batchAtStart = g.used()
	p.running++
	p.shares.spend(e.shareKey(), e.version)
	p.queueOf(e).charge(e.tokens())
	p.retries.dispatched()
	p.timers.add(timer{at: e.grantExpires + grantMargin, kind: timerGrant, entry: e})
	p.emitGrant(e, now)
}

// release frees the slot of a granted or running ticket.
func (p *Pool) release(e *entry, now time.Duration) {
	if e.firstTokenAt == 0 {
		e.engine.backlog.done(e.missed, now)
	}
	delete(e.engine.running, e)
	p.running--
}

// orphan turns the slot of a granted or running ticket into one of unknown fate.
func (p *Pool) orphan(e *entry, now time.Duration) {
	p.release(e, now)
	p.addOrphan(e.engine, now)
	p.end(e, now)
}

func (p *Pool) addOrphan(g *engine, now time.Duration) {
	g.addOrphan(now)
	p.timers.add(timer{at: now + orphanBound, kind: timerOrphan, engine: g})
}
