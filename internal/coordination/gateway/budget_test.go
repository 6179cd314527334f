package gateway

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func held(team ident.TeamName, rank, kib int) *Request {
	return &Request{Team: team, Rank: rank, Body: make([]byte, kib<<10)}
}

// TestBudget_ShedsLowerTiersFirst fills the node with low work: higher work
// takes its place, lowest first, and what is dispatched stays.
func TestBudget_ShedsLowerTiersFirst(t *testing.T) {
	b := NewBudget(400 << 10)
	ctx := context.Background()
	dispatched, failure := b.Acquire(ctx, held("a", 1, 60))
	must.Nil(t, failure)
	dispatched.Dispatching()
	low, failure := b.Acquire(ctx, held("b", 1, 60))
	must.Nil(t, failure)
	middle, failure := b.Acquire(ctx, held("c", 2, 150))
	must.Nil(t, failure)
	_, failure = b.Acquire(ctx, held("d", 1, 150))
	must.NotNil(t, failure, must.Sprint("nothing lower can make room"))
	must.Eq(t, Reason(scheduler.ReasonMemory), failure.Reason)
	must.True(t, failure.NotRun)
	must.NoError(t, low.Context().Err(), must.Sprint("a refusal sheds nothing"))

	high, failure := b.Acquire(ctx, held("d", 3, 150))
	must.Nil(t, failure)
	must.Error(t, low.Context().Err())
	must.NoError(t, middle.Context().Err())
	must.NoError(t, dispatched.Context().Err())
	for _, h := range []*Hold{dispatched, low, middle, high} {
		h.Release()
	}
	must.Zero(t, b.Used())
}

// TestBudget_TeamLimit bounds one team by its own setting, and others not.
func TestBudget_TeamLimit(t *testing.T) {
	b := NewBudget(1 << 20)
	limited := held("a", 1, 60)
	limited.TeamWaitingBytes = 100 << 10
	_, failure := b.Acquire(context.Background(), limited)
	must.Nil(t, failure)
	_, failure = b.Acquire(context.Background(), limited)
	must.NotNil(t, failure)
	_, failure = b.Acquire(context.Background(), held("b", 1, 60))
	must.Nil(t, failure)
}
