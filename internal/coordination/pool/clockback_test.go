package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestMaster_GatewayStartsAfterClockIsSetBack guards against a gateway whose waiting requests the
// scheduler doesn't get to know, since its wall clock was set back before it started: its
// incarnation is lower than that of its former process. A late registration of that process must
// not take its place.
func TestMaster_GatewayStartsAfterClockIsSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := scheduler.View{
			Pool: testPool, Gateways: []ident.NodeID{"g1"}, Shared: &scheduler.Shared{},
			Tiers: []scheduler.Tier{{Name: "low"}}, QueueLimit: 10,
			Upstreams: []scheduler.Upstream{{Name: "u1", Version: "v1", MaxConcurrent: 6}},
		}
		m := NewMaster(testPool, 0, func(now time.Duration) scheduler.Scheduler { return scheduler.New(0, view, now) }, nil)
		defer m.Stop()
		ticket := func(id string) scheduler.Ticket {
			return scheduler.Ticket{ID: ident.RequestID(id), Tier: "low", Route: "r", Gateway: "g1", Idempotent: true, Remaining: time.Minute, Cost: 1}
		}
		granted := 0
		submit := func(incarnation ident.Incarnation, number, sequence uint64, ids ...string) (refused bool) {
			args := &SubmitArgs{Session: Session{Gateway: "g1", Incarnation: incarnation, Number: number}, Sequence: sequence}
			var tickets []scheduler.Ticket
			for _, id := range ids {
				tickets = append(tickets, ticket(id))
			}
			if sequence == 0 {
				args.Register = &scheduler.Registration{Gateway: "g1", Incarnation: incarnation, Uptime: time.Minute, Waiting: tickets}
			} else {
				args.Tickets = tickets
			}
			reply := m.submit(args)
			for _, d := range reply.Decisions {
				if d.Grant != nil {
					granted++
				}
			}
			return reply.Refused
		}
		must.False(t, submit(500, 1, 0, "a", "b", "c"))
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 3, granted)

		granted = 0
		must.False(t, submit(300, 1, 0, "d", "e"))
		must.Eq(t, 2, granted, must.Sprint("the new process's requests are not known"))
		must.True(t, submit(500, 2, 0, "f"), must.Sprint("a late registration"))
		must.False(t, submit(300, 1, 1, "g"))
		// The same process may register again after a pause, and an incarnation be used once more.
		time.Sleep(time.Minute)
		must.False(t, submit(300, 2, 0, "h"))
		must.False(t, submit(500, 3, 0, "i"))
	})
}
