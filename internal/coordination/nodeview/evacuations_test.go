package nodeview

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// TestEvacuated_NoLaterThanTheLease guards against a node that serves on a renewed lease
// without the evacuations that were in force when it was renewed: one that was cut off sends
// nothing there by its gateway, and its schedulers grant nothing there.
func TestEvacuated_NoLaterThanTheLease(t *testing.T) {
	start := time.Now()
	v := New(lease.Node{ID: "n1", Incarnation: 1})
	cfg := config.Config{
		Pools:     map[ident.PoolName]config.Pool{"p": {}},
		Upstreams: map[ident.UpstreamName]config.Upstream{"a1": {Pool: "p", Zone: "a"}, "b1": {Pool: "p", Zone: "b"}, "c1": {Pool: "p"}},
	}
	apply := func(at time.Time, view *machine.View, update *config.Update) {
		reply := &control.HeartbeatReply{TTL: control.NodeTTL, View: view, Update: update}
		change, err := v.ApplyReply(at, reply)
		must.NoError(t, err)
		must.Eq(t, view != nil, change.Members)
	}
	evacuated := func() (names []ident.UpstreamName) {
		for _, u := range v.SchedulerView("p", nil).Upstreams {
			_, usable := v.Upstream(u.Name)
			must.Eq(t, u.Evacuated, !usable, must.Sprint(u.Name))
			if u.Evacuated {
				names = append(names, u.Name)
			}
		}
		return names
	}
	apply(start, &machine.View{Sequence: 3, Full: true}, &config.Update{To: 1, Full: &cfg, Digest: cfg.Digest()})
	must.SliceEmpty(t, evacuated())

	cutOff := start.Add(control.NodeTTL)
	must.False(t, v.Leased(cutOff))
	record := evacuation.Record{Zone: "b", By: "operator", Number: 1}
	apply(cutOff, &machine.View{Sequence: 5, Evacuations: []evacuation.Record{record}}, nil)
	must.True(t, v.Leased(cutOff))
	must.Eq(t, []ident.UpstreamName{"b1"}, evacuated())
	must.Eq(t, []evacuation.Record{record}, v.Evacuations())

	// Without a new view, as when the leader can't be reached, the set stays as it is.
	apply(cutOff, nil, nil)
	must.Eq(t, []ident.UpstreamName{"b1"}, evacuated())
	apply(cutOff, &machine.View{Sequence: 6, RemovedEvacuations: []ident.Zone{"b"}}, nil)
	must.SliceEmpty(t, evacuated())
}
