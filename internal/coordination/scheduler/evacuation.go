package scheduler

// isEvacuated reports whether evacuations leave no upstream of the pool: each one that is
// listed and not leaving is in an evacuated data centre. Upstreams that are only out of
// rotation may be back, so that requests wait for them as they do otherwise.
func (p *Pool) isEvacuated() bool {
	if p.evacuated == 0 || p.slots > 0 || p.view.Incomplete {
		return false
	}
	for _, g := range p.orderedEngines {
		if g.listed && !g.upstream.Evacuated && !g.upstream.Leaving && !g.saysLeaving {
			return false
		}
	}
	return true
}

// countEvacuated counts the listed upstreams that are in evacuated data centres.
func (p *Pool) countEvacuated() {
	p.evacuated = 0
	for _, g := range p.orderedEngines {
		if g.listed && g.upstream.Evacuated {
			p.evacuated++
		}
	}
}

// setUpstream applies what the view says of an upstream. The prefixes that it holds are
// forgotten when its evacuation begins: tickets would otherwise be passed over for a cache
// that none of them can use.
func (g *engine) setUpstream(u Upstream) {
	if u.Evacuated && !g.upstream.Evacuated {
		g.cache.clear()
	}
	g.upstream = u
}

// refuseEvacuated refuses all tickets that hold no slot if evacuations leave no upstream.
func (p *Pool) refuseEvacuated() {
	if p.waiting+len(p.undecided) == 0 || !p.isEvacuated() {
		return
	}
	var waiting []*entry
	for _, q := range p.tiers {
		for _, t := range q.active {
			waiting = append(waiting, t.entries...)
		}
	}
	for _, e := range waiting {
		p.dequeue(e)
		p.refuse(e, ReasonNoUpstream, p.now)
	}
	undecided := p.undecided
	p.undecided = nil
	for _, e := range undecided {
		if e.state == stateUndecided {
			p.refuse(e, ReasonNoUpstream, p.now)
		}
	}
}
