package control

import (
	"fmt"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// Follower is a node's side of the heartbeat: its lease, the configuration in
// force and the members that it acts on. It is safe for concurrent use.
//
// Invariants: the revision in force and the sequence of the members never go
// back, and a node that isn't Leased takes on nothing.
type Follower struct {
	mu       sync.Mutex
	node     lease.Node
	leaseEnd time.Time
	revision ident.Revision
	config   config.Config
	members  machine.Members
	// needFullConfig asks for a needFullConfig configuration after a delta that didn't fit.
	needFullConfig bool
	superseded     bool
}

// NewFollower returns the follower of one life of a node.
func NewFollower(node lease.Node) *Follower { return &Follower{node: node} }

// SetDraining makes every later heartbeat say that the node is leaving.
func (f *Follower) SetDraining() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.Draining = true
}

// SetUnreachable makes every later heartbeat say whether other nodes can
// connect to this one.
func (f *Follower) SetUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.Unreachable = unreachable
}

// Heartbeat returns the next heartbeat. Before it is sent, the node has
// stopped the schedulers that Holds denies.
func (f *Follower) Heartbeat(load uint8, wantLoads bool) *HeartbeatArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := &HeartbeatArgs{
		Node: f.node, Load: load, WantLoads: wantLoads,
		HaveRevision: f.revision, HaveView: f.members.Sequence,
	}
	if f.needFullConfig {
		args.HaveRevision = 0
	}
	return args
}

// Take takes in the answer to a heartbeat that was sent at the given time.
// again asks for the next heartbeat at once, to report what was taken in.
func (f *Follower) Take(sent time.Time, reply *HeartbeatReply) (resend bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reply.Superseded {
		f.superseded = true
		f.leaseEnd = time.Time{}
	}
	if !reply.OK() || f.superseded {
		return false, nil
	}
	updated, err := f.applyConfig(reply.Update)
	if err != nil {
		return true, err
	}
	viewed, err := f.applyView(reply.View)
	if err != nil {
		return true, err
	}
	// A lease that was granted with a later revision than the one in force
	// here must not be used: the answer came late or crossed another.
	usable := reply.TTL > 0 && f.revision >= reply.Revision
	if end := sent.Add(reply.TTL); usable && end.After(f.leaseEnd) {
		f.leaseEnd = end
	}
	return updated || viewed, nil
}

// applyConfig moves the configuration forward, never back.
func (f *Follower) applyConfig(u *config.Update) (bool, error) {
	if u == nil || u.To <= f.revision {
		return false, nil
	}
	// A delta holds the final state of all that changed since From, so that it
	// fits every revision from there on; the digest is checked.
	next, err := u.Apply(f.config)
	if err != nil {
		f.needFullConfig = true
		return false, fmt.Errorf("control: update refused: %w", err)
	}
	f.config = next
	f.revision = u.To
	f.needFullConfig = false
	return true, nil
}

// applyView moves the members forward, never back.
func (f *Follower) applyView(v *machine.View) (bool, error) {
	if v == nil || v.Sequence <= f.members.Sequence {
		return false, nil
	}
	next, err := f.members.Apply(v)
	if err != nil {
		return false, fmt.Errorf("control: view refused: %w", err)
	}
	f.members = next
	return true, nil
}

// Leased tells whether the node may take on work at the time now.
func (f *Follower) Leased(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.leaseEnd)
}

// Holds tells whether the node may act as a pool's scheduler at the time now,
// and in which epoch.
func (f *Follower) Holds(pool ident.PoolName, now time.Time) (ident.Epoch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.members.Pools[pool]
	held := p.Holder == f.node.ID && p.HolderIncarnation == f.node.Incarnation && now.Before(f.leaseEnd)
	return p.Epoch, held && p.Holder != ""
}

// Superseded tells whether a later life of the node is known; this one ends.
func (f *Follower) Superseded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.superseded
}

// Config returns the configuration in force and its revision. It must not be
// changed.
func (f *Follower) Config() (config.Config, ident.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config, f.revision
}

// Members returns the members that the node acts on. They must not be changed.
func (f *Follower) Members() machine.Members {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}
