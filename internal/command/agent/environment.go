package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/coordination/routing"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Fresh implements gateway.Environment.
func (a *Agent) Fresh() bool {
	return a.view.Leased(time.Now())
}

// Placer implements gateway.Environment.
func (a *Agent) Placer(name ident.PoolName) gateway.Placer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.clients[name]; c != nil {
		return c.Client
	}
	return nil
}

// Upstream implements gateway.Environment. The gateway asks it before each sending, so
// that a grant from before an evacuation isn't used.
func (a *Agent) Upstream(name ident.UpstreamName) (config.Upstream, bool) {
	u, usable := a.view.Upstream(name)
	if !usable && a.view.Evacuated(u.Zone) {
		a.metrics.evacuatedGrants.Inc()
	}
	return u, usable
}

// PoolUpstreams implements gateway.Environment.
func (a *Agent) PoolUpstreams(name ident.PoolName) []gateway.Target {
	cfg, _ := a.view.Config()
	var targets []gateway.Target
	for upstream, u := range cfg.Upstreams {
		if u.Pool == name {
			targets = append(targets, gateway.Target{Name: upstream, Upstream: u})
		}
	}
	slices.SortFunc(targets, func(a, b gateway.Target) int { return cmp.Compare(a.Name, b.Name) })
	return targets
}

// Identity implements gateway.Environment.
func (a *Agent) Identity() (ident.NodeID, ident.Incarnation) {
	return a.settings.Node, a.incarnation
}

// Routes implements callerhttp.Directory.
func (a *Agent) Routes() *routing.Table {
	return a.view.Routes()
}

// Team implements callerhttp.Directory.
func (a *Agent) Team(name ident.TeamName) (config.Team, bool) {
	return a.view.Team(name)
}
