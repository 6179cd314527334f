package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// unresponsiveEnv grants every request. Its upstream accepts a request and never
// answers it, nor a status query. Its ledger commits claims and outcomes, but no
// releases.
type unresponsiveEnv struct{ completed, released int }

func (e *unresponsiveEnv) Fresh() bool                                 { return true }
func (e *unresponsiveEnv) Placer(ident.PoolName) Placer                { return e }
func (e *unresponsiveEnv) Identity() (ident.NodeID, ident.Incarnation) { return "n", 1 }
func (e *unresponsiveEnv) PoolUpstreams(ident.PoolName) []Target       { return []Target{{Name: "u"}} }

func (e *unresponsiveEnv) Begin(ident.RequestID) scheduler.BeginResult           { return scheduler.BeginSend }
func (e *unresponsiveEnv) Relayed(ident.RequestID, ident.NodeID)                 {}
func (e *unresponsiveEnv) FirstToken(ident.RequestID, int, time.Duration)        {}
func (e *unresponsiveEnv) Notice(ident.RequestID, scheduler.UpstreamNotice) bool { return false }
func (e *unresponsiveEnv) Finish(ident.RequestID, scheduler.Ending)              {}

func (e *unresponsiveEnv) Upstream(ident.UpstreamName) (config.Upstream, bool) {
	return config.Upstream{}, true
}

func (e *unresponsiveEnv) Place(_ context.Context, t scheduler.Ticket, _ time.Time) (scheduler.Decision, error) {
	return scheduler.Decision{Grant: &scheduler.Grant{Ticket: t.ID, Upstream: "u"}}, nil
}

func (e *unresponsiveEnv) Send(ctx context.Context, _ Dispatch, _ AnswerSink) DispatchResult {
	<-ctx.Done()
	return DispatchResult{Outcome: DispatchIncomplete, Err: ctx.Err()}
}

func (e *unresponsiveEnv) Status(ctx context.Context, _ Dispatch) *ledger.Answer {
	<-ctx.Done()
	return nil
}

func (e *unresponsiveEnv) Lookup(context.Context, ledger.Key, time.Duration) (ledger.ClaimResult, bool, error) {
	return ledger.ClaimResult{}, false, nil
}

func (e *unresponsiveEnv) Claim(context.Context, ledger.Claim) (ledger.ClaimResult, error) {
	return ledger.ClaimResult{Verdict: ledger.VerdictGranted}, nil
}

func (e *unresponsiveEnv) Release(ctx context.Context, _ ledger.Release) error {
	e.released++
	<-ctx.Done()
	return ctx.Err()
}

func (e *unresponsiveEnv) Complete(context.Context, ledger.Complete) error {
	e.completed++
	return nil
}

// claimReplyLostEnv is an unresponsiveEnv that loses the replies to claims.
type claimReplyLostEnv struct{ unresponsiveEnv }

func (e *claimReplyLostEnv) Claim(ctx context.Context, _ ledger.Claim) (ledger.ClaimResult, error) {
	<-ctx.Done()
	return ledger.ClaimResult{}, errors.New("reply lost")
}

// TestGateway_UnresponsiveServiceFailsAtDeadline has a service accept a request
// and never answer. The caller must get a failure soon after its deadline, and
// the outcome is committed afterwards.
func TestGateway_UnresponsiveServiceFailsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &unresponsiveEnv{}
		g := New(e, e, e, NewBudget(1<<20, DefaultTeamShare), nil)
		r := &Request{ID: "r1", Key: "k1", StatusPath: "/status", Deadline: time.Now().Add(time.Second)}
		result := g.Serve(t.Context(), r, &memorySink{})
		must.Eq(t, settleGrace, time.Since(r.Deadline))
		must.Eq(t, ReasonTimeout, result.Failure.Reason)
		must.False(t, result.Failure.NotRun)
		awaitSettled(g)
		must.Eq(t, 1, e.completed)
	})
}

// outcomeUnrecordedEnv has an upstream that answers, and a ledger that grants the
// claim but never commits the outcome.
type outcomeUnrecordedEnv struct{ unresponsiveEnv }

