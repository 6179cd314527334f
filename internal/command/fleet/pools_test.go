package fleet

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// gatewayNode starts a gateway that schedules all pools itself.
func (f *syncFleet) gatewayNode() *Node {
	n := f.newNode(0)
	n.settings.CallerAddress = n.settings.IP + ":8221"
	n.pools, n.clients, n.masters = pool.NewService(n.clock), make(map[ident.PoolName]*poolClient), make(map[ident.PoolName]*pool.Master)
	n.suspects, n.watches = make(map[string]time.Time), make(map[ident.PoolName]*rolloutWatch)
	f.loops.Go(n.syncLoop)
	return n
}

// applyService commits a configuration with one service, which replaces the one before.
func (f *syncFleet) applyService(name ident.PoolName) {
	f.number++
	var reply control.ApplyNumberedReply
	must.NoError(f.t, f.leader.ApplyNumbered(&control.ApplyNumberedArgs{Numbered: config.Numbered{
		Number: f.number, Document: []byte("{}"), Config: config.Config{Pools: map[ident.PoolName]config.Pool{name: {Kind: config.KindService}}},
	}}, &reply))
	must.True(f.t, reply.OK())
}

// liveTimers returns the number of timers and tickers in use that were made since
// runtime.MemProfileRate was set to 1.
func liveTimers() int64 {
	// Two collections: the profile is that of the last but one.
	runtime.GC()
	runtime.GC()
	records := make([]runtime.MemProfileRecord, 100_000)
	count, _ := runtime.MemProfile(records, false)
	live := int64(0)
	for _, r := range records[:min(count, len(records))] {
		frames := runtime.CallersFrames(r.Stack())
		for more := true; more; {
			var frame runtime.Frame
			frame, more = frames.Next()
			if name := frame.Function; name == "time.NewTimer" || name == "time.NewTicker" || name == "time.AfterFunc" || strings.HasPrefix(name, "time.newTimer") {
				live += r.InUseObjects()
				break
			}
		}
	}
	return live
}

// TestPools_SchedulerOfFormerPoolStops checks that nothing goes on for pools that the
// configuration no longer has, however many it had.
func TestPools_SchedulerOfFormerPoolStops(t *testing.T) {
	defer func(rate int) { runtime.MemProfileRate = rate }(runtime.MemProfileRate)
	runtime.MemProfileRate = 1
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t)
		n := f.gatewayNode()
		defer func() {
			n.mu.Lock()
			for name := range n.masters {
				n.pools.Remove(name)
			}
			n.mu.Unlock()
			n.cancel()
			n.loops.Wait()
			f.stop(n)
		}()
		time.Sleep(3 * time.Second)
		var former *pool.Master
		change := func(i int) {
			name := ident.PoolName(fmt.Sprint("service-", i))
			f.applyService(name)
			for applied := time.Now(); n.Placer(name) == nil; time.Sleep(5 * time.Millisecond) {
				must.Less(t, configApply, time.Since(applied))
			}
			n.mu.Lock()
			defer n.mu.Unlock()
			must.MapLen(t, 1, n.clients)
			must.MapLen(t, 1, n.masters)
			if former != nil {
				must.True(t, former.Stopped())
			}
			former = n.masters[name]
		}
		measure := func() (goroutines int, timers int64) {
			time.Sleep(10 * time.Second)
			synctest.Wait()
			return runtime.NumGoroutine(), liveTimers()
		}
		for i := range 100 {
			change(i)
		}
		goroutines, timers := measure()
		const changes = 1000
		for i := range changes {
			change(100 + i)
		}
		goroutinesAfter, timersAfter := measure()
		t.Logf("after 100 changes %d goroutines, %d timers; after 1,100 changes %d and %d", goroutines, timers, goroutinesAfter, timersAfter)
		must.Eq(t, goroutines, goroutinesAfter)
		// What runs at the moment has a few timers more or less.
		must.Less(t, 0.01, float64(timersAfter-timers)/changes)
	})
}
