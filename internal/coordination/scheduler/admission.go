package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// admit returns the reason to refuse a new ticket immediately, or "" if it may
// wait.
func (p *Pool) admit(e *entry, now time.Duration) Reason {
	p.estimate(e)
	if reason := p.admitPoison(e, now); reason != "" {
		return reason
	}
	if p.isUnservable() {
		return ReasonNoUpstream
	}
	if reason := p.admitRegion(e, now); reason != "" {
		return reason
	}
	if p.exhausted(e) {
		return ReasonUnsent
	}
	if ok, wait := p.admitQuota(e, now); !ok {
		e.quotaWait = wait
		return ReasonQuota
	}
	if p.slots == 0 && !p.canProbe(e, now) {
		if p.view.Incomplete {
			// After a start the upstreams become known within a second.
			return ""
		}
		return ReasonNoUpstream
	}
	wait := p.expectedWait(e, now)
	e.waitAhead = wait
	if e.lateUntil != 0 {
		// A retry that came when it was told to waits as long as any late ticket may.
		if !e.reserved && now+wait > e.lateUntil || now+wait+e.shortest >= e.deadline {
			return ReasonDeadline
		}
		return ""
	}
	contended := p.isLowestActive(p.tierOf(e), now)
	if !e.missesDeadline(wait, contended, now) || p.keepLate(e, wait, now) || p.admitTrial(e, wait, now) {
		return ""
	}
	return ReasonDeadline
}

const (
	// lateWaitFraction is the fraction of its remaining time that a ticket which
	// misses its objective may spend waiting. A caller that would wait longer is
	// better off retrying.
	lateWaitFraction = 0.3
	// latePatienceFraction is the fraction of its caller's patience that such a
	// ticket may spend waiting.
	latePatienceFraction = 0.75
)

// lateWait returns how much longer a ticket that misses its objective may wait.
func (e *entry) lateWait(now time.Duration) time.Duration {
	limit := scaleBy(e.deadline-now, lateWaitFraction)
	if e.ticket.Patience > 0 {
		limit = min(limit, e.submittedAt+scaleBy(e.ticket.Patience, latePatienceFraction)-now)
	}
	return limit
}

// keepLate keeps a ticket that misses its objective if it can be served soon
// after, and reports whether it did. The ticket then waits behind those that meet
// their objectives.
func (p *Pool) keepLate(e *entry, wait, now time.Duration) bool {
	if e.objective == 0 {
		return false
	}
	limit := e.lateWait(now)
	if wait > limit || now+wait+e.shortest >= e.deadline {
		return false
	}
	objective := e.objective
	e.objective, e.lateUntil = 0, now+limit
	if p.expectedWait(e, now) > limit {
		// The late tickets that already wait leave no room for another.
		e.objective, e.lateUntil = objective, 0
		return false
	}
	return true
}

// exhausted reports whether the ticket excludes every upstream that could take
// it, after failed attempts to send it.
func (p *Pool) exhausted(e *entry) bool {
	if len(e.ticket.Excluded) == 0 {
		return false
	}
	for _, g := range p.orderedEngines {
		if g.acceptsWork() && e.mayUse(g) {
			return false
		}
	}
	return true
}

// trialInterval is the minimum time between trials. A trial is a ticket that is
// admitted although, by the learned speed, even an idle upstream would be too
// slow for it.
const trialInterval = time.Second

// trialFastRatio is the ratio of actual to expected time below which the answer
// to a trial shows that a slow period has ended.
const trialFastRatio = 0.5

// admitTrial admits a ticket as a trial if only the learned speed speaks against
// it, at most once per trialInterval. Without trials there would be no new
// samples, and a slow period would never be forgotten.
func (p *Pool) admitTrial(e *entry, wait, now time.Duration) bool {
	e.trial = wait == 0 && now < e.deadline && p.readyFor(e) && now >= p.nextTrial
	if e.trial {
		p.nextTrial = now + trialInterval
	}
	return e.trial
}

// estimate sets the ticket's expected output length and service times, on an
// upstream of the pool at its average load.
func (p *Pool) estimate(e *entry) {
	batch := 1
	if n := len(p.engines) - p.barred; n > 0 {
		batch = 1 + p.running/n
	}
	output := p.outputs.predict(e.ticket.Route, e.ticket.OutputTokens)
	prompt := float64(e.ticket.PromptTokens)
	e.expectedOutput, e.longOutput = output.expected, output.long
	e.firstTokenEstimate = p.speed.firstToken(prompt)
	e.serviceTime = p.speed.serviceTime(prompt, output.expected, batch)
	e.shortest = p.speed.serviceTime(prompt, output.short, batch)
	e.longest = p.speed.serviceTime(prompt, output.long, batch)
}

// canProbe reports whether the ticket could be used as a probe now.
func (p *Pool) canProbe(e *entry, now time.Duration) bool {
	return p.probeEngine(e, now) != nil
}

// minSpareFraction is the minimum fraction of the slots that a tier is assumed to
// get, however much work arrives for higher tiers.
const minSpareFraction = 0.02

// spareSlots estimates how many slots a tier may use over the coming time: those
// that the work arriving for higher tiers leaves.
func (p *Pool) spareSlots(tier *tierQueue, horizon, now time.Duration) float64 {
	slots := p.usableSlots()
	if len(p.limited)+len(p.coldEngines) == 0 {
		slots = max(1, slots)
	}
	higher := 0.0
	for _, q := range p.tiers {
		if q.tier.Rank > tier.tier.Rank {
			higher += q.arrivals.expected(horizon, now)
		}
	}
	return max(slots*minSpareFraction, slots-higher)
}

