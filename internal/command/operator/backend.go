package operator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/command/agent"
	"github.com/flamingohaven/flamingohaven/internal/command/settings"
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/opshttp"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

const (
	// callTimeout limits one attempt to call a replica. It exceeds
	// control.MaxApplyWait, because an apply may wait that long at the leader.
	callTimeout = control.MaxApplyWait + time.Second
	// statusTimeout limits the status call that finds the live nodes.
	statusTimeout = 2 * time.Second
	// eventsTimeout limits the call for the events of one node.
	eventsTimeout = 2 * time.Second
	// eventsMethod is the RPC method that returns a node's events.
	eventsMethod = "Node.Events"
)

// backend implements opshttp.Backend.
type backend struct {
	opshttp.Control
	settings  *settings.Settings
	node      Node
	rpcClient *rpcnet.Client
}

// Addresses implements opshttp.Backend.
func (b *backend) Addresses() callerapi.AddressList {
	return b.node.Addresses()
}

// Ready implements opshttp.Backend.
func (b *backend) Ready() error {
	if !b.node.Fresh() {
		return errNoLease
	}
	for _, a := range b.node.Addresses().Addresses {
		if a.Node == b.settings.Node {
			return nil
		}
	}
	return errNotListed
}

// Timeline implements opshttp.Backend. It calls all nodes in parallel and returns
// the merged events and the nodes that did not answer.
func (b *backend) Timeline(ctx context.Context, filter timeline.Filter) ([]timeline.Event, []ident.NodeID) {
	nodes := b.knownNodes(b.liveNodes(ctx))
	lists := make([][]timeline.Event, len(nodes))
	answered := make([]bool, len(nodes))
	var wg sync.WaitGroup
	for i, n := range nodes {
		wg.Go(func() { lists[i], answered[i] = b.nodeEvents(ctx, n.Address, filter) })
	}
	wg.Wait()
	var missing []ident.NodeID
	for i, n := range nodes {
		if !answered[i] {
			missing = append(missing, n.ID)
		}
	}
	return timeline.Merge(lists...), missing
}

func (b *backend) nodeEvents(ctx context.Context, address string, filter timeline.Filter) ([]timeline.Event, bool) {
	ctx, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	var reply agent.EventsReply
	if err := b.rpcClient.Call(ctx, address, eventsMethod, &agent.EventsArgs{Filter: filter}, &reply); err != nil {
		return nil, false
	}
	return reply.Events, true
}

// liveNodes returns the live nodes; none if there is no leader.
func (b *backend) liveNodes(ctx context.Context) []control.NodeStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := b.Status(ctx)
	if err != nil {
		return nil
	}
	return status.Nodes
}

// knownNodes returns the replicas, this node and the live nodes, sorted by ID.
func (b *backend) knownNodes(live []control.NodeStatus) []settings.Replica {
	nodes := slices.Clone(b.settings.Replicas)
	nodes = append(nodes, settings.Replica{ID: b.settings.Node, Address: b.settings.InternalAdvertise})
	for _, n := range live {
		nodes = append(nodes, settings.Replica{ID: n.ID, Address: n.InternalAddress})
	}
	slices.SortStableFunc(nodes, func(a, b settings.Replica) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(nodes, func(a, b settings.Replica) bool { return a.ID == b.ID })
}