func (e *outcomeUnrecordedEnv) Send(_ context.Context, _ Dispatch, sink AnswerSink) DispatchResult {
	_ = sink.Begin(AnswerHead{Status: 200, ContentType: "text/plain"})
	_ = sink.Write([]byte("answer"))
	return DispatchResult{Outcome: DispatchComplete, Status: 200}
}

func (e *outcomeUnrecordedEnv) Complete(ctx context.Context, _ ledger.Complete) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestGateway_AnswerDeliveredDespiteUnresponsiveLedger has the answer arrive in
// time but its outcome is never committed. The caller must get the answer.
func TestGateway_AnswerDeliveredDespiteUnresponsiveLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &outcomeUnrecordedEnv{}
		g := New(e, e, e, NewBudget(1<<20, DefaultTeamShare), nil)
		r := &Request{ID: "r1", Key: "k1", Deadline: time.Now().Add(time.Second)}
		sink := &memorySink{}
		result := g.Serve(t.Context(), r, sink)
		must.Eq(t, settleGrace, time.Since(r.Deadline))
		must.True(t, result.Answered)
		must.Eq(t, "answer", string(sink.body))
		awaitSettled(g)
	})
}

// TestGateway_UnresponsiveLedgerFailsAtDeadline loses the reply to a claim and
// never commits its release. The caller must get a failure soon after its
// deadline that does not say "not run".
func TestGateway_UnresponsiveLedgerFailsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &claimReplyLostEnv{}
		g := New(e, e, e, NewBudget(1<<20, DefaultTeamShare), nil)
		r := &Request{ID: "r1", Key: "k1", Deadline: time.Now().Add(time.Second)}
		result := g.Serve(t.Context(), r, &memorySink{})
		must.Eq(t, settleGrace, time.Since(r.Deadline))
		must.Eq(t, ReasonNoQuorum, result.Failure.Reason)
		must.False(t, result.Failure.NotRun)
		awaitSettled(g)
		must.Positive(t, e.released)
	})
}

// leavingEnv knows that all upstreams but one leave, which its scheduler doesn't know yet: the
// scheduler grants those first, since they run nothing.
type leavingEnv struct {
	unresponsiveEnv
	grants int
}

const leavingUpstreams = 34

func (e *leavingEnv) Placer(ident.PoolName) Placer { return e }

func (e *leavingEnv) Upstream(name ident.UpstreamName) (config.Upstream, bool) {
	return config.Upstream{}, name == "sound"
}

func (e *leavingEnv) Place(_ context.Context, t scheduler.Ticket, _ time.Time) (scheduler.Decision, error) {
	if e.grants++; e.grants > 10*leavingUpstreams {
		return scheduler.Decision{}, errors.New("the same upstreams are granted again and again")
	}
	grant := &scheduler.Grant{Ticket: t.ID, Upstream: "sound"}
	for i := range leavingUpstreams {
		if name := ident.UpstreamName(fmt.Sprint("leaving-", i)); !slices.Contains(t.Excluded, name) {
			grant.Upstream = name
			break
		}
	}
	return scheduler.Decision{Grant: grant}, nil
}

func (e *leavingEnv) Send(_ context.Context, _ Dispatch, sink AnswerSink) DispatchResult {
	_ = sink.Begin(AnswerHead{Status: 200, ContentType: "text/plain"})
	return DispatchResult{Outcome: DispatchComplete, Status: 200}
}

// TestGateway_NoSecondGrantAtALeavingUpstream checks that a request which got a grant at an
// upstream that its gateway knows to be leaving is not granted the same one again, and is
// served however many of them there are.
func TestGateway_NoSecondGrantAtALeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &leavingEnv{}
		g := New(e, nil, e, NewBudget(1<<20, DefaultTeamShare), nil)
		r := &Request{ID: "r1", Idempotent: true, MaxAttempts: 1, Deadline: time.Now().Add(time.Second)}
		result := g.Serve(t.Context(), r, &memorySink{})
		must.Nil(t, result.Failure)
		must.Eq(t, leavingUpstreams+1, e.grants)
	})
}
