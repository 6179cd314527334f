package gateway

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func (g *Gateway) ticket(r *Request, excluded []ident.UpstreamName) scheduler.Ticket {
	node, _ := g.env.Identity()
	return scheduler.Ticket{
		ID:           r.ID,
		Gateway:      node,
		Tier:         r.Tier,
		Team:         r.Team,
		Route:        r.Route,
		Idempotent:   r.Idempotent,
		PromptTokens: r.PromptTokens,
		OutputTokens: r.OutputTokens,
		Prefixes:     r.Prefixes,
		PrefixTokens: r.PrefixTokens,
		Parts:        r.Parts,
		Fingerprint:  r.fingerprint,
		Content:      r.content,
		Objective:    r.objectiveLeft(),
		Returned:     r.isRetry,
		Patience:     r.patienceLeft(),
		Cost:         r.Cost,
		Resumes:      r.sends > 0,
		Sent:         r.begun,
		Arrived:      r.arrived,
		BodyBytes:    int64(len(r.Body)),
		Excluded:     excluded,
		Regions:      r.Regions,
	}
}

// patienceLeft returns the time left until the caller gives up; zero if unknown.
func (r *Request) patienceLeft() time.Duration {
	if r.GiveUpAt.IsZero() {
		return 0
	}
	return max(1, time.Until(r.GiveUpAt))
}

// objectiveLeft returns the time left until the answer should begin. It is zero
// only for a request without an objective.
func (r *Request) objectiveLeft() time.Duration {
	if r.Objective.IsZero() {
		return 0
	}
	if left := time.Until(r.Objective); left != 0 {
		return left
	}
	return -1
}
