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

func acquire(b *Budget, r *Request) (*Reservation, *Failure) {
	return b.Acquire(context.Background(), r, int64(len(r.Body)))
}

// TestBudget_ShedsLowerTiersFirst fills the node with requests of low tiers. A
// request of a higher tier takes their place: the lowest tier is shed first, and
// a dispatched request is never shed.
func TestBudget_ShedsLowerTiersFirst(t *testing.T) {
	b := NewBudget(400<<10, DefaultTeamShare)
	dispatched, failure := acquire(b, requestOf("a", 1, 60))
	must.Nil(t, failure)
	dispatched.MarkDispatched()
	low, failure := acquire(b, requestOf("b", 1, 60))
	must.Nil(t, failure)
	middle, failure := acquire(b, requestOf("c", 2, 150))
	must.Nil(t, failure)
	_, failure = acquire(b, requestOf("d", 1, 150))
	must.NotNil(t, failure, must.Sprint("no request of a lower tier can be shed"))
	must.Eq(t, Reason(scheduler.ReasonMemory), failure.Reason)
	must.True(t, failure.NotRun)
	must.NoError(t, low.Context().Err(), must.Sprint("a refusal sheds nothing"))

	high, failure := acquire(b, requestOf("d", 3, 150))
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
	b := NewBudget(1<<20, DefaultTeamShare)
	limited := requestOf("a", 1, 60)
	limited.TeamWaitingBytes = 100 << 10
	_, failure := acquire(b, limited)
	must.Nil(t, failure)
	_, failure = acquire(b, limited)
	must.NotNil(t, failure)
	_, failure = acquire(b, requestOf("b", 1, 60))
	must.Nil(t, failure)
}

// TestBudget_BodyOfUnknownSize lets reservations grow while bodies arrive. Growth is refused at
// the team's limit, sheds waiting requests of lower tiers, and has no effect once the
// request was shed itself.
func TestBudget_BodyOfUnknownSize(t *testing.T) {
	b := NewBudget(400<<10, DefaultTeamShare)
	request := requestOf("a", 2, 0)
	growing, failure := b.Acquire(context.Background(), request, 16<<10)
	must.Nil(t, failure)
	low, failure := acquire(b, requestOf("b", 1, 150))
	must.Nil(t, failure)
	lower, failure := acquire(b, requestOf("c", 0, 100))
	must.Nil(t, failure)
	must.Nil(t, growing.Grow(request, 130<<10))
	must.NoError(t, low.Context().Err())
	must.Error(t, lower.Context().Err())
	must.NotNil(t, lower.Grow(requestOf("c", 0, 0), 1))
	must.NotNil(t, growing.Grow(request, 100<<10), must.Sprint("the team's limit"))
	must.Eq(t, 2*RequestOverhead+(16+130+150)<<10, b.Used())
	growing.Release()
	growing.Release()
	low.Release()
	must.Zero(t, b.Used())
}
