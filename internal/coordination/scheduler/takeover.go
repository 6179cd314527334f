package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// setGateways drops the waiting tickets of gateways that no longer hold a lease.
// Their dispatched requests may still run.
func (p *Pool) setGateways(gateways []ident.NodeID, now time.Duration) {
	if p.view.Shared != nil {
		p.updateLeftGateways(gateways, now)
		p.orderGateways()
	}
	p.gateways = make(map[ident.NodeID]bool, len(gateways))
	for _, id := range gateways {
		p.gateways[id] = true
	}
	if p.view.Shared != nil {
		// Membership is soft state here and a gateway may be missing from it
		// briefly. A gateway that has really left falls silent.
		return
	}
	for id := range p.registered {
		if !p.gateways[id] {
			delete(p.registered, id)
			p.retries.depart(id, now)
		}
	}
	p.dropRequests(now, func(e *entry) bool { return !p.gateways[e.ticket.Gateway] })
}

// dropRequests ends the matching tickets that wait and orphans those that hold a
// slot.
func (p *Pool) dropRequests(now time.Duration, match func(*entry) bool) {
	for _, e := range p.matching(match) {
		if e.state == stateWaiting {
			p.dequeue(e)
			p.end(e, now)
		} else if e.state == stateUndecided {
			p.end(e, now)
		} else if e.holdsSlot() {
			p.orphan(e, now)
		}
	}
}

// matching returns the matching tickets sorted by ID, so that equal histories
// give equal decisions.
func (p *Pool) matching(match func(*entry) bool) []*entry {
	var found []*entry
	for _, e := range p.entries {
		if match(e) {
			found = append(found, e)
		}
	}
	slices.SortFunc(found, func(a, b *entry) int { return cmp.Compare(a.ticket.ID, b.ticket.ID) })
	return found
}

// Register implements Scheduler.
func (p *Pool) Register(r Registration, now time.Duration) {
	former, known := p.registered[r.Gateway]
	for _, l := range r.RateLimits {
		if l.PerSecond > 0 {
			p.nameLimit(l.Upstream, l.PerSecond, now-l.Age, now)
		}
		if l.Brittle {
			p.nameBrittle(l.Upstream, l.TurnAway, now-l.Age, now)
		}
	}
	for _, n := range r.Pauses {
		p.pause(r.Gateway, n, now)
	}
	for _, name := range r.Leaving {
		p.markLeaving(name, now)
	}
	p.learnCold(r.Cold, now)
	p.learnPoison(r.Poison, now)
	for _, n := range r.Ends {
		p.recordBroken(n, false, now)
	}
	listed := make(map[ident.RequestID]bool, len(r.Running)+len(r.Waiting))
	for _, running := range r.Running {
		listed[running.Ticket.ID] = true
		p.adopt(running, now)
	}
	for _, t := range r.Waiting {
		listed[t.ID] = true
	}
	if s := p.view.Shared; s != nil && s.Quotas != nil {
		s.Quotas.Register(p.view.Pool, r.Gateway, r.Sent, r.Uptime, p.wallTime(now))
	}
	p.reconcile(r, known && r.Incarnation == former, listed, now)
	if len(p.registered) == 0 {
		p.settledAt = now + settleTime
	}
	p.registerRetries(r, known && r.Incarnation != former, now)
	p.registered[r.Gateway] = r.Incarnation
	p.learnFrom(r, now)
	p.learnEnds(p.view.Ends, now)
	p.updateCapacityFraction(now)
	for _, t := range r.Waiting {
		p.submit(t, now)
	}
	p.step(now)
}

const (
	// minInformedUptime is the uptime from which a gateway knows what the upstreams that it
	// uses say of themselves, also if they say nothing.
	minInformedUptime = time.Second
	// unheardTimeout bounds the time from the first registration on for which an upstream
	// that has not answered gets one request at a time.
	unheardTimeout = 500 * time.Millisecond
)

