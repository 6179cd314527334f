package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestAddresses_AllGatewaysGetCallers has more gateways than one answer can list.
// When every answer listed the first 64, those got all callers.
func TestAddresses_AllGatewaysGetCallers(t *testing.T) {
	const gateways, limit, answers = 280, 64, 500
	members := []control.Member{
		{ID: "core", InternalAddress: "10.0.0.1:7600"},
		{ID: "stopping", CallerAddress: "10.0.0.2:80", Draining: true},
	}
	for i := range gateways {
		members = append(members, control.Member{ID: ident.NodeID(fmt.Sprint(i)), CallerAddress: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250)})
	}
	random := rand.New(rand.NewPCG(1, 2))
	counts := make(map[string]int)
	for range answers {
		addresses := sampleGateways(members, limit, random.Perm)
		must.Len(t, limit, addresses)
		seen := make(map[string]bool)
		for _, address := range addresses {
			must.False(t, seen[address])
			seen[address] = true
			counts[address]++
		}
	}
	must.MapLen(t, gateways, counts)
	for address, times := range counts {
		// The expected count per gateway is 114 (500*64/280); 60 is five standard
		// deviations below it.
		must.Greater(t, 60, times, must.Sprint(address))
	}
	must.Len(t, 3, sampleGateways(members[:5], limit, random.Perm))
	must.SliceEmpty(t, sampleGateways(members[:2], limit, random.Perm))
}
