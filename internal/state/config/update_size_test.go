package config

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/testmeter"
)

// TestUpdateFrom_GrowsWithSize guards against an update whose cost is the product of the
// revisions that a node lacks and of the objects changed in them: the leader computes it
// while a large change is followed by many small ones.
func TestUpdateFrom_GrowsWithSize(t *testing.T) {
	once, twice := testmeter.Growth(func(factor int) func() {
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
		return func() {
			update := store.UpdateFrom(0)
			must.MapLen(t, routes, update.Delta.Routes.Set)
			must.Eq(t, fmt.Sprint("/", small-1), update.Delta.Routes.Set["r0"].Path)
		}
	})
	ratio := twice.Seconds() / once.Seconds()
	t.Logf("%v at the size, %v at twice the size, ratio %.2f", once, twice, ratio)
	must.LessEq(t, 3, ratio)
}
