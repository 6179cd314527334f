package load

import (
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
)

// count classifies one outcome. u may be nil.
func (o *outcome) count(u *Upstreams) Counts {
	c := Counts{Sent: 1, Resent: len(o.attempts) - 1}
	last := o.attempts[len(o.attempts)-1]
	uncertain := o.uncertain()
	switch {
	case last.kind == attemptAnswered:
		c.Answered = 1
	case last.kind == attemptWrong:
		c.Wrong = 1
	case last.kind == attemptNotRun && !uncertain:
		c.RefusedNotRun = 1
	case last.kind == attemptNotRun || last.kind == attemptMayHaveRun:
		c.MayHaveRun = 1
	case uncertain && o.disturbed:
		c.Disturbed = 1
	case uncertain:
		c.Lost = 1
	default:
		c.Unreached = 1
	}
	if last.replayed {
		c.Replayed = 1
	}
	if c.Answered > 0 && o.total <= o.job.class.Deadline {
		c.InTime = 1
	}
	if u != nil {
		o.countAtUpstreams(u, &c)
	}
	return c
}

// uncertain reports whether any send may have run without a complete answer.
func (o *outcome) uncertain() bool {
	for _, a := range o.attempts {
		if a.kind == attemptMayHaveRun || a.kind == attemptBroken {
			return true
		}
	}
	return false
}

// countAtUpstreams corrects and extends the caller's counts by the runs that the
// upstreams recorded for the request.
func (o *outcome) countAtUpstreams(u *Upstreams, c *Counts) {
	for _, a := range o.attempts {
		if a.kind == attemptNotRun && a.request != "" && u.counts.ByRequest[a.request] > 0 {
			c.FalseNotRun++
		}
	}
	if o.job.key == "" {
		return
	}
	runs := len(u.byEcho[o.job.echo])
	if runs > 1 {
		c.Doubled = 1
	}
	if runs == 0 && c.Answered > 0 {
		c.Answered, c.InTime, c.Lost = 0, 0, 1
	}
	if runs == 0 {
		return
	}
	if c.RefusedNotRun > 0 {
		c.FalseNotRun++
	}
	if c.MayHaveRun > 0 && o.attempts[len(o.attempts)-1].refused == callerapi.NotRun {
		c.NotRunAfterRun = 1
	}
}

// markDisturbed sets o.disturbed if the node of the last broken attempt was
// disturbed during that attempt.
func (o *outcome) markDisturbed(disturbed func(address string, from, to time.Time) bool) {
	for _, a := range slices.Backward(o.attempts) {
		if a.kind == attemptBroken {
			o.disturbed = disturbed(a.address, a.sentAt, a.endedAt)
			return
		}
	}
}
