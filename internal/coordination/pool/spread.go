package pool

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// spreadInterval is the shortest time between two messages to a gateway that
	// only carry changed rate limits.
	spreadInterval = 200 * time.Millisecond
	// endedLimitRetention is how long the end of a limit is kept for gateways that
	// were out of touch.
	endedLimitRetention = time.Minute
)

// limitSpread holds the rate limits that a scheduler applies, for the gateways that
// it serves: any of them may have to schedule next.
type limitSpread struct {
	limits map[ident.UpstreamName]spreadLimit
	// version counts the changes; signaled is the version at the last signal to the
	// gateways.
	version, signaled uint64
	signaledAt        time.Time
}

type spreadLimit struct {
	perSecond float64
	at        time.Time
	version   uint64
}

// add records a change and drops the ends of limits that are old.
func (s *limitSpread) add(c scheduler.RateLimitChange, now time.Time) {
	s.version++
	s.limits[c.Upstream] = spreadLimit{perSecond: c.PerSecond, at: now, version: s.version}
	for name, l := range s.limits {
		if l.perSecond == 0 && now.Sub(l.at) > endedLimitRetention {
			delete(s.limits, name)
		}
	}
}

// since returns the limits that changed after a version.
func (s *limitSpread) since(version uint64, now time.Time) []scheduler.RateLimitNotice {
	if version == s.version {
		return nil
	}
	var changed []scheduler.RateLimitNotice
	for name, l := range s.limits {
		if l.version > version {
			changed = append(changed, scheduler.RateLimitNotice{Upstream: name, PerSecond: l.perSecond, Age: now.Sub(l.at)})
		}
	}
	return changed
}

// due reports whether the gateways should get changed limits now.
func (s *limitSpread) due(now time.Time) bool {
	if s.version == s.signaled || now.Sub(s.signaledAt) < spreadInterval {
		return false
	}
	s.signaled, s.signaledAt = s.version, now
	return true
}

// reply returns the pending decisions and changed limits for a gateway.
func (m *Master) reply(s *session) Reply {
	now := time.Now()
	changed := m.spread.since(s.spread, now)
	s.spread = m.spread.version
	return Reply{Decisions: s.takeOutbox(), RateLimits: changed}
}

// spreadLimits makes the gateways' polls return if limits have changed. The caller
// holds the lock.
func (m *Master) spreadLimits() {
	if !m.spread.due(time.Now()) {
		return
	}
	for _, s := range m.sessions {
		s.wake()
	}
}

// learnLimits records limits that the scheduler knows from other gateways.
func (c *Client) learnLimits(limits []scheduler.RateLimitNotice, now time.Time) {
	if len(limits) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range limits {
		known := c.notices[l.Upstream]
		if at := now.Add(-l.Age); at.After(known.namedAt) {
			known.perSecond, known.namedAt = l.PerSecond, at
			c.setNotices(l.Upstream, known)
		}
	}
}
