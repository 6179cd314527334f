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

// claimingEnv is an environment whose upstream "first" is taken out of use while a claim is
// being committed.
type claimingEnv struct {
	unresponsiveEnv
	evacuated bool
	released  []uint32
	sentTo    []ident.UpstreamName
}

func (e *claimingEnv) Placer(ident.PoolName) Placer { return e }

func (e *claimingEnv) Upstream(name ident.UpstreamName) (config.Upstream, bool) {
	return config.Upstream{}, name != "first" || !e.evacuated
}

func (e *claimingEnv) Place(_ context.Context, t scheduler.Ticket, _ time.Time) (scheduler.Decision, error) {
	name := ident.UpstreamName("first")
	if len(t.Excluded) > 0 {
		name = "second"
	}
	return scheduler.Decision{Grant: &scheduler.Grant{Ticket: t.ID, Upstream: name}}, nil
}

func (e *claimingEnv) Claim(context.Context, ledger.Claim) (ledger.ClaimResult, error) {
	e.evacuated = true
	return ledger.ClaimResult{Verdict: ledger.VerdictGranted}, nil
}

func (e *claimingEnv) Release(_ context.Context, r ledger.Release) error {
	e.released = append(e.released, r.Attempt)
	return nil
}

func (e *claimingEnv) Complete(context.Context, ledger.Complete) error { return nil }

func (e *claimingEnv) Send(_ context.Context, d Dispatch, sink AnswerSink) DispatchResult {
	e.sentTo = append(e.sentTo, d.Target.Name)
	_ = sink.Begin(AnswerHead{Status: 200})
	return DispatchResult{Outcome: DispatchComplete, Status: 200}
}

// TestGateway_EvacuationWhileAClaimCommits guards against a non-idempotent request that is
// sent to an upstream whose evacuation came into force while the claim was committed: the
// claim is released, and the request goes elsewhere.
func TestGateway_EvacuationWhileAClaimCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &claimingEnv{}
		g := New(e, e, e, NewBudget(1<<20, DefaultTeamShare), nil)
		r := &Request{ID: "r1", Key: "k", MaxAttempts: 1, Deadline: time.Now().Add(time.Second)}
		result := g.Serve(t.Context(), r, &memorySink{})
		must.Nil(t, result.Failure)
		must.Eq(t, []ident.UpstreamName{"second"}, e.sentTo)
		must.Eq(t, []uint32{1}, e.released)
	})
}
