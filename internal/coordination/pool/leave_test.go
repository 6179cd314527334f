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

// gatewaysOf returns the number of gateways with a session.
func gatewaysOf(m *Master) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions)
}

// TestClient_TurnsToAnotherScheduler moves a gateway between two schedulers that
// both go on, as when one gateway takes a scheduler for dead that others still
// use. The one that it left must drop its session at once: it would count the
// gateway's part of the capacity and of the quotas for itself.
func TestClient_TurnsToAnotherScheduler(t *testing.T) {
	h := &hub{random: rand.New(rand.NewPCG(1, 2)), services: make(map[string]*Service), cut: make(map[ident.NodeID]bool)}
	masters := make(map[string]*Master)
	for _, address := range []string{"first", "second"} {
		view := scheduler.View{Pool: testPool, Gateways: []ident.NodeID{"g1"}, Shared: &scheduler.Shared{}}
		m := NewMaster(testPool, 0, func(now time.Duration) scheduler.Scheduler { return scheduler.New(0, view, now) }, nil)
		t.Cleanup(m.Stop)
		masters[address] = m
		h.services[address] = NewService(nil)
		h.services[address].Put(m)
	}
	ctx, cancel := context.WithCancel(t.Context())
	c := NewClient(testPool, "g1", 1, &link{hub: h, gateway: "g1"}, nil)
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
				return gatewaysOf(masters[move.to]) == 1 && gatewaysOf(masters[move.from]) == 0
			}),
			wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond),
		), must.Sprintf("after the move to the %s scheduler", move.to))
	}
}
