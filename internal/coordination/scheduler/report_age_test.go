package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestRegister_EndedRequestFreesItsSlot guards against a slot that counts as used until its
// grant expires because all reports of its request were lost with one message.
func TestRegister_EndedRequestFreesItsSlot(t *testing.T) {
	for _, c := range []struct {
		name    string
		ended   []ident.RequestID
		waiting []Ticket
		running int
	}{
		{"ended", []ident.RequestID{"r0001"}, nil, 0},
		{"its grant may be on its way", nil, nil, 1},
		{"another one ended", []ident.RequestID{"r0002"}, nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := sharedPool(sharedView(1), "g1", "g2", "g3", "g4")
			p.Submit(sharedTicket(1, "high"), start)
			must.Len(t, 1, grants(p.Decisions()))
			p.Register(Registration{Gateway: "g1", Incarnation: 1, Uptime: time.Minute, Ended: c.ended, Waiting: c.waiting}, start+100*time.Millisecond)
			must.Eq(t, c.running, p.Stats().Running)
		})
	}
}

// TestReport_AgeCountsBack checks that reports which waited for each other describe the same
// times as reports that were sent at once.
func TestReport_AgeCountsBack(t *testing.T) {
	const first, rest = 60 * time.Millisecond, 240 * time.Millisecond
	describe := func(late time.Duration) (startedAt, firstTokenAt, lastResponseAt time.Duration, contacts [2]contact) {
		p := sharedPool(sharedView(1), "g1", "g2", "g3", "g4")
		p.Submit(longTicket(1, 20), start)
		g := grants(p.Decisions())[0]
		report := func(kind ReportKind, at, elapsed time.Duration) {
			p.Report(Report{Kind: kind, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream, Elapsed: elapsed, Age: late}, at+late)
		}
		report(ReportDispatched, start, 0)
		report(ReportFirstToken, start+first, first)
		e := p.entries[g.Ticket]
		must.Eq(t, stateRunning, e.state)
		return e.startedAt, e.firstTokenAt, e.engine.lastResponseAt, e.engine.contacts
	}
	startedAt, firstTokenAt, lastResponseAt, contacts := describe(0)
	must.Eq(t, start, startedAt)
	lateStarted, lateFirst, lateResponse, lateContacts := describe(rest)
	must.Eq(t, startedAt, lateStarted)
	must.Eq(t, firstTokenAt, lateFirst)
	must.Eq(t, lastResponseAt, lateResponse)
	must.Eq(t, contacts, lateContacts)
}
