package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// brittleShare is the share of the requests that a brittle upstream may turn away
	// which schedulers cause. minTurnAway is the number a second that is assumed for an
	// upstream that may turn away none.
	brittleShare = 0.4
	minTurnAway  = 0.25
	// fragileTurnAway is the number below which a scheduler, for its part of what an
	// upstream may turn away, begins with half of what the list says, never tries more
	// than is known to be taken, and takes what one upstream turns away for the room of
	// all others of its version.
	fragileTurnAway = 1.0
	// spacedTurnAway is the number up to which requests to an upstream are spaced out: the
	// next one must not come before it is known that one was turned away.
	spacedTurnAway = 3.0
	spacing        = 15 * time.Millisecond
	// maxBrittlePause bounds the time without new requests after one was turned away, at
	// a scheduler that serves all gateways.
	maxBrittlePause = 4 * time.Second
	// brittleRaiseInterval is the time after which an upstream that is full is tried with
	// one request more, and brittleReturnInterval that after it is no longer brittle.
	brittleRaiseInterval  = 5 * time.Second
	brittleReturnInterval = 500 * time.Millisecond
	// brittleOrphanTime is the minimum time for which a request that was given up counts
	// as running at a brittle upstream.
	brittleOrphanTime = 500 * time.Millisecond
)

// brittleRoom bounds the requests in flight at an upstream that falls when it has to turn
// too many away. The bound starts at what the list of upstreams says and follows what the
// upstream turns away.
//
// Invariant: after a request was turned away there is a pause, so that all schedulers
// together cause less than turnAway in a second.
type brittleRoom struct {
	// turnAway is the number of requests that the upstream may turn away in a second.
	turnAway float64
	// namedAt is when the upstream last said that it is brittle, and liftedAt when an
	// answer showed that it no longer is; 0 while it is.
	namedAt, liftedAt time.Duration
	// limit bounds the requests in flight. raisedAt is when it last changed.
	limit    int
	raisedAt time.Duration
	// pausedUntil is when the upstream may get a request again.
	pausedUntil time.Duration
}

// nameBrittle applies that an upstream said at the given time that it may turn away so
// many requests in a second. An older notice than the latest one changes nothing.
func (p *Pool) nameBrittle(name ident.UpstreamName, turnAway float64, at, now time.Duration) {
	g, known := p.engines[name]
	if !known {
		return
	}
	b := g.brittle
	if b != nil && (at < b.namedAt || b.liftedAt != 0 && at < b.liftedAt) {
		return
	}
	if b == nil {
		b = &brittleRoom{turnAway: turnAway, limit: max(1, g.upstream.MaxConcurrent), raisedAt: now}
		if p.isFragile(b, now) {
			b.limit = max(1, b.limit/2)
		}
		g.brittle = b
		p.brittle++
		b.turnAway = -1
	}
	p.evidence.markBrittle(name, now)
	changed := b.turnAway != turnAway || b.liftedAt != 0
	b.turnAway, b.namedAt, b.liftedAt = turnAway, at, 0
	if changed {
		p.rateChanges = append(p.rateChanges, p.limitChange(g))
	}
	p.refresh(g, now)
}

// isBrittle reports whether an upstream, or another one of its version, is known to be
// brittle.
func (p *Pool) isBrittle(name ident.UpstreamName) bool {
	g, known := p.engines[name]
	if p.brittle == 0 || !known {
		return false
	}
	return slices.ContainsFunc(p.orderedEngines, func(other *engine) bool {
		return other.brittle != nil && other.upstream.Version == g.upstream.Version
	})
}

// markBrittle records that an upstream which ended lately is brittle: the notice and the
// broken connections may come in either order.
func (v *evidence) markBrittle(name ident.UpstreamName, now time.Duration) {
	for _, e := range v.ends {
		if e.upstream == name && now-e.at <= requestSettle {
			e.brittle = true
		}
	}
}

// liftBrittle ends the bound on an upstream whose answer does not say that it is brittle,
// if the request was sent after it last did. The room returns gradually.
func (p *Pool) liftBrittle(name ident.UpstreamName, sentAt, now time.Duration) {
	g, known := p.engines[name]
	if !known || g.brittle == nil || g.brittle.liftedAt != 0 || sentAt <= g.brittle.namedAt {
		return
	}
	g.brittle.liftedAt, g.brittle.raisedAt = now, now
	p.rateChanges = append(p.rateChanges, p.limitChange(g))
}

// limitChange returns the current rate limit and brittleness of an upstream as a change.
func (p *Pool) limitChange(g *engine) RateLimitChange {
	c := RateLimitChange{Upstream: g.upstream.Name, Share: p.quotaFraction(p.now)}
	if g.rate != nil && g.rate.liftedAt == 0 {
		c.PerSecond = g.rate.perSecond
	}
	if g.brittle != nil && g.brittle.liftedAt == 0 {
		c.Brittle, c.TurnAway, c.Room = true, g.brittle.turnAway, g.brittle.limit
	}
	return c
}

