package scheduler

import "time"

// admit returns the reason to refuse a new ticket at once, or none.
func (p *Pool) admit(e *entry, now time.Duration) Reason {
	p.estimate(e)
	if !p.serviceable() {
		return ReasonNoUpstream
	}
	if e.hopeless(p.wait(e), now) {
		return ReasonDeadline
	}
	return ""
}

// estimate sets the expected service time of a ticket on an upstream of the
// pool at its usual load.
func (p *Pool) estimate(e *entry) {
	batch := 1
	if n := len(p.engines); n > 0 {
		batch = 1 + p.running/n
	}
	output, short := p.outputs.predict(e.ticket.Route, e.ticket.OutputTokens)
	prompt := float64(e.ticket.PromptTokens)
	e.output = output
	e.service = p.speed.service(prompt, output, batch)
	e.shortest = p.speed.service(prompt, short, batch)
}

// serviceable tells whether any upstream takes new work.
func (p *Pool) serviceable() bool {
	for _, g := range p.engines {
		if g.open() && g.limit() > 0 {
			return true
		}
	}
	return false
}

// slots is the sum of the limits of upstreams that take new work.
func (p *Pool) slots() int {
	n := 0
	for _, g := range p.engines {
		if g.open() {
			n += g.limit()
		}
	}
	return n
}

// wait estimates the time until a ticket gets a slot: the work ahead of it in
// its own and higher tiers, spread over all slots.
func (p *Pool) wait(e *entry) time.Duration {
	ahead := time.Duration(0)
	for _, q := range p.tiers {
		if q.tier.Name == e.ticket.Tier {
			ahead += p.aheadInTier(q, e)
			break
		}
		ahead += q.work
	}
	return ahead / time.Duration(max(1, p.slots()))
}

// aheadInTier is the work of the ticket's tier that is served before it: all of
// it, or the team's own work at the team's fair share, whichever is less.
func (p *Pool) aheadInTier(q *tierQueue, e *entry) time.Duration {
	own, known := q.teams[e.ticket.Team]
	if !known || own.work == 0 {
		return 0
	}
	weights := 0.0
	for _, t := range q.active {
		weights += t.weight
	}
	return min(q.work, time.Duration(float64(own.work)*weights/own.weight))
}

// retryAfter estimates when the work that waits now will have been placed.
func (p *Pool) retryAfter(e *entry) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, p.wait(e)))
}

// shedOverLimit refuses tickets of the lowest tier while the queue is too long.
func (p *Pool) shedOverLimit(now time.Duration) {
	limit := p.view.QueueLimit
	if limit <= 0 {
		limit = defaultQueueLimit
	}
	for p.waiting > limit {
		for i := len(p.tiers) - 1; i >= 0; i-- {
			if e := p.tiers[i].victim(); e != nil {
				p.dequeue(e)
				p.refuse(e, ReasonOverload, now)
				break
			}
		}
	}
}

// sweep refuses waiting tickets that can no longer meet their deadlines.
func (p *Pool) sweep(now time.Duration) {
	var late []*entry
	for _, q := range p.tiers {
		for _, t := range q.active {
			for _, e := range t.entries {
				if e.hopeless(0, now) {
					late = append(late, e)
				}
			}
		}
	}
	for _, e := range late {
		p.dequeue(e)
		p.refuse(e, ReasonDeadline, now)
	}
}
