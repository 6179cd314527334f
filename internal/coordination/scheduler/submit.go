package scheduler

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Submit implements Scheduler.
func (p *Pool) Submit(t Ticket, now time.Duration) {
	p.submit(t, now)
	p.step(now)
}

// submit queues or refuses a new ticket. For a known ticket it repeats the
// decision.
func (p *Pool) submit(t Ticket, now time.Duration) {
	p.now = now
	if e, known := p.entries[t.ID]; known && e.state != stateEnded {
		p.repeatDecision(e, now)
		return
	}
	e := &entry{ticket: t, state: stateWaiting, deadline: now + t.Remaining, submittedAt: now}
	switch {
	case t.Objective == 0:
	case t.Returned:
		e.lateUntil = now + e.lateWait(now)
	default:
		e.objective = now + t.Objective
	}
	p.entries[t.ID] = e
	p.takeReservation(e, now)
	if p.isRetry(e) && !p.reserveRetry(e, now) {
		return
	}
	p.admitNew(e, now)
}

// admitNew queues or refuses a ticket that is new here.
func (p *Pool) admitNew(e *entry, now time.Duration) {
	defer p.observeService(e)
	e.admitted = true
	if reason := p.admit(e, now); reason != "" {
		p.refuse(e, reason, now)
		return
	}
	p.enqueue(e)
	e.queue.tier.arrivals.add(e.serviceTime.Seconds(), now)
}

func (p *Pool) enqueue(e *entry) {
	e.state = stateWaiting
	p.queueOf(e).add(e)
	p.waiting++
}

func (p *Pool) dequeue(e *entry) {
	e.queue.remove(e)
	p.waiting--
	p.lastWaiting = p.now
}

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
		Percent: int(100 * p.fraction), Retry: e.retryNote,
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

// refuse refuses a ticket that holds no slot and is in no queue.
func (p *Pool) refuse(e *entry, reason Reason, now time.Duration) {
	p.countColdHold(e, now)
	tier := p.tierOf(e)
	tier.shed = true
	tier.shedAt = now
	after, planned := p.planRetry(e, reason, now)
	if !planned {
		after = p.retryAfter(e, reason, now)
	}
	e.refusal = Refusal{Ticket: e.ticket.ID, Reason: reason, RetryAfter: after}
	e.state = stateRefused
	p.endTrial(e, false, false, now)
	p.releaseQuota(e)
	p.releaseRetry(e)
	refusal := e.refusal
	p.emit(e, Decision{Refusal: &refusal})
	p.forgetLater(e, now)
}

// forgetLater keeps a finished ticket for finishedRetention, to answer
// duplicates.
func (p *Pool) forgetLater(e *entry, now time.Duration) {
	e.ticket.Prefixes = nil
	p.timers.add(timer{at: now + finishedRetention, kind: timerForget, entry: e})
}

// Cancel implements Scheduler.
func (p *Pool) Cancel(id ident.RequestID, now time.Duration) {
	if e, known := p.entries[id]; known && e.state == stateWaiting {
		p.dequeue(e)
		p.end(e, now)
	} else if known && e.state == stateUndecided {
		p.end(e, now)
	}
	p.step(now)
}

// end marks a ticket that holds no slot and is in no queue as ended.
func (p *Pool) end(e *entry, now time.Duration) {
	p.endTrial(e, false, false, now)
	p.releaseQuota(e)
	p.releaseRetry(e)
	e.state = stateEnded
	p.forgetLater(e, now)
}