// turnedAway lowers the bound on a brittle upstream that turned a request away, and keeps
// new ones from it for a while. inFlight counts the others that it has.
func (p *Pool) turnedAway(g *engine, inFlight int, now time.Duration) {
	b := g.brittle
	if b == nil {
		return
	}
	fraction := p.quotaFraction(now)
	b.limit = max(1, min(b.limit, int(float64(inFlight)/fraction)))
	b.raisedAt = now
	pause := min(maxBrittlePause, seconds(1/(max(minTurnAway, b.turnAway)*brittleShare)))
	b.pausedUntil = now + scaleBy(pause, 1/fraction)
	p.rateChanges = append(p.rateChanges, p.limitChange(g))
	p.refresh(g, now)
	if !p.isFragile(b, now) {
		return
	}
	for _, other := range p.orderedEngines {
		if o := other.brittle; o != nil && o.limit > b.limit && other.upstream.Version == g.upstream.Version {
			o.limit, o.raisedAt = b.limit, now
			p.refresh(other, now)
		}
	}
}

// isFragile reports whether this scheduler's part of what an upstream may turn away is
// below fragileTurnAway.
func (p *Pool) isFragile(b *brittleRoom, now time.Duration) bool {
	return b.turnAway*p.quotaFraction(now) < fragileTurnAway
}

// spaceOut keeps the next request from an upstream that may turn away few, after a grant.
func (p *Pool) spaceOut(g *engine, now time.Duration) {
	if b := g.brittle; b != nil && b.liftedAt == 0 && b.turnAway <= spacedTurnAway {
		b.pausedUntil = max(b.pausedUntil, now+scaleBy(spacing, 1/p.quotaFraction(now)))
	}
}

// takeTurn keeps new requests from an upstream after one has ended, if this scheduler may
// use less than one of its places: it then uses one for a part of the time.
func (p *Pool) takeTurn(g *engine, elapsed, now time.Duration) {
	b := g.brittle
	if b == nil || b.liftedAt != 0 {
		return
	}
	if places := float64(b.limit) * p.quotaFraction(now); places < 1 {
		pause := min(scaleBy(maxBrittlePause, 1/p.quotaFraction(now)), scaleBy(elapsed, 1/places-1))
		b.pausedUntil = max(b.pausedUntil, now+pause)
	}
}

// raiseBrittle raises the bound on an upstream that was full for a while without turning
// a request away, and ends it once it has returned after the upstream was brittle.
func (p *Pool) raiseBrittle(g *engine, now time.Duration) {
	b := g.brittle
	interval := brittleRaiseInterval
	if b.liftedAt != 0 {
		interval = brittleReturnInterval
	}
	if b.liftedAt == 0 && (p.isFragile(b, now) || g.used() < g.limit()) || now-b.raisedAt < interval {
		return
	}
	b.raisedAt = now
	if b.limit < g.upstream.MaxConcurrent {
		b.limit++
	} else if b.liftedAt != 0 {
		g.brittle = nil
		p.brittle--
	}
	p.refresh(g, now)
}

// checkBrittle runs raiseBrittle for all brittle upstreams.
func (p *Pool) checkBrittle(now time.Duration) {
	if p.brittle == 0 {
		return
	}
	for _, g := range p.orderedEngines {
		if g.brittle != nil {
			p.raiseBrittle(g, now)
		}
	}
}

// adoptBrittle gives a new upstream the bound of those of its version that are brittle: an
// upstream that has fallen is back under another name.
func (p *Pool) adoptBrittle(g *engine, now time.Duration) {
	if p.brittle == 0 {
		return
	}
	for _, other := range p.orderedEngines {
		b := other.brittle
		if b == nil || b.liftedAt != 0 || other.upstream.Version != g.upstream.Version {
			continue
		}
		if g.brittle == nil {
			g.brittle = &brittleRoom{turnAway: b.turnAway, namedAt: b.namedAt, limit: b.limit, raisedAt: now}
			p.brittle++
		}
		g.brittle.limit = min(g.brittle.limit, b.limit)
	}
}

// brittleOrphanTimeout returns how long a request that was given up counts as running at a
// brittle upstream.
func brittleOrphanTimeout(e *entry) time.Duration {
	return max(brittleOrphanTime, scaleBy(e.expectedFirstToken, orphanTimeoutFactor))
}

// brittleText describes the brittleness in a change.
func (c RateLimitChange) brittleText() string {
	if !c.Brittle {
		return ""
	}
	return fmt.Sprintf("; it falls if it turns away more than %g requests a second and gets at most %d at once", c.TurnAway, c.Room)
}
