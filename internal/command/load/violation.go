package load

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// maxViolations limits the violations that a report describes.
const maxViolations = 20

// Violation describes one request for which a guarantee was violated, with the
// request ids needed to look up its events in the timeline.
type Violation struct {
	// Promise names the violation: doubled, lost, wrong_answer or false_not_run.
	Promise string        `json:"promise"`
	Class   string        `json:"class"`
	Key     string        `json:"key,omitempty"`
	Sends   []Send        `json:"sends"`
	Seen    []UpstreamRun `json:"seen_at_upstreams,omitempty"`
}

// Send is one send of a request as its caller observed it.
type Send struct {
	Address string          `json:"address"`
	Request ident.RequestID `json:"request,omitempty"`
	Result  string          `json:"result"`
	Reason  string          `json:"reason,omitempty"`
	// SentAt is the start of the send, Seconds its duration.
	SentAt  time.Time `json:"sent_at"`
	Seconds float64   `json:"seconds"`
}

// UpstreamRun is one run of a request as an upstream recorded it.
type UpstreamRun struct {
	Request ident.RequestID `json:"request"`
	State   string          `json:"state"`
}

// violation describes the guarantee that the outcome with these counts violates.
// It reports false if there is none.
func (o *outcome) violation(c Counts, u *Upstreams) (Violation, bool) {
	b := Violation{Class: o.job.class.Name, Key: o.job.key}
	switch {
	case c.Doubled > 0:
		b.Promise = "doubled"
	case c.Lost > 0:
		b.Promise = "lost"
	case c.Wrong > 0:
		b.Promise = "wrong_answer"
	case c.FalseNotRun > 0:
		b.Promise = "false_not_run"
	default:
		return b, false
	}
	for _, a := range o.attempts {
		s := Send{
			Address: a.address, Request: a.request, Result: a.kind.String(), Reason: string(a.reason),
			SentAt: a.sentAt, Seconds: a.endedAt.Sub(a.sentAt).Seconds(),
		}
		if s.Reason == "" && a.err != nil {
			s.Reason = a.err.Error()
		}
		b.Sends = append(b.Sends, s)
	}
	if u != nil {
		for _, run := range u.byEcho[o.job.echo] {
			b.Seen = append(b.Seen, UpstreamRun{Request: run.RequestID, State: string(run.State)})
		}
	}
	return b, true
}

// String returns the name of the kind as reports show it.
func (k attemptKind) String() string {
	return [...]string{"answered", "not_run", "may_have_run", "broken", "unreached", "wrong"}[k]
}
