package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// poolWithRunning returns a pool with one upstream that has served tickets in 20
// ms each and is now running the given number of others.
func poolWithRunning(t *testing.T, held int) (p *Pool, running []Grant, now time.Duration) {
	t.Helper()
	v := testView()
	v.Upstreams = []Upstream{{Name: "u1", Version: "v1", MaxConcurrent: 64}}
	p = openPool(v)
	for i := range 50 {
		p.Submit(testTicket(i, "urgent"), now)
		for _, g := range grants(p.Decisions()) {
			p.Report(reportOf(g, ReportDispatched, 0), now)
			now += 20 * time.Millisecond
			p.Report(reportOf(g, ReportEnded, 20*time.Millisecond), now)
		}
	}
	for i := range held {
		p.Submit(testTicket(100+i, "urgent"), now)
	}
	running = grants(p.Decisions())
	must.Len(t, held, running)
	for _, g := range running {
		p.Report(reportOf(g, ReportDispatched, 0), now)
	}
	return p, running, now
}

func reportOf(g Grant, kind ReportKind, elapsed time.Duration) Report {
	return Report{Kind: kind, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream, Elapsed: elapsed}
}

// TestPool_ProcessPauseKeepsOnlyUpstream simulates a pause of every process for
// half a second, in which the deadlines of all running requests pass. The only
// upstream must stay in rotation: the next request is not refused, and it is
// granted as soon as the orphaned slots stop counting.
func TestPool_ProcessPauseKeepsOnlyUpstream(t *testing.T) {
	p, running, now := poolWithRunning(t, 8)
	now += 500 * time.Millisecond
	for _, g := range running {
		p.Report(reportOf(g, ReportOverdue, 500*time.Millisecond), now)
	}
	p.Submit(testTicket(200, "urgent"), now)
	must.Len(t, 0, refusals(p.Decisions()))
	p.Tick(now + minOrphanTimeout)
	must.Len(t, 1, grants(p.Decisions()))
}

// TestPool_OrphansDoNotFillRecoveredLimit returns an upstream to rotation, with
// the small limit of a passed probe, while it holds more orphaned slots than that
// limit. They count only for the usual time of the service's answers, so new
// requests are granted.
func TestPool_OrphansDoNotFillRecoveredLimit(t *testing.T) {
	p, running, now := poolWithRunning(t, 8)
	for _, g := range running {
		p.Report(reportOf(g, ReportUnknown, 20*time.Millisecond), now)
	}
	p.Submit(testTicket(200, "urgent"), now)
	must.Len(t, 1, refusals(p.Decisions()))
	now += probeMinInterval
	p.Submit(testTicket(201, "urgent"), now)
	probe := grants(p.Decisions())
	must.Len(t, 1, probe)
	p.Report(reportOf(probe[0], ReportDispatched, 0), now)
	p.Report(reportOf(probe[0], ReportEnded, 20*time.Millisecond), now+20*time.Millisecond)
	now += 20 * time.Millisecond
	p.Submit(testTicket(202, "urgent"), now)
	must.Len(t, 1, grants(p.Decisions()))
}

// TestPool_OrphansCountTowardsMaxConcurrent checks that nothing is granted beyond
// the bound that the upstream declares while orphaned requests may still run,
// which is estimated from the usual time of the service's answers.
func TestPool_OrphansCountTowardsMaxConcurrent(t *testing.T) {
	p, running, now := poolWithRunning(t, 8)
	p.engines["u1"].upstream.MaxConcurrent = 8
	for _, g := range running {
		p.Report(reportOf(g, ReportOverdue, time.Second), now)
	}
	p.Submit(testTicket(200, "urgent"), now)
	p.Tick(now + minOrphanTimeout - time.Millisecond)
	must.Len(t, 0, grants(p.Decisions()))
	p.Tick(now + minOrphanTimeout)
	must.Len(t, 1, grants(p.Decisions()))
}

// TestPool_OrphanTimeoutOfAnEngine checks that an engine's orphaned slots count
// for the full timeout, since the length of an answer is not known.
func TestPool_OrphanTimeoutOfAnEngine(t *testing.T) {
	e := &entry{ticket: Ticket{PromptTokens: 100}, expectedFirstToken: 20 * time.Millisecond}
	p := openPool(testView())
	must.Eq(t, orphanTimeout, p.orphanTimeoutFor(e))
	must.Eq(t, orphanTimeout, p.orphanTimeoutFor(&entry{}))
	must.Eq(t, 4*time.Second, p.orphanTimeoutFor(&entry{expectedFirstToken: time.Second}))
}

// TestPool_OverdueAnswersLowerTheLimit lets a caller's deadline pass at an
// upstream that has become slow. The limit must fall as it does for slow answers.
func TestPool_OverdueAnswersLowerTheLimit(t *testing.T) {
	p, running, now := poolWithRunning(t, 8)
	before := p.engines["u1"].limiter.limit
	p.Report(reportOf(running[0], ReportOverdue, time.Second), now+time.Second)
	must.Less(t, before, p.engines["u1"].limiter.limit)
}

// TestPool_OverdueUpstreamAmongOthersIsEjected lets the deadlines pass at only
// one of two upstreams, which must be ejected.
func TestPool_OverdueUpstreamAmongOthersIsEjected(t *testing.T) {
	p := openPool(testView())
	bad := ident.UpstreamName("u1")
	now, served := time.Duration(0), 0
	for i := range 40 {
		p.Submit(testTicket(i, "urgent"), now)
		for _, g := range grants(p.Decisions()) {
			p.Report(reportOf(g, ReportDispatched, 0), now)
			if g.Upstream != bad {
				p.Report(reportOf(g, ReportEnded, 20*time.Millisecond), now)
				continue
			}
			served++
			p.Report(reportOf(g, ReportOverdue, time.Second), now)
			p.engines[bad].orphans = nil
		}
		now += 10 * time.Millisecond
	}
	must.Eq(t, failuresToEject, served)
}