// learnFrom decides whether the scheduler knows enough of the upstreams to use their whole
// room. If all of its gateways have just started, they may be brittle or limited without
// its knowing, and the first answers tell.
func (p *Pool) learnFrom(r Registration, now time.Duration) {
	if p.view.Shared == nil || p.informed {
		return
	}
	if p.unheardUntil == 0 {
		p.unheardUntil = now + unheardTimeout
	}
	p.informed = r.Uptime >= minInformedUptime
	for _, g := range p.orderedEngines {
		g.unheard = p.isUninformed(now) && g.lastResponseAt == 0
		p.refresh(g, now)
	}
}

// isUninformed reports whether upstreams that have not answered get one request at a time.
func (p *Pool) isUninformed(now time.Duration) bool {
	return !p.informed && now < p.unheardUntil
}

// endUnheard lets upstreams that have not answered in time have their whole room.
func (p *Pool) endUnheard(now time.Duration) {
	if p.unheardUntil == 0 || p.informed || now < p.unheardUntil {
		return
	}
	p.informed = true
	for _, g := range p.orderedEngines {
		if g.unheard {
			g.unheard = false
			p.refresh(g, now)
		}
	}
}

// reconcile settles the gateway's tickets that its registration does not list: a
// live gateway has finished them, and a previous incarnation left them behind. A
// grant on its way to a live gateway stays until it expires, unless the gateway says that
// the request has ended: the reports of a request wait for each other, and may be lost
// together.
func (p *Pool) reconcile(r Registration, alive bool, listed map[ident.RequestID]bool, now time.Duration) {
	if !alive {
		p.dropRequests(now, func(e *entry) bool {
			return e.ticket.Gateway == r.Gateway && !listed[e.ticket.ID]
		})
		return
	}
	ended := make(map[ident.RequestID]bool, len(r.Ended))
	for _, id := range r.Ended {
		ended[id] = true
	}
	finished := p.matching(func(e *entry) bool {
		if e.ticket.Gateway != r.Gateway || listed[e.ticket.ID] {
			return false
		}
		return e.state == stateRunning || e.state == stateGranted && ended[e.ticket.ID]
	})
	for _, e := range finished {
		p.release(e, now)
		p.end(e, now)
	}
}

// adopt counts a request that a gateway lists as running.
func (p *Pool) adopt(r Running, now time.Duration) {
	e, known := p.entries[r.Ticket.ID]
	if known && e.state == stateRunning {
		return
	}
	if known && e.state == stateWaiting {
		p.dequeue(e)
	}
	if known && e.state == stateGranted {
		p.release(e, now)
	}
	if known {
		p.releaseRetry(e)
	}
	if !known {
		e = &entry{ticket: r.Ticket, deadline: now + r.Ticket.Remaining}
		p.entries[r.Ticket.ID] = e
	}
	g, listed := p.engines[r.Upstream]
	if !listed {
		g = p.engine(Upstream{Name: r.Upstream, Version: r.Version})
		g.listed = false
	}
	e.version = r.Version
	p.occupy(e, g, now)
	if p.isSuspectRequest(e) {
		p.evidence.byRequest.running = append(p.evidence.byRequest.running, e)
	}
	e.startedAt = now - r.Elapsed
	g.cache.store(r.Ticket.Prefixes, now)
}

// occupy counts a request as running on an upstream.
func (p *Pool) occupy(e *entry, g *engine, now time.Duration) {
	e.state = stateRunning
	e.lapsed = false
	e.engine = g
	e.startedAt = now
	e.uncachedTokens = 0
	g.running[e] = struct{}{}
	g.limiter.raiseTo(g.used())
	e.batchAtStart = g.used()
	p.running++
	p.tierOf(e).held++
	p.refresh(g, now)
}

// openAfterTakeover starts placement once every gateway of the view has
// registered or the grants of the previous epoch have expired.
func (p *Pool) openAfterTakeover(now time.Duration) {
	if p.placing {
		return
	}
	if now >= p.startedAt+p.tuning.takeoverWait {
		p.placing = true
		return
	}
	if len(p.gateways) == 0 {
		return
	}
	for id := range p.gateways {
		if _, known := p.registered[id]; !known {
			return
		}
	}
	p.placing = true
}