// isLowestActive reports whether no lower tier has work that could yield to this
// tier's work.
func (p *Pool) isLowestActive(tier *tierQueue, now time.Duration) bool {
	lower := 0.0
	for _, q := range p.tiers {
		if q.tier.Rank >= tier.tier.Rank {
			continue
		}
		if q.waiting > 0 {
			return false
		}
		lower += q.arrivals.short.value(shortWindow, now)
	}
	return lower < minSpareFraction*p.usableSlots()
}

// expectedWait estimates the time until a new ticket gets a slot: the work ahead
// of it in its own and higher tiers, divided by the slots that its tier may use.
func (p *Pool) expectedWait(e *entry, now time.Duration) time.Duration {
	tier := p.tierOf(e)
	wait := p.waitAhead(e, tier, now)
	if reserved := p.reservedAhead(e, wait, now); reserved > 0 {
		wait += scaleBy(reserved, 1/p.spareSlots(tier, e.deadline-now, now))
	}
	return max(p.nextTokenFor(e, now), p.pauseWait(e, now), wait)
}

// workAheadInTier returns the work of the ticket's tier that is served before it:
// either all of it, or the team's own work divided by the team's fair share,
// whichever is less.
func workAheadInTier(q *tierQueue, e *entry) time.Duration {
	own, known := q.teams[e.ticket.Team]
	if !known || own.work == 0 {
		return 0
	}
	return min(q.work, scaleBy(own.work, q.totalWeight/own.weight))
}

// retryAfter estimates when capacity returns: when the waiting work will have
// been placed, when the quota allows the request, when an ejected upstream is
// probed again, or when the next trial is due.
func (p *Pool) retryAfter(e *entry, reason Reason, now time.Duration) time.Duration {
	switch reason {
	case ReasonPoisonPart, ReasonPoisonRequest:
		return 0
	case ReasonRegion:
		return p.regionRetryAfter(e, now)
	}
	after := p.expectedWait(e, now)
	switch {
	case reason == ReasonQuota:
		after = e.quotaWait
	case reason == ReasonNoUpstream:
		after = p.nextProbe(now)
	case reason == ReasonDeadline && after == 0:
		after = trialInterval
	}
	return min(maxRetryAfter, max(p.tuning.minRetryAfter, after))
}

// nextProbe returns the time until an ejected upstream may be probed, or the
// minimum interval between probes if no upstream is ejected. It is negative or 0 if a probe is
// due, also while others are due later.
func (p *Pool) nextProbe(now time.Duration) time.Duration {
	if len(p.ejected) == 0 {
		return p.tuning.probeMinInterval
	}
	next := time.Duration(math.MaxInt64)
	for _, g := range p.ejected {
		until := g.health.nextProbe(p.noneInRotation()) - now
		if wait := p.untilColdToken(g, now); wait > 0 {
			until = max(until, wait)
		}
		next = min(next, until)
	}
	return next
}

// shedOverLimit refuses tickets, lowest tier first, while the queue exceeds its
// limit.
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

// sweep refuses the waiting tickets that are not going to meet their deadlines,
// judged by the work ahead of each.
func (p *Pool) sweep(now time.Duration) {
	if p.reservations != nil {
		p.reservations.Expire(now)
	}
	p.refreshAll(now)
	p.updateUnusableSlots(now)
	ahead := time.Duration(0)
	load := p.newSweepLoad()
	for _, q := range p.tiers {
		if q.waiting > 0 {
			load.beginTier()
			p.sweepTier(q, ahead, load, now)
		}
		ahead += q.work
		load.endTier(q)
	}
}

// sweepTier reviews the tickets of one tier in order of slack. ahead is the
// waiting work of higher tiers, and load that of all by region.
func (p *Pool) sweepTier(q *tierQueue, ahead time.Duration, load *sweepLoad, now time.Duration) {
	order := make([]*entry, 0, q.waiting)
	for _, t := range q.active {
		order = append(order, t.entries...)
	}
	slices.SortFunc(order, byLatestStart)
	q.margin = 1
	tierWork := time.Duration(0)
	contended := p.isLowestActive(q, now)
	teamWork := make(map[*teamQueue]time.Duration, len(q.active))
	for _, e := range order {
		if reason := p.admitRegion(e, now); reason != "" {
			p.dequeue(e)
			p.refuse(e, reason, now)
			continue
		}
		own := scaleBy(teamWork[e.queue], q.totalWeight/e.queue.weight)
		spare := p.spareSlots(q, e.deadline-now, now)
		wait := max(p.pauseWait(e, now), scaleBy(ahead+min(tierWork, own), 1/spare))
		if load != nil {
			wait = max(p.pauseWait(e, now), load.wait(e, own, spare))
		}
		if e.missesDeadline(wait, contended, now) && p.keepLate(e, wait, now) {
			p.dequeue(e)
			p.enqueue(e)
			continue
		}
		if e.missesDeadline(wait, contended, now) || e.lateUntil != 0 && now >= e.lateUntil {
			p.dequeue(e)
			p.refuse(e, ReasonDeadline, now)
			continue
		}
		left := e.deadline - now
		q.margin = min(q.margin, float64(left-wait-e.longest)/float64(left))
		tierWork += e.serviceTime
		load.add(e)
		teamWork[e.queue] += e.serviceTime
	}
}

func byLatestStart(a, b *entry) int {
	return cmp.Compare(a.latestStart(), b.latestStart())
}
