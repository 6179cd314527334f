package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/membership"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// drainPollInterval is the time between two looks at the work left on a draining node.
	drainPollInterval = 20 * time.Millisecond
	// maxListingDelay is how long after a drain is committed another node
	// may still list this one: a node that has not heard of it by then has lost
	// its lease.
	maxListingDelay = control.NodeTTL
)

// Drain makes the node leave: it is taken off the list of addresses, serves on
// until callers' lists have run out and all accepted work is done, and stops.
// It returns at once; Drained tells of the end.
func (a *Agent) Drain() {
	a.drain.Do(func() {
		a.view.SetDraining()
		a.events.Record(timeline.Event{Kind: timeline.KindDrain, Detail: "begins"})
		klog.InfoS("draining begins", "node", a.settings.Node, "ttl", a.settings.AddressTTL)
		go a.finishDrain()
	})
}

// Drained is closed when a drain is complete and the node has stopped.
func (a *Agent) Drained() <-chan struct{} { return a.drained }

func (a *Agent) finishDrain() {
	defer close(a.drained)
	a.waitUntilDelisted()
	a.callerServer.SetKeepAlives(false)
	if err := a.callerServer.Shutdown(a.ctx); err != nil {
		klog.ErrorS(err, "callers' connections did not end")
	}
	for a.outstanding()+a.gateway.Settling() > 0 && a.ctx.Err() == nil {
		sleep(a.ctx, drainPollInterval)
	}
	a.events.Record(timeline.Event{Kind: timeline.KindDrain, Detail: "complete"})
	klog.InfoS("draining complete", "node", a.settings.Node)
	a.stop(true)
}

// waitUntilDelisted waits until no caller can hold a list that names this node.
// The work that is left then ends with the callers' edge.
func (a *Agent) waitUntilDelisted() {
	start := time.Now()
	drain := membership.NewDrain(a.settings.AddressTTL, maxListingDelay)
	drain.Begin()
	for a.ctx.Err() == nil && !drain.MayExit(time.Since(start), 0) {
		if a.isDelistedLocally() {
			drain.Committed(time.Since(start))
		}
		sleep(a.ctx, drainPollInterval)
	}
}

// isDelistedLocally reports whether this node has heard that it drains. A node cut
// off is not listed anyway.
func (a *Agent) isDelistedLocally() bool {
	node, ok := a.view.Members().Nodes[a.settings.Node]
	return !ok || node.Draining || !a.Fresh()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
