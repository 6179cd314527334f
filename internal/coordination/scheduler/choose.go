package scheduler

import (
	"math"
	"slices"
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
	c := candidates{pool: p, apart: p.isSuspectRequest(e), urgent: e.ticket.Tier == p.highestTier, idle: p.idleFraction(), options: p.options[:0]}
	defer func() { p.options = c.options }()
	if len(p.shares.shares) == 0 {
		for _, r := range p.readySets {
			p.consider(e, r, &c, now)
		}
		return c.best(e, now)
	}
	var buffer [4]ident.VersionName
	allowed := p.shares.order(e.shareKey(), buffer[:0])
	for _, version := range allowed {
		p.consider(e, p.readySet(version), &c, now)
		if g := c.best(e, now); g != nil {
			return g
		}
	}
	for _, s := range p.shares.shares {
		if !p.shares.mayExceed(s, e.shareKey()) || slices.Contains(allowed, s.Version) {
			continue
		}
		if p.isServable(e, allowed) {
			return nil
		}
		p.consider(e, p.readySet(s.Version), &c, now)
		if g := c.best(e, now); g != nil {
			return g
		}
	}
	return nil
}

// isServable reports whether any upstream of the given versions, free or not, may serve the
// ticket: it is in rotation, takes work and hasn't failed the ticket.
func (p *Pool) isServable(e *entry, versions []ident.VersionName) bool {
	return slices.ContainsFunc(p.orderedEngines, func(g *engine) bool {
		return g.acceptsWork() && !g.health.ejected && e.mayUse(g) && slices.Contains(versions, g.upstream.Version)
	})
}

// candidates are upstreams that can take a ticket.
type candidates struct {
	pool *Pool
	// apart is true for a ticket that must not share an upstream with another suspected
	// request.
	apart bool
	// urgent is true for a ticket of the highest tier.
	urgent bool
	// idle is the fraction of the pool's slots that are free.
	idle    float64
	options []option
	// feasible reports whether any upstream in rotation is expected to meet the
	// ticket's deadline. It is computed on first use, which sets feasibleKnown.
	feasible, feasibleKnown bool
}

// option is an upstream with the expected cost of a ticket there and the tokens of its
// prompt that the upstream's cache does not hold.
type option struct {
	engine *engine
	missed float64
	cost   estimate
	// crossing is the part of the cost for bytes that leave the gateway's data centre.
	crossing time.Duration
}

// consider adds the upstreams at the head of a ready set to the candidates, and those
// in it that hold the longest cached prefix of the prompt.
func (p *Pool) consider(e *entry, r *readySet, c *candidates, now time.Duration) {
	if e.ticket.Regions != nil {
		p.considerInside(e, r, c, now)
	} else {
		for _, g := range r.engines[:min(p.tuning.headCandidates, len(r.engines))] {
			c.add(e, g, now)
		}
	}
	if len(r.engines) <= p.tuning.headCandidates {
		return
	}
	p.considerZone(e, r, c, now)
	blocks := longestMatch(e.ticket.Prefixes, p.holders.has)
	if blocks == 0 {
		return
	}
	set := p.holders[e.ticket.Prefixes[blocks-1]]
	for _, g := range set.engines[:set.count] {
		if g.readyIn == r {
			c.add(e, g, now)
		}
	}
}

// add makes an upstream a candidate unless the ticket must not go there.
func (c *candidates) add(e *entry, g *engine, now time.Duration) {
	if !e.mayUse(g) || g.isPausedFor(e.ticket.Gateway, now) || c.apart && c.pool.runsSuspect(g) {
		return
	}
	o := option{engine: g, missed: float64(e.ticket.PromptTokens - e.cachedTokens(g.cache.match(e.ticket.Prefixes)))}
	o.crossing = c.pool.view.Zones.crossing(&e.ticket, &g.upstream, c.idle)
	o.cost = g.expectedCost(e, o.missed, c.urgent, now)
	o.cost.time += o.crossing
	c.options = append(c.options, o)
}

// best returns the upstream with the lowest expected cost, nil if there is none. Those
// whose speed can't be told from its speed count as equally fast: among them, load and
// cached tokens decide. An upstream that would miss the ticket's deadline is taken only
// if all others would miss it too.
func (c *candidates) best(e *entry, now time.Duration) *engine {
	for len(c.options) > 0 {
		cheapest := 0
		for i, o := range c.options {
			if o.cost.time < c.options[cheapest].cost.time {
				cheapest = i
			}
		}
		pick, alike := c.leastLoaded(e, c.options[cheapest], now)
		g := c.options[pick].engine
		if g.meetsDeadline(e, now) || !c.anyMeetsDeadline(e, now) {
			e.choice = c.explain(pick, alike, now)
			return g
		}
		c.options[pick] = c.options[len(c.options)-1]
		c.options = c.options[:len(c.options)-1]
	}
	return nil
}

// explain returns the figures behind the choice of a candidate.
func (c *candidates) explain(pick, alike int, now time.Duration) Choice {
	chosen := c.options[pick]
	choice := Choice{Crossing: chosen.crossing, Expected: chosen.cost.time, Error: seconds(math.Sqrt(chosen.cost.variance)), Alike: alike}
	if at := chosen.engine.speed.latest.at; at > 0 {
		choice.Age = now - at
	}
	for i, o := range c.options {
		if i != pick && (choice.Next == "" || o.cost.time < choice.NextExpected) {
			choice.Next, choice.NextExpected = o.engine.upstream.Name, o.cost.time
		}
	}
	return choice
}

