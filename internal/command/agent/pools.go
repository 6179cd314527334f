package agent

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

var errSuperseded = errors.New("superseded by a process that started later under the same node name")

func (a *Agent) startRunner(l lease.Pool) {
	r := pool.StartRunner(l, pool.Dependencies{
		View:    a.view,
		Reports: &reports{sender: a.sender},
		Moves:   &moveLog{client: a.control},
		Events:  a.events,
	})
	a.runners[l.Pool] = r
	a.pools.Put(r.Master())
	a.events.Record(timeline.Event{Kind: timeline.KindPoolLease, Pool: l.Pool, Detail: "scheduling begins"})
	klog.InfoS("scheduling begins", "pool", l.Pool, "epoch", l.Epoch)
}

func (a *Agent) stopRunner(name ident.PoolName, r *pool.Runner) {
	delete(a.runners, name)
	a.pools.Remove(name)
	r.Stop()
	a.events.Record(timeline.Event{Kind: timeline.KindPoolLease, Pool: name, Detail: "scheduling ends"})
	klog.InfoS("scheduling ends", "pool", name, "epoch", r.Master().Epoch())
}

func (a *Agent) startClient(name ident.PoolName) {
	ctx, cancel := context.WithCancel(a.ctx)
	c := &poolClient{
		Client: pool.NewClient(name, a.settings.Node, a.incarnation, a.rpcClient, a.clock),
		cancel: cancel,
	}
	a.clients[name] = c
	a.loops.Go(func() { c.Run(ctx) })
}

// stopPools stops all schedulers of the node.
func (a *Agent) stopPools() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, r := range a.runners {
		a.stopRunner(name, r)
	}
}

// outstanding returns the number of requests that wait or run at this node's
// gateway.
func (a *Agent) outstanding() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, c := range a.clients {
		waiting, running := c.Load()
		n += waiting + running
	}
	return n
}
