package scheduler

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// requestOverheadBytes is the size of a request and its answer besides the body that the
	// gateway holds: headers and a short answer.
	requestOverheadBytes = 1 << 10
	// zoneCandidates is the number of upstreams of the gateway's own data centre that are
	// considered beyond the head of a ready set.
	zoneCandidates = 8
	bytesPerGB     = 1e9
	// maxCrossingFraction is the fraction of the time to its objective that a ticket may spend
	// to stay within its data centre. One that has missed its objective spends nothing.
	maxCrossingFraction = 0.125
)

// ZonePolicy says what traffic between data centres is worth. The zero value prefers none.
type ZonePolicy struct {
	// Gateways holds the data centre of each gateway.
	Gateways map[ident.NodeID]ident.Zone
	// PerGB is how much longer an answer may take to keep a GB within the gateway's data
	// centre.
	PerGB time.Duration
}

// crossing returns the time that sending a ticket to an upstream costs because its bytes leave
// the data centre of its gateway. It is part of the ticket's cost there, so that upstreams
// elsewhere are chosen when those of the own data centre are slower by more: they are busy, slow or
// lack the prompt. It shrinks with the pool's idle fraction, since under load the fastest
// upstream serves more callers. The decision is made for each ticket by the scheduler that
// counts the load of all upstreams, so that shares follow the load without steps, and no herd
// forms on one data centre.
func (z *ZonePolicy) crossing(t *Ticket, u *Upstream, idle float64) time.Duration {
	if z == nil || z.PerGB <= 0 || idle <= 0 {
		return 0
	}
	own := z.Gateways[t.Gateway]
	if own == "" || u.Zone == "" || own == u.Zone {
		return 0
	}
	cost := scaleBy(z.PerGB, float64(t.BodyBytes+requestOverheadBytes)/bytesPerGB)
	if t.Objective != 0 {
		cost = min(cost, scaleBy(max(0, t.Objective), maxCrossingFraction))
	}
	return scaleBy(cost, min(1, idle))
}

// idleFraction returns the fraction of the pool's slots that are free; 0 while tickets wait.
func (p *Pool) idleFraction() float64 {
	if p.waiting > 0 || p.slots == 0 {
		return 0
	}
	return max(0, 1-float64(p.running)/float64(p.slots))
}

// ownZone returns the data centre whose upstreams a ticket prefers; empty if it has no
// preference.
func (z *ZonePolicy) ownZone(t *Ticket) ident.Zone {
	if z == nil || z.PerGB <= 0 {
		return ""
	}
	return z.Gateways[t.Gateway]
}

// considerZone adds upstreams of the ticket's own data centre that are not at the head of a
// ready set.
func (p *Pool) considerZone(e *entry, r *readySet, c *candidates, now time.Duration) {
	zone := p.view.Zones.ownZone(&e.ticket)
	if zone == "" {
		return
	}
	found := 0
	for _, g := range r.engines[min(p.tuning.headCandidates, len(r.engines)):] {
		if g.upstream.Zone != zone {
			continue
		}
		c.add(e, g, now)
		if found++; found == zoneCandidates {
			return
		}
	}
}
