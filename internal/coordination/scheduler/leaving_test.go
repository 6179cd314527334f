package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestPool_LeavingToldByAnAnswer checks that an upstream which says that it leaves gets no
// new work though the list says that it is ready, also at the next scheduler and after
// requests there have ended, and that another run at its address does.
func TestPool_LeavingToldByAnAnswer(t *testing.T) {
	v := sharedView(2)
	p := sharedPool(v, "g1", "g2", "g3", "g4")
	must.Eq(t, 4, p.slots)
	p.Submit(pauseTicket(1, "g1", "low"), start)
	running := grants(p.Decisions())[0]
	p.Report(Report{Kind: ReportDispatched, Ticket: running.Ticket, Gateway: "g1", Upstream: running.Upstream}, start)
	p.Report(Report{Kind: ReportNotice, Gateway: "g1", Upstream: running.Upstream, Notice: &UpstreamNotice{Leaving: NoticeNamed}}, start)
	must.Eq(t, []ident.UpstreamName{running.Upstream}, p.LeavingChanges())
	must.Eq(t, 2, p.slots)
	p.SetView(v, start)
	must.Eq(t, 2, p.slots)
	p.Report(Report{Kind: ReportEnded, Ticket: running.Ticket, Gateway: "g1", Upstream: running.Upstream, Elapsed: start}, 2*start)
	for i := range 4 {
		p.Submit(pauseTicket(10+i, "g2", "low"), 2*start)
	}
	granted := grants(p.Decisions())
	must.Len(t, 2, granted)
	for _, g := range granted {
		must.NotEq(t, running.Upstream, g.Upstream)
	}

	next := New(0, v, 0)
	next.Register(Registration{Gateway: "g1", Incarnation: 1, Uptime: time.Minute, Leaving: []ident.UpstreamName{running.Upstream, "unlisted"}}, 0)
	must.Len(t, 2, next.LeavingChanges())
	must.False(t, next.engines[running.Upstream].acceptsWork())
	v.Upstreams = append(v.Upstreams, Upstream{Name: "unlisted", Version: "v1", MaxConcurrent: 2}, Upstream{Name: "unlisted-2", Version: "v1", MaxConcurrent: 2})
	next.SetView(v, start)
	must.False(t, next.engines["unlisted"].acceptsWork())
	must.True(t, next.engines["unlisted-2"].acceptsWork())
	next.Tick(LeavingRetention + checkInterval + 1)
	must.True(t, next.engines[running.Upstream].acceptsWork())
}

// TestPool_LeavingUnderAnotherName guards against requests to an upstream that has said that it leaves
// because the list names another start of it, though it goes on; and against a next start at its
// address that gets none.
func TestPool_LeavingUnderAnotherName(t *testing.T) {
	const first, ran = 1_785_000_000_000, 400 * time.Millisecond
	// named lists the upstream under a name of a start.
	named := func(name ident.UpstreamName, started int64) View {
		v := sharedView(2)
		v.Upstreams[0].Name, v.Upstreams[0].Process, v.Upstreams[0].Started = name, "10.0.0.1:80/i-1", started
		v.Upstreams[1].Process, v.Upstreams[1].Started = "10.0.0.2:80/i-2", first
		return v
	}
	says := func(p *Pool, name ident.UpstreamName, now time.Duration) {
		p.Report(Report{Kind: ReportNotice, Gateway: "g1", Upstream: name, Notice: &UpstreamNotice{Leaving: NoticeNamed}}, now)
	}
	for started, want := range map[int64]bool{first: true, first + 1: true, first + ran.Milliseconds(): true, first + ran.Milliseconds() + 1: false, first - 1: false, 0: false} {
		p := New(0, named("a", first), start)
		says(p, "a", start+ran)
		must.Eq(t, []ident.UpstreamName{"a"}, p.LeavingChanges())
		now := start + time.Minute
		p.SetView(named("b", started), now)
		must.Eq(t, !want, p.engines["b"].acceptsWork(), must.Sprint(started))
		must.True(t, p.engines[p.view.Upstreams[1].Name].acceptsWork())
		// Others carry the mark over for themselves.
		must.SliceEmpty(t, p.LeavingChanges())
		// Named once more.
		p.SetView(named("c", first+ran.Milliseconds()), now)
		must.Eq(t, !want, p.engines["c"].acceptsWork(), must.Sprint(started))
		p.Tick(now + CarriedLeavingRetention + checkInterval + 1)
		must.True(t, p.engines["c"].acceptsWork())
		says(p, "c", now)
		must.False(t, p.engines["c"].acceptsWork())
		must.Eq(t, []ident.UpstreamName{"c"}, p.LeavingChanges())
	}

	// It says so to a request that runs there under the former name.
	p := sharedPool(named("a", first), "g1", "g2", "g3", "g4")
	p.engines[p.view.Upstreams[1].Name].saysLeaving = true
	p.Submit(pauseTicket(1, "g1", "low"), start)
	running := grants(p.Decisions())[0]
	p.Report(Report{Kind: ReportDispatched, Ticket: running.Ticket, Gateway: "g1", Upstream: "a"}, start)
	p.SetView(named("b", first+1), start)
	must.True(t, p.engines["b"].acceptsWork())
	says(p, "a", start+ran)
	must.False(t, p.engines["b"].acceptsWork())
}