// leastLoaded returns the index of the candidate that costs least if all that may be as
// fast as the cheapest one are, and how many may be.
func (c *candidates) leastLoaded(e *entry, cheapest option, now time.Duration) (pick, alike int) {
	least := time.Duration(0)
	pick = -1
	for i, o := range c.options {
		if !o.cost.mayEqual(cheapest.cost) {
			continue
		}
		alike++
		cost := o.crossing + o.engine.costAt(&cheapest.engine.speed, e, o.missed, now)
		if pick < 0 || cost < least || cost == least && lessLoaded(o.engine, c.options[pick].engine) {
			pick, least = i, cost
		}
	}
	return pick, alike
}

const (
	// indistinguishable is the number of standard errors of the difference up to which two
	// estimates can't be told apart, and negligible the part of a cost up to which callers
	// are served as well by either.
	indistinguishable = 2
	negligible        = 0.05
)

// estimate is an expected time and the variance of its error in seconds squared.
type estimate struct {
	time     time.Duration
	variance float64
}

// mayEqual reports whether a cost can't be told from a lower one.
func (e estimate) mayEqual(lower estimate) bool {
	difference := (e.time - lower.time).Seconds()
	if difference <= negligible*lower.time.Seconds() {
		return true
	}
	return difference*difference <= indistinguishable*indistinguishable*(e.variance+lower.variance)
}

// anyMeetsDeadline reports whether any upstream in rotation, free or not, is
// expected to meet the ticket's deadline. If so, the ticket waits for such an
// upstream rather than take a slow one that is free.
func (c *candidates) anyMeetsDeadline(e *entry, now time.Duration) bool {
	if !c.feasibleKnown {
		c.feasibleKnown = true
		for _, g := range c.pool.orderedEngines {
			if g.acceptsWork() && !g.health.ejected && e.mayUse(g) && !g.isPausedFor(e.ticket.Gateway, now) && g.meetsDeadline(e, now) {
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
	return now+g.coldServiceTime(float64(e.ticket.PromptTokens), e.longOutput, g.used()+1, now) <= e.deadline
}

// lessLoaded orders upstreams by load relative to their limits, then by how long ago they
// got a request, then by name.
func lessLoaded(a, b *engine) bool {
	loadA := a.used() * b.limit()
	loadB := b.used() * a.limit()
	if loadA != loadB {
		return loadA < loadB
	}
	if a.grantedAt != b.grantedAt {
		return a.grantedAt < b.grantedAt
	}
	return a.upstream.Name < b.upstream.Name
}

// affinityWeight is the weight of the prefill time that a cache miss adds to an
// upstream's cost, on top of the ticket's own time to its answer: prefill also
// delays the other requests on the upstream.
const affinityWeight = 1.0

const (
	// spareUrgent and spareDeadline are the staleness from which on also a ticket that is
	// urgent or expected to miss its objective, and one that is expected to miss its
	// deadline, shows whether an upstream is still slow. Before, others do.
	spareUrgent   = 2
	spareDeadline = 4
)

// expectedCost estimates the cost of the ticket on the upstream. One that got nothing for a
// while may have another speed than it last showed, and a single request is to show it.
func (g *engine) expectedCost(e *entry, missed float64, urgent bool, now time.Duration) estimate {
	cost := estimate{time: g.costAt(&g.speed, e, missed, now)}
	pool := g.speed.pool
	if pool == nil {
		return cost
	}
	if g.isCold(now) {
		// What it learned before its start may promise more than a cold upstream can do.
		cost.time = max(cost.time, g.costAt(pool, e, missed, now))
	}
	if !g.speed.prefill.known() {
		cost.variance = pool.variance(e.expectedOutput)
		return cost
	}
	cost.variance = g.speed.errorOfMean(e.expectedOutput)
	if g.used() > 0 {
		return cost
	}
	staleness := g.speed.staleness(g.speed.latest, now)
	sparesUrgent := urgent || e.objective != 0 && now+cost.time > e.objective
	missesDeadline := now+cost.time > e.deadline
	if staleness <= 0 || sparesUrgent && staleness < spareUrgent || missesDeadline && staleness < spareDeadline {
		return cost
	}
	own := max(0, 1-staleness)
	cost.time = scaleBy(cost.time, own) + scaleBy(g.costAt(pool, e, missed, now), 1-own)
	cost.variance = own*own*cost.variance + (1-own)*(1-own)*pool.variance(e.expectedOutput)
	return cost
}

// costAt estimates the time to complete the ticket on the upstream at a speed, plus
// penalties for the prompt tokens that its cache does not hold and for its recent
// failures.
func (g *engine) costAt(s *speed, e *entry, missed float64, now time.Duration) time.Duration {
	tokens := g.backlog.ahead(s.prefillRate(), now) + missed
	service := s.serviceTime(tokens, e.expectedOutput, g.used()+1)
	if missed > 0 {
		service += scaleBy(s.prefillTime(missed), affinityWeight)
	}
	if rate := g.health.currentFailureRate(&g.speed, now); rate > 0 {
		service += scaleBy(g.health.tuning.failurePenalty, rate)
	}
	return service
}
