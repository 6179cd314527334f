package pool

import (
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// maxReportDelay is how long a report that frees no slot may wait for a message that is sent
// anyway. A message costs the scheduler more than its contents. It is less than the time for
// which an answer counts as beginning, so that the evidence against prompt parts stays the same.
const maxReportDelay = 250 * time.Millisecond

// reportDelay returns how long a report may wait for another message.
func reportDelay(kind scheduler.ReportKind) time.Duration {
	if kind == scheduler.ReportDispatched || kind == scheduler.ReportFirstToken {
		return maxReportDelay
	}
	return 0
}

// reportQueue holds the reports that are not sent yet. Its owner's lock guards it.
type reportQueue struct {
	queued []queuedReport
	// dueAt is when the first of them has to be sent.
	dueAt time.Time
	timer *time.Timer
}

type queuedReport struct {
	scheduler.Report
	at time.Time
}

// add queues a report and reports whether it has to be sent now. Otherwise wake is called
// when it has to be, without the owner's lock.
func (q *reportQueue) add(r scheduler.Report, now time.Time, wake func()) (due bool) {
	delay := reportDelay(r.Kind)
	if dueAt := now.Add(delay); len(q.queued) == 0 || dueAt.Before(q.dueAt) {
		q.dueAt = dueAt
		q.stopTimer()
		if delay > 0 {
			q.timer = time.AfterFunc(delay, wake)
		}
	}
	q.queued = append(q.queued, queuedReport{Report: r, at: now})
	return q.isDue(now)
}

// isDue reports whether a report has to be sent now.
func (q *reportQueue) isDue(now time.Time) bool {
	return len(q.queued) > 0 && !now.Before(q.dueAt)
}

// list returns all reports with their ages.
func (q *reportQueue) list(now time.Time) []scheduler.Report {
	if len(q.queued) == 0 {
		return nil
	}
	reports := make([]scheduler.Report, len(q.queued))
	for i, r := range q.queued {
		reports[i] = r.Report
		if reportDelay(r.Kind) > 0 {
			reports[i].Age = now.Sub(r.at)
		}
	}
	return reports
}

// clear drops all reports.
func (q *reportQueue) clear() {
	q.stopTimer()
	q.queued = nil
}

func (q *reportQueue) stopTimer() {
	if q.timer != nil {
		q.timer.Stop()
		q.timer = nil
	}
}

// endedRequest is a request that has ended at this gateway.
type endedRequest struct {
	id ident.RequestID
	at time.Time
}

// recordEnded remembers the end of a request while its grant may count at the scheduler.
// The caller holds the lock.
func (c *Client) recordEnded(id ident.RequestID, now time.Time) {
	c.forgetEnded(now)
	c.ended = append(c.ended, endedRequest{id: id, at: now})
}

func (c *Client) forgetEnded(now time.Time) {
	first := 0
	for first < len(c.ended) && now.Sub(c.ended[first].at) > scheduler.GrantCounted {
		first++
	}
	c.ended = slices.Delete(c.ended, 0, first)
}

// endedIDs returns the requests that have ended here lately and are not placed again. The
// caller holds the lock.
func (c *Client) endedIDs(now time.Time) []ident.RequestID {
	c.forgetEnded(now)
	var ids []ident.RequestID
	for _, e := range c.ended {
		if c.waiting[e.id] == nil && c.running[e.id] == nil {
			ids = append(ids, e.id)
		}
	}
	return ids
}
