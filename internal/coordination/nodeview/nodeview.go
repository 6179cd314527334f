// Package nodeview holds what one node knows of the system: the configuration
// in force, the live nodes, the scheduler leases, the moves, the leaving
// upstreams, and how long the node may rely on its own lease.
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
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// View is the knowledge of one node. It is safe for concurrent use.
type View struct {
	mu       sync.Mutex
	revision ident.Revision
	config   config.Config
	routes   *routing.Table
	members  machine.Members
	loads    map[ident.NodeID]uint8
	leaving  map[string]struct{}
	// resync asks for everything with the next heartbeat.
	resync bool
	// leaseEnd is when the node's lease ends at the latest.
	leaseEnd time.Time
}

// New returns a view that knows nothing.
func New() *View {
	return &View{}
}

// Change tells what a heartbeat's reply changed.
type Change struct {
	// Config is true when another revision is in force.
	Config bool
	// Members is true when nodes, scheduler leases or moves changed.
	Members bool
}

// Any reports whether anything changed.
func (c Change) Any() bool { return c.Config || c.Members }

// Take takes in the reply to a heartbeat that was sent at the given time. An
// update that does not fit leaves the view unchanged, and the next heartbeat
// asks for everything.
func (v *View) Take(reply *control.HeartbeatReply, sent time.Time) (Change, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change, err := v.takeState(reply)
	if err != nil {
		return change, err
	}
	if end := sent.Add(reply.TTL); reply.TTL > 0 && end.After(v.leaseEnd) {
		v.leaseEnd = end
	}
	if reply.Loads != nil {
		v.loads = make(map[ident.NodeID]uint8, len(reply.Loads))
		for _, l := range reply.Loads {
			v.loads[l.Node] = l.Load
		}
	}
	return change, nil
}

func (v *View) takeState(reply *control.HeartbeatReply) (Change, error) {
	var change Change
	if reply.Update != nil {
		if err := v.takeUpdate(reply.Update); err != nil {
			v.resync = true
			return change, err
		}
		change.Config = true
	}
	if reply.View != nil {
		members, err := v.members.Apply(reply.View)
		if err != nil {
			v.resync = true
			return change, err
		}
		v.members = members
		change.Members = true
	}
	v.resync = false
	return change, nil
}

// takeUpdate puts a later revision in force. An older one never replaces it.
func (v *View) takeUpdate(update *config.Update) error {
	if update.To <= v.revision {
		return nil
	}
	next, err := update.Apply(v.config)
	if err != nil {
		return err
	}
	v.config = next
	v.revision = update.To
	v.routes = routing.NewTable(&next)
	return nil
}

// Have returns what the next heartbeat names as known.
func (v *View) Have() (ident.Revision, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resync {
		return 0, 0
	}
	return v.revision, v.members.Sequence
}

// Fresh reports whether the node may rely on its lease at the given time.
func (v *View) Fresh(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Before(v.leaseEnd)
}

// LeaseEnd returns when the node's lease ends unless it is renewed.
func (v *View) LeaseEnd() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaseEnd
}

// Config returns the configuration in force. It must not be changed.
func (v *View) Config() (config.Config, ident.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config, v.revision
}

// Routes returns the routes in force; nil before the first configuration.
func (v *View) Routes() *routing.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routes
}

// Members returns the live nodes, scheduler leases and moves. It must not be
// changed.
func (v *View) Members() machine.Members {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members
}

// Loads returns the nodes' loads, 0 to 255.
func (v *View) Loads() map[ident.NodeID]uint8 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.loads
}

// SetLeaving replaces the addresses of the upstreams that get no new work. It
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
	v.mu.Lock()
	defer v.mu.Unlock()
	team, ok := v.config.Teams[name]
	return team, ok
}

// Upstream returns a configured upstream that may get new work.
func (v *View) Upstream(name ident.UpstreamName) (config.Upstream, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	u, ok := v.config.Upstreams[name]
	if !ok {
		return config.Upstream{}, false
	}
	_, leaving := v.leaving[u.Address]
	return u, !leaving
}

// Holder returns the node that holds a pool's scheduler lease.
func (v *View) Holder(pool ident.PoolName) (lease.Pool, lease.Node, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	held, ok := v.members.Pools[pool]
	if !ok || held.Holder == "" {
		return lease.Pool{}, lease.Node{}, false
	}
	node, ok := v.members.Nodes[held.Holder]
	return held, node, ok && node.Incarnation == held.HolderIncarnation
}
