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
	// heartbeatTimeout bounds one heartbeat. A reply after the TTL could not renew
	// the lease.
	heartbeatTimeout = control.NodeTTL
	// heartbeatsPerLoadRequest is how many heartbeats are sent for each one that
	// asks for the other nodes' loads.
	heartbeatsPerLoadRequest = 4
	// leaseCheckInterval is the interval at which leaseLoop checks the node's
	// lease.
	leaseCheckInterval = 50 * time.Millisecond
	// watchDelay is the pause after a watch that reported a change, before the next
	// watch.
	watchDelay = 20 * time.Millisecond
	// maxLoad is the load of a node whose waiting bytes have reached the limit.
	maxLoad = 255
)

// heartbeatLoop keeps the node's lease and view up to date. It sends a
// heartbeat every control.HeartbeatInterval, and at once after a reply that
// changed the view or when watchLoop asks for one.
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

// watchLoop waits for changes that this node's view lacks and makes
// heartbeatLoop fetch them at once.
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

// heartbeat sends one heartbeat, applies its reply and reports whether the view
// changed. Schedulers whose leases the reply revokes stop here, before the next
// heartbeat acknowledges the revocation.
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
	change, err := a.view.ApplyReply(sent, &reply)
	if err != nil {
		klog.ErrorS(err, "update does not match the node's view, requesting a full update")
	}
	if change.Any() {
		a.applyView(change.Config)
	}
	return change.Any()
}

// load returns how much of the memory limit for waiting requests is in use,
// from 0 to maxLoad.
func (a *Agent) load() uint8 {
	return uint8(min(maxLoad, maxLoad*a.budget.Used()/a.settings.Limits.MaxWaitingBytes))
}

// applyView updates the schedulers and clients after a change of the view. It
// starts a drain if the view lists this node as draining.
func (a *Agent) applyView(configChanged bool) {
	if configChanged {
		_, revision := a.view.Config()
		a.events.Record(timeline.Event{Kind: timeline.KindConfig, Revision: revision})
		klog.InfoS("configuration in force", "revision", revision)
	}
	a.recordEvacuations()
	// An earlier incarnation of the node may still be listed as draining.
	if node, ok := a.view.Members().Nodes[a.settings.Node]; ok && node.Draining && node.Incarnation == a.incarnation {
		a.Drain()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateRunners()
	a.updateClients()
}

// updateRunners starts the schedulers whose pool leases the node has won and
// stops those whose leases it has lost. The caller holds a.mu.
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

// updateClients creates and removes the gateway's pool clients as configured,
// and points them to the current lease holders. The caller holds a.mu.
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

// leaseLoop stops the node's schedulers when the node's lease has expired. It
// restarts them after a renewal if the node still holds their pool leases. It
// also checks whether other nodes reach this one.
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
