package pool

import (
	"maps"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// endedRetention is how long a gateway keeps that an upstream has ended, unless it learns that
// the upstream has answered since.
const endedRetention = time.Minute

// coldUpstreams holds which upstreams are cold: those that have said so in answers to this
// gateway, and those that its scheduler has told of. Any gateway may have to schedule next.
type coldUpstreams map[ident.UpstreamName]coldTime

// coldTime is until when an upstream is cold, and until when it counts as ended without an
// answer since.
type coldTime struct{ until, endedUntil time.Time }

// add records what an upstream or a scheduler says. The latest end holds. It reports whether
// that changes something.
func (u coldUpstreams) add(n scheduler.ColdNotice, now time.Time) (changed bool) {
	maps.DeleteFunc(u, func(_ ident.UpstreamName, t coldTime) bool { return !now.Before(t.until) && !now.Before(t.endedUntil) })
	former := u[n.Upstream]
	t := former
	if until := now.Add(n.For); n.For > 0 && until.After(t.until) {
		t.until = until
	}
	t.endedUntil = time.Time{}
	if n.Ended {
		t.endedUntil = now.Add(endedRetention)
	}
	if t != (coldTime{}) {
		u[n.Upstream] = t
	}
	return t.until != former.until || t.endedUntil.IsZero() != former.endedUntil.IsZero()
}

// answered records an answer of an upstream, which has not ended then.
func (u coldUpstreams) answered(name ident.UpstreamName) {
	if t, known := u[name]; known {
		t.endedUntil = time.Time{}
		u[name] = t
	}
}

// notices returns the upstreams that are still cold or have ended.
func (u coldUpstreams) notices(now time.Time) []scheduler.ColdNotice {
	var cold []scheduler.ColdNotice
	for name, t := range u {
		n := scheduler.ColdNotice{Upstream: name, For: max(0, t.until.Sub(now)), Ended: now.Before(t.endedUntil)}
		if n.For > 0 || n.Ended {
			cold = append(cold, n)
		}
	}
	return cold
}

// LimitCold states whether the pool's configuration limits cold upstreams. Otherwise what they
// say about it is ignored.
func (c *Client) LimitCold(limited bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coldLimited = limited
}

// learnCold records what a scheduler knows of cold upstreams, and returns what is new here.
func (c *Client) learnCold(notices []scheduler.ColdNotice, now time.Time) (learned []scheduler.ColdNotice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range notices {
		if c.cold.add(n, now) {
			learned = append(learned, n)
		}
	}
	return learned
}

// spreadCold is a cold time that a scheduler knows, with the version of its latest change.
type spreadCold struct {
	coldTime
	version uint64
}

// addCold keeps the change of a cold time for the gateways, and drops those that are over.
func (s *spread) addCold(c scheduler.ColdChange, now time.Time) {
	maps.DeleteFunc(s.cold, func(_ ident.UpstreamName, t spreadCold) bool {
		return !now.Before(t.until) && !now.Before(t.endedUntil)
	})
	s.version++
	known := coldUpstreams{c.Upstream: s.cold[c.Upstream].coldTime}
	known.add(scheduler.ColdNotice{Upstream: c.Upstream, For: c.For, Ended: c.Ended}, now)
	if s.cold == nil {
		s.cold = make(map[ident.UpstreamName]spreadCold)
	}
	s.cold[c.Upstream] = spreadCold{coldTime: known[c.Upstream], version: s.version}
}

// coldSince returns the cold times that changed after a version.
func (s *spread) coldSince(version uint64, now time.Time) []scheduler.ColdNotice {
	if version == s.version {
		return nil
	}
	changed := make(coldUpstreams)
	for name, t := range s.cold {
		if t.version > version {
			changed[name] = t.coldTime
		}
	}
	return changed.notices(now)
}
