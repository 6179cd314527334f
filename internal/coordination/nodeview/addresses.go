package nodeview

import (
	"cmp"
	"hash/maphash"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// loadStep is the difference of load, 0 to 255, below which two nodes count as
// equally loaded.
const loadStep = 32

// Entries returns the nodes that callers should use, best first: nodes that
// are not draining, the given data centre first, then by load, in an order of
// their own among equals so that callers spread.
func (v *View) Entries(zone ident.Zone) []lease.Node {
	v.mu.Lock()
	defer v.mu.Unlock()
	var entries []lease.Node
	for _, n := range v.members.Nodes {
		if !n.Draining && n.CallerAddress != "" {
			entries = append(entries, n)
		}
	}
	seed := maphash.MakeSeed()
	slices.SortFunc(entries, func(a, b lease.Node) int {
		return cmp.Or(
			cmp.Compare(distance(a, zone), distance(b, zone)),
			cmp.Compare(v.loads[a.ID]/loadStep, v.loads[b.ID]/loadStep),
			cmp.Compare(maphash.String(seed, string(a.ID)), maphash.String(seed, string(b.ID))),
		)
	})
	return entries
}

func distance(n lease.Node, zone ident.Zone) int {
	if n.Zone == zone {
		return 0
	}
	return 1
}
