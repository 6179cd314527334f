package operator

import (
	"context"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/command/agent"
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// inFlightTimeout limits the call for the requests in flight from one node.
	inFlightTimeout = 2 * time.Second
	// inFlightMethod is the RPC method that returns a node's requests in flight.
	inFlightMethod = "Node.InFlight"
)

// InFlight implements opshttp.Backend. It calls all nodes in parallel.
func (b *backend) InFlight(ctx context.Context, live []control.NodeStatus) (map[ident.Zone]int, []ident.NodeID) {
	ctx, cancel := context.WithTimeout(ctx, inFlightTimeout)
	defer cancel()
	nodes := b.knownNodes(live)
	replies := make([]agent.InFlightReply, len(nodes))
	failures := make([]error, len(nodes))
	var wg sync.WaitGroup
	for i, n := range nodes {
		wg.Go(func() {
			failures[i] = b.rpcClient.Call(ctx, n.Address, inFlightMethod, &agent.InFlightArgs{}, &replies[i])
		})
	}
	wg.Wait()
	sum := make(map[ident.Zone]int)
	var missing []ident.NodeID
	for i, n := range nodes {
		if failures[i] != nil {
			missing = append(missing, n.ID)
			continue
		}
		for zone, requests := range replies[i].Zones {
			sum[zone] += requests
		}
	}
	return sum, missing
}
