package scheduler

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler/retryslots"
)

// retryLimit is the part of its remaining time that a caller waits before it retries. Callers
// honour up to a third; the rest is for the way of the refusal.
const retryLimit = 0.32

// overloadedShare is the part of a tier's capacity that its requests within their objectives
// are expected to leave while the tier refuses some. With 0 to 0.2, the model of
// BenchmarkReservations refused more callers that could have been served; from 0.4 on, more
// retries came in vain.
const overloadedShare = 0.3

// reservedSuffix marks the queue of a tier's retries that were told to come now.
const reservedSuffix = "/reserved"

// reservesRetries reports whether refused callers get reservations.
func (p *Pool) reservesRetries() bool {
	return p.view.Shared != nil && p.view.Shared.RetryReservations
}

// reservingTiers splits a tier like onTimeTier and lateTier, with a queue between them for
// retries that have a reservation.
func reservingTiers(t Tier) []*tierQueue {
	return []*tierQueue{
		newTierQueue(Tier{Name: t.Name, Rank: 3*t.Rank + 2, Reserve: t.Reserve}),
		newTierQueue(Tier{Name: t.Name + reservedSuffix, Rank: 3*t.Rank + 1}),
		newTierQueue(Tier{Name: t.Name + lateSuffix, Rank: 3 * t.Rank}),
	}
}

// lateRanks returns by how much the rank of a tier's last queue is below that of its first.
func (p *Pool) lateRanks() int {
	if p.reservesRetries() {
		return 2
	}
	return 1
}

// setReservations applies the view's setting. A table that is switched off is forgotten.
func (p *Pool) setReservations() {
	switch {
	case !p.reservesRetries():
		p.reservations = nil
	case p.reservations == nil:
		p.reservations = retryslots.New()
	}
}

// takeReservation lets a ticket that is new here use the reservation of its caller. Such a
// ticket is a retry, so that it has missed its objective.
func (p *Pool) takeReservation(e *entry, now time.Duration) {
	t := &e.ticket
	if p.reservations == nil || t.Fingerprint == 0 || t.Objective == 0 || t.Sent || t.Arrived || t.Resumes {
		return
	}
	switch p.reservations.Take(p.retryRequest(e), t.Returned, now) {
	case retryslots.Honoured:
		e.reserved, e.objective = true, 0
		e.lateUntil = now + e.lateWait(now)
		e.retryNote = "retry at its reserved time"
	case retryslots.Early:
		e.retryNote = "retry before its reserved time"
	}
}

// retryRequest returns a ticket as the reservations see it.
func (p *Pool) retryRequest(e *entry) retryslots.Request {
	return retryslots.Request{
		Fingerprint: e.ticket.Fingerprint, Rank: p.tier(e.ticket.Tier).tier.Rank, Cost: max(time.Millisecond, e.serviceTime), Deadline: e.deadline,
	}
}

// planRetry decides when the caller of a refused ticket should retry. It reports false where
// reservations don't apply: the refusal is not for load, nothing is known of the capacity, or
// the caller has retried already.
func (p *Pool) planRetry(e *entry, reason Reason, now time.Duration) (after time.Duration, ok bool) {
	t := &e.ticket
	if p.reservations == nil || reason != ReasonDeadline && reason != ReasonOverload || p.slots == 0 || !p.placing {
		return 0, false
	}
	if t.Fingerprint == 0 || t.Objective == 0 || t.Returned || e.reserved || t.Sent || t.Arrived || t.Resumes {
		return 0, false
	}
	wait := max(p.nextTokenFor(e, now), p.pauseWait(e, now))
	if reason == ReasonDeadline && wait == 0 && p.expectedWait(e, now) == 0 {
		// The learned speed speaks against it, not the load.
		return 0, false
	}
	p.overload.observe(now)
	left := e.deadline - now
	r := p.retryRequest(e)
	r.Earliest = now + max(p.tuning.minRetryAfter, wait)
	r.Latest = now + scaleBy(left, retryLimit)
	at, ok := p.reservations.Reserve(r, p.retryCapacity(e, now), now)
	if !ok {
		p.unplanned++
		e.retryNote = "no retry fits in time"
		return 0, true
	}
	e.retryNote = fmt.Sprintf("retry reserved in %d ms", (at - now).Milliseconds())
	return at - now, true
}

// retryCapacity returns the capacity that is expected for retries of a ticket's tier.
func (p *Pool) retryCapacity(e *entry, now time.Duration) retryslots.Capacity {
	rank := p.tier(e.ticket.Tier).tier.Rank
	slots := p.usableSlots()
	if p.fraction < 1 && !p.slotsAssigned {
		slots = min(slots, float64(scaleLimit(p.unsharedSlots, p.fraction)))
	}
	c := retryslots.Capacity{Recent: slots, Usual: slots, Total: slots, Age: p.overload.age(now)}
	for _, q := range p.tiers {
		if q.tier.Rank > rank {
			c.Recent -= q.arrivals.short.value(shortWindow, now)
		}
		if q.tier.Rank >= rank {
			c.Usual -= q.arrivals.long.value(longWindow, now)
		}
		if q.tier.Rank >= rank-1 {
			c.Backlog += q.work
		}
	}
	c.Recent = max(0, overloadedShare*c.Recent)
	// Requests in flight have on average half of their time left.
	c.Backlog += scaleBy(p.meanService, float64(p.running)/2)
	return c
}

// reservedAhead returns the work of retries that are expected to come and be served before a
// late ticket of the tier that arrives now and waits for so long.
func (p *Pool) reservedAhead(e *entry, wait, now time.Duration) time.Duration {
	if p.reservations == nil || e.lateUntil == 0 || e.reserved {
		return 0
	}
	return p.reservations.Due(p.tier(e.ticket.Tier).tier.Rank, now, now+wait)
}

func (p *Pool) reservationCounts() retryslots.Counts {
	if p.reservations == nil {
		return retryslots.Counts{}
	}
	return p.reservations.Counts()
}

// overloadGap is the time without a refusal for load after which an overload is over.
const overloadGap = time.Second

// overloadSpan is the time since when refusals for load go on.
type overloadSpan struct {
	since, latest time.Duration
	known         bool
}

func (o *overloadSpan) observe(now time.Duration) {
	if !o.known || now-o.latest > overloadGap {
		o.since, o.known = now, true
	}
	o.latest = now
}

func (o *overloadSpan) age(now time.Duration) time.Duration { return now - o.since }
