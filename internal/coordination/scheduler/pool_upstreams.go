package scheduler

import (
	"slices"
	"time"
)

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
		g.upstream = u
		g.listed = true
		p.assignSlotsOf(g)
	}
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
