// Package region decides in which regions a request may be served.
//
// A set of regions is a list in which nil means everywhere. A list that is empty but not nil
// means nowhere; since gob does not tell the two apart, Intersect returns Nowhere instead.
package region

import (
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// nowhere names no region: a data centre without one is outside every set.
var nowhere = []ident.Region{""}

// Nowhere returns the set that contains no region, in a form that survives gob.
func Nowhere() []ident.Region { return slices.Clone(nowhere) }

// Contains reports whether a data centre of region r is inside the set. One whose region is
// unknown is outside every set but everywhere.
func Contains(set []ident.Region, r ident.Region) bool {
	return set == nil || r != "" && slices.Contains(set, r)
}

// Intersect returns the regions that both a route's and a team's list permit; an empty list
// permits all. Nil means everywhere.
func Intersect(route, team []ident.Region) []ident.Region {
	switch {
	case len(route) == 0 && len(team) == 0:
		return nil
	case len(route) == 0:
		return team
	case len(team) == 0:
		return route
	}
	var both []ident.Region
	for _, r := range route {
		if r != "" && slices.Contains(team, r) {
			both = append(both, r)
		}
	}
	if both == nil {
		return Nowhere()
	}
	return both
}

// IsNowhere reports whether the set contains no region.
func IsNowhere(set []ident.Region) bool {
	return set != nil && !slices.ContainsFunc(set, func(r ident.Region) bool { return r != "" })
}

// MayHold reports whether a node of region r may hold the body of a request with the set that
// a caller of region caller sent.
func MayHold(set []ident.Region, caller, r ident.Region) bool {
	return Contains(set, r) || r != "" && r == caller
}
