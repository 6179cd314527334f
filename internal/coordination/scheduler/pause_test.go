package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// pauseTicket returns a ticket of a gateway.
func pauseTicket(id int, gateway ident.NodeID, tier ident.TierName) Ticket {
	t := sharedTicket(id, tier)
	t.Gateway = gateway
	return t
}

// askPause reports that an upstream asks a gateway for a pause.
func askPause(p *Pool, gateway, via ident.NodeID, upstream ident.UpstreamName, d, now time.Duration) {
	p.Report(Report{
		Kind: ReportNotice, Gateway: gateway, Via: via, Upstream: upstream,
		Notice: &UpstreamNotice{Pause: NoticeNamed, PauseFor: d},
	}, now)
}

// TestPool_PauseBindsItsGateway checks that an upstream gets no requests of the gateway
// that it asked for a pause until the end of that time, and those of others throughout.
func TestPool_PauseBindsItsGateway(t *testing.T) {
	p := sharedPool(sharedView(2), "g1", "g2", "g3", "g4")
	askPause(p, "g1", "", "u0", 3*time.Second, start)
	must.Eq(t, []PauseChange{{PauseNotice: PauseNotice{Upstream: "u0", Left: 3 * time.Second}, Gateway: "g1"}}, p.PauseChanges())
	for i := range 4 {
		p.Submit(pauseTicket(i, "g1", "low"), start)
	}
	granted := grants(p.Decisions())
	must.Len(t, 2, granted)
	for _, g := range granted {
		must.Eq(t, ident.UpstreamName("u1"), g.Upstream)
	}
	p.Submit(pauseTicket(8, "g2", "low"), start)
	granted = grants(p.Decisions())
	must.Len(t, 1, granted)
	must.Eq(t, ident.UpstreamName("u0"), granted[0].Upstream)

	late := pauseTicket(9, "g1", "low")
	late.Objective, late.Excluded = 0, []ident.UpstreamName{"u1"}
	p.Submit(late, start+3*time.Second-time.Millisecond)
	must.Len(t, 0, grants(p.Decisions()))
	p.Tick(start + 3*time.Second)
	must.Len(t, 1, grants(p.Decisions()))
}

// TestPool_AllUpstreamsPause replays that all upstreams ask one gateway for a pause while
// its requests, of the higher tier, wait. Those of other gateways must be placed, a request
// that can't wait is refused with the time that is left, and one that can is placed then.
func TestPool_AllUpstreamsPause(t *testing.T) {
	p := sharedPool(sharedView(2), "g1", "g2", "g3", "g4")
	askPause(p, "g1", "", "u0", 3*time.Second, start)
	askPause(p, "g1", "", "u1", 4*time.Second, start)
	now := start + time.Second
	for i := range 2 * maxPassedOver {
		patient := pauseTicket(100+i, "g1", "high")
		patient.Objective = 0
		p.Submit(patient, now)
	}
	p.Submit(pauseTicket(1, "g1", "high"), now)
	refused := refusals(p.Decisions())
	must.Len(t, 1, refused)
	must.Eq(t, ReasonDeadline, refused[0].Reason)
	must.Eq(t, 2*time.Second, refused[0].RetryAfter)

	p.Submit(pauseTicket(2, "g2", "low"), now)
	must.Len(t, 1, grants(p.Decisions()))
	p.Tick(start + 3*time.Second)
	granted := grants(p.Decisions())
	must.Positive(t, len(granted))
	for _, g := range granted {
		must.Eq(t, ident.UpstreamName("u0"), g.Upstream)
	}
}

// TestPool_PauseOutlivesItsScheduler checks that the next scheduler keeps to a pause that
// a gateway registers, and that a shorter one does not end it.
func TestPool_PauseOutlivesItsScheduler(t *testing.T) {
	p := New(0, sharedView(1), 0)
	for _, g := range []ident.NodeID{"g1", "g2", "g3", "g4"} {
		r := Registration{Gateway: g, Incarnation: 1, Uptime: time.Minute}
		if g == "g1" {
			r.Pauses = []PauseNotice{{Upstream: "u0", Left: 2 * time.Second}, {Upstream: "gone", Left: time.Second}}
		}
		p.Register(r, 0)
	}
	askPause(p, "g1", "", "u0", time.Second, 0)
	ticket := pauseTicket(1, "g1", "low")
	ticket.Objective = 0
	p.Submit(ticket, start)
	p.Tick(2*time.Second - time.Millisecond)
	must.Len(t, 0, grants(p.Decisions()))
	p.Tick(2 * time.Second)
	must.Len(t, 1, grants(p.Decisions()))
}

// TestPool_PauseOfARelay checks that a pause binds the gateway that the upstream saw: the
// one that relayed the request, which is told and no longer named as a relay.
func TestPool_PauseOfARelay(t *testing.T) {
	p := sharedPool(sharedView(1), "g1", "g2", "g3", "g4")
	p.Submit(pauseTicket(1, "g2", "low"), start)
	g := grants(p.Decisions())[0]
	p.Report(Report{Kind: ReportDispatched, Ticket: g.Ticket, Gateway: "g2", Upstream: g.Upstream}, start)
	p.Report(Report{Kind: ReportEnded, Ticket: g.Ticket, Gateway: "g2", Upstream: g.Upstream}, start)
	p.Submit(pauseTicket(2, "g1", "low"), start)
	must.Eq(t, ident.NodeID("g2"), grants(p.Decisions())[0].Peer)

	askPause(p, "g1", "g2", "u0", 2*time.Second, start)
	must.Eq(t, []PauseChange{{PauseNotice: PauseNotice{Upstream: "u0", Left: 2 * time.Second}, Gateway: "g2", Relayed: true}}, p.PauseChanges())
	p.Submit(pauseTicket(3, "g1", "low"), start)
	granted := grants(p.Decisions())
	must.Len(t, 1, granted)
	must.Eq(t, ident.NodeID(""), granted[0].Peer)
}

// TestPool_PauseOfRenamedUpstream checks that a pause holds for an upstream that may be the
// same process under another name, and for no other.
func TestPool_PauseOfRenamedUpstream(t *testing.T) {
	view := sharedView(2)
	view.Upstreams[0].Process, view.Upstreams[1].Process = "a/i-0", "b/i-1"
	p := sharedPool(view, "g1", "g2", "g3", "g4")
	askPause(p, "g1", "", "u0", 3*time.Second, start)
	renamed := view
	renamed.Upstreams = []Upstream{view.Upstreams[0], view.Upstreams[1]}
	renamed.Upstreams[0].Name, renamed.Upstreams[1].Name = "u0-again", "u1-again"
	p.SetView(renamed, start+time.Second)
	late := pauseTicket(1, "g1", "low")
	late.Objective, late.Excluded = 0, []ident.UpstreamName{"u1-again"}
	p.Submit(late, start+time.Second)
	p.Tick(start + 3*time.Second - time.Millisecond)
	must.Len(t, 0, grants(p.Decisions()))
	p.Tick(start + 3*time.Second)
	granted := grants(p.Decisions())
	must.Len(t, 1, granted)
	must.Eq(t, ident.UpstreamName("u0-again"), granted[0].Upstream)
	p.Submit(pauseTicket(2, "g1", "low"), start+2*time.Second)
	must.Len(t, 1, grants(p.Decisions()))
}
