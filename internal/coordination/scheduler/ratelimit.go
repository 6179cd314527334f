package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// rateBurst is the number of requests that an upstream under a limit may get at
	// once after a pause.
	rateBurst = 2.0
	// rampMinStart is the lowest rate, in requests a second, from which the load
	// returns after a limit has ended. It doubles every rampDoubling until it
	// exceeds rampEndPerSlot for each of the upstream's slots.
	rampMinStart   = 0.5
	rampDoubling   = time.Second
	rampEndPerSlot = 4.0
	// minRateCapacity is the lowest capacity, in slots, that is assumed for a pool
	// whose upstreams name limits.
	minRateCapacity = 0.05
	// minTokenWait is the shortest time between two checks for a token.
	minTokenWait = 10 * time.Millisecond
	// demandRetention is how long a pool counts as having waiting tickets after the
	// last one left the queue.
	demandRetention = 250 * time.Millisecond
	// serviceWeight is the weight of the latest ticket in the average service time.
	serviceWeight = 0.05
	// maxUnlistedLimits bounds the limits that are kept for upstreams that the view
	// does not list.
	maxUnlistedLimits = 4096
	// unlistedRetention is how long they are kept: a list may leave out an upstream
	// for some moments.
	unlistedRetention = time.Minute
)

// RateLimitNotice is a limit that an upstream has named to a gateway.
type RateLimitNotice struct {
	Upstream ident.UpstreamName
	// PerSecond is the limit in requests a second, over all gateways; 0 if it names
	// none.
	PerSecond float64
	// Brittle is true for an upstream that falls if it turns away more than TurnAway
	// requests a second.
	Brittle  bool
	TurnAway float64
	// Age is the time since the upstream last said so.
	Age time.Duration
}

// String implements fmt.Stringer.
func (n RateLimitNotice) String() string {
	text := fmt.Sprintf("%s none", n.Upstream)
	if n.PerSecond != 0 {
		text = fmt.Sprintf("%s %g/s", n.Upstream, n.PerSecond)
	}
	if n.Brittle {
		text += fmt.Sprintf(" turns away %g/s", n.TurnAway)
	}
	return text
}

// RateLimitChange reports that a scheduler began or stopped to apply a limit that
// an upstream names, or that its room changed where it is brittle.
type RateLimitChange struct {
	Upstream ident.UpstreamName
	// PerSecond is the new limit; 0 if the upstream no longer names one.
	PerSecond float64
	// Share is the fraction of the limit that this scheduler may use.
	Share float64
	// Brittle is true for a brittle upstream, TurnAway as in RateLimitNotice, and Room
	// the number of requests that it gets at once from all schedulers.
	Brittle  bool
	TurnAway float64
	Room     int
	// Gone is true if the limit is forgotten because the upstream is gone.
	Gone bool
}

// String implements fmt.Stringer.
func (c RateLimitChange) String() string {
	if c.Gone {
		return fmt.Sprintf("%s is gone, its limit is forgotten", c.Upstream)
	}
	if c.PerSecond == 0 && c.Brittle {
		return fmt.Sprintf("%s is brittle%s", c.Upstream, c.brittleText())
	}
	if c.PerSecond == 0 {
		return fmt.Sprintf("%s names no limit any more, its load returns gradually", c.Upstream)
	}
	return fmt.Sprintf("%s is limited to %g requests a second, of which this scheduler uses %.0f%%%s", c.Upstream, c.PerSecond, 100*c.Share, c.brittleText())
}

// rateLimit is a token bucket that bounds the requests that an upstream gets to the
// limit that it names.
//
// Invariant: the buckets of all schedulers of a pool fill at most at the named rate
// together, since each uses the fraction of it that its gateways make up. A bucket
// starts empty, so that a change of schedulers adds no burst.
type rateLimit struct {
	// perSecond is the limit named last; 0 if there is none.
	perSecond float64
	// namedAt is when the upstream last named the limit, and liftedAt when an answer
	// showed that it no longer does; 0 while it does.
	namedAt, liftedAt time.Duration
	// tokens is the number of requests that may be granted now, as of filledAt.
	tokens   float64
	filledAt time.Duration
	// phase is a fixed number from 0 to 1. Buckets with a small fraction of a limit
	// are out of phase, so that they are not all full at once.
	phase float64
}

// rate returns the requests a second that the upstream may get from all schedulers.
// After the end of a limit it doubles at fixed intervals.
func (l *rateLimit) rate(now time.Duration) float64 {
	if l.liftedAt == 0 {
		return l.perSecond
	}
	return max(l.perSecond, rampMinStart) * math.Exp2(float64(now-l.liftedAt)/float64(rampDoubling))
}

