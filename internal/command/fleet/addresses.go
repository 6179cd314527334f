package fleet

import (
	"math/rand/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
)

// CallerAddresses returns the addresses of the gateways that take new callers, at
// most the given number. Where there are more, each answer holds others, so that
// callers spread over all gateways.
func (n *Node) CallerAddresses(limit int) []string {
	return sampleGateways(n.Members(), limit, rand.Perm)
}

// sampleGateways picks gateways in the order of a random permutation.
func sampleGateways(members []control.Member, limit int, permute func(n int) []int) []string {
	var all []string
	for _, m := range members {
		if m.Gateway() && !m.Draining {
			all = append(all, m.CallerAddress)
		}
	}
	sample := make([]string, 0, min(limit, len(all)))
	for _, i := range permute(len(all))[:cap(sample)] {
		sample = append(sample, all[i])
	}
	return sample
}
