package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestClient_GrantRepeatedAfterRejection checks that a grant which the scheduler repeats
// before it has read that the upstream rejected the request isn't taken for its next
// decision: the request would reach the upstream twice, the second time without a retry of
// the budget.
func TestClient_GrantRepeatedAfterRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClient("app", "g1", 1, nil, nil)
		c.registered = true
		grant := func(upstream ident.UpstreamName) []scheduler.Decision {
			return []scheduler.Decision{{Grant: &scheduler.Grant{Ticket: "r", Upstream: upstream, TTL: time.Second}}}
		}
		place := func(excluded ...ident.UpstreamName) chan scheduler.Decision {
			placed := make(chan scheduler.Decision, 1)
			go func() {
				d, _ := c.Place(t.Context(), scheduler.Ticket{ID: "r", Excluded: excluded}, time.Now().Add(time.Second))
				placed <- d
			}()
			synctest.Wait()
			return placed
		}
		first := place()
		c.deliver(c.session(), grant("u1"), time.Now())
		must.Eq(t, "u1", (<-first).Grant.Upstream)
		must.Eq(t, scheduler.BeginSend, c.Begin("r"))
		c.Finish("r", scheduler.Ending{Kind: scheduler.ReportRejected})
		second := place("u1")
		reports := len(c.reports.queued)
		c.deliver(c.session(), grant("u1"), time.Now())
		synctest.Wait()
		select {
		case d := <-second:
			t.Fatalf("a grant of %s was taken again", d.Grant.Upstream)
		default:
		}
		must.Len(t, reports, c.reports.queued, must.Sprint("the rejection is reported already"))
		c.deliver(c.session(), grant("u2"), time.Now())
		must.Eq(t, "u2", (<-second).Grant.Upstream)
	})
}