// fill adds the tokens due since the last call. With a small fraction of the limit,
// a whole token is saved up only while tickets wait: if many schedulers had one
// each, the upstream could get as many requests at once.
func (l *rateLimit) fill(fraction float64, ticketsWait bool, now time.Duration) {
	limit := fraction*rateBurst + (1-fraction)*l.phase
	if ticketsWait {
		limit = max(1, limit)
	}
	l.tokens = min(limit, l.tokens+l.rate(now)*fraction*(now-l.filledAt).Seconds())
	l.filledAt = now
}

// untilToken returns the time until the bucket holds a whole token.
func (l *rateLimit) untilToken(fraction float64, now time.Duration) time.Duration {
	if l.tokens >= 1 {
		return 0
	}
	return max(minTokenWait, seconds((1-l.tokens)/(l.rate(now)*fraction)))
}

// refreshRate fills the upstream's buckets and reports whether it may get a request.
func (p *Pool) refreshRate(g *engine, now time.Duration) bool {
	return p.refreshLimit(g, now) && p.refreshColdBucket(g, now)
}

// refreshLimit fills the bucket of the limit that the upstream names.
func (p *Pool) refreshLimit(g *engine, now time.Duration) bool {
	l := g.rate
	if l == nil {
		return true
	}
	if l.liftedAt != 0 && l.rate(now) >= rampEndPerSlot*float64(g.upstream.MaxConcurrent) {
		p.dropLimit(g)
		return true
	}
	l.fill(p.quotaFraction(now), p.waiting > 0 || now-p.lastWaiting < demandRetention, now)
	return l.tokens >= 1
}

// untilToken returns the time until all buckets of the upstream hold a whole token.
func (p *Pool) untilToken(g *engine, now time.Duration) time.Duration {
	until := time.Duration(0)
	if g.rate != nil {
		until = g.rate.untilToken(p.quotaFraction(now), now)
	}
	return max(until, p.untilColdToken(g, now))
}

// applyLimit sets the bucket of an upstream, and dropLimit removes it.
func (p *Pool) applyLimit(g *engine, l *rateLimit) {
	g.rate = l
	p.limited = append(p.limited, g)
}

func (p *Pool) dropLimit(g *engine) {
	g.rate = nil
	p.limited = slices.DeleteFunc(p.limited, func(other *engine) bool { return other == g })
}

// updateUnusableSlots computes how many slots stay free because of rate limits: an
// upstream under a limit can keep only those occupied that its permitted requests
// need on average.
func (p *Pool) updateUnusableSlots(now time.Duration) {
	p.unusableSlots = p.unusableColdSlots(now)
	for _, g := range p.limited {
		if g.cold != nil && g.cold.isBounded(g.upstream.MaxConcurrent, now) {
			continue
		}
		usable := g.rate.rate(now) * p.quotaFraction(now) * p.meanService.Seconds()
		p.unusableSlots += max(0, float64(g.slots)-usable)
	}
}

// observeService updates the average service time with that of a new ticket.
func (p *Pool) observeService(e *entry) {
	if p.meanService == 0 {
		p.meanService = e.serviceTime
		return
	}
	p.meanService += scaleBy(e.serviceTime-p.meanService, serviceWeight)
}

// usableSlots returns the slots of the pool that requests can keep occupied.
func (p *Pool) usableSlots() float64 {
	if len(p.limited)+len(p.coldEngines) == 0 {
		return float64(p.slots)
	}
	return max(minRateCapacity, float64(p.slots)-p.unusableSlots)
}

// nameLimit applies a limit that an upstream named at the given time. An older
// notice than the latest one changes nothing.
func (p *Pool) nameLimit(name ident.UpstreamName, perSecond float64, at, now time.Duration) {
	g, known := p.engines[name]
	if !known {
		former, listed := p.unlistedLimits[name]
		if !listed && len(p.unlistedLimits) < maxUnlistedLimits || listed && at >= former.namedAt {
			p.unlistedLimits[name] = rateLimit{perSecond: perSecond, namedAt: at, filledAt: now}
		}
		return
	}
	l := g.rate
	if l != nil && (at < l.namedAt || l.liftedAt != 0 && at < l.liftedAt) {
		return
	}
	if l == nil {
		l = p.newRateLimit(g, now)
		p.applyLimit(g, l)
	}
	changed := l.perSecond != perSecond || l.liftedAt != 0
	l.perSecond, l.namedAt, l.liftedAt = perSecond, at, 0
	if changed {
		p.rateChanges = append(p.rateChanges, p.limitChange(g))
	}
	p.refresh(g, now)
	p.updateUnusableSlots(now)
}

