package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// endsBeforeCold is the number of requests in a row that an upstream took no connection for or
// broke off before an answer, at which it is assumed to have ended. A single one may be due to
// a connection that was closed while idle.
const endsBeforeCold = 2

// ColdNotice says how much longer an upstream is cold, as a gateway or a scheduler knows it.
type ColdNotice struct {
	Upstream ident.UpstreamName
	For      time.Duration
	// Ended is true for an upstream that has ended and not answered since. It is cold from
	// its next answer on.
	Ended bool
}

// ColdChange reports that an upstream became cold, or is cold for longer.
type ColdChange struct {
	Upstream ident.UpstreamName
	For      time.Duration
	// Ended is as in ColdNotice.
	Ended bool
	// PerSecond is the bound on its requests in that time.
	PerSecond float64
	// Reason says how the scheduler knows.
	Reason string
}

// String implements fmt.Stringer.
func (c ColdChange) String() string {
	if c.Ended {
		return fmt.Sprintf("%s has ended (%s), gets at most %g requests a second until it has answered and is no longer cold", c.Upstream, c.Reason, c.PerSecond)
	}
	return fmt.Sprintf("%s is cold for %d ms (%s), gets at most %g requests a second", c.Upstream, c.For.Milliseconds(), c.Reason, c.PerSecond)
}

// coldUpstream bounds the requests of an upstream that has just started. Upstreams that may
// be one process under several names share it.
//
// Invariant: until never moves back, so that no older notice ends a bound early.
type coldUpstream struct {
	until time.Duration
	// reported is the end that was reported last.
	reported time.Duration
	// ended is true for an upstream that was assumed at endedAt to have ended; it is cold
	// from its next answer on.
	ended   bool
	endedAt time.Duration
	// engines are the upstreams that share the bound.
	engines []*engine
	// bucket is the bound. After the cold time, its rate doubles at intervals.
	bucket *rateLimit
}

// isCold reports whether the upstream is in its cold time.
func (c *coldUpstream) isCold(now time.Duration) bool { return c.ended || now < c.until }

// isBounded reports whether the requests of an upstream are bounded, in its cold time and until
// its load has returned.
func (c *coldUpstream) isBounded(slots int, now time.Duration) bool {
	c.updateBucket(now)
	return c.isCold(now) || c.bucket.rate(now) < rampEndPerSlot*float64(slots)
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
	c.until = max(c.until, now+left)
	if c.until > c.reported+coldReportStep {
		c.reported = c.until
		p.coldChanges = append(p.coldChanges, ColdChange{Upstream: g.upstream.Name, For: left, PerSecond: limit.PerSecond, Reason: reason})
	}
	c.bucket.perSecond = limit.PerSecond
	p.refreshCold(g, now)
}

// coldOf returns the bound of an upstream and creates it if there is none. All upstreams that
// may be the same process get it, since any of their names may reach the new process.
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
	if g.upstream.Process == "" {
		p.joinCold(g, c)
		return c
	}
	for _, other := range p.orderedEngines {
		if coldKey(&other.upstream) == key {
			p.joinCold(other, c)
		}
	}
	return c
}

// refreshCold updates all upstreams that share a bound with the given one.
func (p *Pool) refreshCold(g *engine, now time.Duration) {
	if g.cold == nil {
		return
	}
	for _, other := range g.cold.engines {
		p.refresh(other, now)
	}
}

// learnColdFromView marks an upstream as cold that the view tells of: by what is left of its
// cold time, by a name that a complete list did not have before, and by the end of an
// evacuation. former is what the view said of it before; isNew is true if it didn't list it.
func (p *Pool) learnColdFromView(g *engine, former Upstream, isNew bool, now time.Duration) {
	limit := p.coldLimit()
	if limit == nil {
		return
	}
	if c := p.cold[coldKey(&g.upstream)]; c != nil {
		p.joinCold(g, c)
	}
	if isNew {
		known := p.unlistedCold[g.upstream.Name]
		delete(p.unlistedCold, g.upstream.Name)
		p.markCold(g, known.until-now, "reported by a gateway", now)
		if known.ended {
			p.markEnded(g, "reported by a gateway", now)
		}
		former.ColdNumber = known.number
		isNew = !known.listed
	}
	switch {
	case g.upstream.ColdFor > 0 && (isNew || g.upstream.ColdNumber != former.ColdNumber):
		p.markCold(g, g.upstream.ColdFor, "by the list", now)
	case isNew && p.viewWasComplete:
		p.markCold(g, limit.Duration, "new in the list", now)
	}
	if former.Evacuated && !g.upstream.Evacuated {
		p.markCold(g, limit.Duration, "its data centre was evacuated", now)
	}
}

// observeColdEnd counts a request that an upstream took no connection for, or broke off before
// it answered.
func (p *Pool) observeColdEnd(g *engine, r Report, now time.Duration) {
	if p.coldLimit() == nil || r.PathSuspect {
		return
	}
	g.unanswered++
	if g.unanswered >= endsBeforeCold {
		p.markEnded(g, fmt.Sprintf("%d requests in a row without an answer", g.unanswered), now)
	}
}

// observeColdAnswer records an answer that came at the given time. An upstream that is assumed
// to have ended before has started again.
func (p *Pool) observeColdAnswer(g *engine, at, now time.Duration) {
	g.unanswered = 0
	c := g.cold
	if c == nil || !c.ended || at < c.endedAt {
		return
	}
	c.ended = false
	limit := p.coldLimit()
	if limit == nil {
		return
	}
	p.markCold(g, limit.Duration, "answers again", now)
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
	c.bucket.fill(p.quotaFraction(now), p.wantsColdToken(c, now), now)
	return c.bucket.tokens >= 1
}

