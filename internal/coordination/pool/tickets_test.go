package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// answersOf returns the record of answers that took a time each, the last of them now.
func answersOf(took ...time.Duration) answerTimes {
	var a answerTimes
	for _, d := range took {
		a.observe(d, time.Now())
	}
	return a
}

// TestAnswerTimes_TicketDelay checks that tickets wait only while a scheduler is behind, and
// never for a large part of the time that they have.
func TestAnswerTimes_TicketDelay(t *testing.T) {
	const prompt, slow, stalled = 2 * time.Millisecond, 60 * time.Millisecond, time.Second
	behind := []time.Duration{prompt}
	for range 40 {
		behind = append(behind, slow)
	}
	now := time.Now()
	for _, c := range []struct {
		name        string
		answers     []time.Duration
		objective   time.Duration
		remaining   time.Duration
		after       time.Duration
		least, most time.Duration
	}{
		{name: "no answer yet", remaining: time.Minute},
		{name: "prompt", answers: []time.Duration{prompt, prompt, 4 * time.Millisecond}, remaining: time.Minute},
		{name: "far away", answers: []time.Duration{slow, slow, slow, slow}, remaining: time.Minute},
		{name: "behind", answers: behind, remaining: time.Minute, least: 90 * time.Millisecond, most: maxTicketDelay},
		{name: "behind, objective", answers: behind, remaining: time.Minute, objective: 120 * time.Millisecond, least: 30 * time.Millisecond, most: 30 * time.Millisecond},
		{name: "behind, past objective", answers: behind, remaining: time.Minute, objective: -time.Second, least: 90 * time.Millisecond, most: maxTicketDelay},
		{name: "behind, little time", answers: behind, remaining: 40 * time.Millisecond, least: 10 * time.Millisecond, most: 10 * time.Millisecond},
		{name: "behind, past deadline", answers: behind, remaining: -time.Second},
		{name: "behind long ago", answers: behind, remaining: time.Minute, after: 2 * time.Second},
		{name: "stalled once", answers: []time.Duration{prompt, stalled, stalled, stalled, stalled, prompt}, remaining: time.Minute},
		{name: "slow first answer", answers: []time.Duration{stalled, prompt, prompt, prompt}, remaining: time.Minute},
	} {
		a := answersOf(c.answers...)
		delay := a.ticketDelay(&scheduler.Ticket{Objective: c.objective}, c.remaining, now.Add(c.after))
		must.Between(t, c.least, delay, c.most, must.Sprint(c.name))
	}
}

// TestClient_EndLeavesBeforeTicketsAreDue checks that the end of a request is sent at once
// while tickets wait for a scheduler that is behind, that it takes them along, and that a
// message has the time that its tickets have left.
func TestClient_EndLeavesBeforeTicketsAreDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient(testPool, "g1", 1, nil, nil)
		c.holder.Address, c.registered, c.accepted = "scheduler", true, true
		place := func(id ident.RequestID, objective, patience time.Duration) {
			go func() {
				_, _ = c.Place(t.Context(), scheduler.Ticket{ID: id, Objective: objective, Patience: patience}, time.Now().Add(time.Second))
			}()
			synctest.Wait()
		}
		next := func() *SubmitArgs {
			args, _ := c.nextMessage(time.Now())
			return args
		}
		place("r1", 0, 0)
		must.Len(t, 1, next().Tickets)
		c.deliver(c.session(), []scheduler.Decision{{Grant: &scheduler.Grant{Ticket: "r1", Upstream: "u1", TTL: time.Second}}}, time.Now())
		must.Eq(t, scheduler.BeginSend, c.Begin("r1"))

		c.answers = answersOf(time.Millisecond)
		for range 40 {
			c.answers.observe(time.Second, time.Now())
		}
		place("r2", 120*time.Millisecond, 200*time.Millisecond)
		must.Nil(t, next())
		time.Sleep(20 * time.Millisecond)
		must.Nil(t, next())
		c.Finish("r1", scheduler.Ending{Kind: scheduler.ReportEnded})
		args := next()
		must.Len(t, 2, args.Reports)
		must.Len(t, 1, args.Tickets)
		must.Eq(t, 980*time.Millisecond, args.Tickets[0].Remaining)
		must.Eq(t, 100*time.Millisecond, args.Tickets[0].Objective)
		must.Eq(t, 180*time.Millisecond, args.Tickets[0].Patience)

		<-c.wake
		place("r3", 120*time.Millisecond, 0)
		must.Nil(t, next())
		time.Sleep(30 * time.Millisecond)
		<-c.wake
		must.Len(t, 1, next().Tickets)
	})
}
