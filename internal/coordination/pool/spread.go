package pool

import (
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

const (
	// spreadInterval is the shortest time between two messages to a gateway that
	// only carry changed knowledge.
	spreadInterval = 200 * time.Millisecond
	// endedLimitRetention is how long the end of a limit is kept for gateways that
	// were out of touch.
	endedLimitRetention = time.Minute
)

// spread holds the rate limits and refused parts and requests that a scheduler
// knows, for the gateways that it serves: any of them may have to schedule next.
type spread struct {
	limits map[ident.UpstreamName]spreadLimit
	// records holds the changed records of refused parts and requests, each with its
	// version.
	records []spreadRecord
	// leaving holds the upstreams that have said that they leave, each with its version.
	leaving []spreadLeaving
	// cold holds the upstreams that are cold.
	cold map[ident.UpstreamName]spreadCold
	// version counts the changes; signaled is the version at the last signal to the
	// gateways.
	version, signaled uint64
	signaledAt        time.Time
}

type spreadLeaving struct {
	name    ident.UpstreamName
	version uint64
}

type spreadRecord struct {
	record  poison.Record
	version uint64
}

type spreadLimit struct {
	perSecond float64
	brittle   bool
	turnAway  float64
	at        time.Time
	version   uint64
}

// addLimit records a change and drops the ends of limits that are old.
func (s *spread) addLimit(c scheduler.RateLimitChange, now time.Time) {
	s.version++
	s.limits[c.Upstream] = spreadLimit{perSecond: c.PerSecond, brittle: c.Brittle, turnAway: c.TurnAway, at: now, version: s.version}
	for name, l := range s.limits {
		if l.perSecond == 0 && !l.brittle && now.Sub(l.at) > endedLimitRetention {
			delete(s.limits, name)
		}
	}
}

// addRecord keeps a changed record for the gateways.
func (s *spread) addRecord(record poison.Record) {
	s.version++
	s.records = slices.DeleteFunc(s.records, func(p spreadRecord) bool { return p.record.Kind == record.Kind && p.record.ID == record.ID })
	s.records = append(s.records, spreadRecord{record: record, version: s.version})
	if len(s.records) > 2*poison.MaxRecords {
		s.records = s.records[1:]
	}
}

// addLeaving keeps an upstream that leaves for the gateways.
func (s *spread) addLeaving(name ident.UpstreamName) {
	s.version++
	s.leaving = append(s.leaving, spreadLeaving{name: name, version: s.version})
	if len(s.leaving) > scheduler.MaxLeaving {
		s.leaving = s.leaving[1:]
	}
}

// leavingSince returns the upstreams that became known to leave after a version.
func (s *spread) leavingSince(version uint64) []ident.UpstreamName {
	if version == s.version {
		return nil
	}
	var names []ident.UpstreamName
	for _, l := range s.leaving {
		if l.version > version {
			names = append(names, l.name)
		}
	}
	return names
}

// recordsSince returns the records that changed after a version.
func (s *spread) recordsSince(version uint64) []poison.Record {
	if version == s.version {
		return nil
	}
	var changed []poison.Record
	for _, p := range s.records {
		if p.version > version {
			changed = append(changed, p.record)
		}
	}
	return changed
}

// limitsSince returns the limits that changed after a version.
func (s *spread) limitsSince(version uint64, now time.Time) []scheduler.RateLimitNotice {
	if version == s.version {
		return nil
	}
	var changed []scheduler.RateLimitNotice
	for name, l := range s.limits {
		if l.version > version {
			changed = append(changed, scheduler.RateLimitNotice{
				Upstream: name, PerSecond: l.perSecond, Brittle: l.brittle, TurnAway: l.turnAway, Age: now.Sub(l.at),
			})
		}
	}
	return changed
}

// due reports whether the gateways should be told of changes now.
func (s *spread) due(now time.Time) bool {
	if s.version == s.signaled || now.Sub(s.signaledAt) < spreadInterval {
		return false
	}
	s.signaled, s.signaledAt = s.version, now
	return true
}

// reply returns the pending decisions for a gateway and what it does not know yet.
func (m *Master) reply(s *session) Reply {
	now := time.Now()
	r := Reply{RateLimits: m.spread.limitsSince(s.known, now), Cold: m.spread.coldSince(s.known, now), Leaving: m.spread.leavingSince(s.known), Poison: m.spread.recordsSince(s.known)}
	s.known = m.spread.version
	r.Decisions = s.takeOutbox()
	r.Pauses, s.pauses = s.pauses, nil
	return r
}

// isEmpty reports whether the reply tells the gateway nothing.
func (r *Reply) isEmpty() bool {
	return len(r.Decisions)+len(r.RateLimits)+len(r.Leaving)+len(r.Cold)+len(r.Pauses)+len(r.Poison) == 0
}

// spreadChanges makes the gateways' polls return if there are changes for them. The
// caller holds the lock.
func (m *Master) spreadChanges() {
	if !m.spread.due(time.Now()) {
		return
	}
	for _, s := range m.sessions {
		s.wake()
	}
}

// learnLimits records limits that the scheduler knows from other gateways, and returns
// those that this gateway did not know.
func (c *Client) learnLimits(limits []scheduler.RateLimitNotice, now time.Time) (learned []scheduler.RateLimitNotice) {
	if len(limits) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range limits {
		known := c.notices[l.Upstream]
		at := now.Add(-l.Age)
		if !at.After(known.latest()) {
			continue
		}
		former := known
		known.perSecond, known.namedAt = l.PerSecond, at
		known.brittle, known.turnAway, known.brittleAt = l.Brittle, l.TurnAway, at
		if !known.sameAs(former) {
			learned = append(learned, l)
		}
		c.setNotices(l.Upstream, known)
	}
	return learned
}
