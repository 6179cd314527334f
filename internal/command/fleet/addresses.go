package fleet

import (
	"math/rand/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
)

// CallerAddresses returns the caller addresses of up to limit gateways that are not
// draining. If there are more gateways, each call returns a random sample of them,
// so that callers spread over all gateways.
func (n *Node) CallerAddresses(limit int) []string {
	return sampleGateways(n.Members(), limit, rand.Perm)
}

// sampleGateways returns the caller addresses of up to limit gateways that are not
// draining, in the order given by permute.
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
