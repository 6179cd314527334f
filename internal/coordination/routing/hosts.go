package routing

import (
	"cmp"
	"slices"
	"strings"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// HostTable finds routes by host and longest path prefix. It is immutable.
type HostTable struct {
	// byHost holds each host's routes, the longest prefix first.
	byHost map[string][]*HostRoute
	// byKey maps API keys to teams.
	byKey map[string]ident.TeamName
	teams map[ident.TeamName]config.Team
	tiers map[ident.TierName]config.Tier
}

// HostRoute is a route with its name.
type HostRoute struct {
	Name ident.RouteName
	config.Route
}

// NewHostTable indexes the routes of a validated configuration that name a host.
func NewHostTable(c *config.Config) *HostTable {
	t := &HostTable{
		byHost: make(map[string][]*HostRoute),
		byKey:  make(map[string]ident.TeamName),
		teams:  c.Teams,
		tiers:  c.Tiers,
	}
	for name, route := range c.Routes {
		if route.Host != "" {
			t.byHost[route.Host] = append(t.byHost[route.Host], &HostRoute{Name: name, Route: route})
		}
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *HostRoute) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	for name, team := range c.Teams {
		for _, key := range team.Keys {
			// A request without a key looks like one with an empty key.
			if key != "" {
				t.byKey[key] = name
			}
		}
	}
	return t
}

// HostName returns the host of a Host field in lower case, without its port.
func HostName(field string) string {
	if at := strings.LastIndexByte(field, ':'); at >= 0 && !strings.HasSuffix(field, "]") {
		field = field[:at]
	}
	return strings.ToLower(field)
}

// Match returns the route of a host with the longest prefix of path, or nil. The
// case and the port of the host are ignored.
func (t *HostTable) Match(host, path string) *HostRoute {
	for _, route := range t.byHost[HostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Team returns the team that holds an API key.
func (t *HostTable) Team(key string) (ident.TeamName, config.Team, bool) {
	name, known := t.byKey[key]
	return name, t.teams[name], known
}

// HasTeams reports whether callers must identify their team. It is also true if none can, see
// config.KeylessTeam.
func (t *HostTable) HasTeams() bool { return len(t.teams) > 0 }

// Tier returns the tier of a team's request on a route, and the rank of the tier.
func (t *HostTable) Tier(route *HostRoute, team config.Team) (ident.TierName, int) {
	name := route.Tier
	if replaced, known := team.Tiers[name]; known {
		name = replaced
	}
	return name, t.tiers[name].Rank
}

// PickPool picks one of the route's pools by weight. At is a random number, at
// least 0 and below 1.
func (r *HostRoute) PickPool(at float64) ident.PoolName {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	left := at * total
	for _, s := range r.Splits {
		if left < s.Weight {
			return s.Pool
		}
		left -= s.Weight
	}
	return r.Pool
}
