package pool

import (
	"context"
	"math/rand/v2"
	"testing"
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

// TestClient_TurnsToAnotherScheduler switches a gateway back and forth between
// two schedulers that both keep running, as happens when one gateway considers a
// scheduler dead that other gateways still use. A scheduler must drop the session
// of a gateway at once when it leaves: otherwise it would keep using the part of
// the capacity and of the quotas that belongs to the gateway.
func TestClient_TurnsToAnotherScheduler(t *testing.T) {
	network := &fakeNetwork{random: rand.New(rand.NewPCG(1, 2)), services: make(map[string]*Service), partitioned: make(map[ident.NodeID]bool)}
	masters := make(map[string]*Master)
	for _, address := range []string{"first", "second"} {
		view := scheduler.View{Pool: testPool, Gateways: []ident.NodeID{"g1"}, Shared: &scheduler.Shared{}}
		m := NewMaster(testPool, 0, func(now time.Duration) scheduler.Scheduler { return scheduler.New(0, view, now) }, nil)
		t.Cleanup(m.Stop)
		masters[address] = m
		network.services[address] = NewService(nil)
		network.services[address].Put(m)
	}
	ctx, cancel := context.WithCancel(t.Context())
	c := NewClient(testPool, "g1", 1, &fakeCaller{network: network, gateway: "g1"}, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
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
