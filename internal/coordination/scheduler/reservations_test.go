package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler/retryslots"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// reservingPool returns a pool of one upstream whose requests take 100 ms, with its slots
// and its queue full at the returned time.
func reservingPool(reserve bool) (p *Pool, now time.Duration) {
	v := sharedView(1)
	v.Shared.RetryReservations = reserve
	p = sharedPool(v, "g1", "g2", "g3", "g4")
	now = start
	for i := range 40 {
		p.Submit(sharedTicket(i, "low"), now)
		for _, g := range grants(p.Decisions()) {
			serveRequest(p, g, ReportEnded, now, 100*time.Millisecond)
		}
		now += 200 * time.Millisecond
	}
	for i := 100; i < 200; i++ {
		t := sharedTicket(i, "low")
		t.Fingerprint = uint64(i)
		p.Submit(t, now)
	}
	return p, now
}

// firstRefusal returns the first refused ticket and its refusal.
func firstRefusal(t *testing.T, p *Pool) (Ticket, Refusal, Basis) {
	t.Helper()
	for _, d := range p.Decisions() {
		if d.Refusal != nil {
			return p.entries[d.Refusal.Ticket].ticket, *d.Refusal, d.Basis
		}
	}
	t.Fatal("none was refused")
	return Ticket{}, Refusal{}, Basis{}
}

// TestReservations_RetryBeforeNewLateWork follows one caller: it is refused, told when to
// retry, and then served before late tickets of its tier, and after one of a higher tier
// and one within its objective.
func TestReservations_RetryBeforeNewLateWork(t *testing.T) {
	p, now := reservingPool(true)
	ticket, refusal, basis := firstRefusal(t, p)
	must.Between(t, sharedTuning.minRetryAfter, refusal.RetryAfter, ticket.Remaining/3)
	must.StrContains(t, basis.String(), "retry reserved in")
	ticket.ID, ticket.Remaining = "again", ticket.Remaining-refusal.RetryAfter
	now += refusal.RetryAfter
	p.Submit(ticket, now)
	e := p.entries["again"]
	must.True(t, e.reserved && e.state == stateWaiting)
	must.Eq(t, 1, p.Stats().Reservations.Honoured)
	own := p.tierOf(e).tier.Rank
	must.Greater(t, p.tier("low"+lateSuffix).tier.Rank, own)
	must.Less(t, p.tier("low").tier.Rank, own)
	must.Less(t, p.tier("high"+lateSuffix).tier.Rank, own)
	ticket.ID = "copy"
	p.Submit(ticket, now)
	must.False(t, p.entries["copy"].reserved)
}

// TestReservations_Off checks that without the setting refusals are as they were: each has
// a RetryAfter, and tiers have two queues.
func TestReservations_Off(t *testing.T) {
	p, _ := reservingPool(false)
	_, refusal, basis := firstRefusal(t, p)
	must.Positive(t, refusal.RetryAfter)
	must.Eq(t, "", basis.Retry)
	must.Len(t, 4, p.tiers)
	must.Zero(t, p.Stats().Reservations.Made)
}

// TestReservations_SwitchedWhileWaiting changes the setting with tickets in all queues: none
// is lost, and what was reserved is forgotten.
func TestReservations_SwitchedWhileWaiting(t *testing.T) {
	p, now := reservingPool(true)
	ticket, refusal, _ := firstRefusal(t, p)
	ticket.ID, ticket.Remaining = "again", ticket.Remaining-refusal.RetryAfter
	now += refusal.RetryAfter
	p.Submit(ticket, now)
	waiting := p.waiting
	for _, on := range []bool{false, true} {
		v := p.view
		shared := *v.Shared
		shared.RetryReservations = on
		v.Shared = &shared
		p.SetView(v, now)
		queued := 0
		for _, q := range p.tiers {
			queued += q.waiting
		}
		must.Eq(t, waiting, queued)
		must.Zero(t, p.Stats().Reservations.Open)
	}
}

// TestReservations_OtherRefusals checks the refusals that reservations don't decide: without
// upstreams, for a suspected request, for the retry budget, of a caller that has retried,
// and of a request that may have run.
func TestReservations_OtherRefusals(t *testing.T) {
	p, now := reservingPool(true)
	e := p.entries["r0199"]
	for _, reason := range []Reason{ReasonNoUpstream, ReasonQuota, ReasonPoisonPart, ReasonPoisonRequest, ReasonRetryBudget, ReasonUnsent} {
		_, planned := p.planRetry(e, reason, now)
		must.False(t, planned, must.Sprint(reason))
	}
	must.Zero(t, p.retryAfter(e, ReasonPoisonRequest, now))
	for _, change := range []func(t *Ticket){
		func(t *Ticket) { t.Returned = true },
		func(t *Ticket) { t.Arrived = true },
		func(t *Ticket) { t.Resumes = true },
		func(t *Ticket) { t.Fingerprint = 0 },
	} {
		x := *e
		change(&x.ticket)
		_, planned := p.planRetry(&x, ReasonDeadline, now)
		must.False(t, planned)
	}
	p.slots = 0
	_, planned := p.planRetry(e, ReasonDeadline, now)
	must.False(t, planned, must.Sprint("nothing is known of upstreams that return"))
}

// TestReservations_AfterPause checks that a retry is told to come after the end of a pause
// that its gateway keeps, and not at all if that is too late for its caller.
func TestReservations_AfterPause(t *testing.T) {
	for _, c := range []struct{ pause, least, most time.Duration }{
		{2 * time.Second, 2 * time.Second, 3200 * time.Millisecond},
		{5 * time.Second, 0, 0},
	} {
		p, now := reservingPool(true)
		p.reservations = retryslots.New()
		p.pause("g1", PauseNotice{Upstream: "u0", Left: c.pause}, now)
		e := p.entries["r0199"]
		after, planned := p.planRetry(e, ReasonDeadline, now)
		must.True(t, planned)
		must.Between(t, c.least, after, c.most)
	}
}

// TestReservations_Fraction checks that a scheduler with a quarter of the gateways reserves
// about a quarter of what one with all of them does.
func TestReservations_Fraction(t *testing.T) {
	made := func(gateways ...ident.NodeID) int {
		v := sharedView(10)
		v.Shared.RetryReservations = true
		for i := range v.Upstreams {
			v.Upstreams[i].MaxConcurrent = 8
		}
		p := sharedPool(v, gateways...)
		p.Tick(start)
		p.meanService = 100 * time.Millisecond
		got := 0
		for i := range 2000 {
			e := &entry{ticket: sharedTicket(i, "low"), deadline: start + 10*time.Second, serviceTime: 100 * time.Millisecond}
			e.ticket.Fingerprint = uint64(i + 1)
			if after, _ := p.planRetry(e, ReasonOverload, start); after > 0 {
				got++
			}
		}
		return got
	}
	all, quarter := made("g1", "g2", "g3", "g4"), made("g1")
	must.Positive(t, quarter)
	must.LessEq(t, all*3/10, quarter)
}