// newRateLimit returns the empty bucket of an upstream. At a scheduler with a
// fraction of the limit it begins with a debt that depends on its phase.
func (p *Pool) newRateLimit(g *engine, now time.Duration) *rateLimit {
	l := &rateLimit{filledAt: now}
	if s := p.view.Shared; s != nil {
		_, l.phase = math.Modf(s.Phase + float64(xxhash.Sum64String(string(g.upstream.Name)))/math.MaxUint64)
	}
	if p.quotaFraction(now) < 1 {
		l.tokens = l.phase - 1
	}
	return l
}

// liftLimit ends a limit that an answer does not name, if its request was sent
// after the limit was last named.
func (p *Pool) liftLimit(name ident.UpstreamName, sentAt, now time.Duration) {
	g, known := p.engines[name]
	if !known || g.rate == nil || g.rate.liftedAt != 0 || sentAt <= g.rate.namedAt {
		return
	}
	g.rate.liftedAt = now
	p.rateChanges = append(p.rateChanges, p.limitChange(g))
	p.refresh(g, now)
}

// recordNotice processes what an answer says about its upstream.
func (p *Pool) recordNotice(r Report, now time.Duration) {
	if r.Notice == nil {
		return
	}
	switch r.Notice.RateLimit {
	case NoticeNamed:
		p.nameLimit(r.Upstream, r.Notice.PerSecond, now, now)
	case NoticeAbsent:
		p.liftLimit(r.Upstream, now-r.Elapsed, now)
	}
	p.recordPause(r, now)
	if g := p.engines[r.Upstream]; g != nil && r.Notice.Cold == NoticeNamed {
		p.markCold(g, r.Notice.ColdFor-r.Age, "says so", now)
		p.updateUnusableSlots(now)
	}
	if r.Notice.Leaving == NoticeNamed {
		p.markLeaving(r.Upstream, now)
	}
	switch r.Notice.Brittle {
	case NoticeNamed:
		p.nameBrittle(r.Upstream, r.Notice.TurnAway, now, now)
	case NoticeAbsent:
		p.liftBrittle(r.Upstream, now-r.Elapsed, now)
	}
}

// adoptLimit gives a new engine the limit that is known for its upstream.
func (p *Pool) adoptLimit(g *engine, now time.Duration) {
	l, known := p.unlistedLimits[g.upstream.Name]
	if !known {
		return
	}
	delete(p.unlistedLimits, g.upstream.Name)
	adopted := p.newRateLimit(g, now)
	adopted.perSecond, adopted.namedAt, adopted.liftedAt = l.perSecond, l.namedAt, l.liftedAt
	p.applyLimit(g, adopted)
	p.rateChanges = append(p.rateChanges, p.limitChange(g))
}

// keepLimit keeps the limit of an upstream that is removed: the list may show it
// again.
func (p *Pool) keepLimit(g *engine) {
	if g.rate == nil {
		return
	}
	if len(p.unlistedLimits) >= maxUnlistedLimits {
		oldest := g.upstream.Name
		for name, l := range p.unlistedLimits {
			if oldest == g.upstream.Name || l.namedAt < p.unlistedLimits[oldest].namedAt {
				oldest = name
			}
		}
		delete(p.unlistedLimits, oldest)
	}
	p.unlistedLimits[g.upstream.Name] = *g.rate
	p.dropLimit(g)
}

// dropUnlistedLimits forgets the limits of upstreams that have not been listed for
// unlistedRetention.
func (p *Pool) dropUnlistedLimits(now time.Duration) {
	for name, l := range p.unlistedLimits {
		if now-max(l.namedAt, l.filledAt) > unlistedRetention {
			delete(p.unlistedLimits, name)
			p.rateChanges = append(p.rateChanges, RateLimitChange{Upstream: name, Gone: true})
		}
	}
}

// RateLimitChanges implements Scheduler.
func (p *Pool) RateLimitChanges() []RateLimitChange {
	out := p.rateChanges
	p.rateChanges = nil
	return out
}

// spendToken counts a request that the upstream gets, and refundToken one that
// provably did not reach it.
func (g *engine) spendToken() {
	if g.rate != nil {
		g.rate.tokens--
	}
}

func (g *engine) refundToken() {
	if g.rate != nil {
		g.rate.tokens = min(rateBurst, g.rate.tokens+1)
	}
}

// nextTokenFor returns the time until an upstream in rotation may get the ticket, if
// only limits prevent that now; otherwise 0.
func (p *Pool) nextTokenFor(e *entry, now time.Duration) time.Duration {
	next := time.Duration(0)
	if len(p.limited)+len(p.coldEngines) == 0 || p.readyFor(e) {
		return 0
	}
	for _, engines := range [...][]*engine{p.limited, p.coldEngines} {
		for _, g := range engines {
			if g.health.ejected || !g.acceptsWork() || !e.permits(g) || g.limit() <= g.used() {
				continue
			}
			if until := p.untilToken(g, now); next == 0 || until < next {
				next = until
			}
		}
	}
	return next
}
