package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// stopEnv grants an upstream to each request after a time, and sends each for a time.
type stopEnv struct {
	grantAfter, work time.Duration
	// fails is the number of sendings that fail, and begins makes an answer begin at once.
	fails  int
	begins bool
	sends  int
}

func (e *stopEnv) Fresh() bool                                           { return true }
func (e *stopEnv) Placer(ident.PoolName) Placer                          { return e }
func (e *stopEnv) PoolUpstreams(ident.PoolName) []Target                 { return nil }
func (e *stopEnv) Identity() (ident.NodeID, ident.Incarnation)           { return "n", 1 }
func (e *stopEnv) Begin(ident.RequestID) scheduler.BeginResult           { return scheduler.BeginSend }
func (e *stopEnv) Relayed(ident.RequestID, ident.NodeID)                 {}
func (e *stopEnv) FirstToken(ident.RequestID, int, time.Duration)        {}
func (e *stopEnv) Finish(ident.RequestID, scheduler.Ending)              {}
func (e *stopEnv) Status(context.Context, Dispatch) *ledger.Answer       { return nil }
func (e *stopEnv) Notice(ident.RequestID, scheduler.UpstreamNotice) bool { return false }

func (e *stopEnv) Upstream(ident.UpstreamName) (config.Upstream, bool) {
	return config.Upstream{}, true
}

func (e *stopEnv) Place(ctx context.Context, t scheduler.Ticket, _ time.Time) (scheduler.Decision, error) {
	select {
	case <-ctx.Done():
		return scheduler.Decision{}, ctx.Err()
	case <-time.After(e.grantAfter):
		return scheduler.Decision{Grant: &scheduler.Grant{Ticket: t.ID, Upstream: ident.UpstreamName('a' + rune(len(t.Excluded))), Version: "v"}}, nil
	}
}

func (e *stopEnv) Send(ctx context.Context, _ Dispatch, sink AnswerSink) DispatchResult {
	e.sends++
	if e.sends <= e.fails {
		return DispatchResult{Outcome: DispatchIncomplete, Broken: true}
	}
	if e.begins {
		_ = sink.Begin(AnswerHead{Status: 200})
	}
	select {
	case <-ctx.Done():
		return DispatchResult{Outcome: DispatchIncomplete, Err: ctx.Err()}
	case <-time.After(e.work):
	}
	if !e.begins {
		_ = sink.Begin(AnswerHead{Status: 200})
	}
	_ = sink.Write([]byte("answer"))
	return DispatchResult{Outcome: DispatchComplete, Status: 200}
}

