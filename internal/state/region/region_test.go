package region

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Guards against an intersection without a region that counts as everywhere, also after gob,
// which drops empty lists.
func TestIntersect(t *testing.T) {
	type set = []ident.Region
	for name, c := range map[string]struct {
		route, team     set
		inside, outside set
	}{
		"neither names any": {inside: set{"eu", "us", ""}},
		"both empty":        {route: set{}, team: set{}, inside: set{"eu", ""}},
		"route only":        {route: set{"eu"}, inside: set{"eu"}, outside: set{"us", ""}},
		"team only":         {team: set{"us"}, inside: set{"us"}, outside: set{"eu", ""}},
		"both":              {route: set{"eu", "us"}, team: set{"us", "as"}, inside: set{"us"}, outside: set{"eu", "as", ""}},
		"disjoint":          {route: set{"eu"}, team: set{"us"}, outside: set{"eu", "us", ""}},
		"unnamed region":    {route: set{""}, team: set{""}, outside: set{"eu", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			var sent, received struct{ Regions set }
			sent.Regions = Intersect(c.route, c.team)
			var buffer bytes.Buffer
			if err := gob.NewEncoder(&buffer).Encode(sent); err != nil {
				t.Fatal(err)
			}
			if err := gob.NewDecoder(&buffer).Decode(&received); err != nil {
				t.Fatal(err)
			}
			for _, got := range []set{sent.Regions, received.Regions} {
				for _, r := range c.inside {
					if !Contains(got, r) {
						t.Errorf("%q is outside %q, expected inside", r, got)
					}
				}
				for _, r := range c.outside {
					if Contains(got, r) {
						t.Errorf("%q is inside %q, expected outside", r, got)
					}
				}
				if nowhere := c.inside == nil; IsNowhere(got) != nowhere {
					t.Errorf("IsNowhere(%q) = %t", got, !nowhere)
				}
			}
		})
	}
}
