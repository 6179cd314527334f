package scheduler

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// headCandidates is the number of upstreams at the head of a ready set that a
// ticket looks at, besides those that hold its prompt's beginning.
const headCandidates = 8

// choose returns the upstream with the least expected completion among the
// versions that the shares allow, or nil. Without shares every version is as
// good.
func (p *Pool) choose(e *entry, now time.Duration) *engine {
	if g := p.probeEngine(e, now); g != nil {
		return g
	}
	best := candidate{pool: p}
	if len(p.shares.shares) == 0 {
		for _, r := range p.readySets {
			p.chooseAmong(e, r, &best, now)
		}
		return best.engine
	}
	var buffer [4]ident.VersionName
	for _, version := range p.shares.order(e.shareKey(), buffer[:0]) {
		p.chooseAmong(e, p.readySet(version), &best, now)
		if best.engine != nil {
			return best.engine
		}
	}
	return nil
}

// candidate is an upstream that a ticket could go to.
type candidate struct {
	pool   *Pool
	engine *engine
	cost   time.Duration
	// feasible tells whether any upstream in rotation is expected to finish the
	// ticket in time; it is looked for once, and only if need be.
	feasible, feasibleKnown bool
}

// chooseAmong considers the head of a ready set and those of its upstreams
// that hold the longest beginning of the prompt.
func (p *Pool) chooseAmong(e *entry, r *readySet, best *candidate, now time.Duration) {
	for _, g := range r.engines[:min(p.tuning.headCandidates, len(r.engines))] {
		best.consider(e, g, now)
	}
	if len(r.engines) <= p.tuning.headCandidates {
		return
	}
	blocks := longestMatch(e.ticket.Prefixes, p.holders.has)
	if blocks == 0 {
		return
	}
	set := p.holders[e.ticket.Prefixes[blocks-1]]
	for _, g := range set.engines[:set.count] {
		if g.readyIn == r {
			best.consider(e, g, now)
		}
	}
}

// consider takes the upstream if it completes the ticket sooner.
func (c *candidate) consider(e *entry, g *engine, now time.Duration) {
	if e.excludes(g.upstream.Name) {
		return
	}
	cost := g.expectedCost(e, now)
	better := c.engine == nil || cost < c.cost || cost == c.cost && lessLoaded(g, c.engine)
	if better && (g.meetsDeadline(e, now) || !c.anyMeetsDeadline(e, now)) {
		c.engine, c.cost = g, cost
	}
}

// anyMeetsDeadline tells whether the ticket should wait for an upstream that is expected
// to finish it in time, rather than take a slow one that is free.
func (c *candidate) anyMeetsDeadline(e *entry, now time.Duration) bool {
	if !c.feasibleKnown {
		c.feasibleKnown = true
		for _, g := range c.pool.orderedEngines {
			if g.acceptsWork() && !g.health.ejected && !e.excludes(g.upstream.Name) && g.meetsDeadline(e, now) {
				c.feasible = true
				break
			}
		}
	}
	return c.feasible
}

// meetsDeadline tells whether the upstream is expected to end even a long answer by the
// ticket's deadline. A plain service's answers are short; they are not looked at.
func (g *engine) meetsDeadline(e *entry, now time.Duration) bool {
	if !g.limitTrusted || e.longOutput == 0 || !g.speed.decode.known() {
		return true
	}
	return now+g.speed.serviceTime(float64(e.ticket.PromptTokens), e.longOutput, g.used()+1) <= e.deadline
}

// lessLoaded orders upstreams by load, then by name.
func lessLoaded(a, b *engine) bool {
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

// expectedCost estimates the time to complete the ticket on the upstream, and adds
// the price of the prompt that its cache does not hold.
func (g *engine) expectedCost(e *entry, now time.Duration) time.Duration {
	missed := float64(e.ticket.PromptTokens - e.cachedTokens(g.cache.match(e.ticket.Prefixes)))
	tokens := g.backlog.ahead(g.speed.prefillRate(), now) + missed
	service := g.speed.serviceTime(tokens, e.expectedOutput, g.used()+1)
	penalty := scaleBy(g.health.tuning.failurePenalty, g.health.failureRate)
	return service + scaleBy(g.speed.prefillTime(missed), affinityWeight) + penalty
}
