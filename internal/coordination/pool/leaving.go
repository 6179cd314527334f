package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// markLeaving keeps requests from an upstream that has said that it leaves. It reports
// whether that is new. The caller holds the lock.
func (c *Client) markLeaving(name ident.UpstreamName, now time.Time) bool {
	if c.isLeaving(name, now) {
		return false
	}
	if len(c.leaving) >= scheduler.MaxLeaving {
		maps.DeleteFunc(c.leaving, func(_ ident.UpstreamName, at time.Time) bool { return now.Sub(at) > scheduler.LeavingRetention })
	}
	if len(c.leaving) >= scheduler.MaxLeaving {
		return false
	}
	c.leaving[name] = now
	return true
}

// isLeaving reports whether an upstream has said that it leaves. The caller holds the
// lock.
func (c *Client) isLeaving(name ident.UpstreamName, now time.Time) bool {
	at, known := c.leaving[name]
	return known && now.Sub(at) <= scheduler.LeavingRetention
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

// leavingNames returns the upstreams that have said that they leave. The caller holds the
// lock.
func (c *Client) leavingNames(now time.Time) []ident.UpstreamName {
	names := slices.Collect(maps.Keys(c.leaving))
	return slices.DeleteFunc(names, func(name ident.UpstreamName) bool { return !c.isLeaving(name, now) })
}

// LeavingCount returns the number of upstreams that have said that they leave.
func (c *Client) LeavingCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.leavingNames(time.Now()))
}
