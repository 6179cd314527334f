package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// referenceOutput is the answer length of the reference request, in tokens.
// Upstreams are ordered by their time for it, before a ticket's own lengths are
// known.
const referenceOutput = 200

// readySet is a min-heap of the upstreams of one version that can take a ticket
// now, ordered by the time that they would need for the reference request.
type readySet struct {
	version ident.VersionName
	engines []*engine
}

func (r *readySet) Len() int { return len(r.engines) }
func (r *readySet) Less(i, j int) bool {
	a, b := r.engines[i], r.engines[j]
	if a.score != b.score {
		return a.score < b.score
	}
	if a.grantedAt != b.grantedAt {
		return a.grantedAt < b.grantedAt
	}
	return a.upstream.Name < b.upstream.Name
}

func (r *readySet) Swap(i, j int) {
	r.engines[i], r.engines[j] = r.engines[j], r.engines[i]
	r.engines[i].readyIndex = i
	r.engines[j].readyIndex = j
}

func (r *readySet) Push(x any) {
	g := x.(*engine)
	g.readyIndex = len(r.engines)
	r.engines = append(r.engines, g)
}

func (r *readySet) Pop() any {
	last := r.engines[len(r.engines)-1]
	r.engines = r.engines[:len(r.engines)-1]
	last.readyIndex = -1
	return last
}

// refresh updates the pool's summary of an upstream. It must be called after
// every change to the upstream.
func (p *Pool) refresh(g *engine, now time.Duration) {
	slots, unshared := 0, 0
	if g.acceptsWork() {
		slots, unshared = g.limit(), g.unsharedLimit()
	}
	p.slots += slots - g.slots
	p.unsharedSlots += unshared - g.unsharedSlots
	g.slots, g.unsharedSlots = slots, unshared
	p.updateEjected(g)
	if g.isHeld(now) {
		p.removeReady(g)
		p.setHeldByCold(g, false)
		p.scheduleRefresh(g, g.heldUntil())
		return
	}
	if !p.refreshRate(g, now) {
		p.removeReady(g)
		p.setHeldByCold(g, g.free() > 0 && g.cold != nil && g.cold.bucket.tokens < 1)
		if g.free() > 0 {
			p.scheduleRefresh(g, now+p.untilToken(g, now))
		}
		return
	}
	p.setHeldByCold(g, false)
	wait := g.prefillWait(now)
	if g.free() == 0 || wait > maxBacklog && !g.limitTrusted {
		p.removeReady(g)
		if g.free() > 0 {
			p.scheduleRefresh(g, now+wait-maxBacklog)
		}
		return
	}
	g.score = wait + referenceOutput*g.speed.perToken(g.used()+1)
	p.addReady(g)
}

// updateEjected updates the list of ejected upstreams and records the change of
// rotation.
func (p *Pool) updateEjected(g *engine) {
	if g.health.ejected == g.countedEjected {
		return
	}
	g.countedEjected = g.health.ejected
	p.rotations = append(p.rotations, Rotation{
		Upstream: g.upstream.Name, Ejected: g.health.ejected, Failures: g.health.failures, FailureRate: g.health.failureRate, Slowness: g.health.slowness,
	})
	if g.countedEjected {
		p.ejected = append(p.ejected, g)
		return
	}
	p.ejected = slices.DeleteFunc(p.ejected, func(other *engine) bool { return other == g })
}

func (p *Pool) addReady(g *engine) {
	if g.readyIn != nil && g.readyIn.version == g.upstream.Version && g.readyRegion == g.upstream.Region {
		heap.Fix(g.readyIn, g.readyIndex)
		return
	}
	p.removeReady(g)
	g.readyIn = p.readySet(g.upstream.Version)
	heap.Push(g.readyIn, g)
	p.readyEngines++
	g.readyRegion = g.upstream.Region
	p.regions.add(g.readyRegion, 1)
}

func (p *Pool) removeReady(g *engine) {
	if g.readyIn == nil {
		return
	}
	heap.Remove(g.readyIn, g.readyIndex)
	g.readyIn = nil
	p.readyEngines--
	p.regions.add(g.readyRegion, -1)
}

// scheduleRefresh sets a timer that refreshes the upstream when its prompt
// backlog should be short again.
func (p *Pool) scheduleRefresh(g *engine, at time.Duration) {
	if g.refreshAt != 0 && g.refreshAt <= at {
		return
	}
	g.refreshAt = at
	p.timers.add(timer{at: at, kind: timerRefresh, engine: g})
}

func (p *Pool) readySet(version ident.VersionName) *readySet {
	for _, r := range p.readySets {
		if r.version == version {
			return r
		}
	}
	r := &readySet{version: version}
	p.readySets = append(p.readySets, r)
	return r
}

// refreshAll updates the summaries of all upstreams.
func (p *Pool) refreshAll(now time.Duration) {
	for _, g := range p.orderedEngines {
		p.refresh(g, now)
	}
}