// unusableColdSlots returns how many slots stay free because upstreams are cold. It includes
// those that also name a limit.
func (p *Pool) unusableColdSlots(now time.Duration) float64 {
	slots, fraction := 0.0, p.quotaFraction(now)
	for _, g := range p.coldEngines {
		if !g.cold.isBounded(g.upstream.MaxConcurrent, now) {
			continue
		}
		rate := g.cold.bucket.rate(now) / float64(len(g.cold.engines))
		if g.rate != nil {
			rate = min(rate, g.rate.rate(now))
		}
		slots += max(0, float64(g.slots)-rate*fraction*p.meanService.Seconds())
	}
	return slots
}

// dropCold forgets the bounds that no longer hold.
func (p *Pool) dropCold(now time.Duration) {
	for key, c := range p.cold {
		if !c.isExpired(now) {
			continue
		}
		delete(p.cold, key)
		for _, g := range slices.Clone(c.engines) {
			p.leaveCold(g)
			p.refresh(g, now)
		}
	}
	p.dropUnlistedCold(now)
}

// ColdChanges implements Scheduler.
func (p *Pool) ColdChanges() []ColdChange {
	out := p.coldChanges
	p.coldChanges = nil
	return out
}

const (
	// endedRetention is how long an upstream that has ended is kept after the view stopped
	// listing it.
	endedRetention = time.Minute
	// coldRetention is how long the load of an upstream that is no longer cold may still
	// be returning: the bound on it has doubled often enough by then.
	coldRetention = 10 * time.Second
	// coldReportStep is the smallest change of the end of a cold time that is reported.
	coldReportStep = 250 * time.Millisecond
)

// String implements fmt.Stringer.
func (n ColdNotice) String() string {
	if n.Ended {
		return fmt.Sprintf("%s has ended", n.Upstream)
	}
	return fmt.Sprintf("%s for %s", n.Upstream, n.For)
}

// isExpired reports whether the bound no longer holds.
func (c *coldUpstream) isExpired(now time.Duration) bool {
	if c.ended {
		return len(c.engines) == 0 && now >= c.endedAt+endedRetention
	}
	return now >= c.until+coldRetention
}

// applyColdLimit applies a changed limit to the upstreams that are cold.
func (p *Pool) applyColdLimit(now time.Duration) {
	if len(p.coldEngines) == 0 {
		return
	}
	if limit := p.coldLimit(); limit != nil {
		for _, c := range p.cold {
			c.bucket.perSecond = limit.PerSecond
		}
	}
	p.updateUnusableSlots(now)
}

func (p *Pool) joinCold(g *engine, c *coldUpstream) {
	if g.cold != nil {
		return
	}
	g.cold = c
	c.engines = append(c.engines, g)
	p.coldEngines = append(p.coldEngines, g)
}

// leaveCold removes an upstream from its bound, which stays for others and for its return.
func (p *Pool) leaveCold(g *engine) {
	if g.cold == nil {
		return
	}
	is := func(other *engine) bool { return other == g }
	g.cold.engines = slices.DeleteFunc(g.cold.engines, is)
	p.coldEngines = slices.DeleteFunc(p.coldEngines, is)
	g.cold = nil
	p.setHeldByCold(g, false)
}

// untilColdToken returns the time until the bound on a cold upstream permits a request.
func (p *Pool) untilColdToken(g *engine, now time.Duration) time.Duration {
	if g.cold == nil || !g.cold.isBounded(g.upstream.MaxConcurrent, now) {
		return 0
	}
	return g.cold.bucket.untilToken(p.quotaFraction(now), now)
}

// wantsColdToken reports whether a whole token is to be saved up: tickets wait, and one of the
// upstreams could take one. While none can, many schedulers would each save a token, and use
// all of them at once when the upstream is back.
func (p *Pool) wantsColdToken(c *coldUpstream, now time.Duration) bool {
	if p.waiting == 0 && now-p.lastWaiting >= demandRetention {
		return false
	}
	for _, g := range c.engines {
		h := &g.health
		if h.ejected && h.probe == nil && now >= h.nextProbe(p.noneInRotation()) && g.acceptsWork() || g.free() > 0 {
			return true
		}
	}
	return false
}

// setHeldByCold records whether only its bound keeps an upstream from taking a ticket.
func (p *Pool) setHeldByCold(g *engine, held bool) {
	if g.heldByCold == held {
		return
	}
	g.heldByCold = held
	if held {
		p.heldByCold++
	} else {
		p.heldByCold--
	}
}

// countColdHold counts a ticket that waited while a cold upstream with free slots had no token.
func (p *Pool) countColdHold(e *entry, now time.Duration) {
	if p.heldByCold > 0 && now > e.submittedAt {
		p.coldHolds++
	}
}

// spendColdToken counts a request that a cold upstream gets.
func (g *engine) spendColdToken(e *entry) {
	e.coldToken, e.cold = nil, g.cold != nil
	if g.cold != nil {
		g.cold.bucket.tokens--
		e.coldToken = g.cold.bucket
	}
}

// refundColdToken gives back the token of a request that was not sent, or that another
// upstream at the address has answered. A request for which no connection could be made gets
// none back, since the upstream may be back at any moment: its probes are bounded as well.
func refundColdToken(e *entry) {
	if e.coldToken != nil {
		e.coldToken.tokens = min(rateBurst, e.coldToken.tokens+1)
		e.coldToken = nil
	}
}
