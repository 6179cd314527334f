package shard

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func fleet(n int) []ident.NodeID {
	var gateways []ident.NodeID
	for i := range n {
		gateways = append(gateways, ident.NodeID(fmt.Sprintf("10.%d.%d.%d", 1+i%5, i/200, i%200)))
	}
	return gateways
}

// TestCount_ChangesRarely grows and shrinks a fleet: one scheduler serves a small one, no
// scheduler serves much more than maxGateways, and a size that goes up and down around a
// bound keeps the count.
func TestCount_ChangesRarely(t *testing.T) {
	for gateways, want := range map[int]int{1: 1, 7: 1, 72: 1, 73: 2, 84: 2, 288: 4, 291: 8, 400: 8, 1000: 16} {
		must.Eq(t, want, Count(gateways, 0), must.Sprint(gateways, " gateways"))
	}
	count := Count(170, 0)
	for _, n := range []int{155, 165, 140, 161, 129, 288, 135} {
		must.Eq(t, count, Count(n, count), must.Sprint(n, " gateways"))
	}
	must.Eq(t, 2, Count(115, 4))
	must.Eq(t, 1, Count(0, 8))
}

// TestOf_SplitsInTwo checks that the shards are of similar size, and that a gateway stays
// with one half of its shard when the count doubles.
func TestOf_SplitsInTwo(t *testing.T) {
	gateways := fleet(1000)
	for count := 1; count <= 16; count *= 2 {
		sizes := make([]int, count)
		for _, g := range gateways {
			sizes[Of(g, count)]++
			must.Eq(t, Of(g, count), Of(g, 2*count)/2)
		}
		for shard, size := range sizes {
			must.Between(t, 0.6*1000/float64(count), float64(size), 1.4*1000/float64(count), must.Sprintf("shard %d of %d", shard, count))
		}
	}
}

// TestOrder_OneSchedulerPerShard checks that the shards have different first candidates,
// and that the loss of one changes the scheduler of its own shard only.
func TestOrder_OneSchedulerPerShard(t *testing.T) {
	gateways := fleet(291)
	const count = 4
	first := make(map[ident.NodeID]int)
	members := 0
	for shard := range count {
		order := Order(gateways, shard, count)
		first[order[0]] = shard
		members += len(order)
	}
	must.MapLen(t, count, first)
	must.Eq(t, 291, members)
	for lost, shard := range first {
		var left []ident.NodeID
		for _, g := range gateways {
			if g != lost {
				left = append(left, g)
			}
		}
		for other := range count {
			before, after := Order(gateways, other, count), Order(left, other, count)
			if other == shard {
				before = before[1:]
			}
			must.Eq(t, before, after)
		}
	}
}
