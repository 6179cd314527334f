package agent

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// unreachableAfter is how long a scheduler may get no poll from another node's
	// gateway before the node gives up its scheduler leases. Every gateway polls
	// continuously.
	unreachableAfter = 2 * pool.PollTimeout
	// minUnreachableBackoff is how long a node gets no scheduler leases after it is
	// found unreachable for the first time. The backoff doubles each time, up to
	// maxUnreachableBackoff.
	minUnreachableBackoff = 10 * time.Second
	maxUnreachableBackoff = 10 * time.Minute
)

// reachability records whether other nodes can connect to this one.
type reachability struct {
	unreachableUntil time.Time
	backoff          time.Duration
	unreachable      bool
}

// checkReachable gives up the node's scheduler leases when other nodes are live
// but one of this node's schedulers is not polled by any of their gateways. It
// lets the node hold leases again after the backoff. Only leaseLoop calls it.
func (a *Agent) checkReachable(now time.Time) {
	r := &a.reachability
	if r.unreachable && now.After(r.unreachableUntil) {
		a.setUnreachable(false)
	}
	if r.unreachable || !a.hasUnpolledScheduler(now) {
		return
	}
	r.backoff = min(max(minUnreachableBackoff, 2*r.backoff), maxUnreachableBackoff)
	r.unreachableUntil = now.Add(r.backoff)
	a.setUnreachable(true)
}

// hasUnpolledScheduler reports whether a scheduler of this node has got no poll
// from another node's gateway for longer than unreachableAfter. It is false
// while no other node is live.
func (a *Agent) hasUnpolledScheduler(now time.Time) bool {
	if len(a.view.Members().Nodes) < 2 {
		return false
	}
	for _, m := range a.pools.Masters() {
		if now.Sub(m.LastHeardFromOthers(a.settings.Node)) > unreachableAfter {
			return true
		}
	}
	return false
}

func (a *Agent) setUnreachable(unreachable bool) {
	a.reachability.unreachable = unreachable
	a.view.SetUnreachable(unreachable)
	detail := "other nodes may connect again"
	if unreachable {
		detail = "no other node connects, giving up scheduler leases"
	}
	a.events.Record(timeline.Event{Kind: timeline.KindConnection, Detail: detail})
	klog.InfoS("node reachability changed", "node", a.settings.Node, "unreachable", unreachable)
}
