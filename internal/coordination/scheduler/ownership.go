package scheduler

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/shard"
)

// minOwnedSlots is the number of a pool's slots, in its fraction, from which a scheduler
// keeps to slots of its own. With fewer, whole upstreams would be out of its reach.
const minOwnedSlots = 8

// ownsSlots reports whether this scheduler keeps to slots of its own on each upstream. It
// does where there are more schedulers than an upstream has slots: a limit of at least one
// request for each of them would exceed the upstream's.
func (p *Pool) ownsSlots() bool {
	if p.fraction >= 1 {
		return false
	}
	whole, upstreams := 0, 0
	for _, g := range p.orderedEngines {
		if g.acceptsWork() {
			whole += g.upstream.MaxConcurrent
			upstreams++
		}
	}
	perUpstream := p.fraction * float64(whole) / float64(max(1, upstreams))
	return perUpstream < 1-roundDownBelow && p.fraction*float64(whole) >= minOwnedSlots
}

// assignSlots divides the slots of each upstream among the gateways of the view, in the
// order of the shards and beginning at another one for each upstream. A scheduler owns the
// slots of the gateways that are registered with it. All schedulers that know the same
// gateways divide them in the same way. It reports whether limits may have changed.
func (p *Pool) assignSlots() (changed bool) {
	owns := p.ownsSlots()
	if !owns && !p.slotsAssigned {
		return false
	}
	p.slotsAssigned = owns
	for _, g := range p.orderedEngines {
		p.assignSlotsOf(g)
	}
	return true
}

// assignSlotsOf sets the slots of one upstream that this scheduler owns.
func (p *Pool) assignSlotsOf(g *engine) {
	g.ownsSlots, g.ownedSlots = p.slotsAssigned && len(p.gatewayOrder) > 0, 0
	if !g.ownsSlots {
		return
	}
	first := float64(xxhash.Sum64String(string(g.upstream.Name))) / math.MaxUint64
	slots := g.upstream.MaxConcurrent
	for k := range slots {
		_, at := math.Modf(first + (float64(k)+0.5)/float64(slots))
		owner := p.gatewayOrder[min(int(at*float64(len(p.gatewayOrder))), len(p.gatewayOrder)-1)]
		if _, registered := p.registered[owner]; registered {
			g.ownedSlots++
		}
	}
}

// orderGateways keeps the gateways of the view in the order of the shards.
func (p *Pool) orderGateways() { p.gatewayOrder = shard.Order(p.view.Gateways, 0, 1) }
