package scheduler

import (
	"slices"
	"sort"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// SetView implements Scheduler.
func (p *Pool) SetView(v View, now time.Duration) {
	p.viewWasComplete = !p.view.Incomplete && len(p.view.Upstreams) > 0
	p.view = v
	p.now = now
	p.retries.configure(v, now)
	p.setGateways(v.Gateways, now)
	p.updateCapacityFraction(now)
	p.setUpstreams(v.Upstreams, now)
	p.speed.upstreams = len(v.Upstreams)
	if v.Shared != nil && p.assignSlots() {
		p.refreshAll(now)
	}
	p.shares.set(v.Shares)
	p.setTiers(v)
	p.learnPoison(v.Poison, now)
	p.learnEnds(v.Ends, now)
	p.step(now)
}

// setTiers rebuilds the tier queues, highest rank first, and moves the state and
// the waiting tickets of the old queues into them.
func (p *Pool) setTiers(v View) {
	old := p.tiers
	p.weights = make(map[ident.TeamName]float64, len(v.Teams))
	for _, t := range v.Teams {
		p.weights[t.Name] = float64(max(1, t.Shares))
	}
	p.tiers = make([]*tierQueue, 0, len(v.Tiers))
	for _, t := range v.Tiers {
		if v.Shared != nil {
			p.tiers = append(p.tiers, newTierQueue(onTimeTier(t)), newTierQueue(lateTier(t)))
			continue
		}
		p.tiers = append(p.tiers, newTierQueue(t))
	}
	sort.SliceStable(p.tiers, func(i, j int) bool { return p.tiers[i].tier.Rank > p.tiers[j].tier.Rank })
	p.highestTier = ""
	if len(p.tiers) > 0 {
		p.highestTier = p.tiers[0].tier.Name
	}
	for _, q := range old {
		for name, t := range q.teams {
			p.tier(q.tier.Name).team(name, p.weight(name)).virtualTime = t.virtualTime
		}
		p.tier(q.tier.Name).virtualTime = q.virtualTime
		p.tier(q.tier.Name).arrivals = q.arrivals
		p.tier(q.tier.Name).held = q.held
		p.tier(q.tier.Name).shed = q.shed
		p.tier(q.tier.Name).shedAt = q.shedAt
		for _, t := range q.active {
			for _, e := range t.entries {
				p.queueOf(e).add(e)
			}
		}
	}
}

// tier returns the queue of the named tier. A tier that the view does not list
// gets a queue that ranks below all others.
func (p *Pool) tier(name ident.TierName) *tierQueue {
	for _, q := range p.tiers {
		if q.tier.Name == name {
			return q
		}
	}
	rank := 0
	if n := len(p.tiers); n > 0 {
		rank = p.tiers[n-1].tier.Rank - 1
	}
	q := newTierQueue(Tier{Name: name, Rank: rank})
	p.tiers = append(p.tiers, q)
	return q
}

func (p *Pool) weight(team ident.TeamName) float64 {
	if w, known := p.weights[team]; known {
		return w
	}
	return 1
}

func (p *Pool) queueOf(e *entry) *teamQueue {
	return p.tierOf(e).team(e.ticket.Team, p.weight(e.ticket.Team))
}

// setUpstreams applies the view's upstreams. An upstream that the view no longer
// lists is kept while requests run on it.
func (p *Pool) setUpstreams(upstreams []Upstream, now time.Duration) {
	for _, g := range p.orderedEngines {
		g.listed = false
	}
	for _, u := range upstreams {
		_, known := p.engines[u.Name]
		g := p.engine(u)
		p.learnColdFromView(g, u, !known, now)
		g.cache.setMaxEntries(cacheEntriesTotal / len(upstreams))
		if g.upstream.Version != u.Version {
			g.versionNotLoaded = false
			g.cache.clear()
		}
		g.setUpstream(u)
		g.listed = true
		p.assignSlotsOf(g)
	}
	p.countEvacuated()
	p.refreshAll(now)
	p.dropEngines()
}

// engine returns the model of an upstream and creates it if needed.
func (p *Pool) engine(u Upstream) *engine {
	g, known := p.engines[u.Name]
	if !known {
		g = newEngine(u, &p.speed, p.holders, &p.tuning)
		g.fraction = p.fraction
		g.limitTrusted = p.view.Shared != nil
		g.unheard = p.isUninformed(p.now)
		_, g.saysLeaving = p.leaving[u.Name]
		p.adoptLimit(g, p.now)
		p.adoptBrittle(g, p.now)
		p.adoptPauses(g)
		p.engines[u.Name] = g
		p.orderedEngines = append(p.orderedEngines, g)
	}
	return g
}

// dropEngines removes the idle engines that the view no longer lists.
func (p *Pool) dropEngines() {
	p.orderedEngines = slices.DeleteFunc(p.orderedEngines, func(g *engine) bool {
		gone := !g.listed && g.used() == 0
		if gone {
			p.keepLimit(g)
			p.removeEngine(g)
			delete(p.engines, g.upstream.Name)
		}
		return gone
	})
}

// removeEngine removes an engine from the pool's holders, ejected list and ready
// sets.
func (p *Pool) removeEngine(g *engine) {
	if g.brittle != nil {
		p.brittle--
	}
	p.coldEngines = slices.DeleteFunc(p.coldEngines, func(other *engine) bool { return other == g })
	g.cache.clear()
	g.health.ejected = false
	p.updateEjected(g)
	p.removeReady(g)
}
