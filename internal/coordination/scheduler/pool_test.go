package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func testView() View {
	return View{
		Pool:       "p",
		QueueLimit: 100,
		Tiers:      []Tier{{Name: "patient", Rank: 1, Reserve: 0.1}, {Name: "urgent", Rank: 3}, {Name: "ordinary", Rank: 2}},
		Teams:      []Team{{Name: "a", Shares: 1}, {Name: "b", Shares: 1}},
		Upstreams:  []Upstream{{Name: "u1", Version: "v1", MaxConcurrent: 2}, {Name: "u2", Version: "v1", MaxConcurrent: 2}},
		Shares:     []VersionShare{{Version: "v1", Share: 1, NonIdempotentShare: 1}},
		Gateways:   []ident.NodeID{"g1"},
	}
}

func testTicket(id int, tier ident.TierName) Ticket {
	return Ticket{
		ID: ident.RequestID(fmt.Sprintf("r%04d", id)), Gateway: "g1", Tier: tier, Team: "a", Route: "r",
		Idempotent: true, Remaining: time.Minute,
	}
}

func openPool(v View) *Pool {
	p := New(1, v, 0)
	for _, g := range v.Gateways {
		p.Register(Registration{Gateway: g, Incarnation: 1}, 0)
	}
	return p
}

func grants(decisions []Decision) []Grant {
	var out []Grant
	for _, d := range decisions {
		if d.Grant != nil {
			out = append(out, *d.Grant)
		}
	}
	return out
}

func refusals(decisions []Decision) []Refusal {
	var out []Refusal
	for _, d := range decisions {
		if d.Refusal != nil {
			out = append(out, *d.Refusal)
		}
	}
	return out
}

func TestPool_StrictTierOrder(t *testing.T) {
	p := openPool(testView())
	for i := range 4 {
		p.Submit(testTicket(i, "patient"), 0)
	}
	must.Len(t, 4, grants(p.Decisions()))
	p.Submit(testTicket(10, "patient"), 0)
	p.Submit(testTicket(11, "ordinary"), 0)
	p.Submit(testTicket(12, "urgent"), 0)
	must.Len(t, 0, p.Decisions())
	e := p.entries["r0000"]
	p.Report(Report{Kind: ReportEnded, Ticket: "r0000", Gateway: "g1", Upstream: e.engine.upstream.Name}, time.Second)
	got := grants(p.Decisions())
	must.Len(t, 1, got)
	must.Eq(t, ident.RequestID("r0012"), got[0].Ticket)
}

func TestPool_QueueLimitShedsLowestTier(t *testing.T) {
	v := testView()
	v.QueueLimit = 2
	p := openPool(v)
	for i := range 4 {
		p.Submit(testTicket(i, "urgent"), 0)
	}
	p.Submit(testTicket(10, "patient"), 0)
	p.Submit(testTicket(11, "urgent"), 0)
	p.Decisions()
	p.Submit(testTicket(12, "urgent"), 0)
	got := refusals(p.Decisions())
	must.Len(t, 1, got)
	must.Eq(t, ident.RequestID("r0010"), got[0].Ticket)
	must.Eq(t, ReasonOverload, got[0].Reason)
}

func TestPool_GrantExpiresUnused(t *testing.T) {
	p := openPool(testView())
	p.Submit(testTicket(0, "urgent"), 0)
	must.Len(t, 1, grants(p.Decisions()))
	must.Eq(t, 1, p.Stats().Running)
	p.Submit(testTicket(0, "urgent"), 400*time.Millisecond)
	again := grants(p.Decisions())
	must.Len(t, 1, again)
	must.Eq(t, GrantTTL-400*time.Millisecond, again[0].TTL)
	p.Tick(GrantTTL + confirmMargin)
	must.Eq(t, 0, p.Stats().Running)
}

