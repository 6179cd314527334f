package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/region"
)

// regionWork is the waiting work of tickets with the same regions.
type regionWork struct {
	regions []ident.Region
	work    time.Duration
	tickets int
}

// regionQueue holds the waiting work of a tier that may not run everywhere, by regionKey.
type regionQueue map[string]*regionWork

func (q regionQueue) add(e *entry) {
	if e.ticket.Regions == nil {
		return
	}
	if e.regionKey == "" {
		e.regionKey = regionKey(e.ticket.Regions)
	}
	w := q[e.regionKey]
	if w == nil {
		w = &regionWork{regions: e.ticket.Regions}
		q[e.regionKey] = w
	}
	w.work += e.serviceTime
	w.tickets++
}

func (q regionQueue) remove(e *entry) {
	if e.ticket.Regions == nil {
		return
	}
	w := q[e.regionKey]
	w.work -= e.serviceTime
	w.tickets--
	if w.tickets == 0 {
		delete(q, e.regionKey)
	}
}

// regionLoad is work in seconds, by the regions in which it may run. Work that may run in
// several of them is divided by their slots.
type regionLoad struct {
	names []ident.Region
	// slots is the number of usable slots of each region, and pinned the work that must run
	// there; anywhere is the work that may run in any.
	slots, pinned []float64
	anywhere      float64
}

// newRegionLoad returns an empty load over the regions of the pool's upstreams.
func (p *Pool) newRegionLoad() *regionLoad {
	l := &regionLoad{}
	for _, g := range p.orderedEngines {
		at := slices.Index(l.names, g.upstream.Region)
		if at < 0 {
			at = len(l.names)
			l.names, l.slots, l.pinned = append(l.names, g.upstream.Region), append(l.slots, 0), append(l.pinned, 0)
		}
		l.slots[at] += float64(g.slots)
	}
	return l
}

// scaled returns a copy with the given number of slots over all regions.
func (l *regionLoad) scaled(spare float64) *regionLoad {
	total := 0.0
	for _, s := range l.slots {
		total += s
	}
	next := &regionLoad{names: l.names, slots: make([]float64, len(l.slots)), pinned: slices.Clone(l.pinned), anywhere: l.anywhere}
	for i, s := range l.slots {
		if total > 0 {
			next.slots[i] = s * spare / total
		}
	}
	return next
}

// add adds seconds of work of tickets with the given regions.
func (l *regionLoad) add(set []ident.Region, work float64) {
	if set == nil {
		l.anywhere += work
		return
	}
	inside := 0.0
	for i, name := range l.names {
		if region.Contains(set, name) {
			inside += l.slots[i]
		}
	}
	if inside == 0 {
		// It waits for upstreams that are out of service, and delays no other work.
		return
	}
	for i, name := range l.names {
		if region.Contains(set, name) {
			l.pinned[i] += work * l.slots[i] / inside
		}
	}
}

// addTier adds a part of the waiting work of a tier.
func (l *regionLoad) addTier(q *tierQueue, part float64) {
	anywhere := q.work
	for _, w := range q.regional {
		l.add(w.regions, part*w.work.Seconds())
		anywhere -= w.work
	}
	l.anywhere += part * anywhere.Seconds()
}

// wait returns the time until the work is done in the first of the regions of a ticket. Work
// that may run anywhere goes where there is least; one region's backlog is not waited for in
// another.
func (l *regionLoad) wait(set []ident.Region) time.Duration {
	everywhere := l.level()
	if set == nil {
		return seconds(everywhere)
	}
	least := -1.0
	for i, name := range l.names {
		if l.slots[i] == 0 || !region.Contains(set, name) {
			continue
		}
		if own := max(everywhere, l.pinned[i]/l.slots[i]); least < 0 || own < least {
			least = own
		}
	}
	return seconds(max(0, least))
}

// level returns the time after which the work that may run anywhere is done, if it is spread
// so that it is done soonest.
func (l *regionLoad) level() float64 {
	order := make([]int, 0, len(l.names))
	for i, s := range l.slots {
		if s > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(l.pinned[a]/l.slots[a], l.pinned[b]/l.slots[b])
	})
	work, slots := l.anywhere, 0.0
	for _, i := range order {
		if slots > 0 && work/slots <= l.pinned[i]/l.slots[i] {
			break
		}
		work, slots = work+l.pinned[i], slots+l.slots[i]
	}
	if slots == 0 {
		return 0
	}
	return work / slots
}

// hasRegionalWork reports whether waiting tickets name regions.
func (p *Pool) hasRegionalWork() bool {
	return slices.ContainsFunc(p.tiers, func(q *tierQueue) bool { return len(q.regional) > 0 })
}

// waitAhead estimates the wait of a ticket behind the work of higher tiers and the work of its
// own tier that is served before it.
func (p *Pool) waitAhead(e *entry, tier *tierQueue, now time.Duration) time.Duration {
	inTier := workAheadInTier(tier, e)
	spare := p.spareSlots(tier, e.deadline-now, now)
	if e.ticket.Regions == nil && !p.hasRegionalWork() {
		ahead := inTier
		for _, q := range p.tiers {
			if q.tier.Rank > tier.tier.Rank {
				ahead += q.work
			}
		}
		return scaleBy(ahead, 1/spare)
	}
	l := p.newRegionLoad().scaled(spare)
	for _, q := range p.tiers {
		if q.tier.Rank > tier.tier.Rank {
			l.addTier(q, 1)
		}
	}
	if tier.work > 0 {
		l.addTier(tier, inTier.Seconds()/tier.work.Seconds())
	}
	return l.wait(e.ticket.Regions)
}

// sweepLoad accumulates the work ahead of the waiting tickets in a sweep. It is nil while no
// ticket names regions.
type sweepLoad struct {
	// slots has the slots of the regions, and higher the tiers above the present one.
	slots  *regionLoad
	higher []*tierQueue
	// seen is the work of the present tier so far, by regionKey.
	seen regionQueue
	all  time.Duration
}

func (p *Pool) newSweepLoad() *sweepLoad {
	if !p.hasRegionalWork() {
		return nil
	}
	return &sweepLoad{slots: p.newRegionLoad()}
}

// beginTier goes on to the next tier.
func (s *sweepLoad) beginTier() {
	if s != nil {
		s.seen, s.all = make(regionQueue), 0
	}
}

// endTier counts the tier as higher than those that follow.
func (s *sweepLoad) endTier(q *tierQueue) {
	if s != nil {
		s.higher = append(s.higher, q)
	}
}

// add counts a ticket that stays in the present tier.
func (s *sweepLoad) add(e *entry) {
	if s != nil {
		s.seen.add(e)
		s.all += e.serviceTime
	}
}

// wait estimates the wait of a ticket behind the higher tiers and the part of its own tier so
// far that is served before it, with the given number of slots.
func (s *sweepLoad) wait(e *entry, own time.Duration, spare float64) time.Duration {
	l := s.slots.scaled(spare)
	for _, q := range s.higher {
		l.addTier(q, 1)
	}
	if s.all > 0 {
		l.addTier(&tierQueue{work: s.all, regional: s.seen}, min(1, own.Seconds()/s.all.Seconds()))
	}
	return l.wait(e.ticket.Regions)
}
