package scheduler

import (
	"maps"
	"math"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// tuning holds the times and thresholds that differ between a scheduler under a
// lease and a shared one.
type tuning struct {
	// minSilence is the minimum time after which a request counts as silent.
	minSilence time.Duration
	// probeMinInterval and probeMaxInterval bound the time between probes, which
	// doubles with each failed probe.
	probeMinInterval time.Duration
	probeMaxInterval time.Duration
	// orphanTimeout is how long an orphaned slot stays counted.
	orphanTimeout time.Duration
	// takeoverWait is how long a new scheduler waits for registrations.
	takeoverWait time.Duration
	// failuresToEject is the number of consecutive failures, and failureRatio the
	// ratio of failures among recent requests, at which an upstream is ejected.
	failuresToEject int
	failureRatio    float64
	// failurePenalty is added to the expected cost of an upstream that fails all
	// requests. One that fails some gets a proportionate part of it.
	failurePenalty time.Duration
	// headCandidates is the number of upstreams at the head of a ready set that
	// are considered for a ticket.
	headCandidates int
	// minRetryAfter is the minimum RetryAfter of a refusal.
	minRetryAfter time.Duration
}

var leaseTuning = tuning{
	minSilence: minSilence, probeMinInterval: probeMinInterval, probeMaxInterval: probeMaxInterval,
	orphanTimeout: orphanTimeout, takeoverWait: takeoverWait, minRetryAfter: minRetryAfter,
	failuresToEject: failuresToEject, failureRatio: failureRatio, headCandidates: headCandidates,
}

// sharedTuning suits objectives of a few hundred milliseconds and upstreams that
// drop a request when its connection closes.
var sharedTuning = tuning{
	minSilence: 1500 * time.Millisecond, probeMinInterval: 500 * time.Millisecond, probeMaxInterval: 2 * time.Second,
	orphanTimeout: 250 * time.Millisecond, takeoverWait: 40 * time.Millisecond, minRetryAfter: 30 * time.Millisecond,
	failuresToEject: 6, failureRatio: 0.85, failurePenalty: 3 * time.Second, headCandidates: 64,
}

// tuningFor returns the tuning that suits a view.
func tuningFor(v View) tuning {
	if v.Shared != nil {
		return sharedTuning
	}
	return leaseTuning
}

// lateSuffix marks the queue of a tier's tickets that have missed their objective.
const lateSuffix = "/late"

// onTimeTier and lateTier split a tier: tickets past their objective rank below
// those of the same tier that can meet theirs, and above all lower tiers.
func onTimeTier(t Tier) Tier {
	return Tier{Name: t.Name, Rank: 2*t.Rank + 1, Reserve: t.Reserve}
}

func lateTier(t Tier) Tier {
	return Tier{Name: t.Name + lateSuffix, Rank: 2 * t.Rank}
}

// tierOf returns the queue for a ticket: that of its tier, or that of the tier's
// late tickets.
func (p *Pool) tierOf(e *entry) *tierQueue {
	if e.reserved && p.reservations != nil {
		return p.tier(e.ticket.Tier + reservedSuffix)
	}
	if p.view.Shared != nil && e.lateUntil != 0 {
		return p.tier(e.ticket.Tier + lateSuffix)
	}
	return p.tier(e.ticket.Tier)
}

// capacityFraction returns the fraction of the pool's capacity that this
// scheduler may use.
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

// quotaFraction returns the fraction of the teams' quotas that this scheduler may
// use. A gateway that left the view may only be cut off from the leader, and then
// goes on using its own fraction for a while.
func (p *Pool) quotaFraction(now time.Duration) float64 {
	if p.view.Shared == nil || len(p.leftViewAt) == 0 {
		return p.fraction
	}
	gone := 0
	for id, at := range p.leftViewAt {
		if _, registered := p.registered[id]; !registered && now-at < p.view.Shared.CutOffGrace {
			gone++
		}
	}
	here := float64(max(1, len(p.registered)))
	return here / (here/p.fraction + float64(gone))
}

// updateLeftGateways records when gateways left the view, and forgets those that
// came back or can no longer serve.
func (p *Pool) updateLeftGateways(gateways []ident.NodeID, now time.Duration) {
	for id := range p.gateways {
		p.leftViewAt[id] = now
	}
	for _, id := range gateways {
		delete(p.leftViewAt, id)
	}
	maps.DeleteFunc(p.leftViewAt, func(_ ident.NodeID, at time.Duration) bool { return now-at >= p.view.Shared.CutOffGrace })
}

// updateCapacityFraction applies a changed fraction to the upstreams.
func (p *Pool) updateCapacityFraction(now time.Duration) {
	fraction := p.capacityFraction()
	if fraction == p.fraction {
		// It is the same before and after the first registration, and other gateways may
		// have come in the place of some; owned slots depend on which ones are registered.
		if p.slotsAssigned && p.assignSlots() {
			p.refreshAll(now)
		}
		return
	}
	p.fraction = fraction
	for _, g := range p.orderedEngines {
		before := g.limit()
		g.fraction = fraction
		// Limits are whole numbers, so most stay the same when one of many
		// gateways registers.
		if g.limit() != before {
			p.refresh(g, now)
		}
	}
	if p.assignSlots() {
		p.refreshAll(now)
	}
}

// roundDownBelow is the part of a request up to which a scaled limit is rounded down.
// Schedulers of equal shards that differ by some gateways then get equal parts of an
// upstream, not some of them one more.
const roundDownBelow = 0.3

// scaleLimit scales a limit on one upstream and rounds it, mostly up. At least one
// request stays possible.
func scaleLimit(limit int, fraction float64) int {
	if fraction >= 1 || limit == 0 {
		return limit
	}
	return max(1, int(math.Ceil(float64(limit)*fraction-roundDownBelow)))
}

// hasCapacity reports whether the pool as a whole may run one more request. The
// limits of single upstreams are rounded up, so their sum may exceed the
// scheduler's fraction, unless it keeps to slots of its own.
func (p *Pool) hasCapacity() bool {
	if p.fraction >= 1 || p.slotsAssigned {
		return true
	}
	return p.running < scaleLimit(p.unsharedSlots, p.fraction)
}

// Depart implements Scheduler.
func (p *Pool) Depart(gateway ident.NodeID, now time.Duration) {
	if _, known := p.registered[gateway]; !known {
		return
	}
	delete(p.registered, gateway)
	p.retries.depart(gateway, now)
	if s := p.view.Shared; s != nil && s.Quotas != nil {
		s.Quotas.Depart(p.view.Pool, gateway, p.wallTime(now))
	}
	p.dropRequests(now, func(e *entry) bool { return e.ticket.Gateway == gateway })
	p.updateCapacityFraction(now)
	p.step(now)
}

// admitQuota lets the ticket wait under its team's quota, or returns the time
// until the quota allows the request. The remainder of a stream was admitted with
// its beginning.
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

// releaseQuota ends the ticket's wait under its team's quota.
func (p *Pool) releaseQuota(e *entry) {
	if e.pending != 0 {
		p.view.Shared.Quotas.Release(e.ticket.Team, e.pending)
		e.pending = 0
	}
}

// spendQuota charges a granted ticket to its team's quota. A request that runs
// again is charged again.
func (p *Pool) spendQuota(e *entry, now time.Duration) {
	p.releaseQuota(e)
	if s := p.view.Shared; s != nil && s.Quotas != nil {
		s.Quotas.Spend(e.ticket.Team, e.ticket.Gateway, e.ticket.Cost, p.wallTime(now))
	}
}

// urgency returns the position of a ticket's tier among the active tiers: 0 for
// the lowest, 1 for the highest. A retry by the caller, which has missed its
// objective, gets less; in the lowest tier that is below 0.
func (p *Pool) urgency(e *entry) float64 {
	own := p.tier(e.ticket.Tier)
	below, above := 0, 0
	for _, q := range p.tiers {
		if q.arrivals.short.value(shortWindow, p.now) <= 0 {
			continue
		}
		switch {
		case q.tier.Rank < own.tier.Rank-p.lateRanks():
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
		// This lies between the tickets of the same tier that can meet their
		// objectives and the next lower tier.
		urgency -= 0.5 / float64(max(1, below+above))
	}
	return urgency
}

// wallTime converts the pool's time to wall-clock time, which all pools of a
// process share.
func (p *Pool) wallTime(now time.Duration) time.Time {
	return p.origin.Add(now)
}
