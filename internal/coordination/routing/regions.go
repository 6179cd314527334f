package routing

import "github.com/flamingohaven/flamingohaven/internal/state/ident"

// Regions returns the regions that the routes of a host name; nil if one of them names none or
// the host has no route.
func (t *HostTable) Regions(host string) []ident.Region {
	var all []ident.Region
	for _, route := range t.byHost[HostName(host)] {
		if len(route.Regions) == 0 {
			return nil
		}
		all = append(all, route.Regions...)
	}
	return all
}
