package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// drainPoll is the time between two looks at the work left on a draining node.
const drainPoll = 20 * time.Millisecond

// unlistedEverywhere is how long after a drain is committed another node may
// still list this one: a node that has not heard of it has lost its lease.
const unlistedEverywhere = control.NodeTTL

// Drain makes the node leave: it is taken off the list of addresses, serves on
// until callers' lists have run out and all accepted work is done, and stops.
// It returns at once; Drained tells of the end.
func (a *Agent) Drain() {
	a.drain.Do(func() {
		a.draining.Store(true)
		a.events.Record(timeline.Event{Kind: timeline.KindDrain, Detail: "begins"})
		klog.InfoS("draining begins", "node", a.settings.Node, "ttl", a.settings.AddressTTL)
		go a.finishDrain()
	})
}

// Drained is closed when a drain is complete and the node has stopped.
func (a *Agent) Drained() <-chan struct{} { return a.drained }

func (a *Agent) finishDrain() {
	defer close(a.drained)
	a.awaitUnlisted()
	sleep(a.ctx, unlistedEverywhere+a.settings.AddressTTL)
	a.callers.SetKeepAlives(false)
	if err := a.callers.Shutdown(a.ctx); err != nil {
		klog.ErrorS(err, "callers' connections did not end")
	}
	for a.outstanding() > 0 && a.ctx.Err() == nil {
		sleep(a.ctx, drainPoll)
	}
	a.events.Record(timeline.Event{Kind: timeline.KindDrain, Detail: "complete"})
	klog.InfoS("draining complete", "node", a.settings.Node)
	a.stop(true)
}

// awaitUnlisted waits until the system knows that the node drains, so that no
// other node lists it any more. A node cut off is not listed anyway.
func (a *Agent) awaitUnlisted() {
	for a.ctx.Err() == nil && a.Fresh() {
		if node, ok := a.view.Members().Nodes[a.settings.Node]; !ok || node.Draining {
			return
		}
		sleep(a.ctx, drainPoll)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
