package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// endsBeforeCold is the number of requests in a row that an upstream took no connection
	// for or broke off before an answer, at which it is assumed to have ended.
	endsBeforeCold = 2
	// endedRetention is how long an upstream that is assumed to have ended counts as cold
	// without an answer.
	endedRetention = 30 * time.Second
	// coldRetention is how long the load of an upstream that is no longer cold may still
	// be returning: the bound on it has doubled often enough by then.
	coldRetention = 10 * time.Second
)

// ColdNotice says how much longer an upstream is cold, as a gateway knows it.
type ColdNotice struct {
	Upstream ident.UpstreamName
	For      time.Duration
}

// ColdChange reports that an upstream became cold, or is cold for longer.
type ColdChange struct {
	Upstream ident.UpstreamName
	For      time.Duration
	// PerSecond is the bound on its requests in that time.
	PerSecond float64
	// Reason says how the scheduler knows.
	Reason string
}

// String implements fmt.Stringer.
func (c ColdChange) String() string {
	return fmt.Sprintf("%s is cold for %d ms (%s), gets at most %g requests a second", c.Upstream, c.For.Milliseconds(), c.Reason, c.PerSecond)
}

// coldUpstream bounds the requests of an upstream that has just started. Upstreams that may
// be one process under several names share it.
//
// Invariant: until never moves back, so that no older notice ends a bound early.
type coldUpstream struct {
	until time.Duration
	// endedAt is when the upstream was assumed to have ended; it is cold from its next answer
	// on. 0 if it has answered since. Failures counts its failures in a row.
	endedAt  time.Duration
	failures int
	// bucket is the bound. After the cold time, its rate doubles at intervals.
	bucket *rateLimit
}

// isCold reports whether the upstream is in its cold time.
func (c *coldUpstream) isCold(now time.Duration) bool { return c.endedAt != 0 || now < c.until }

// isBounded reports whether the requests of an upstream are bounded, in its cold time and until
// its load has returned.
func (c *coldUpstream) isBounded(slots int, now time.Duration) bool {
	if c.until == 0 && c.endedAt == 0 {
		return false
	}
	c.updateBucket(now)
	return c.bucket.rate(now) < rampEndPerSlot*float64(slots) || c.isCold(now)
}

// updateBucket starts the return of the load at the end of the cold time.
func (c *coldUpstream) updateBucket(now time.Duration) {
	switch {
	case c.isCold(now):
		c.bucket.liftedAt = 0
	case c.bucket.liftedAt == 0:
		c.bucket.liftedAt = c.until
	}
}

// coldKey identifies an upstream among those that may be one process.
func coldKey(u *Upstream) string { return cmp.Or(u.Process, string(u.Name)) }

// coldLimit returns the bound of the pool's cold upstreams; nil if there is none.
func (p *Pool) coldLimit() *config.ColdLimit {
	if p.view.Shared == nil || p.view.Cold == nil || p.view.Cold.PerSecond <= 0 {
		return nil
	}
	return p.view.Cold
}

// markCold bounds an upstream's requests for a time from now, unless it is bounded for longer
// already.
func (p *Pool) markCold(g *engine, left time.Duration, reason string, now time.Duration) {
	limit := p.coldLimit()
	if limit == nil || left <= 0 {
		return
	}
	c := p.coldOf(g, now)
	if until := now + left; until > c.until {
		if until > c.until+coldReportStep {
			p.coldChanges = append(p.coldChanges, ColdChange{Upstream: g.upstream.Name, For: left, PerSecond: limit.PerSecond, Reason: reason})
		}
		c.until = until
	}
	c.bucket.perSecond = limit.PerSecond
	p.refreshCold(g, now)
}

// coldReportStep is the smallest change of the end of a cold time that is reported.
const coldReportStep = 250 * time.Millisecond

// coldOf returns the bound of an upstream and creates it if there is none.
func (p *Pool) coldOf(g *engine, now time.Duration) *coldUpstream {
	if g.cold != nil {
		return g.cold
	}
	key := coldKey(&g.upstream)
	c := p.cold[key]
	if c == nil {
		c = &coldUpstream{bucket: p.newRateLimit(g, now)}
		c.bucket.perSecond = p.coldLimit().PerSecond
		p.cold[key] = c
	}
	g.cold = c
	p.coldEngines = append(p.coldEngines, g)
	return c
}

