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

// Follower is a node's side of the heartbeat protocol: its lease, the
// configuration in force and the members that it acts on. It is safe for
// concurrent use.
//
// Invariants: the revision in force and the sequence number of the members never
// decrease, and a node accepts no work unless Leased reports true.
type Follower struct {
	mu       sync.Mutex
	node     lease.Node
	leaseEnd time.Time
	revision ident.Revision
	config   config.Config
	members  machine.Members
	// needFullConfig requests a full configuration after an update that could not
	// be applied.
	needFullConfig bool
	superseded     bool
}

// NewFollower returns the follower of one incarnation of a node.
func NewFollower(node lease.Node) *Follower { return &Follower{node: node} }

// SetDraining marks the node as draining in every later heartbeat.
func (f *Follower) SetDraining() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.Draining = true
}

// SetUnreachable sets whether later heartbeats report that other nodes cannot
// connect to this one.
func (f *Follower) SetUnreachable(unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.node.Unreachable = unreachable
}

// Heartbeat returns the arguments of the next heartbeat. Before sending it, the
// node must have stopped the schedulers for which Holds reports false.
func (f *Follower) Heartbeat(load uint8, wantLoads bool) *HeartbeatArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := &HeartbeatArgs{
		Node: f.node, Load: load, WantLoads: wantLoads,
		HaveRevision: f.revision, HaveView: f.members.Sequence, Features: machine.FeatureLevel,
	}
	if f.needFullConfig {
		args.HaveRevision = 0
	}
	return args
}

// HandleReply applies the reply to a heartbeat that was sent at the given time. If
// resend is true, the next heartbeat should follow at once, to report what was
// applied.
func (f *Follower) HandleReply(sent time.Time, reply *HeartbeatReply) (resend bool, err error) {
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
	// A lease that was granted with a later revision than the one in force here
	// must not be used: the reply was delayed or reordered.
	usable := reply.TTL > 0 && f.revision >= reply.Revision
	if end := sent.Add(reply.TTL); usable && end.After(f.leaseEnd) {
		f.leaseEnd = end
	}
	return updated || viewed, nil
}

// applyConfig applies an update to a newer revision, and ignores any other. It
// reports whether the configuration changed. The caller holds the lock.
func (f *Follower) applyConfig(u *config.Update) (bool, error) {
	if u == nil || u.To <= f.revision {
		return false, nil
	}
	// A delta holds the final state of everything that changed since From, so it
	// applies to every revision from there on. Apply verifies the digest.
	next, err := u.Apply(f.config)
	if err != nil {
		f.needFullConfig = true
		return false, fmt.Errorf("control: applying configuration update to revision %d: %w", u.To, err)
	}
	f.config = next
	f.revision = u.To
	f.needFullConfig = false
	return true, nil
}

// applyView applies a newer view of the members, and ignores any other. It
// reports whether the members changed. The caller holds the lock.
func (f *Follower) applyView(v *machine.View) (bool, error) {
	if v == nil || v.Sequence <= f.members.Sequence {
		return false, nil
	}
	next, err := f.members.Apply(v)
	if err != nil {
		return false, fmt.Errorf("control: applying members view with sequence %d: %w", v.Sequence, err)
	}
	f.members = next
	return true, nil
}

// Leased reports whether the node may accept work at the time now.
func (f *Follower) Leased(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.leaseEnd)
}

// Holds reports whether the node may act as a pool's scheduler at the time now,
// and returns the epoch of the pool's lease.
func (f *Follower) Holds(pool ident.PoolName, now time.Time) (ident.Epoch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.members.Pools[pool]
	held := p.Holder == f.node.ID && p.HolderIncarnation == f.node.Incarnation && now.Before(f.leaseEnd)
	return p.Epoch, held && p.Holder != ""
}

// Superseded reports whether a later incarnation of the node is known. The
// process must then stop.
func (f *Follower) Superseded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.superseded
}

// Config returns the configuration in force and its revision. The caller must not
// modify it.
func (f *Follower) Config() (config.Config, ident.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config, f.revision
}

// Members returns the members that the node acts on. The caller must not modify
// them.
func (f *Follower) Members() machine.Members {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members
}
