package scheduler

import "time"

const (
	// reserveSlack is the slack below which a ticket may use its tier's reserve.
	reserveSlack = 5 * time.Second
	// reserveMargin is the minimum slack that every waiting ticket of higher
	// tiers must have, as a fraction of its remaining time, for a lower tier to
	// use its reserve.
	reserveMargin = 0.5
	// reservePause is how long a reserve is suspended after a ticket of its own
	// or a higher tier was refused.
	reservePause = 10 * time.Second
)

// placeReserved lets tiers with a reserve place tickets that are close to their
// deadlines ahead of higher tiers, as long as the higher tiers have enough slack.
func (p *Pool) placeReserved(now time.Duration) {
	if p.readyEngines == 0 {
		return
	}
	for i := len(p.tiers) - 1; i > 0; i-- {
		q := p.tiers[i]
		if q.tier.Reserve <= 0 || q.waiting == 0 || !p.canUseReserve(q, now) {
			continue
		}
		p.claimReserve(q, now)
	}
}

// canUseReserve reports whether higher tiers have work waiting and can spare the
// slots. While tickets of the tier itself are refused, capacity is too short for
// a reserve: it would only push higher tiers towards their deadlines.
func (p *Pool) canUseReserve(tier *tierQueue, now time.Duration) bool {
	contended := false
	for _, q := range p.tiers {
		if q.tier.Rank < tier.tier.Rank {
			break
		}
		if q.shedRecently(now) {
			return false
		}
		if q.tier.Rank == tier.tier.Rank || q.waiting == 0 {
			continue
		}
		contended = true
		if q.margin < reserveMargin {
			return false
		}
	}
	return contended
}

func (q *tierQueue) shedRecently(now time.Duration) bool {
	return q.shed && now < q.shedAt+reservePause
}

// claimReserve places the tier's most urgent tickets while it holds fewer
// slots than its reserve.
func (p *Pool) claimReserve(q *tierQueue, now time.Duration) {
	for float64(q.held+1) <= q.tier.Reserve*p.usableSlots() {
		e := q.mostUrgent()
		if e == nil || e.deadline-e.longest > now+reserveSlack {
			return
		}
		g := p.choose(e, now)
		if g == nil {
			return
		}
		p.dequeue(e)
		p.grant(e, g, now)
	}
}

// mostUrgent returns the tier's waiting ticket with the least slack.
func (q *tierQueue) mostUrgent() *entry {
	var most *entry
	for _, t := range q.active {
		if e := t.entries[0]; most == nil || e.latestStart() < most.latestStart() {
			most = e
		}
	}
	return most
}
