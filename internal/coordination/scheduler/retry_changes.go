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

// isRetry reports whether a ticket that is new here was sent before and may have arrived.
func (p *Pool) isRetry(e *entry) bool {
	return e.ticket.Arrived || e.ticket.Resumes
}

// takeRetry lets a ticket be sent once more if the retry budget allows that.
func (p *Pool) takeRetry(e *entry) bool {
	taken := p.retries.take()
	if taken {
		p.retriesTaken++
	} else {
		p.retriesRefused++
	}
	p.retryChanges = append(p.retryChanges, RetryChange{
		Ticket: e.ticket.ID, Gateway: e.ticket.Gateway, Refused: !taken, Left: p.retries.tokens, Detail: p.retryBasis(),
	})
	return taken
}

// retryBasis returns what the retry budget depends on, for logs.
func (p *Pool) retryBasis() string {
	return fmt.Sprintf("at most %.1f, for %d of %d gateways", p.retries.burst, len(p.registered), len(p.gateways))
}

// reportBudget reports the budget that the scheduler begins with, once the gateways have had
// time to register.
func (p *Pool) reportBudget(now time.Duration) {
	if p.budgetLogAt == 0 || now < p.budgetLogAt {
		return
	}
	p.budgetLogAt = 0
	p.retryChanges = append(p.retryChanges, RetryChange{Left: p.retries.tokens, Detail: p.retryBasis()})
}
