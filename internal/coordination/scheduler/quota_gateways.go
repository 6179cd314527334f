package scheduler

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// quotaGateway is the quota state of one gateway.
type quotaGateway struct {
	// pools holds the pools whose schedulers in this process serve the gateway.
	pools map[ident.PoolName]bool
	// since is when the record of what the gateway has sent begins. The record
	// has a gap between gapFrom and gapTo: in that time another scheduler may
	// have served the gateway, which has lost its own count.
	since, gapFrom, gapTo time.Time
	// registeredAt is when the first pool began to serve the gateway, and leftAt when the
	// last one stopped.
	registeredAt, leftAt time.Time
}

// gatewayRetention is how long the usage of a gateway that left is kept. It is
// longer than the windows in which quotas are counted.
const gatewayRetention = 20 * time.Second

// isServed reports whether any pool in this process serves the gateway.
func (g *quotaGateway) isServed() bool { return len(g.pools) > 0 }

// unknownFraction returns the fraction of the window ending now for which it is
// not known what the gateway sent.
func (g *quotaGateway) unknownFraction(window time.Duration, now time.Time) float64 {
	begin := now.Add(-window)
	unknown := overlap(begin, now, begin, g.since) + overlap(begin, now, g.gapFrom, g.gapTo)
	return min(1, float64(unknown)/float64(window))
}

// overlap returns the length of the time that two spans have in common.
func overlap(from, to, otherFrom, otherTo time.Time) time.Duration {
	if otherFrom.After(from) {
		from = otherFrom
	}
	if otherTo.Before(to) {
		to = otherTo
	}
	return max(0, to.Sub(from))
}

// overlapFraction returns the fraction of the served gateways that another scheduler may
// still count. The caller holds the lock.
func (q *Quotas) overlapFraction(now time.Time) float64 {
	served, overlap := 0, 0
	for _, g := range q.gateways {
		if !g.isServed() {
			continue
		}
		served++
		if now.Sub(g.registeredAt) < registrationOverlap {
			overlap++
		}
	}
	return float64(overlap) / float64(max(1, served))
}

// Register records that a pool's scheduler serves a gateway from now on, and what
// the gateway has sent since it started to count. Usage recorded here for an
// earlier incarnation of the gateway stays counted.
func (q *Quotas) Register(pool ident.PoolName, gateway ident.NodeID, sent []TeamUsage, uptime time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropExpired(now)
	began := now.Add(-uptime)
	g := q.gateways[gateway]
	if g == nil {
		g = &quotaGateway{pools: make(map[ident.PoolName]bool), since: began, leftAt: now}
		q.gateways[gateway] = g
		q.departed++
	}
	if !g.isServed() {
		q.departed--
		q.overlapUntil = now.Add(registrationOverlap)
		g.registeredAt = now
		g.gapFrom, g.gapTo = g.leftAt, began
		defer q.recordBaseline(now)
	}
	if began.Before(g.since) {
		g.since = began
	}
	g.pools[pool] = true
	for _, from := range []time.Time{g.since, g.gapTo} {
		if from.After(q.knownFrom) {
			q.knownFrom = from
		}
	}
	byTeam := make(map[ident.TeamName][]float64, len(sent))
	for _, s := range sent {
		byTeam[s.Team] = s.Recent
	}
	for name, t := range q.teams {
		u := t.usageOf(gateway, q.step(t, now))
		length := t.limit.stepLength()
		// The gateway's own count replaces the usage recorded here since that
		// count began.
		t.clear(u, int64(uptime)/length)
		for ago, tokens := range byTeam[name] {
			// Usage counts from the end of the step in which it was sent, so that
			// it does not leave the window early.
			t.add(u, tokens, int64(max(0, ago-1))*int64(usageStep)/length)
		}
	}
}

// clear removes a gateway's usage in the current step and the given number of
// steps before it.
func (t *teamQuota) clear(u *usage, steps int64) {
	for ago := range min(steps+1, quotaSteps, u.step+1) {
		t.add(u, -u.steps[(u.step-ago)%quotaSteps], ago)
	}
}

// recordBaseline records each team's usage when a new gateway registers. The
// caller holds the lock.
func (q *Quotas) recordBaseline(now time.Time) {
	for _, t := range q.teams {
		t.baseline, _ = q.used(t, now)
	}
}

// Depart records that a pool's scheduler no longer serves a gateway. What the
// gateway has used stays counted until it leaves the window, whoever serves the
// gateway now.
func (q *Quotas) Depart(pool ident.PoolName, gateway ident.NodeID, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.gateways[gateway]
	if g == nil || !g.pools[pool] {
		return
	}
	delete(g.pools, pool)
	if !g.isServed() {
		q.departed++
		g.leftAt = now
	}
	q.dropExpired(now)
}

// dropExpired removes the gateways that left more than gatewayRetention ago. The
// caller holds the lock.
func (q *Quotas) dropExpired(now time.Time) {
	for id, g := range q.gateways {
		if g.isServed() || now.Sub(g.leftAt) < gatewayRetention {
			continue
		}
		q.departed--
		delete(q.gateways, id)
		for _, t := range q.teams {
			delete(t.gateways, id)
		}
	}
}
