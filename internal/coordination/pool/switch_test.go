package pool

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// sessionCount returns the number of gateways with a session.
func sessionCount(m *Master) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions)
}

// switchNetwork connects a gateway with two schedulers.
type switchNetwork struct {
	masters map[string]*Master
	client  *Client
}

func newSwitchNetwork(t *testing.T, seed uint64) *switchNetwork {
	n := &switchNetwork{masters: make(map[string]*Master)}
	network := &fakeNetwork{random: rand.New(rand.NewPCG(seed, 2)), services: make(map[string]*Service), partitioned: make(map[ident.NodeID]bool)}
	for _, address := range []string{"first", "second"} {
		view := scheduler.View{Pool: testPool, Gateways: []ident.NodeID{"g1"}, Shared: &scheduler.Shared{}}
		m := NewMaster(testPool, 0, func(now time.Duration) scheduler.Scheduler { return scheduler.New(0, view, now) }, nil)
		t.Cleanup(m.Stop)
		n.masters[address] = m
		network.services[address] = NewService(nil)
		network.services[address].Put(m)
	}
	ctx, cancel := context.WithCancel(t.Context())
	n.client = NewClient(testPool, "g1", 1, &fakeCaller{network: network, gateway: "g1"}, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.client.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

// TestClient_TurnsToAnotherScheduler switches a gateway back and forth between
// two schedulers that both keep running, as happens when one gateway considers a
// scheduler dead that other gateways still use. A scheduler must drop the session
// of a gateway at once when it leaves: otherwise it would keep using the part of
// the capacity and of the quotas that belongs to the gateway.
func TestClient_TurnsToAnotherScheduler(t *testing.T) {
	n := newSwitchNetwork(t, 1)
	c, masters := n.client, n.masters
	for _, move := range []struct{ to, from string }{{"first", "second"}, {"second", "first"}, {"first", "second"}} {
		c.SetHolder(Holder{Lease: lease.Pool{Pool: testPool}, Address: move.to})
		must.Wait(t, wait.InitialSuccess(
			wait.BoolFunc(func() bool {
				return sessionCount(masters[move.to]) == 1 && sessionCount(masters[move.from]) == 0
			}),
			wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond),
		), must.Sprintf("after the switch to the %s scheduler", move.to))
	}
}

// TestClient_FormerSchedulerKeepsNoSession guards against a session that a gateway leaves
// behind when it switches while its registration is on the way or has to be repeated: messages
// take up to 6 ms both ways, and switches come at random times.
func TestClient_FormerSchedulerKeepsNoSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		n := newSwitchNetwork(t, 1)
		for i := range 400 {
			var to, from string
			for k := range 1 + random.IntN(4) {
				to, from = "first", "second"
				if (i+k)%2 == 0 {
					to, from = from, to
				}
				time.Sleep(time.Duration(random.IntN(8000)) * time.Microsecond)
				n.client.SetHolder(Holder{Lease: lease.Pool{Pool: testPool}, Address: to})
			}
			time.Sleep(time.Second)
			must.Eq(t, 1, sessionCount(n.masters[to]), must.Sprint("round ", i))
			must.Zero(t, sessionCount(n.masters[from]), must.Sprint("round ", i))
		}
	})
}

// TestClient_FormerSchedulerWithoutAnswers guards against a session at a scheduler whose
// answers did not arrive, as when one gateway takes it for dead that others still use.
func TestClient_FormerSchedulerWithoutAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newSwitchNetwork(t, 1)
		n.client.SetHolder(Holder{Lease: lease.Pool{Pool: testPool}, Address: "first"})
		time.Sleep(time.Second)
		must.Eq(t, 1, sessionCount(n.masters["first"]))
		n.client.sessionLost(n.client.session())
		n.client.SetHolder(Holder{Lease: lease.Pool{Pool: testPool}, Address: "second"})
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, sessionCount(n.masters["second"]))
		must.Zero(t, sessionCount(n.masters["first"]))
	})
}
