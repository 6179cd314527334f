package nodeview

import (
	"cmp"
	"maps"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// SchedulerView returns what the scheduler of a pool must know. Shares are the
// present shares of the pool's versions.
func (v *View) SchedulerView(pool ident.PoolName, shares []scheduler.VersionShare) scheduler.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return scheduler.View{
		Pool:       pool,
		Revision:   v.revision,
		QueueLimit: v.config.Pools[pool].QueueLimit,
		Tiers:      tiers(&v.config),
		Teams:      teams(&v.config),
		Upstreams:  v.upstreams(pool),
		Shares:     shares,
		Gateways:   slices.Sorted(maps.Keys(v.members.Nodes)),
	}
}

func tiers(c *config.Config) []scheduler.Tier {
	list := make([]scheduler.Tier, 0, len(c.Tiers))
	for name, t := range c.Tiers {
		list = append(list, scheduler.Tier{Name: name, Rank: t.Rank, Reserve: t.Reserve})
	}
	slices.SortFunc(list, func(a, b scheduler.Tier) int { return cmp.Compare(a.Rank, b.Rank) })
	return list
}

func teams(c *config.Config) []scheduler.Team {
	list := make([]scheduler.Team, 0, len(c.Teams))
	for name, t := range c.Teams {
		list = append(list, scheduler.Team{Name: name, Shares: t.Shares})
	}
	slices.SortFunc(list, func(a, b scheduler.Team) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (v *View) upstreams(pool ident.PoolName) []scheduler.Upstream {
	var list []scheduler.Upstream
	for name, u := range v.config.Upstreams {
		if u.Pool != pool {
			continue
		}
		_, leaving := v.leaving[u.Address]
		list = append(list, scheduler.Upstream{
			Name:          name,
			Version:       u.Version,
			Zone:          u.Zone,
			MaxConcurrent: u.MaxConcurrent,
			Leaving:       leaving,
		})
	}
	slices.SortFunc(list, func(a, b scheduler.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
