package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestClient_RelayLearnsOfItsPause checks that a gateway which relayed a request learns of
// the pause that the upstream asked it for, and that the gateway which got the answer is
// not paused itself.
func TestClient_RelayLearnsOfItsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{
			network: &fakeNetwork{random: rand.New(rand.NewPCG(1, 2)), services: make(map[string]*Service), partitioned: make(map[ident.NodeID]bool)},
			log:     newRequestLog(),
			random:  rand.New(rand.NewPCG(1, 3)),
		}
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		for i := range testGateways {
			c := NewClient(testPool, testGateway(i), 1, &fakeCaller{network: s.network, gateway: testGateway(i)}, nil)
			s.clients = append(s.clients, c)
			loops.Go(func() { c.Run(ctx) })
		}
		s.startScheduler(true)
		time.Sleep(time.Second)

		sender, relay := s.clients[0], s.clients[1]
		d, err := sender.Place(ctx, scheduler.Ticket{ID: "r1", Gateway: sender.gateway, Tier: "low", Team: "a", Route: "r", Idempotent: true}, time.Now().Add(time.Minute))
		must.NoError(t, err)
		must.Eq(t, scheduler.BeginSend, sender.Begin("r1"))
		sender.Relayed("r1", relay.gateway)
		sender.Notice("r1", scheduler.UpstreamNotice{Pause: scheduler.NoticeNamed, PauseFor: 3 * time.Second})
		time.Sleep(300 * time.Millisecond)
		must.Zero(t, sender.PauseLeft(d.Grant.Upstream))
		left := relay.PauseLeft(d.Grant.Upstream)
		must.Between(t, 2600*time.Millisecond, left, 3*time.Second)
		must.Eq(t, 1, relay.Paused())
		time.Sleep(left)
		must.Zero(t, relay.PauseLeft(d.Grant.Upstream))
		cancel()
		loops.Wait()
		for _, m := range s.masters {
			m.Stop()
		}
	})
}

// TestClient_PauseOfRenamedUpstream checks that a pause holds under all later names of an
// upstream, whichever name it becomes known by, and ends with its time.
func TestClient_PauseOfRenamedUpstream(t *testing.T) {
	c := NewClient(testPool, "g", 1, nil, nil)
	now := time.Now()
	c.pauseUntil("a", now.Add(time.Minute), now)
	c.Succeeds(ListedName{Name: "b"}, ListedName{Name: "a"})
	must.Positive(t, c.PauseLeft("b"))
	c.pauseUntil("a", now.Add(time.Hour), now)
	must.Greater(t, time.Minute, c.PauseLeft("b"))
	c.Succeeds(ListedName{Name: "a"}, ListedName{Name: "b"})
	c.pauseUntil("b", now.Add(2*time.Hour), now)
	must.Greater(t, time.Hour, c.PauseLeft("a"))
	must.Zero(t, c.PauseLeft("c"))
	c.Succeeds(ListedName{Name: "c"}, ListedName{Name: "d"})
	must.Zero(t, c.PauseLeft("c"))
}

// TestClient_LeavingOfRenamedUpstream guards against requests of a gateway to an upstream that has told it
// that it leaves and is listed under another name since, though it goes on; and against a next
// start that gets none.
func TestClient_LeavingOfRenamedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const first = 1_785_000_000_000
		c := NewClient(testPool, "g", 1, nil, nil)
		mark := func(name ident.UpstreamName) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.markLeaving(name, time.Now())
		}
		listed := func(name ident.UpstreamName, started int64) ListedName {
			return ListedName{Name: name, Started: started, Known: time.Now()}
		}
		a, b := listed("a", first), listed("b", first+1)
		time.Sleep(400 * time.Millisecond)
		mark("a")
		time.Sleep(time.Minute)
		c.Succeeds(b, a)
		must.True(t, c.Leaving("b"))
		last := listed("c", first+400)
		c.Succeeds(last, b)
		must.True(t, c.Leaving("c"))
		c.Succeeds(listed("d", first+401), last)
		must.False(t, c.Leaving("d"))
		c.Succeeds(listed("e", 0), a)
		must.False(t, c.Leaving("e"))
		c.Succeeds(listed("f", first-1), a)
		must.False(t, c.Leaving("f"))
		c.mu.Lock()
		must.Eq(t, []ident.UpstreamName{"a"}, c.leavingNames(time.Now()))
		c.mu.Unlock()
		time.Sleep(scheduler.CarriedLeavingRetention + 1)
		must.False(t, c.Leaving("b"))
		must.True(t, c.Leaving("a"))

		// It says so under a name that has a later one.
		x := listed("x", first)
		c.Succeeds(listed("y", first+1), x)
		must.False(t, c.Leaving("y"))
		time.Sleep(10 * time.Millisecond)
		mark("x")
		must.True(t, c.Leaving("y"))
		mark("y")
		time.Sleep(scheduler.CarriedLeavingRetention + 1)
		must.True(t, c.Leaving("y"))
	})
}
