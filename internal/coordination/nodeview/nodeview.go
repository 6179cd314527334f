// Package nodeview holds what one node knows of the system: the configuration
// in force, the live nodes, the scheduler leases, the moves, the evacuated data
// centres, the leaving upstreams, and how long the node may rely on its own lease.
package nodeview

import (
	"maps"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/routing"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// View is one node's view of the system. It adds to the follower of the control
// service what is derived from the follower or comes from elsewhere. It is safe
// for concurrent use.
type View struct {
	*control.Follower

	mu      sync.Mutex
	routes  *routing.Table
	loads   map[ident.NodeID]uint8
	leaving map[string]struct{}
}

// New returns an empty view for one incarnation of a node.
func New(node lease.Node) *View {
	return &View{Follower: control.NewFollower(node)}
}

// Change describes what the reply to a heartbeat changed.
type Change struct {
	// Config is true when another revision came into force.
	Config bool
	// Members is true when nodes, scheduler leases, moves or evacuations changed.
	Members bool
}

// Any reports whether anything changed.
func (c Change) Any() bool { return c.Config || c.Members }

// ApplyReply applies the reply to a heartbeat that was sent at the given time. An
// update that can't be applied leaves the view unchanged, and the next heartbeat
// asks for a full update. Only one goroutine may call it.
func (v *View) ApplyReply(sent time.Time, reply *control.HeartbeatReply) (Change, error) {
	_, revision := v.Config()
	sequence := v.Members().Sequence
	_, err := v.HandleReply(sent, reply)
	cfg, now := v.Config()
	change := Change{Config: now != revision, Members: v.Members().Sequence != sequence}
	if change.Config {
		v.setRoutes(routing.NewTable(&cfg))
	}
	if reply.Loads != nil {
		v.setLoads(reply.Loads)
	}
	return change, err
}

func (v *View) setRoutes(table *routing.Table) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.routes = table
}

func (v *View) setLoads(loads []control.NodeLoad) {
	byNode := make(map[ident.NodeID]uint8, len(loads))
	for _, l := range loads {
		byNode[l.Node] = l.Load
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loads = byNode
}

// Routes returns the routes in force; nil before the first configuration.
func (v *View) Routes() *routing.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routes
}

// Loads returns the nodes' loads, 0 to 255. They must not be changed.
func (v *View) Loads() map[ident.NodeID]uint8 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.loads
}

// SetLeaving replaces the addresses of the upstreams that get no new work, and
// reports whether they changed.
func (v *View) SetLeaving(addresses map[string]struct{}) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := !maps.Equal(v.leaving, addresses)
	v.leaving = addresses
	return changed
}

// Leaving reports whether the upstream at address gets no new work.
func (v *View) Leaving(address string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, leaving := v.leaving[address]
	return leaving
}

// Team returns a configured team.
func (v *View) Team(name ident.TeamName) (config.Team, bool) {
	cfg, _ := v.Config()
	team, ok := cfg.Teams[name]
	return team, ok
}

// Upstream returns a configured upstream, and false if it is unknown or gets no
// new work: it leaves, or its data centre is evacuated.
func (v *View) Upstream(name ident.UpstreamName) (config.Upstream, bool) {
	cfg, _ := v.Config()
	u, ok := cfg.Upstreams[name]
	return u, ok && !v.Leaving(u.Address) && !v.Evacuated(u.Zone)
}

// Holder returns the scheduler lease of a pool and the live node that holds it,
// or false if there is none.
func (v *View) Holder(pool ident.PoolName) (lease.Pool, lease.Node, bool) {
	members := v.Members()
	held, ok := members.Pools[pool]
	if !ok || held.Holder == "" {
		return lease.Pool{}, lease.Node{}, false
	}
	node, ok := members.Nodes[held.Holder]
	return held, node, ok && node.Incarnation == held.HolderIncarnation
}

// HeldPools returns the scheduler leases that this node may act on at the
// given time.
func (v *View) HeldPools(now time.Time) map[ident.PoolName]lease.Pool {
	held := make(map[ident.PoolName]lease.Pool)
	for name, l := range v.Members().Pools {
		if _, holds := v.Holds(name, now); holds {
			held[name] = l
		}
	}
	return held
}