func TestPool_TakeoverWaitsForGateways(t *testing.T) {
	v := testView()
	v.Gateways = []ident.NodeID{"g1", "g2"}
	p := New(2, v, 0)
	running := Running{Ticket: testTicket(1, "urgent"), Upstream: "u1", Version: "v1", Elapsed: time.Second}
	p.Register(Registration{Gateway: "g1", Incarnation: 1, Waiting: []Ticket{testTicket(0, "urgent")}, Running: []Running{running}}, 0)
	must.Len(t, 0, p.Decisions())
	p.Tick(GrantTTL)
	must.Len(t, 0, p.Decisions())
	p.Tick(takeoverWait)
	got := grants(p.Decisions())
	must.Len(t, 1, got)
	must.Eq(t, ident.UpstreamName("u2"), got[0].Upstream)
	must.Eq(t, ident.Epoch(2), got[0].Epoch)
}

func TestPool_CanaryStaysWithinShare(t *testing.T) {
	v := testView()
	v.Upstreams = append(v.Upstreams, Upstream{Name: "u3", Version: "v2", MaxConcurrent: 8}, Upstream{Name: "u4", Version: "v3", MaxConcurrent: 8})
	v.Shares = []VersionShare{{Version: "v1", Share: 0.95, NonIdempotentShare: 1}, {Version: "v2", Share: 0.05}, {Version: "v3"}}
	p := openPool(v)
	count := map[ident.VersionName]int{}
	for i := range 400 {
		now := time.Duration(i) * time.Millisecond
		ticket := testTicket(i, "urgent")
		ticket.Idempotent = i%2 == 0
		p.Submit(ticket, now)
		for _, g := range grants(p.Decisions()) {
			count[g.Version]++
			p.Report(Report{Kind: ReportEnded, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream}, now)
		}
	}
	must.Eq(t, map[ident.VersionName]int{"v1": 390, "v2": 10}, count)
}

func TestPool_UnsentIsRetriedElsewhere(t *testing.T) {
	p := openPool(testView())
	p.Submit(testTicket(0, "urgent"), 0)
	first := grants(p.Decisions())[0]
	p.Report(Report{Kind: ReportUnsent, Ticket: first.Ticket, Gateway: "g1", Upstream: first.Upstream}, 0)
	second := grants(p.Decisions())
	must.Len(t, 1, second)
	must.NotEq(t, first.Upstream, second[0].Upstream)
}

func TestPool_FailingUpstreamIsEjectedAndRecovers(t *testing.T) {
	v := testView()
	v.Upstreams[0].MaxConcurrent = 20
	p := openPool(v)
	bad := ident.UpstreamName("u1")
	served := 0
	run := func(from, to int, fails bool) {
		served = 0
		for i := from; i < to; i++ {
			now := time.Duration(i) * 100 * time.Millisecond
			for j := range 3 {
				p.Submit(testTicket(3*i+j, "urgent"), now)
			}
			for _, g := range grants(p.Decisions()) {
				kind := ReportEnded
				if g.Upstream == bad {
					served++
					if fails {
						kind = ReportFailed
					}
				}
				p.Report(Report{Kind: kind, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream, Elapsed: 50 * time.Millisecond}, now+50*time.Millisecond)
			}
		}
	}
	run(0, 100, true)
	// The upstream is ejected after three failures, with one more request in
	// flight. Probes follow after 1, 2 and 4 seconds.
	must.Eq(t, failuresToEject+1+3, served)
	must.Eq(t, 2, p.Stats().Capacity)
	run(100, 300, false)
	must.GreaterEq(t, 100, served)
}

// fillSlots submits tickets of the given tier until all slots are occupied.
func fillSlots(p *Pool, tier ident.TierName) []Grant {
	for i := range p.Stats().Capacity {
		p.Submit(testTicket(i, tier), 0)
	}
	held := grants(p.Decisions())
	for _, g := range held {
		p.Report(Report{Kind: ReportDispatched, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream}, 0)
	}
	return held
}

