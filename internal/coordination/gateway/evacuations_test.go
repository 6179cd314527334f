package gateway

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// evacuatedEnv has a scheduler that knows of no evacuation and grants the first upstream that a
// ticket doesn't exclude.
type evacuatedEnv struct {
	*faultyEnv
	upstreams, evacuated []ident.UpstreamName
	placed               int
	granted              ident.UpstreamName
	sentTo               []ident.UpstreamName
}

func (e *evacuatedEnv) Fresh() bool                  { return true }
func (e *evacuatedEnv) Placer(ident.PoolName) Placer { return e }

func (e *evacuatedEnv) Upstream(name ident.UpstreamName) (config.Upstream, bool) {
	return config.Upstream{}, !slices.Contains(e.evacuated, name)
}

func (e *evacuatedEnv) Evacuated(ident.PoolName) (names []ident.UpstreamName, all bool) {
	return e.evacuated, len(e.evacuated) == len(e.upstreams)
}

func (e *evacuatedEnv) Place(_ context.Context, t scheduler.Ticket, _ time.Time) (scheduler.Decision, error) {
	e.placed++
	for _, u := range e.upstreams {
		if !slices.Contains(t.Excluded, u) {
			e.granted = u
			return scheduler.Decision{Grant: &scheduler.Grant{Ticket: t.ID, Upstream: u, Version: "v"}}, nil
		}
	}
	return scheduler.Decision{Refusal: &scheduler.Refusal{Ticket: t.ID, Reason: scheduler.ReasonUnsent}}, nil
}

func (e *evacuatedEnv) Begin(ident.RequestID) scheduler.BeginResult { return scheduler.BeginSend }
func (e *evacuatedEnv) Finish(ident.RequestID, scheduler.Ending)    {}

func (e *evacuatedEnv) Send(context.Context, Dispatch, AnswerSink) DispatchResult {
	e.sentTo = append(e.sentTo, e.granted)
	return DispatchResult{Outcome: DispatchIncomplete}
}

// TestRun_SchedulerWithoutTheEvacuation guards against grants of an evacuated data centre that are
// used, against a request that asks for one of its upstreams after the other while the scheduler
// doesn't know of the evacuation, and against an untrue or wrong refusal if no upstream is left.
func TestRun_SchedulerWithoutTheEvacuation(t *testing.T) {
	upstreams := []ident.UpstreamName{"a1", "a2", "a3", "a4", "a5", "b1"}
	serve := func(evacuated []ident.UpstreamName) (*evacuatedEnv, Result) {
		env := &evacuatedEnv{faultyEnv: &faultyEnv{}, upstreams: upstreams, evacuated: evacuated}
		g := New(env, nil, env, NewBudget(1<<20, 1), nil)
		g.SetEvacuations(env)
		r := &Request{ID: "r", Pool: "p", SkipClaim: true, MaxAttempts: 1, Deadline: time.Now().Add(time.Minute)}
		return env, g.Serve(context.Background(), r, &memorySink{})
	}
	env, _ := serve(upstreams[:5])
	must.Eq(t, []ident.UpstreamName{"b1"}, env.sentTo)
	must.Eq(t, 2, env.placed)

	env, result := serve(upstreams)
	must.SliceEmpty(t, env.sentTo)
	must.Eq(t, 1, env.placed)
	must.Eq(t, Reason(scheduler.ReasonNoUpstream), result.Failure.Reason)
	must.True(t, result.Failure.NotRun)
}
