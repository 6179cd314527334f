package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// heartbeatTimeout bounds one heartbeat; a longer one could not renew.
	heartbeatTimeout = control.NodeTTL
	// heartbeatsPerLoadRequest is how many heartbeats pass between two askings for loads.
	heartbeatsPerLoadRequest = 4
	// leaseCheckInterval is the time between two looks at the own lease.
	leaseCheckInterval = 50 * time.Millisecond
	// watchDelay is the pause after a watch that found the node behind.
	watchDelay = 20 * time.Millisecond
	// maxLoad is the load of a node whose waiting bytes have reached the limit.
	maxLoad = 255
)

// heartbeatLoop keeps the node's lease and view up to date.
func (a *Agent) heartbeatLoop() {
	for n := 0; a.ctx.Err() == nil; n++ {
		changed := a.heartbeat(n%heartbeatsPerLoadRequest == 0)
		if changed {
			continue
		}
		select {
		case <-a.ctx.Done():
		case <-a.heartbeatNow:
		case <-time.After(control.HeartbeatInterval):
		}
	}
}

// watchLoop has the next heartbeat sent at once when the node is behind.
func (a *Agent) watchLoop() {
	for a.ctx.Err() == nil {
		_, revision := a.view.Config()
		args := &control.WatchArgs{HaveRevision: revision, HaveView: a.view.Members().Sequence}
		reply, err := control.Call[control.WatchReply](a.ctx, a.control, "Watch", args)
		if err != nil || !reply.Changed {
			continue
		}
		select {
		case a.heartbeatNow <- struct{}{}:
		default:
		}
		sleep(a.ctx, watchDelay)
	}
}

// heartbeat sends one heartbeat and acts on its reply. What the reply takes
// away has stopped before the next heartbeat acknowledges it.
func (a *Agent) heartbeat(wantLoads bool) bool {
	ctx, cancel := context.WithTimeout(a.ctx, heartbeatTimeout)
	defer cancel()
	args := a.view.Heartbeat(a.load(), wantLoads)
	args.Stamp = a.clock.Now(time.Now())
	sent := time.Now()
	reply, err := control.Call[control.HeartbeatReply](ctx, a.control, "Heartbeat", args)
	if err != nil {
		return false
	}
	a.clock.Observe(reply.Stamp)
	if reply.Superseded {
		a.fail(errSuperseded)
		return false
	}
	change, err := a.view.TakeReply(sent, &reply)
	if err != nil {
		klog.ErrorS(err, "update of the node's view does not fit, asking for everything")
	}
	if change.Any() {
		a.applyView(change.Config)
	}
	return change.Any()
}

// load returns the part of the node's memory for requests in use, 0 to 255.
func (a *Agent) load() uint8 {
	return uint8(min(maxLoad, maxLoad*a.budget.Used()/a.settings.Limits.MaxWaitingBytes))
}

// applyView makes the node act on its changed view.
func (a *Agent) applyView(configChanged bool) {
	if configChanged {
		_, revision := a.view.Config()
		a.events.Record(timeline.Event{Kind: timeline.KindConfig, Revision: revision})
		klog.InfoS("configuration in force", "revision", revision)
	}
	// A former life of the node may still be listed as draining.
	if node, ok := a.view.Members().Nodes[a.settings.Node]; ok && node.Draining && node.Incarnation == a.incarnation {
		a.Drain()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateRunners()
	a.updateClients()
}

// updateRunners starts and stops the schedulers whose leases the node won and
// lost. The caller holds the lock.
func (a *Agent) updateRunners() {
	if a.ctx.Err() != nil {
		return
	}
	held := a.view.HeldPools(time.Now())
	for name, r := range a.runners {
		if l, ok := held[name]; !ok || l.Epoch != r.Master().Epoch() {
			a.stopRunner(name, r)
		}
	}
	for name, l := range held {
		if r := a.runners[name]; r != nil {
			r.Update()
			continue
		}
		a.startRunner(l)
	}
}

// updateClients connects the gateway with the present holders. The caller
// holds the lock.
func (a *Agent) updateClients() {
	cfg, _ := a.view.Config()
	for name := range cfg.Pools {
		if a.clients[name] == nil {
			a.startClient(name)
		}
		if l, node, ok := a.view.Holder(name); ok {
			a.clients[name].SetHolder(pool.Holder{Lease: l, Address: node.InternalAddress})
		}
	}
	for name, c := range a.clients {
		if _, ok := cfg.Pools[name]; !ok {
			c.cancel()
			delete(a.clients, name)
		}
	}
}

// leaseLoop stops the node's schedulers when its own lease has ended, and
// starts them again when it holds them after a renewal.
func (a *Agent) leaseLoop() {
	fresh := false
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-time.After(leaseCheckInterval):
		}
		a.checkReachable(time.Now())
		now := a.Fresh()
		if now == fresh {
			continue
		}
		fresh = now
		a.leaseChanged(fresh)
	}
}

func (a *Agent) leaseChanged(fresh bool) {
	detail := "lease ended"
	if fresh {
		detail = "lease held"
	}
	a.events.Record(timeline.Event{Kind: timeline.KindNodeLease, Detail: detail})
	klog.InfoS("node lease changed", "node", a.settings.Node, "fresh", fresh)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateRunners()
}
