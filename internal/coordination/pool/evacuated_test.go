package pool

import (
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/moves"
	"github.com/flamingohaven/flamingohaven/internal/coordination/nodeview"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/shoenig/test/must"
)

// TestReadiness_EvacuatedUpstreams guards against a move that sends a version the traffic of
// upstreams which get none.
func TestReadiness_EvacuatedUpstreams(t *testing.T) {
	v := nodeview.New(lease.Node{ID: "n1", Incarnation: 1})
	cfg := config.Config{Upstreams: map[ident.UpstreamName]config.Upstream{
		"a": {Pool: "p", Version: "v1", Zone: "east", MaxConcurrent: 8},
		"b": {Pool: "p", Version: "v2", Zone: "west", MaxConcurrent: 4},
		"c": {Pool: "p", Version: "v2", Zone: "east", MaxConcurrent: 2},
	}}
	view := &machine.View{Sequence: 1, Full: true, Evacuations: []evacuation.Record{{Zone: "west", Number: 1}}}
	_, err := v.ApplyReply(time.Now(), &control.HeartbeatReply{View: view, Update: &config.Update{To: 1, Full: &cfg, Digest: cfg.Digest()}})
	must.NoError(t, err)
	r := &Runner{view: v, master: &Master{pool: "p"}}
	must.SliceContainsAll(t, []moves.Readiness{{Version: "v1", Ready: 1, Capacity: 8}, {Version: "v2", Ready: 1, Capacity: 2}}, r.readiness(&cfg))
}

// TestClient_InFlight guards against requests that count as in flight although they have only
// a grant, or have ended.
func TestClient_InFlight(t *testing.T) {
	c := NewClient("p", "g", 1, nil, nil)
	for _, id := range []ident.RequestID{"granted", "sent", "ended"} {
		c.running[id] = &runningRequest{grant: scheduler.Grant{Ticket: id, Upstream: "a"}, expires: time.Now().Add(time.Minute)}
	}
	must.MapEmpty(t, c.InFlight())
	must.Eq(t, scheduler.BeginSend, c.Begin("sent"))
	must.Eq(t, scheduler.BeginSend, c.Begin("ended"))
	c.Finish("ended", scheduler.Ending{Kind: scheduler.ReportEnded})
	must.Eq(t, map[ident.UpstreamName]int{"a": 1}, c.InFlight())
}
