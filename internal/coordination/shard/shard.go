// Package shard splits the gateways of a large fleet into shards, each of which has a
// scheduler of its own. Every node computes the split from the members that it knows,
// without coordination: two nodes that know different members may for a while assign a
// gateway to different shards or schedulers, which the shared schedulers tolerate.
package shard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// maxGateways is the number of gateways that one scheduler serves. It bounds the
	// messages and sessions of a scheduler, which is an ordinary gateway with a part of a
	// core: it has to bear twice the usual load of its gateways.
	maxGateways = 72
	// mergeFraction is the fraction of maxGateways to which shards shrink before they are
	// merged, so that a fleet of changing size does not switch back and forth.
	mergeFraction = 0.4
)

// Count returns the number of shards for a number of gateways, a power of two. current is
// the number in use; 0 if there is none.
func Count(gateways, current int) int {
	count := max(1, current)
	for gateways > maxGateways*count {
		count *= 2
	}
	for count > 1 && float64(gateways) < mergeFraction*maxGateways*float64(count) {
		count /= 2
	}
	return count
}

// Of returns the shard of a gateway, 0 to count-1. When the count doubles, each shard
// splits in two and no gateway moves otherwise.
func Of(gateway ident.NodeID, count int) int {
	shard, hash := 0, rank(gateway)
	for n := count; n > 1; n /= 2 {
		shard = 2*shard + int(hash>>63)
		hash <<= 1
	}
	return shard
}

// Order returns the gateways of a shard in the order in which they are candidates for its
// scheduler. All gateways of the shard compute the same order.
func Order(gateways []ident.NodeID, shard, count int) []ident.NodeID {
	var members []ident.NodeID
	for _, g := range gateways {
		if Of(g, count) == shard {
			members = append(members, g)
		}
	}
	slices.SortFunc(members, func(a, b ident.NodeID) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	return members
}

func rank(gateway ident.NodeID) uint64 { return xxhash.Sum64String(string(gateway)) }