// refreshCold updates all upstreams that share a bound.
func (p *Pool) refreshCold(g *engine, now time.Duration) {
	for _, other := range p.coldEngines {
		if other.cold == g.cold {
			p.refresh(other, now)
		}
	}
}

// learnColdFromView marks the upstreams as cold that the view tells of: by what is left of
// their cold time, by a name that a complete list did not have before, and by the end of an
// evacuation.
func (p *Pool) learnColdFromView(g *engine, u Upstream, isNew bool, now time.Duration) {
	limit := p.coldLimit()
	if limit == nil {
		return
	}
	former := g.upstream
	if isNew {
		if c := p.cold[coldKey(&u)]; c != nil && g.cold == nil {
			g.cold = c
			p.coldEngines = append(p.coldEngines, g)
		}
	}
	switch {
	case u.ColdFor > 0 && (isNew || u.ColdNumber != former.ColdNumber):
		p.markCold(g, u.ColdFor, "by the list", now)
	case isNew && p.viewWasComplete:
		p.markCold(g, limit.Duration, "new in the list", now)
	}
	if former.Evacuated && !u.Evacuated {
		p.markCold(g, limit.Duration, "its data centre was evacuated", now)
	}
}

// observeColdEnd counts a request that an upstream took no connection for, or broke off before
// it answered.
func (p *Pool) observeColdEnd(g *engine, r Report, now time.Duration) {
	limit := p.coldLimit()
	if limit == nil || r.PathSuspect {
		return
	}
	c := p.coldOf(g, now)
	c.failures++
	if c.failures < endsBeforeCold || c.endedAt != 0 {
		return
	}
	c.endedAt = now
	p.coldChanges = append(p.coldChanges, ColdChange{Upstream: g.upstream.Name, PerSecond: limit.PerSecond, Reason: fmt.Sprintf("%d requests in a row without an answer", c.failures)})
	p.refreshCold(g, now)
}

// observeColdAnswer records an answer of an upstream. One that is assumed to have ended has
// started again before it.
func (p *Pool) observeColdAnswer(g *engine, now time.Duration) {
	c := g.cold
	if c == nil {
		return
	}
	c.failures = 0
	if c.endedAt == 0 {
		return
	}
	c.endedAt = 0
	if limit := p.coldLimit(); limit != nil {
		p.markCold(g, limit.Duration, "answers again", now)
	}
}

// isCold reports whether the upstream is in its cold time.
func (g *engine) isCold(now time.Duration) bool { return g.cold != nil && g.cold.isCold(now) }

// refreshColdBucket fills the bucket of a cold upstream and reports whether it may get a
// request.
func (p *Pool) refreshColdBucket(g *engine, now time.Duration) bool {
	c := g.cold
	if c == nil || !c.isBounded(g.upstream.MaxConcurrent, now) {
		return true
	}
	c.bucket.fill(p.quotaFraction(now), p.waiting > 0 || now-p.lastWaiting < demandRetention, now)
	return c.bucket.tokens >= 1
}

// unusableColdSlots returns how many slots stay free because upstreams are cold.
func (p *Pool) unusableColdSlots(now time.Duration) float64 {
	slots := 0.0
	for _, g := range p.coldEngines {
		if g.acceptsWork() && g.cold.isBounded(g.upstream.MaxConcurrent, now) {
			slots += max(0, float64(g.slots)-g.cold.bucket.rate(now)*p.quotaFraction(now)*p.meanService.Seconds())
		}
	}
	return slots
}

// dropCold forgets the bounds that no longer hold.
func (p *Pool) dropCold(now time.Duration) {
	for key, c := range p.cold {
		if now < c.until+coldRetention || c.endedAt != 0 && now < c.endedAt+endedRetention {
			continue
		}
		delete(p.cold, key)
		p.coldEngines = slices.DeleteFunc(p.coldEngines, func(g *engine) bool {
			gone := g.cold == c
			if gone {
				g.cold = nil
			}
			return gone
		})
	}
}

// ColdChanges implements Scheduler.
func (p *Pool) ColdChanges() []ColdChange {
	out := p.coldChanges
	p.coldChanges = nil
	return out
}

// refundColdToken gives back the token of a request that the upstream has not got, or that
// another one at its address has answered.
func (g *engine) refundColdToken() {
	if g.cold != nil {
		g.cold.bucket.tokens = min(rateBurst, g.cold.bucket.tokens+1)
	}
}
