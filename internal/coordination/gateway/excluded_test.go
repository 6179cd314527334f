package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// exclusionEnv grants any upstream that the ticket doesn't exclude and records where the
// request is sent.
type exclusionEnv struct {
	*faultyEnv
	granted ident.UpstreamName
	sentTo  []ident.UpstreamName
}

func (e *exclusionEnv) Fresh() bool                  { return true }
func (e *exclusionEnv) Placer(ident.PoolName) Placer { return e }

func (e *exclusionEnv) Upstream(ident.UpstreamName) (config.Upstream, bool) {
	return config.Upstream{}, rapid.IntRange(0, 4).Draw(e.t, "listed") > 0
}

func (e *exclusionEnv) Place(_ context.Context, t scheduler.Ticket, _ time.Time) (scheduler.Decision, error) {
	free := slices.DeleteFunc([]ident.UpstreamName{"a", "b", "c", "d", "e"}, func(u ident.UpstreamName) bool { return slices.Contains(t.Excluded, u) })
	if len(free) == 0 {
		return scheduler.Decision{Refusal: &scheduler.Refusal{Ticket: t.ID, Reason: scheduler.ReasonUnsent}}, nil
	}
	e.granted = rapid.SampledFrom(free).Draw(e.t, "upstream")
	return scheduler.Decision{Grant: &scheduler.Grant{Ticket: t.ID, Upstream: e.granted, Version: "v"}}, nil
}

func (e *exclusionEnv) Begin(ident.RequestID) scheduler.BeginResult {
	return rapid.SampledFrom([]scheduler.BeginResult{
		scheduler.BeginSend, scheduler.BeginSend, scheduler.BeginLapsed, scheduler.BeginPaused, scheduler.BeginLeaving,
	}).Draw(e.t, "begin")
}

func (e *exclusionEnv) Send(context.Context, Dispatch, AnswerSink) DispatchResult {
	e.sentTo = append(e.sentTo, e.granted)
	return DispatchResult{Outcome: rapid.SampledFrom([]DispatchOutcome{DispatchRejected, DispatchMisdirected, DispatchIncomplete}).Draw(e.t, "dispatch")}
}

// TestRun_RejectedRequestGoesElsewhere checks that a request is sent to no upstream again,
// also if grants of others lapse or can't be used in between.
func TestRun_RejectedRequestGoesElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		env := &exclusionEnv{faultyEnv: &faultyEnv{t: t}}
		g := New(env, nil, env, NewBudget(1<<20, 1), nil)
		r := &Request{ID: "r", Pool: "p", SkipClaim: true, Repeatable: true, MaxAttempts: 3, Deadline: time.Now().Add(time.Minute)}
		g.Serve(context.Background(), r, &memorySink{})
		for i, upstream := range env.sentTo {
			must.SliceNotContains(t, env.sentTo[:i], upstream, must.Sprint(env.sentTo))
		}
	})
}