// TestStopping_EachRequestIsAnswered covers requests in each state at a gateway that stops: those that
// waited when their gateway exited had no answer, though no upstream had got them. The gateway
// refuses 2 s after the signal what would outlast it, and ends the rest after 7.3 s, as with a grace
// period of 8 s.
func TestStopping_EachRequestIsAnswered(t *testing.T) {
	const minute, end = time.Minute, 7300 * time.Millisecond
	for name, c := range map[string]struct {
		env      stopEnv
		deadline time.Duration
		stream   bool
		arrives  time.Duration
		// ends is when the request ends, reason that of its failure and notRun what that says;
		// begun is true if the answer had begun.
		ends          time.Duration
		reason        Reason
		notRun, begun bool
	}{
		"waits":                              {env: stopEnv{grantAfter: minute}, deadline: 12 * time.Second, ends: 2 * time.Second, reason: ReasonStopping, notRun: true},
		"waits until its deadline":           {env: stopEnv{grantAfter: minute}, deadline: 5 * time.Second, ends: 5 * time.Second, reason: Reason(scheduler.ReasonDeadline), notRun: true},
		"waits and is served in time":        {env: stopEnv{grantAfter: 3 * time.Second, work: time.Second}, deadline: 5 * time.Second, ends: 4 * time.Second},
		"granted before":                     {env: stopEnv{grantAfter: time.Second, work: 4 * time.Second}, deadline: 12 * time.Second, ends: 5 * time.Second},
		"sent, without an answer at the end": {env: stopEnv{work: minute}, deadline: 12 * time.Second, ends: end, reason: ReasonStopping},
		"sent, its answer has begun":         {env: stopEnv{work: minute, begins: true}, deadline: 12 * time.Second, stream: true, ends: end, reason: ReasonStopping, begun: true},
		"waits to be sent again":             {env: stopEnv{grantAfter: 1500 * time.Millisecond, fails: 1}, deadline: 12 * time.Second, ends: 2 * time.Second, reason: ReasonUpstreamFailed},
		"fails later":                        {env: stopEnv{grantAfter: 1900 * time.Millisecond, fails: 9}, deadline: 12 * time.Second, ends: 2 * time.Second, reason: ReasonUpstreamFailed},
		"comes later":                        {env: stopEnv{}, deadline: 12 * time.Second, arrives: 3 * time.Second, ends: 3 * time.Second, reason: ReasonStopping, notRun: true},
		"comes later and is served in time":  {env: stopEnv{work: time.Second}, deadline: 2 * time.Second, arrives: 3 * time.Second, ends: 4 * time.Second},
		"comes later, was cut off at the end of the grace period": {env: stopEnv{work: 6 * time.Second}, deadline: 6 * time.Second, arrives: 3221 * time.Millisecond, ends: 3221 * time.Millisecond, reason: ReasonStopping, notRun: true},
		"comes later, finished before the end of it":              {env: stopEnv{work: 4 * time.Second}, deadline: 4*time.Second + 1, arrives: 3221 * time.Millisecond, ends: 7221 * time.Millisecond},
		"comes too soon for its caller to know of the drain":      {env: stopEnv{work: time.Second}, deadline: 10 * time.Second, arrives: 100 * time.Millisecond, ends: 1100 * time.Millisecond},
		"short, just before the exit":                             {env: stopEnv{}, deadline: time.Second, arrives: 7 * time.Second, ends: 7 * time.Second, reason: ReasonStopping, notRun: true},
		"comes at the end":                                        {env: stopEnv{}, deadline: time.Second, arrives: 7500 * time.Millisecond, ends: 7500 * time.Millisecond, reason: ReasonStopping, notRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := &c.env
				g := New(env, nil, env, NewBudget(1<<20, 1), nil)
				began := time.Now()
				time.AfterFunc(2*time.Second, func() { g.RefuseBeyond(began.Add(end)) })
				time.AfterFunc(end, g.EndAll)
				time.Sleep(c.arrives)
				sink := &memorySink{}
				result := g.Serve(t.Context(), &Request{
					ID: "r", Pool: "p", SkipClaim: true, Repeatable: true, MaxAttempts: 3, Stream: c.stream, Deadline: time.Now().Add(c.deadline),
				}, sink)
				must.Eq(t, c.ends, time.Since(began), must.Sprintf("%+v", result.Failure))
				if c.reason == "" {
					must.True(t, result.Answered, must.Sprintf("%+v", result.Failure))
				} else {
					must.Eq(t, c.reason, result.Failure.Reason)
					must.Eq(t, c.notRun, result.Failure.NotRun)
					must.Eq(t, c.begun, result.Failure.Begun)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestStopping_BodyIsStillArriving covers a request whose body arrives slowly at a gateway that
// stops: its reservation ends with the refusal.
func TestStopping_BodyIsStillArriving(t *testing.T) {
	b := NewBudget(1<<20, 1)
	long, short := &Request{Deadline: time.Now().Add(time.Minute)}, &Request{Deadline: time.Now().Add(time.Second)}
	ends, failure := b.Acquire(t.Context(), long, 100)
	must.Nil(t, failure)
	stays, failure := b.Acquire(t.Context(), short, 100)
	must.Nil(t, failure)
	b.refuseBeyond(time.Now().Add(10 * time.Second))
	refused := waitFailure(ends.Context())
	must.Eq(t, ReasonStopping, refused.Reason)
	must.True(t, refused.NotRun)
	must.NoError(t, stays.Context().Err())
	_, failure = b.Acquire(t.Context(), long, 100)
	must.Eq(t, ReasonStopping, failure.Reason)
	ends.Release()
	stays.Release()
	must.Zero(t, b.Used())
}
