package scheduler

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// RetryChange reports that a retry took from the retry budget or was refused for want of it,
// or with which budget a scheduler begins.
type RetryChange struct {
	// Ticket is the retried request, at Gateway; empty where a scheduler begins.
	Ticket  ident.RequestID
	Gateway ident.NodeID
	Refused bool
	// Left is what is left of the budget, in retries, and Detail why it is that much.
	Left   float64
	Detail string
}

// String implements fmt.Stringer.
func (c RetryChange) String() string {
	switch {
	case c.Ticket == "":
		return fmt.Sprintf("begins with %.1f retries: %s", c.Left, c.Detail)
	case c.Refused:
		return fmt.Sprintf("retry for %s refused: %.1f retries left, %s", c.Gateway, c.Left, c.Detail)
	default:
		return fmt.Sprintf("retry for %s: %.1f retries left, %s", c.Gateway, c.Left, c.Detail)
	}
}

// RetryChanges implements Scheduler.
func (p *Pool) RetryChanges() []RetryChange {
	out := p.retryChanges
	p.retryChanges = nil
	return out
}

// settleTime is how long after the first registration with a scheduler that begins the retry
// budget is expected to grow with further registrations.
const settleTime = 250 * time.Millisecond

// retryState is what a ticket has of the retry budget.
type retryState uint8

const (
	retryNone retryState = iota
	// retryReserved means that a retry is reserved for the ticket's next grant.
	retryReserved
	// retryCounted means that its latest grant counts as a retry.
	retryCounted
)

// isRetry reports whether a ticket that is new here was sent before and may have arrived.
func (p *Pool) isRetry(e *entry) bool {
	return e.ticket.Arrived || e.ticket.Resumes
}

// reserveRetry reserves a retry for a ticket that is in no queue. If the budget does not
// allow it, the ticket is refused, or decided later where the scheduler has just begun.
func (p *Pool) reserveRetry(e *entry, now time.Duration) bool {
	e.ticket.Arrived = true
	account, ok := p.retries.reserve(e.ticket.Gateway, now)
	if !ok && p.settledAt != 0 && now < p.settledAt {
		e.state = stateUndecided
		p.undecided = append(p.undecided, e)
		return false
	}
	p.retryChanges = append(p.retryChanges, RetryChange{
		Ticket: e.ticket.ID, Gateway: e.ticket.Gateway, Refused: !ok, Left: min(account.left, account.own), Detail: account.String(),
	})
	if !ok {
		p.retriesRefused++
		p.refuse(e, ReasonRetryBudget, now)
		return false
	}
	p.retriesTaken++
	e.retry = retryReserved
	return true
}

// decideRetries decides the retries that wait for registrations, and reports the budget that
// the scheduler begins with once the gateways have had time to register.
func (p *Pool) decideRetries(now time.Duration) {
	if p.settledAt == 0 || now < p.settledAt && !p.newUsage {
		return
	}
	p.newUsage = false
	if now >= p.settledAt {
		p.settledAt = 0
		if account := p.retries.account(now); account.gateways > 0 {
			p.retryChanges = append(p.retryChanges, RetryChange{Left: account.left, Detail: account.String()})
		}
	}
	undecided := p.undecided
	p.undecided = nil
	for _, e := range undecided {
		if e.state != stateUndecided || !p.reserveRetry(e, now) {
			continue
		}
		if !e.admitted {
			p.admitNew(e, now)
			continue
		}
		p.enqueue(e)
	}
}

// registerRetries passes on what a gateway has sent to the retry budget. Retries that were
// granted and not begun may be on their way to it.
func (p *Pool) registerRetries(r Registration, restarted bool, now time.Duration) {
	p.retries.register(r.Gateway, restarted, r.Retries, now)
	p.newUsage = true
	if r.Retries == nil || restarted {
		return
	}
	for _, e := range p.entries {
		if e.ticket.Gateway == r.Gateway && e.state == stateGranted && e.retry == retryCounted {
			e.counted = p.retries.countRetry(r.Gateway, now)
		}
	}
}

// countGrant counts the grant of a ticket.
func (p *Pool) countGrant(e *entry, now time.Duration) {
	switch {
	case e.retry == retryReserved:
		e.retry, e.counted = retryCounted, p.retries.countRetry(e.ticket.Gateway, now)
	case e.countedFirst == 0 && !e.ticket.Sent:
		e.countedFirst = p.retries.countFirst(e.ticket.Gateway, now)
	}
}

// keepCounted keeps the latest grant of a ticket counted: it was sent and may have arrived.
func (p *Pool) keepCounted(e *entry) {
	if e.retry == retryCounted {
		e.retry = retryNone
	}
}

// uncountRetry turns the latest grant of a ticket back into a reserved retry, since it did
// not arrive.
func (p *Pool) uncountRetry(e *entry) {
	if e.retry == retryCounted {
		p.retries.uncount(e.ticket.Gateway, e.counted, 0, 1)
		p.retries.hold(p.retries.gateway(e.ticket.Gateway, p.now), 1)
		e.retry = retryReserved
	}
}

// uncountGrant takes back the latest grant of a ticket, which was not sent.
func (p *Pool) uncountGrant(e *entry) {
	p.uncountRetry(e)
	if e.retry == retryNone && e.countedFirst != 0 && e.retries == 0 {
		p.retries.uncount(e.ticket.Gateway, e.countedFirst, 1, 0)
		e.countedFirst = 0
	}
}

// releaseRetry returns the retry that is reserved for a ticket.
func (p *Pool) releaseRetry(e *entry) {
	if e.retry == retryReserved {
		p.retries.release(e.ticket.Gateway)
		e.retry = retryNone
	}
}
