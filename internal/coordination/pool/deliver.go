package pool

import (
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

// deliver passes decisions of a session to their waiters. A grant without a waiter is
// reported as dropped. Decisions of a former session are ignored: the tickets wait in the
// next one, and the former scheduler may not know what became of them since.
func (c *Client) deliver(s Session, decisions []scheduler.Decision, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.registered || s != c.session() {
		return
	}
	for _, d := range decisions {
		if d.Refusal != nil {
			c.deliverRefusal(d)
			continue
		}
		c.deliverGrant(d, sent)
	}
}

func (c *Client) deliverRefusal(d scheduler.Decision) {
	w := c.waiting[d.Refusal.Ticket]
	if w == nil {
		return
	}
	delete(c.waiting, d.Refusal.Ticket)
	w.decisions <- d
}

func (c *Client) deliverGrant(d scheduler.Decision, sent time.Time) {
	id := d.Grant.Ticket
	if c.running[id] != nil || d.Grant.Epoch < c.holder.Lease.Epoch {
		return
	}
	w := c.waiting[id]
	if w == nil {
		c.queueReport(scheduler.Report{Kind: scheduler.ReportDropped, Ticket: id, Upstream: d.Grant.Upstream})
		return
	}
	if slices.Contains(w.ticket.Excluded, d.Grant.Upstream) {
		// The scheduler has repeated a grant under which the request was sent, and has not
		// read the report of its end yet. It decides again when it does.
		return
	}
	delete(c.waiting, id)
	c.running[id] = &runningRequest{
		ticket:  w.ticket,
		grant:   *d.Grant,
		expires: sent.Add(d.Grant.TTL),
		since:   time.Now(),
	}
	w.decisions <- d
}
