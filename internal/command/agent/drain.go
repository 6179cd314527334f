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
	// drainPollInterval is the interval at which a drain checks whether it can
	// continue.
	drainPollInterval = 20 * time.Millisecond
	// maxListingDelay is how long other nodes may still list this node after its
	// drain is committed: a node that has not learned of the drain by then has lost
	// its own lease.
	maxListingDelay = control.NodeTTL
)

// Drain takes the node out of service: the node is removed from the address
// list, keeps serving until callers' cached lists have expired and all accepted
// work is done, and then stops. Drain returns at once; the channel of Drained
// is closed at the end.
func (a *Agent) Drain() {
	a.drain.Do(func() {
		a.view.SetDraining()
		a.events.Record(timeline.Event{Kind: timeline.KindDrain, Detail: "begins"})
		klog.InfoS("draining begins", "node", a.settings.Node, "ttl", a.settings.AddressTTL)
		go a.finishDrain()
	})
}

// Drained returns a channel that is closed when a drain is complete and the
// node has stopped.
func (a *Agent) Drained() <-chan struct{} { return a.drained }

func (a *Agent) finishDrain() {
	defer close(a.drained)
	a.waitUntilDelisted()
	a.callerServer.SetKeepAlives(false)
	if err := a.callerServer.Shutdown(a.ctx); err != nil {
		klog.ErrorS(err, "shutting down the caller server failed")
	}
	for a.outstanding()+a.gateway.Settling() > 0 && a.ctx.Err() == nil {
		sleep(a.ctx, drainPollInterval)
	}
	a.events.Record(timeline.Event{Kind: timeline.KindDrain, Detail: "complete"})
	klog.InfoS("draining complete", "node", a.settings.Node)
	a.stop(true)
}

// waitUntilDelisted waits until every address list that names this node has
// expired. Work that remains is finished by the shutdown of the caller server.
func (a *Agent) waitUntilDelisted() {
	start := time.Now()
	drain := membership.NewDrain(a.settings.AddressTTL, maxListingDelay)
	drain.Begin()
	for a.ctx.Err() == nil && !drain.MayExit(time.Since(start), 0) {
		if a.isDelistedLocally() {
			drain.MarkCommitted(time.Since(start))
		}
		sleep(a.ctx, drainPollInterval)
	}
}

// isDelistedLocally reports whether this node's view shows the node as draining
// or not at all. It is also true without a fresh lease, since other nodes then
// do not list the node anyway.
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
