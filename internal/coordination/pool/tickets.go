package pool

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// answerSlack is how much longer than its fastest answer a scheduler that keeps up takes
	// to answer a message, which it does at once.
	answerSlack = 8 * time.Millisecond
	// maxTicketDelay is how long a ticket may wait for another message at most, and
	// ticketDelayFraction the fraction of the time that the request has left.
	maxTicketDelay      = 100 * time.Millisecond
	ticketDelayFraction = 0.25
	// ticketDelayGain is the delay of a ticket for each unit of time by which answers take
	// longer than that.
	ticketDelayGain = 4
	// slowerAnswerWeight is the weight of an answer that took longer than those before it.
	// Others weigh more: a single late answer does not show that the scheduler is behind.
	slowerAnswerWeight = 0.125
	fasterAnswerWeight = 0.5
	// answerRetention is how long answers tell of the present.
	answerRetention = time.Second
)

// answerTimes follows how long a scheduler takes to answer the messages of a session.
type answerTimes struct {
	fastest, mean time.Duration
	latest        time.Time
}

// observe records an answer.
func (a *answerTimes) observe(took time.Duration, now time.Time) {
	if a.latest.IsZero() {
		a.fastest, a.mean = took, took
	}
	a.fastest, a.latest = min(a.fastest, took), now
	limit := a.fastest + answerSlack + maxTicketDelay/ticketDelayGain
	took, a.mean = min(took, limit), min(a.mean, limit)
	weight := slowerAnswerWeight
	if took < a.mean {
		weight = fasterAnswerWeight
	}
	a.mean += time.Duration(weight * float64(took-a.mean))
}

// ticketDelay returns how long a ticket may wait for a message that is sent anyway. While the
// scheduler is behind, it gets fewer and larger messages this way, and the ends of requests,
// which free slots and are sent at once, are less late.
func (a *answerTimes) ticketDelay(t *scheduler.Ticket, remaining time.Duration, now time.Time) time.Duration {
	behind := a.mean - a.fastest - answerSlack
	if behind <= 0 || now.Sub(a.latest) > answerRetention {
		return 0
	}
	if t.Objective > 0 {
		remaining = min(remaining, t.Objective)
	}
	return min(ticketDelayGain*behind, maxTicketDelay, max(0, time.Duration(ticketDelayFraction*float64(remaining))))
}

// ticketQueue holds the tickets that are not sent yet. Its owner's lock guards it.
type ticketQueue struct {
	ids []ident.RequestID
	// dueAt is when the first of them has to be sent.
	dueAt time.Time
	timer *time.Timer
}

// add queues a ticket that may wait for a time, and reports whether it has to be sent now.
// Otherwise wake is called when it has to be, without the owner's lock.
func (q *ticketQueue) add(id ident.RequestID, delay time.Duration, now time.Time, wake func()) (due bool) {
	if dueAt := now.Add(delay); len(q.ids) == 0 || dueAt.Before(q.dueAt) {
		q.dueAt = dueAt
		q.stopTimer()
		if delay > 0 {
			q.timer = time.AfterFunc(delay, wake)
		}
	}
	q.ids = append(q.ids, id)
	return q.isDue(now)
}

// isDue reports whether a ticket has to be sent now.
func (q *ticketQueue) isDue(now time.Time) bool {
	return len(q.ids) > 0 && !now.Before(q.dueAt)
}

// clear drops all tickets.
func (q *ticketQueue) clear() {
	q.stopTimer()
	q.ids = nil
}

func (q *ticketQueue) stopTimer() {
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
}

// ticketAt returns the ticket with the times that are left.
func (w *waiter) ticketAt(now time.Time) scheduler.Ticket {
	t := w.ticket
	t.Remaining = w.deadline.Sub(now)
	waited := now.Sub(w.placedAt)
	if t.Objective != 0 {
		if t.Objective -= waited; t.Objective == 0 {
			t.Objective = -1
		}
	}
	if t.Patience > 0 {
		t.Patience = max(1, t.Patience-waited)
	}
	return t
}
