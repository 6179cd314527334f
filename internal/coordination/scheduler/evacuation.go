package scheduler

// isBarred reports whether evacuations and withheld versions leave no upstream of the pool: each
// one that is listed and not leaving is in an evacuated data centre, or of a version that was
// rolled back. Upstreams that are only out of rotation may be back, so that requests wait for
// them as they do otherwise.
func (p *Pool) isBarred() bool {
	if p.barred == 0 || p.slots > 0 || p.view.Incomplete {
		return false
	}
	for _, g := range p.orderedEngines {
		if g.listed && !g.upstream.isBarred() && !g.upstream.Leaving && !g.saysLeaving {
			return false
		}
	}
	return true
}

// countBarred counts the listed upstreams that get no new work for now.
func (p *Pool) countBarred() {
	p.barred = 0
	for _, g := range p.orderedEngines {
		if g.listed && g.upstream.isBarred() {
			p.barred++
		}
	}
}

// setUpstream applies what the view says of an upstream. The prefixes that it holds are
// forgotten when it gets no new work any more: tickets would otherwise be passed over for a cache
// that none of them can use.
func (g *engine) setUpstream(u Upstream) {
	if u.isBarred() && !g.upstream.isBarred() {
		g.cache.clear()
	}
	g.upstream = u
}

// isUnservable reports whether evacuations leave no upstream, or no version of the upstreams may
// get a request.
func (p *Pool) isUnservable() bool {
	return p.isBarred() || !p.view.Incomplete && p.shares.none()
}

// refuseUnservable refuses all tickets that hold no slot if evacuations or the version shares
// leave no upstream.
func (p *Pool) refuseUnservable() {
	if p.waiting+len(p.undecided) == 0 || !p.isUnservable() {
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
