package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/region"
)

// ReasonRegion means that no upstream in the regions of the request can serve it.
const ReasonRegion Reason = "region"

// regionCounts holds what placement needs to know of regions at all times.
type regionCounts struct {
	// ready counts the upstreams in ready sets by region.
	ready map[ident.Region]int
}

// add counts an upstream that entered a ready set (1) or left one (-1).
func (c *regionCounts) add(r ident.Region, change int) {
	if c.ready == nil {
		c.ready = make(map[ident.Region]int)
	}
	c.ready[r] += change
}

// permits reports whether the upstream is in a region of the ticket.
func (e *entry) permits(g *engine) bool { return region.Contains(e.ticket.Regions, g.upstream.Region) }

// mayUse reports whether the ticket may go to the upstream if that can take it.
func (e *entry) mayUse(g *engine) bool { return e.permits(g) && !e.excludes(g.upstream.Name) }

// regionKey returns the same text for tickets with the same regions in the same order.
func regionKey(set []ident.Region) string {
	var key strings.Builder
	for _, r := range set {
		key.WriteString(string(r))
		key.WriteByte(0)
	}
	return key.String()
}

// insideCounts counts the upstreams in the regions of a ticket.
type insideCounts struct {
	// listed counts those that the view lists, and slots is the sum of the limits of those
	// in rotation.
	listed, slots int
}

func (p *Pool) countInside(e *entry) insideCounts {
	var c insideCounts
	for _, g := range p.orderedEngines {
		if !e.permits(g) {
			continue
		}
		c.slots += g.slots
		if g.listed {
			c.listed++
		}
	}
	return c
}

// admitRegion returns ReasonRegion if no upstream in the ticket's regions can serve it, now or
// as a probe.
func (p *Pool) admitRegion(e *entry, now time.Duration) Reason {
	switch {
	case e.ticket.Regions == nil:
		return ""
	case region.IsNowhere(e.ticket.Regions):
		return ReasonRegion
	case p.view.Incomplete || p.countInside(e).slots > 0 || p.canProbe(e, now):
		// After a start the upstreams become known within a second.
		return ""
	}
	return ReasonRegion
}

// regionRetryAfter returns when a ticket that was refused for its regions may be served: when
// an upstream there is probed next. It is 0 if the configuration leaves none.
func (p *Pool) regionRetryAfter(e *entry, now time.Duration) time.Duration {
	if region.IsNowhere(e.ticket.Regions) || p.countInside(e).listed == 0 {
		return 0
	}
	next := time.Duration(0)
	for _, g := range p.ejected {
		if !e.mayUse(g) || !g.acceptsWork() {
			continue
		}
		if until := g.health.nextProbe(true) - now; next == 0 || until < next {
			next = until
		}
	}
	if next == 0 {
		next = p.tuning.probeMinInterval
	}
	return min(maxRetryAfter, max(p.tuning.minRetryAfter, next))
}

// noneInRotationFor reports whether no upstream in the ticket's regions is in rotation, so
// that only probes can serve it.
func (p *Pool) noneInRotationFor(e *entry) bool {
	if e.ticket.Regions == nil {
		return p.noneInRotation()
	}
	return p.countInside(e).slots == 0
}

// readyFor reports whether an upstream in the ticket's regions has a free slot.
func (p *Pool) readyFor(e *entry) bool {
	if e.ticket.Regions == nil {
		return p.readyEngines > 0
	}
	return p.readyIn(e.ticket.Regions)
}

// readyIn reports whether an upstream in one of the regions has a free slot.
func (p *Pool) readyIn(set []ident.Region) bool {
	return slices.ContainsFunc(set, func(r ident.Region) bool { return r != "" && p.regions.ready[r] > 0 })
}

// waitsForRegion reports whether a ticket that names regions can't be placed because no
// upstream there has a free slot or may be probed.
func (p *Pool) waitsForRegion(e *entry, now time.Duration) bool {
	return e.ticket.Regions != nil && !p.readyFor(e) && p.probeEngine(e, now) == nil
}

// considerInside adds the upstreams in the ticket's regions that are nearest to the head of a
// ready set to the candidates.
func (p *Pool) considerInside(e *entry, r *readySet, c *candidates, now time.Duration) {
	before := len(c.options)
	for _, g := range r.engines {
		if len(c.options)-before >= p.tuning.headCandidates {
			break
		}
		c.add(e, g, now)
	}
}

// anyPlaceable reports whether a tier has tickets other than such that wait for their regions.
func (p *Pool) anyPlaceable(q *tierQueue) bool {
	placeable := q.waiting
	if len(p.ejected) > 0 {
		// Any ticket may be a probe.
		return placeable > 0
	}
	for _, w := range q.regional {
		if !p.readyIn(w.regions) {
			placeable -= w.tickets
		}
	}
	return placeable > 0
}

// heldTickets are those that a placement passes over without counting them.
type heldTickets struct {
	entries []*entry
	// bounded counts those that maxHeld bounds. Tickets that wait for their regions are not:
	// however many there are, the others are served.
	bounded int
}

// hold takes a ticket that can't be placed now for a reason that the others don't share, and
// reports whether it did.
func (p *Pool) hold(e *entry, held *heldTickets, now time.Duration) bool {
	if p.waitsForRegion(e, now) {
		held.entries = append(held.entries, e)
		return true
	}
	if p.mustRunApart(e, now) || p.pauseWait(e, now) > 0 {
		held.entries = append(held.entries, e)
		held.bounded++
		return true
	}
	return false
}
