package scheduler

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// headCandidates is the number of upstreams at the head of a ready set that are
// considered for a ticket, besides those that hold a prefix of its prompt.
const headCandidates = 8

// choose returns the upstream with the lowest expected cost for the ticket among
// the versions that the version shares allow, or nil if there is none. Without
// shares, all versions are treated alike.
func (p *Pool) choose(e *entry, now time.Duration) *engine {
	if p.mustRunApart(e, now) {
		return nil
	}
	if g := p.probeEngine(e, now); g != nil {
		return g
	}
	best := candidate{pool: p, apart: p.isSuspectRequest(e)}
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

// candidate is the best upstream found so far for a ticket.
type candidate struct {
	pool *Pool
	// apart is true for a ticket that must not share an upstream with another suspected
	// request.
	apart  bool
	engine *engine
	cost   time.Duration
	// feasible reports whether any upstream in rotation is expected to meet the
	// ticket's deadline. It is computed on first use, which sets feasibleKnown.
	feasible, feasibleKnown bool
}

// chooseAmong considers the upstreams at the head of a ready set, and those in it
// that hold the longest cached prefix of the prompt.
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

// consider makes the upstream the candidate if its expected cost is lower. An
// upstream that would miss the ticket's deadline is taken only if all others
// would miss it too.
func (c *candidate) consider(e *entry, g *engine, now time.Duration) {
	if e.excludes(g.upstream.Name) || g.isPausedFor(e.ticket.Gateway, now) || c.apart && c.pool.runsSuspect(g) {
		return
	}
	cost := g.expectedCost(e, now)
	better := c.engine == nil || cost < c.cost || cost == c.cost && lessLoaded(g, c.engine)
	if better && (g.meetsDeadline(e, now) || !c.anyMeetsDeadline(e, now)) {
		c.engine, c.cost = g, cost
	}
}

// anyMeetsDeadline reports whether any upstream in rotation, free or not, is
// expected to meet the ticket's deadline. If so, the ticket waits for such an
// upstream rather than take a slow one that is free.
func (c *candidate) anyMeetsDeadline(e *entry, now time.Duration) bool {
	if !c.feasibleKnown {
		c.feasibleKnown = true
		for _, g := range c.pool.orderedEngines {
			if g.acceptsWork() && !g.health.ejected && !e.excludes(g.upstream.Name) && !g.isPausedFor(e.ticket.Gateway, now) && g.meetsDeadline(e, now) {
				c.feasible = true
				break
			}
		}
	}
	return c.feasible
}

// meetsDeadline reports whether the upstream is expected to finish even a long
// answer by the ticket's deadline. Plain services, whose answers are short, are
// not checked, nor are upstreams without a trusted limit or a learned decode
// speed.
func (g *engine) meetsDeadline(e *entry, now time.Duration) bool {
	if !g.limitTrusted || e.longOutput == 0 || !g.speed.decode.known() {
		return true
	}
	return now+g.speed.serviceTime(float64(e.ticket.PromptTokens), e.longOutput, g.used()+1) <= e.deadline
}

// lessLoaded orders upstreams by load relative to their limits, then by name.
func lessLoaded(a, b *engine) bool {
	loadA := a.used() * b.limit()
	loadB := b.used() * a.limit()
	if loadA != loadB {
		return loadA < loadB
	}
	return a.upstream.Name < b.upstream.Name
}

// affinityWeight is the weight of the prefill time that a cache miss adds to an
// upstream's cost, on top of the ticket's own time to its answer: prefill also
// delays the other requests on the upstream.
const affinityWeight = 1.0

// expectedCost estimates the time to complete the ticket on the upstream, plus
// penalties for the prompt tokens that its cache does not hold and for its recent
// failures.
func (g *engine) expectedCost(e *entry, now time.Duration) time.Duration {
	missed := float64(e.ticket.PromptTokens - e.cachedTokens(g.cache.match(e.ticket.Prefixes)))
	tokens := g.backlog.ahead(g.speed.prefillRate(), now) + missed
	service := g.speed.serviceTime(tokens, e.expectedOutput, g.used()+1)
	penalty := scaleBy(g.health.tuning.failurePenalty, g.health.failureRate)
	return service + scaleBy(g.speed.prefillTime(missed), affinityWeight) + penalty
}
