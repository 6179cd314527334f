package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// leavingMark is what a gateway knows of an upstream that leaves, as scheduler.Pool does.
type leavingMark struct {
	// since is when it said so. If carried is true, it said so under another name: since is when that
	// was carried over, and latestStart the latest start, in Unix milliseconds, that had certainly begun
	// when it did.
	since       time.Time
	latestStart int64
	carried     bool
}

func (m leavingMark) isOver(now time.Time) bool {
	if m.carried {
		return now.Sub(m.since) > scheduler.CarriedLeavingRetention
	}
	return now.Sub(m.since) > scheduler.LeavingRetention
}

// markLeaving keeps requests from an upstream that has said that it leaves, also under its later
// names. It reports whether that is new. The caller holds the lock.
func (c *Client) markLeaving(name ident.UpstreamName, now time.Time) bool {
	if c.isLeaving(name, now) && !c.leaving[name].carried || !c.setLeaving(name, leavingMark{since: now}, now) {
		return false
	}
	c.carryLeaving(name, now)
	return true
}

// setLeaving sets the mark of a name. It reports whether there is room for it. The caller holds the
// lock.
func (c *Client) setLeaving(name ident.UpstreamName, m leavingMark, now time.Time) bool {
	if len(c.leaving) >= scheduler.MaxLeaving {
		maps.DeleteFunc(c.leaving, func(_ ident.UpstreamName, m leavingMark) bool { return m.isOver(now) })
	}
	if len(c.leaving) >= scheduler.MaxLeaving {
		return false
	}
	c.leaving[name] = m
	return true
}

// carryLeaving marks the later names of an upstream, up to one of a start that may not have begun
// when it said that it leaves: what comes from an address comes from the latest start there. The
// caller holds the lock.
func (c *Client) carryLeaving(name ident.UpstreamName, now time.Time) {
	for range maxSuccessors {
		next, renamed := c.successors[name]
		if !renamed || !c.isLeaving(name, now) || c.isLeaving(next.later.Name, now) {
			return
		}
		m := c.leaving[name]
		if !m.carried && next.former.Started > 0 {
			m.latestStart = next.former.Started + m.since.Sub(next.former.Known).Milliseconds()
		}
		if next.former.Started > next.later.Started || next.later.Started > m.latestStart {
			return
		}
		m.since, m.carried = now, true
		c.setLeaving(next.later.Name, m, now)
		name = next.later.Name
	}
}

// isLeaving reports whether an upstream has said that it leaves. The caller holds the
// lock.
func (c *Client) isLeaving(name ident.UpstreamName, now time.Time) bool {
	m, known := c.leaving[name]
	return known && !m.isOver(now)
}

// Leaving reports whether an upstream has said in an answer, to this gateway or another
// one, that it leaves.
func (c *Client) Leaving(name ident.UpstreamName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isLeaving(name, time.Now())
}

// learnLeaving records upstreams that have told other gateways that they leave, and
// returns those that are new.
func (c *Client) learnLeaving(names []ident.UpstreamName, now time.Time) (learned []ident.UpstreamName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		if c.markLeaving(name, now) {
			learned = append(learned, name)
		}
	}
	return learned
}

// leavingNames returns the upstreams that have said that they leave, by the names under which they
// said so. The caller holds the lock.
func (c *Client) leavingNames(now time.Time) []ident.UpstreamName {
	names := slices.Collect(maps.Keys(c.leaving))
	return slices.DeleteFunc(names, func(name ident.UpstreamName) bool { return !c.isLeaving(name, now) || c.leaving[name].carried })
}

// LeavingCount returns the number of upstreams that have said that they leave.
func (c *Client) LeavingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.leavingNames(time.Now()))
}
