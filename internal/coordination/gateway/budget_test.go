package gateway

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func requestOf(team ident.TeamName, rank, kib int) *Request {
	return &Request{Team: team, Rank: rank, Body: make([]byte, kib<<10)}
}

// TestBudget_ShedsLowerTiersFirst fills the node with requests of low tiers. A
// request of a higher tier takes their place: the lowest tier is shed first, and
// a dispatched request is never shed.
func TestBudget_ShedsLowerTiersFirst(t *testing.T) {
	b := NewBudget(400 << 10)
	ctx := context.Background()
	dispatched, failure := b.Acquire(ctx, requestOf("a", 1, 60))
	must.Nil(t, failure)
	dispatched.MarkDispatched()
	low, failure := b.Acquire(ctx, requestOf("b", 1, 60))
	must.Nil(t, failure)
	middle, failure := b.Acquire(ctx, requestOf("c", 2, 150))
	must.Nil(t, failure)
	_, failure = b.Acquire(ctx, requestOf("d", 1, 150))
	must.NotNil(t, failure, must.Sprint("no request of a lower tier can be shed"))
	must.Eq(t, Reason(scheduler.ReasonMemory), failure.Reason)
	must.True(t, failure.NotRun)
	must.NoError(t, low.Context().Err(), must.Sprint("a refusal sheds nothing"))

	high, failure := b.Acquire(ctx, requestOf("d", 3, 150))
	must.Nil(t, failure)
	must.Error(t, low.Context().Err())
	must.NoError(t, middle.Context().Err())
	must.NoError(t, dispatched.Context().Err())
	for _, res := range []*Reservation{dispatched, low, middle, high} {
		res.Release()
	}
	must.Zero(t, b.Used())
}

// TestBudget_TeamLimit checks that the limit of one team does not affect other
// teams.
func TestBudget_TeamLimit(t *testing.T) {
	b := NewBudget(1 << 20)
	limited := requestOf("a", 1, 60)
	limited.TeamWaitingBytes = 100 << 10
	_, failure := b.Acquire(context.Background(), limited)
	must.Nil(t, failure)
	_, failure = b.Acquire(context.Background(), limited)
	must.NotNil(t, failure)
	_, failure = b.Acquire(context.Background(), requestOf("b", 1, 60))
	must.Nil(t, failure)
}