func TestPool_ReserveServesPatientWorkCloseToItsDeadline(t *testing.T) {
	v := testView()
	v.Tiers[0].Reserve = 0.25
	p := openPool(v)
	held := fillSlots(p, "urgent")
	patient := testTicket(100, "patient")
	patient.Remaining = 8 * time.Second
	p.Submit(patient, 0)
	for i := range 3 {
		p.Submit(testTicket(200+i, "urgent"), 0)
	}
	now := 4 * time.Second
	p.Tick(now)
	for i := range 2 {
		p.Report(Report{Kind: ReportEnded, Ticket: held[i].Ticket, Gateway: "g1", Upstream: held[i].Upstream}, now)
	}
	got := grants(p.Decisions())
	must.Len(t, 2, got)
	must.Eq(t, patient.ID, got[0].Ticket)
	must.Eq(t, ident.RequestID("r0200"), got[1].Ticket)
}

func TestPool_ReserveSuspendedAfterHigherTierIsShed(t *testing.T) {
	v := testView()
	v.Tiers[0].Reserve = 0.25
	p := openPool(v)
	held := fillSlots(p, "urgent")
	patient := testTicket(100, "patient")
	patient.Remaining = 8 * time.Second
	p.Submit(patient, 0)
	shortDeadline := testTicket(300, "urgent")
	shortDeadline.Remaining = 3 * time.Second
	p.Submit(shortDeadline, 0)
	p.Submit(testTicket(200, "urgent"), 0)
	now := 4 * time.Second
	p.Tick(now)
	must.Eq(t, []Refusal{{Ticket: shortDeadline.ID, Reason: ReasonDeadline, RetryAfter: trialInterval}}, refusals(p.Decisions()))
	p.Report(Report{Kind: ReportEnded, Ticket: held[0].Ticket, Gateway: "g1", Upstream: held[0].Upstream}, now)
	got := grants(p.Decisions())
	must.Len(t, 1, got)
	must.Eq(t, ident.RequestID("r0200"), got[0].Ticket)
}

func TestPool_LaggingReportOnlyCorrectsOwnCount(t *testing.T) {
	p := openPool(testView())
	held := fillSlots(p, "urgent")
	now := time.Duration(0)
	for range 20 {
		now += checkInterval
		p.Tick(now)
	}
	// All requests end. A report from before that still counts them.
	for _, g := range held {
		p.Report(Report{Kind: ReportEnded, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream}, now)
	}
	p.Load(LoadReport{Upstream: "u1", Running: 2, Age: 5 * time.Second}, now+time.Second)
	must.Eq(t, 2, p.engines["u1"].free())
	// Two requests that were not granted here run on the other upstream. Reports
	// of age 0 count them.
	for range 8 {
		p.Load(LoadReport{Upstream: "u2", Running: 4}, now)
	}
	must.Eq(t, 0, p.engines["u2"].free())
}

func TestPool_TeamsShareByTokens(t *testing.T) {
	p := New(1, testView(), 0)
	var waiting []Ticket
	for i := range 90 {
		ticket := testTicket(i, "ordinary")
		ticket.PromptTokens = 900
		if i >= 45 {
			ticket.Team = "b"
			ticket.PromptTokens = 100
		}
		waiting = append(waiting, ticket)
	}
	p.Register(Registration{Gateway: "g1", Incarnation: 1, Waiting: waiting}, 0)
	tokens := map[ident.TeamName]int{}
	for range 9 {
		for _, g := range grants(p.Decisions()) {
			e := p.entries[g.Ticket]
			tokens[e.ticket.Team] += e.ticket.PromptTokens
			p.Report(Report{Kind: ReportEnded, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream}, 0)
		}
	}
	// The tickets in the match window of one placement round may all come from
	// one team.
	must.Between(t, -matchWindow*900, tokens["a"]-tokens["b"], matchWindow*900)
}

