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
