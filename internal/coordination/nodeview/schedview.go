package nodeview

import (
	"cmp"
	"maps"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// SchedulerView returns the input of a pool's scheduler. Shares are the current
// shares of the pool's versions.
func (v *View) SchedulerView(pool ident.PoolName, shares []scheduler.VersionShare) scheduler.View {
	cfg, revision := v.Config()
	return scheduler.View{
		Pool:       pool,
		Revision:   revision,
		QueueLimit: cfg.Pools[pool].QueueLimit,
		Tiers:      tiers(&cfg),
		Teams:      teams(&cfg),
		Upstreams:  v.upstreams(&cfg, pool),
		Shares:     shares,
		Gateways:   slices.Sorted(maps.Keys(v.Members().Nodes)),
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

func (v *View) upstreams(c *config.Config, pool ident.PoolName) []scheduler.Upstream {
	var list []scheduler.Upstream
	for name, u := range c.Upstreams {
		if u.Pool != pool {
			continue
		}
		list = append(list, scheduler.Upstream{
			Name:          name,
			Version:       u.Version,
			Zone:          u.Zone,
			MaxConcurrent: u.MaxConcurrent,
			Leaving:       v.Leaving(u.Address),
			Evacuated:     v.Evacuated(u.Zone),
		})
	}
	slices.SortFunc(list, func(a, b scheduler.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
