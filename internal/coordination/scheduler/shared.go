package scheduler

import (
	"maps"
	"math"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// tuning holds the times that differ between a scheduler under a lease and one
// that others may stand beside.
type tuning struct {
	// minSilence is the least time to an expected sign of life.
	minSilence time.Duration
	// probeMinInterval and probeMax bound the time between probes, which doubles.
	probeMinInterval time.Duration
	probeMaxInterval time.Duration
	// orphanTimeout is how long a slot of unknown fate stays counted.
	orphanTimeout time.Duration
	// takeoverWait is how long a new scheduler waits for registrations.
	takeoverWait time.Duration
	// failuresToEject is the number of failures in a row, and failurePart the
	// part of recent outcomes, that ejects an upstream.
	failuresToEject int
	failureRatio    float64
	// failurePenalty is how much longer an answer may take elsewhere, for an
	// upstream that fails all requests to be passed over.
	failurePenalty time.Duration
	// headCandidates is the number of upstreams at the head of a ready set that a
	// ticket looks at.
	headCandidates int
	// minRetryAfter is the least advice to a caller that was refused.
	minRetryAfter time.Duration
}

var leaseTuning = tuning{
	minSilence: minSilence, probeMinInterval: probeMinInterval, probeMaxInterval: probeMaxInterval,
	orphanTimeout: orphanTimeout, takeoverWait: takeoverWait, minRetryAfter: minRetryAfter,
	failuresToEject: failuresToEject, failureRatio: failureRatio, headCandidates: headCandidates,
}

// sharedTuning fits objectives of some hundred milliseconds and upstreams that
// drop a request when its connection closes.
var sharedTuning = tuning{
	minSilence: time.Second, probeMinInterval: 500 * time.Millisecond, probeMaxInterval: 4 * time.Second,
	orphanTimeout: 250 * time.Millisecond, takeoverWait: 40 * time.Millisecond, minRetryAfter: 30 * time.Millisecond,
	failuresToEject: 6, failureRatio: 0.85, failurePenalty: 3 * time.Second, headCandidates: 64,
}

// tuningFor returns the tempo that a view asks for.
func tuningFor(v View) tuning {
	if v.Shared != nil {
		return sharedTuning
	}
	return leaseTuning
}

// lateSuffix marks the queue of a tier's tickets that have missed their objective.
const lateSuffix = "/late"

// onTimeTier and lateTier split a tier: tickets past their objective rank below
// those of the tier that can meet theirs, and above all lower tiers.
func onTimeTier(t Tier) Tier {
	return Tier{Name: t.Name, Rank: 2*t.Rank + 1, Reserve: t.Reserve}
}

func lateTier(t Tier) Tier {
	return Tier{Name: t.Name + lateSuffix, Rank: 2 * t.Rank}
}

// tierOf returns the queue of a ticket's tier.
func (p *Pool) tierOf(e *entry) *tierQueue {
	if p.view.Shared != nil && e.lateUntil != 0 {
		return p.tier(e.ticket.Tier + lateSuffix)
	}
	return p.tier(e.ticket.Tier)
}

// capacityFraction is the part of the pool's capacity that this scheduler may use.
func (p *Pool) capacityFraction() float64 {
	if p.view.Shared == nil || len(p.gateways) == 0 {
		return 1
	}
	all := len(p.gateways)
	for id := range p.registered {
		if !p.gateways[id] {
			all++
		}
	}
	return float64(max(1, len(p.registered))) / float64(all)
}

// quotaFraction is the part of the teams' quotas that this scheduler may use. A
// gateway that left the view may be cut off from the leader only, and then goes
// on with its own part for a while.
func (p *Pool) quotaFraction(now time.Duration) float64 {
	if p.view.Shared == nil || len(p.leftViewAt) == 0 {
		return p.fraction
	}
	gone := 0
	for id, at := range p.leftViewAt {
		if _, registered := p.registered[id]; !registered && now-at < p.view.Shared.CutOffServes {
			gone++
		}
	}
	here := float64(max(1, len(p.registered)))
	return here / (here/p.fraction + float64(gone))
}

// updateLeftGateways takes down when gateways left the view, and forgets those that came
// back or can't serve any more.
func (p *Pool) updateLeftGateways(gateways []ident.NodeID, now time.Duration) {
	for id := range p.gateways {
		p.leftViewAt[id] = now
	}
	for _, id := range gateways {
		delete(p.leftViewAt, id)
	}
	maps.DeleteFunc(p.leftViewAt, func(_ ident.NodeID, at time.Duration) bool { return now-at >= p.view.Shared.CutOffServes })
}

// updateCapacityFraction applies a changed portion to the upstreams.
func (p *Pool) updateCapacityFraction(now time.Duration) {
	fraction := p.capacityFraction()
	if fraction == p.fraction {
		return
	}
	p.fraction = fraction
	for _, g := range p.orderedEngines {
		before := g.limit()
		g.fraction = fraction
		// Limits are whole numbers: most stay the same when one of many gateways comes.
		if g.limit() != before {
			p.refresh(g, now)
		}
	}
	if s := p.view.Shared; s != nil {
		p.retries.configure(s.RetryRatio, s.RetryBurst*fraction)
	}
}

// scaleLimit scales a bound on one upstream; at least one request stays possible.
func scaleLimit(limit int, fraction float64) int {
	if fraction >= 1 || limit == 0 {
		return limit
	}
	return max(1, int(math.Ceil(float64(limit)*fraction)))
}

// hasCapacity tells whether the pool as a whole may run one more request: the
// bounds on single upstreams are rounded up and may add up to too much.
func (p *Pool) hasCapacity() bool {
	if p.fraction >= 1 {
		return true
	}
	whole := 0
	for _, g := range p.orderedEngines {
		if g.acceptsWork() {
			whole += g.unsharedLimit()
		}
	}
	return p.running < scaleLimit(whole, p.fraction)
}

// Depart implements Scheduler.
func (p *Pool) Depart(gateway ident.NodeID, now time.Duration) {
	if _, known := p.registered[gateway]; !known {
		return
	}
	delete(p.registered, gateway)
	if q := p.view.Shared.Quotas; q != nil {
		q.Depart(p.view.Pool, gateway, p.wallTime(now))
	}
	p.dropRequests(now, func(e *entry) bool { return e.ticket.Gateway == gateway })
	p.updateCapacityFraction(now)
	p.step(now)
}

// admitQuota lets the ticket wait under its team's quota, or returns how long the
// quota takes to allow the request. The rest of a stream was admitted with its
// beginning.
func (p *Pool) admitQuota(e *entry, now time.Duration) (ok bool, wait time.Duration) {
	s := p.view.Shared
	if s == nil || s.Quotas == nil || e.ticket.Resumes {
		return true, 0
	}
	ok, wait = s.Quotas.Admit(e.ticket.Team, e.ticket.Cost, p.quotaFraction(now), p.urgency(e), p.wallTime(now))
	if ok {
		e.pending = e.ticket.Cost
	}
	return ok, wait
}

// releaseQuota ends the ticket's waiting under its team's quota.
func (p *Pool) releaseQuota(e *entry) {
	if e.pending != 0 {
		p.view.Shared.Quotas.Release(e.ticket.Team, e.pending)
		e.pending = 0
	}
}

// spendQuota counts a ticket that is granted, each time anew: a request that
// runs again counts again.
func (p *Pool) spendQuota(e *entry, now time.Duration) {
	p.releaseQuota(e)
	if s := p.view.Shared; s != nil && s.Quotas != nil {
		s.Quotas.Spend(e.ticket.Team, e.ticket.Gateway, e.ticket.Cost, p.wallTime(now))
	}
}

// urgency places a ticket's tier among the tiers at work: 1 is the highest. One that
// has missed its objective has less, at the lowest tier less than 0.
func (p *Pool) urgency(e *entry) float64 {
	own := p.tier(e.ticket.Tier)
	below, above := 0, 0
	for _, q := range p.tiers {
		if q.arrivals.short.value(shortWindow, p.now) <= 0 {
			continue
		}
		switch {
		case q.tier.Rank < own.tier.Rank-1:
			below++
		case q.tier.Rank > own.tier.Rank:
			above++
		}
	}
	urgency := 1.0
	if below+above > 0 {
		urgency = float64(below) / float64(below+above)
	}
	if e.ticket.Returned {
		// Between those of its own tier that can meet their objectives and the next
		// lower tier.
		urgency -= 0.5 / float64(max(1, below+above))
	}
	return urgency
}

// wallTime turns the pool's time into a reading that all pools of a process share.
func (p *Pool) wallTime(now time.Duration) time.Time {
	return p.origin.Add(now)
}
