package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// TestRolloutWatch_EndsUnderPoisonPart checks that requests which broke off at the
// ends of upstreams that a part explains do not roll a version back, whether their
// reports come before or after the part is known.
func TestRolloutWatch_EndsUnderPoisonPart(t *testing.T) {
	n := &Node{watches: make(map[ident.PoolName]*rolloutWatch)}
	w := n.watchOf("p")
	now := time.Now()
	w.update(rollout.Record{Order: rollout.Order{Pool: "p", Target: "v2", Duration: time.Minute}, Number: 1, State: rollout.StateRunning, At: now}, now)
	finish := func(id ident.RequestID, version ident.VersionName, upstream ident.UpstreamName, kind scheduler.ReportKind) {
		w.Granted(scheduler.Ticket{ID: id, Route: "r"}, scheduler.Grant{Ticket: id, Version: version, Upstream: upstream})
		w.Reported(scheduler.Report{Ticket: id, Kind: kind, Upstream: upstream, Elapsed: 50 * time.Millisecond})
	}
	for range 100 {
		finish("a", "v1", "u1", scheduler.ReportEnded)
	}
	for range 20 {
		finish("b", "v2", "u2", scheduler.ReportEnded)
	}
	for range 10 {
		finish("c", "v2", "u3", scheduler.ReportUnknown)
	}
	must.NotNil(t, w.dueEnd(now))
	w.PoisonChanged(scheduler.PoisonChange{Explained: []ident.UpstreamName{"u3"}})
	must.Nil(t, w.dueEnd(now))
	for range 10 {
		finish("d", "v2", "u3", scheduler.ReportUnknown)
	}
	must.Nil(t, w.dueEnd(now))
	for range 10 {
		finish("e", "v2", "u4", scheduler.ReportUnknown)
	}
	must.NotNil(t, w.dueEnd(now))
}
