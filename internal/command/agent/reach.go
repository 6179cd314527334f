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
	// firstAvoidance is how long a node gets no scheduler leases after the
	// first time that nobody reached it; it doubles up to maxAvoidance.
	firstAvoidance = 10 * time.Second
	maxAvoidance   = 10 * time.Minute
)

// reach remembers whether other nodes can connect to this one.
type reach struct {
	avoidUntil time.Time
	avoidance  time.Duration
	avoided    bool
}

// checkReachable gives up the node's scheduler leases when no other gateway
// reaches its schedulers although others live. Only leaseLoop calls it.
func (a *Agent) checkReachable(now time.Time) {
	r := &a.reach
	if r.avoided && now.After(r.avoidUntil) {
		a.setUnreachable(false)
	}
	if r.avoided || !a.unheard(now) {
		return
	}
	r.avoidance = min(max(firstAvoidance, 2*r.avoidance), maxAvoidance)
	r.avoidUntil = now.Add(r.avoidance)
	a.setUnreachable(true)
}

// unheard reports whether a scheduler of this node has heard from no other
// gateway for too long.
func (a *Agent) unheard(now time.Time) bool {
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
	a.reach.avoided = unreachable
	a.view.SetUnreachable(unreachable)
	detail := "other nodes may connect again"
	if unreachable {
		detail = "no other node connects, giving up scheduler leases"
	}
	a.events.Record(timeline.Event{Kind: timeline.KindConnection, Detail: detail})
	klog.InfoS("reach of the node changed", "node", a.settings.Node, "unreachable", unreachable)
}
