package config

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestUpdateFrom_GrowsWithSize guards against an update whose cost is the product of the
// revisions that a node lacks and of the objects changed in them: the leader computes it
// while a large change is followed by many small ones.
func TestUpdateFrom_GrowsWithSize(t *testing.T) {
	cost := func(factor int) time.Duration {
		store := NewStore()
		routes, small := 2000*factor, 150*factor
		next := Config{Routes: make(map[ident.RouteName]Route, routes)}
		for i := range routes {
			next.Routes[ident.RouteName(fmt.Sprint("r", i))] = Route{Path: "/p", Pool: "p"}
		}
		store.Apply(Operation{Numbered: &Numbered{Number: 1, Config: next}})
		for i := range small {
			delta := Delta{Routes: Changes[ident.RouteName, Route]{Set: map[ident.RouteName]Route{"r0": {Path: fmt.Sprint("/", i)}}}}
			store.Steps = append(store.Steps, Step{Revision: store.Revision + 1, Delta: delta})
			store.Revision++
		}
		least := time.Duration(1<<63 - 1)
		for range 7 {
			runtime.GC()
			began := time.Now()
			update := store.UpdateFrom(0)
			least = min(least, time.Since(began))
			must.MapLen(t, routes, update.Delta.Routes.Set)
			must.Eq(t, fmt.Sprint("/", small-1), update.Delta.Routes.Set["r0"].Path)
		}
		return least
	}
	once, twice := cost(1), cost(2)
	ratio := twice.Seconds() / once.Seconds()
	t.Logf("%v at the size, %v at twice the size, ratio %.2f", once, twice, ratio)
	must.LessEq(t, 3, ratio)
}
