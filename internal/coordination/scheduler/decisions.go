package scheduler

import "time"

// repeatDecision emits the decision on a known ticket again, if there is one.
func (p *Pool) repeatDecision(e *entry, now time.Duration) {
	switch e.state {
	case stateGranted:
		p.emitGrant(e, now)
	case stateRefused:
		refusal := e.refusal
		p.emit(e, Decision{Refusal: &refusal})
	}
}

func (p *Pool) emit(e *entry, d Decision) {
	d.Gateway = e.ticket.Gateway
	d.Basis = Basis{
		Waited: p.now - e.submittedAt, Wait: e.waitAhead,
		Slots: p.slots, Running: p.running, Waiting: p.waiting, Ejected: len(p.ejected), Limited: len(p.limited), Brittle: p.brittle, Cold: len(p.coldEngines),
		Percent: int(100 * p.fraction),
	}
	p.decisions = append(p.decisions, d)
}

// emitGrant emits a grant whose TTL is the time left until it expires. The
// gateway counts the TTL from when it sent the call that the grant answers. That
// was before now, so the gateway stops using the grant in time.
func (p *Pool) emitGrant(e *entry, now time.Duration) {
	peer := e.engine.peerOf(e.ticket.Gateway, now)
	p.emit(e, Decision{Grant: &Grant{
		Ticket:   e.ticket.ID,
		Epoch:    p.epoch,
		Upstream: e.engine.upstream.Name,
		Version:  e.version,
		First:    e.expectedFirstToken,
		Limited:  e.engine.rate != nil || e.engine.brittle != nil,
		Trial:    p.isTrial(e),
		Choice:   e.choice,
		Peer:     peer.gateway,
		PeerAge:  now - peer.at,
		TTL:      e.grantExpires - now,
	}})
}
