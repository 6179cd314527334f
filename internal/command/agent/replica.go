package agent

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/peernet"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

// leadershipTransferTimeout bounds the leadership transfer when a node stops.
const leadershipTransferTimeout = 2 * time.Second

// membersPollInterval is the longest time between two checks for changed
// members.
const membersPollInterval = time.Second

// replica is a node's copy of the replicated state, with the consensus node and
// the control service.
type replica struct {
	rpcClient *rpcnet.Client
	machine   *machine.Machine
	node      *consensus.Node[machine.Result]
	service   *control.Service
}

// openReplica opens the data folder and registers the replica's RPC services.
// The replica takes part in consensus only after start.
func openReplica(a *Agent, o Overrides) (*replica, error) {
	rpcClient := rpcnet.NewClientWithDialer(o.dial())
	folder := o.Disk
	if folder == nil {
		folder = disk.NewOS(a.settings.DataDir)
	}
	m := machine.New(ledger.DefaultLimits())
	node, err := consensus.NewAwaitingSpace(consensus.Options{
		ID:              a.settings.Node,
		InitialReplicas: replicaIDs(&a.settings),
		FS:              folder,
		Peers:           &peernet.Peers{Calls: rpcClient, Address: addressOf(replicaAddresses(&a.settings))},
	}, m)
	if err != nil {
		rpcClient.Close()
		return nil, fmt.Errorf("open data folder %s: %w", a.settings.DataDir, err)
	}
	r := &replica{rpcClient: rpcClient, machine: m, node: node, service: control.NewService(a.settings.Node, node, m)}
	r.service.SetClock(a.clock)
	if err := a.rpcServer.Register(control.ServiceName, r.service); err != nil {
		return nil, err
	}
	return r, a.rpcServer.Register(peernet.ServiceName, node.Service())
}

// addressOf returns a function that looks up a replica's address in addresses.
func addressOf(addresses map[ident.NodeID]string) func(ident.NodeID) (string, bool) {
	return func(id ident.NodeID) (string, bool) {
		address, ok := addresses[id]
		return address, ok
	}
}

func (r *replica) start(a *Agent) {
	r.node.Start()
	a.loops.Go(func() { r.service.Run(a.ctx) })
	a.loops.Go(func() { r.watch(a) })
	a.loops.Go(func() { r.orderLoop(a) })
}

// watch records changes of leadership and members until the node stops. It
// reports the replica's failure as the node's fatal error.
func (r *replica) watch(a *Agent) {
	var last consensus.Leadership
	var lastMembers string
	for {
		lastMembers = r.recordMembers(a, lastMembers)
		select {
		case <-a.ctx.Done():
			return
		case err := <-r.node.Fatal():
			klog.ErrorS(err, "replica stopped", "node", a.settings.Node)
			a.fail(fmt.Errorf("replica: %w", err))
			return
		case <-r.node.Changes():
		case <-time.After(membersPollInterval):
		}
		now := r.node.Leadership()
		if now == last {
			continue
		}
		last = now
		detail := fmt.Sprintf("term %d, leader %q, leading here: %t", now.Term, now.Leader, now.Leading)
		a.events.Record(timeline.Event{Kind: timeline.KindLeadership, Detail: detail})
		klog.InfoS("leadership changed", "node", a.settings.Node, "term", now.Term, "leader", now.Leader, "leading", now.Leading)
	}
}

// recordMembers records the members if they differ from last, and returns the
// current ones in text form.
func (r *replica) recordMembers(a *Agent, last string) string {
	now := r.node.Members().String()
	if now == last {
		return last
	}
	a.events.Record(timeline.Event{Kind: timeline.KindReplicaChange, Detail: now})
	klog.InfoS("replicas changed", "node", a.settings.Node, "members", now)
	return now
}

// stop stops the replica. With transferLeadership set, a leader first transfers
// its leadership, for up to leadershipTransferTimeout.
func (r *replica) stop(transferLeadership bool) {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	if !transferLeadership {
		cancel()
	}
	if err := r.node.Stop(ctx); err != nil {
		klog.ErrorS(err, "replica did not shut down cleanly")
	}
	r.rpcClient.Close()
}