func TestPool_SlowPeriodIsForgotten(t *testing.T) {
	p := openPool(testView())
	latency := 10 * time.Second
	now := time.Duration(0)
	done := 0
	for i := range 200 {
		now += latency
		if i == 20 {
			latency = 50 * time.Millisecond
		}
		ticket := testTicket(i, "urgent")
		ticket.Remaining = 6 * time.Second
		p.Submit(ticket, now)
		for _, g := range grants(p.Decisions()) {
			p.Report(Report{Kind: ReportEnded, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream, Elapsed: latency}, now+latency)
			if latency < ticket.Remaining {
				done++
			}
		}
	}
	must.Greater(t, 100, done)
}

func TestPool_NoUpstreamIsRefusedAtOnce(t *testing.T) {
	v := testView()
	for i := range v.Upstreams {
		v.Upstreams[i].Leaving = true
	}
	p := openPool(v)
	p.Submit(testTicket(0, "urgent"), 0)
	must.Eq(t, []Refusal{{Ticket: "r0000", Reason: ReasonNoUpstream, RetryAfter: probeMinInterval}}, refusals(p.Decisions()))
}

// TestPool_NextProbeIsDue guards against a probe that is due, counted as none, so that refused
// callers are sent away until the next upstream's probe.
func TestPool_NextProbeIsDue(t *testing.T) {
	p := openPool(testView())
	now := 10 * time.Second
	first, second := p.orderedEngines[0], p.orderedEngines[1]
	first.health.eject(0)
	second.health.eject(now)
	p.updateEjected(first)
	p.updateEjected(second)
	must.SliceLen(t, 2, p.ejected)
	must.LessEq(t, 0, p.nextProbe(now))
	must.Greater(t, 0, p.nextProbe(0))
}

func TestHealth_LastingSlownessIsAccepted(t *testing.T) {
	h := newHealth(&leaseTuning)
	h.eject(0)
	now := time.Duration(0)
	for range slowProbesToAccept {
		now += probeMaxInterval
		must.LessEq(t, now, h.nextProbe(false))
		probe := &entry{engine: &engine{}}
		h.probe = probe
		h.recordAnswer(probe, 2*ejectSlowness, now)
	}
	must.False(t, h.ejected)
}

// TestPool_OnlyUpstreamIsProbedSoon fails the only upstream until it is ejected.
// While no other can serve, any ticket is a probe at short intervals, and the
// first answer returns the upstream to rotation.
func TestPool_OnlyUpstreamIsProbedSoon(t *testing.T) {
	v := testView()
	v.Upstreams = v.Upstreams[:1]
	p := openPool(v)
	now, id, attempts := time.Duration(0), 0, 0
	for now < 20*time.Second {
		ticket := testTicket(id, "urgent")
		ticket.Idempotent = false
		p.Submit(ticket, now)
		for _, g := range grants(p.Decisions()) {
			attempts++
			p.Report(Report{Kind: ReportDispatched, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream}, now)
			p.Report(Report{Kind: ReportFailed, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream}, now)
		}
		id++
		now += 100 * time.Millisecond
	}
	must.Between(t, 15, attempts, 25)
	p.Submit(testTicket(id, "urgent"), now+probeMinInterval)
	got := grants(p.Decisions())
	must.Len(t, 1, got)
	p.Report(Report{Kind: ReportEnded, Ticket: got[0].Ticket, Gateway: "g1", Upstream: got[0].Upstream, Elapsed: time.Millisecond}, now+probeMinInterval)
	must.Positive(t, p.slots)
}

// TestPool_UnsentEverywhereIsRefusedAtOnce reports a ticket as unsent at every
// upstream, so that none is left for a retry.
func TestPool_UnsentEverywhereIsRefusedAtOnce(t *testing.T) {
	p := openPool(testView())
	p.Submit(testTicket(0, "urgent"), 0)
	for range 2 {
		for _, g := range grants(p.Decisions()) {
			p.Report(Report{Kind: ReportUnsent, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream}, 0)
		}
	}
	got := refusals(p.Decisions())
	must.Len(t, 1, got)
	must.Eq(t, ReasonUnsent, got[0].Reason)
}
