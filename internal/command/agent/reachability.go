package agent

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// unreachableAfter is how long a scheduler may hear from no other gateway,
	// each of which polls without a pause, before it gives its leases up.
	unreachableAfter = 2 * pool.PollTimeout
	// minUnreachableBackoff is how long a node gets no scheduler leases after the
	// first time that nobody reached it; it doubles up to maxAvoidance.
	minUnreachableBackoff = 10 * time.Second
	maxUnreachableBackoff = 10 * time.Minute
)

// reachability remembers whether other nodes can connect to this one.
type reachability struct {
	unreachableUntil time.Time
	backoff          time.Duration
	unreachable      bool
}

// checkReachable gives up the node's scheduler leases when no other gateway
// reaches its schedulers although others live. Only leaseLoop calls it.
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

// hasUnpolledScheduler reports whether a scheduler of this node has heard from no other
// gateway for too long.
func (a *Agent) hasUnpolledScheduler(now time.Time) bool {
	if len(a.view.Members().Nodes) < 2 {
		return false
	}
	for _, m := range a.pools.Masters() {
		if now.Sub(m.HeardOther(a.settings.Node)) > unreachableAfter {
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
	klog.InfoS("reach of the node changed", "node", a.settings.Node, "unreachable", unreachable)
}
