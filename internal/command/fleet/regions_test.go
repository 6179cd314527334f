package fleet

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/routing"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Guards against callers that are sent to gateways outside the regions of a host while some
// inside are left, and against callers without any gateway once there is none.
func TestDirectory_NamesGatewaysInside(t *testing.T) {
	type set = []ident.Region
	hosts := routing.NewHostTable(&config.Config{Routes: map[ident.RouteName]config.Route{
		"all":   {Host: "all", Prefix: "/"},
		"eu":    {Host: "eu", Prefix: "/", Regions: set{"eu"}},
		"mixed": {Host: "mixed", Prefix: "/", Regions: set{"eu"}}, "mixed2": {Host: "mixed", Prefix: "/x/"},
		"two": {Host: "two", Prefix: "/", Regions: set{"eu"}}, "two2": {Host: "two", Prefix: "/x/", Regions: set{"as"}},
	}})
	regions := map[ident.Zone]ident.Region{"eu-1": "eu", "us-1": "us", "as-1": "as"}
	member := func(address string, zone ident.Zone, draining bool) control.Member {
		return control.Member{ID: ident.NodeID(address), CallerAddress: address, Zone: zone, Draining: draining}
	}
	all := []control.Member{member("e", "eu-1", false), member("u", "us-1", false), member("x", "unlisted", false), {ID: "core", Zone: "eu-1"}}
	for name, c := range map[string]struct {
		members  []control.Member
		lookup   Lookup
		expected []string
	}{
		"no query":                     {all, Lookup{}, []string{"e", "u", "x"}},
		"unknown host":                 {all, Lookup{Host: "none", Region: "eu"}, []string{"e", "u", "x"}},
		"host without regions":         {all, Lookup{Host: "all", Region: "us"}, []string{"e", "u", "x"}},
		"one route without":            {all, Lookup{Host: "mixed"}, []string{"e", "u", "x"}},
		"inside only":                  {all, Lookup{Host: "EU:80"}, []string{"e"}},
		"own region too":               {all, Lookup{Host: "eu", Region: "us"}, []string{"e", "u"}},
		"own region by data centre":    {all, Lookup{Host: "eu", Zone: "us-1"}, []string{"e", "u"}},
		"unknown data centre":          {all, Lookup{Host: "eu", Zone: "unlisted"}, []string{"e"}},
		"two routes":                   {append(all, member("a", "as-1", false)), Lookup{Host: "two"}, []string{"e", "a"}},
		"none inside":                  {all[1:], Lookup{Host: "eu"}, []string{"u", "x"}},
		"those inside stop taking any": {append(all[1:3:3], member("e", "eu-1", true)), Lookup{Host: "eu"}, []string{"u", "x"}},
	} {
		t.Run(name, func(t *testing.T) {
			n := &Node{settings: Settings{Regions: regions}}
			n.hosts.Store(hosts)
			inOrder := func(n int) []int {
				order := make([]int, n)
				for i := range order {
					order[i] = i
				}
				return order
			}
			must.Eq(t, c.expected, sampleGateways(n.nearGateways(c.lookup, c.members), 64, inOrder))
		})
	}
}
