package gateway

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// silentWorld grants every request, to an upstream that takes it and says nothing
// more, also when it is asked for the outcome. Its ledger commits claims only.
type silentWorld struct{ completed, released int }

func (w *silentWorld) Fresh() bool                                       { return true }
func (w *silentWorld) Placer(ident.PoolName) Placer                      { return w }
func (w *silentWorld) Identity() (ident.NodeID, ident.Incarnation)       { return "n", 1 }
func (w *silentWorld) PoolUpstreams(ident.PoolName) []Target             { return []Target{{Name: "u"}} }
func (w *silentWorld) Begin(ident.RequestID) bool                        { return true }
func (w *silentWorld) FirstToken(ident.RequestID, int)                   {}
func (w *silentWorld) Finish(ident.RequestID, scheduler.ReportKind, int) {}

func (w *silentWorld) Upstream(ident.UpstreamName) (config.Upstream, bool) {
	return config.Upstream{}, true
}

func (w *silentWorld) Place(_ context.Context, t scheduler.Ticket, _ time.Time) (scheduler.Decision, error) {
	return scheduler.Decision{Grant: &scheduler.Grant{Ticket: t.ID, Upstream: "u"}}, nil
}

func (w *silentWorld) Send(ctx context.Context, _ Dispatch, _ AnswerSink) DispatchResult {
	<-ctx.Done()
	return DispatchResult{Outcome: DispatchBroken, Err: ctx.Err()}
}

func (w *silentWorld) Status(ctx context.Context, _ Dispatch) *ledger.Answer {
	<-ctx.Done()
	return nil
}

func (w *silentWorld) Lookup(context.Context, ledger.Key, time.Duration) (ledger.ClaimResult, bool, error) {
	return ledger.ClaimResult{}, false, nil
}

func (w *silentWorld) Claim(context.Context, ledger.Claim) (ledger.ClaimResult, error) {
	return ledger.ClaimResult{Verdict: ledger.VerdictGranted}, nil
}

func (w *silentWorld) Release(ctx context.Context, _ ledger.Release) error {
	w.released++
	<-ctx.Done()
	return ctx.Err()
}

func (w *silentWorld) Complete(context.Context, ledger.Complete) error {
	w.completed++
	return nil
}

// uncertainWorld loses the answers of the ledger.
type uncertainWorld struct{ silentWorld }

func (w *uncertainWorld) Claim(ctx context.Context, _ ledger.Claim) (ledger.ClaimResult, error) {
	<-ctx.Done()
	return ledger.ClaimResult{}, errors.New("reply lost")
}

// TestGateway_SilentServiceAnswersAtTheDeadline has a service take a request and
// fall silent: the caller hears so soon after its deadline, and the outcome is
// committed after.
func TestGateway_SilentServiceAnswersAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &silentWorld{}
		g := New(w, w, w, NewBudget(1<<20), nil)
		r := &Request{ID: "r1", Key: "k1", StatusPath: "/status", Deadline: time.Now().Add(time.Second)}
		result := g.Serve(t.Context(), r, &memorySink{})
		must.Eq(t, settleGrace, time.Since(r.Deadline))
		must.Eq(t, ReasonTimeout, result.Failure.Reason)
		must.False(t, result.Failure.NotRun)
		awaitSettled(g)
		must.Eq(t, 1, w.completed)
	})
}

// answeringWorld has an upstream that answers, and a ledger that takes the outcome
// and falls silent.
type answeringWorld struct{ silentWorld }

func (w *answeringWorld) Send(_ context.Context, _ Dispatch, sink AnswerSink) DispatchResult {
	_ = sink.Begin(200, "text/plain")
	_ = sink.Write([]byte("answer"))
	return DispatchResult{Outcome: DispatchWhole, Status: 200}
}

func (w *answeringWorld) Complete(ctx context.Context, _ ledger.Complete) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestGateway_SilentLedgerKeepsNoAnswerBack has the answer come in time and its
// record not: the caller gets the answer.
func TestGateway_SilentLedgerKeepsNoAnswerBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &answeringWorld{}
		g := New(w, w, w, NewBudget(1<<20), nil)
		r := &Request{ID: "r1", Key: "k1", Deadline: time.Now().Add(time.Second)}
		sink := &memorySink{}
		result := g.Serve(t.Context(), r, sink)
		must.Eq(t, settleGrace, time.Since(r.Deadline))
		must.True(t, result.Answered)
		must.Eq(t, "answer", string(sink.body))
		awaitSettled(g)
	})
}

// TestGateway_SilentLedgerAnswersAtTheDeadline has the ledger take a claim and fall
// silent: the caller hears soon after its deadline that nothing is known.
func TestGateway_SilentLedgerAnswersAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &uncertainWorld{}
		g := New(w, w, w, NewBudget(1<<20), nil)
		r := &Request{ID: "r1", Key: "k1", Deadline: time.Now().Add(time.Second)}
		result := g.Serve(t.Context(), r, &memorySink{})
		must.Eq(t, settleGrace, time.Since(r.Deadline))
		must.Eq(t, ReasonNoQuorum, result.Failure.Reason)
		must.False(t, result.Failure.NotRun)
		awaitSettled(g)
		must.Positive(t, w.released)
	})
}
