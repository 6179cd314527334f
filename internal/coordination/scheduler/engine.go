package scheduler

import (
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// orphan is a slot whose request has an unknown outcome and may still run.
type orphan struct {
	// since is when the contact with the request was lost, and until when it
	// stops counting.
	since, until time.Duration
}

// engine is the scheduler's model of one upstream.
type engine struct {
	upstream Upstream
	// listed is false once the view no longer lists the upstream.
	listed bool
	// saysLeaving is true once the upstream has said in an answer that it leaves.
	saysLeaving bool
	// knownAt is when the view named it first.
	knownAt time.Duration
	// versionNotLoaded is true while the upstream reports that its version is not
	// loaded.
	versionNotLoaded bool
	running          map[*entry]struct{}
	// orphans holds the orphaned slots, oldest first.
	orphans  []orphan
	speed    speed
	limiter  limiter
	health   health
	external externalLoad
	backlog  backlog
	cache    cacheIndex
	// slots is the engine's contribution to the pool's slots, and unsharedSlots that to its
	// unsharedSlots.
	slots, unsharedSlots int
	// rate bounds the requests that the upstream gets; nil if it names no limit.
	rate *rateLimit
	// cold bounds the requests that the upstream gets after a start; nil if it has not just
	// started.
	cold *coldUpstream
	// heldByCold is true while only that bound keeps the upstream from taking a ticket, and
	// unanswered counts the requests in a row that it took no connection for or broke off
	// before an answer.
	heldByCold bool
	unanswered int
	// brittle bounds the requests in flight; nil if the upstream is not brittle.
	brittle *brittleRoom
	// rejections bounds what the upstream gets after it has rejected requests.
	rejections rejections
	// pauses holds until when gateways send the upstream nothing because it asked them for
	// that.
	pauses map[ident.NodeID]time.Duration
	// readyIn is the ready set that holds the engine, nil if none, readyIndex its index there,
	// and readyRegion the region under which it is counted as ready.
	readyIn     *readySet
	readyIndex  int
	readyRegion ident.Region
	// score is the time that the reference request would need.
	score time.Duration
	// refreshAt is when a timer refreshes the engine, 0 if none is set.
	refreshAt time.Duration
	// limitTrusted is true where the upstream's own bound on requests in flight
	// is known to be right, so that no limit has to be learned.
	limitTrusted bool
	// fraction is the fraction of the upstream's slots that this scheduler may
	// use.
	fraction float64
	// unheard is true until the first answer at a scheduler that knows nothing of what the
	// upstream has said of itself.
	unheard bool
	// ownsSlots is true if the scheduler keeps to ownedSlots of the upstream's slots.
	ownsSlots  bool
	ownedSlots int
	// contacts are the two gateways that were the last to have an answer from the
	// upstream, the latest first.
	contacts [2]contact
	// lastResponseAt is when the upstream last showed a sign of life.
	lastResponseAt time.Duration
	// grantedAt is when a ticket last got a slot of the upstream.
	grantedAt time.Duration
	// countedEjected reports whether the engine is in the pool's list of ejected
	// engines.
	countedEjected bool
}

// contact is an answer that a gateway had from an upstream.
type contact struct {
	gateway ident.NodeID
	at      time.Duration
}

// recordContact records that a gateway had an answer at the given time, of which it may
// report late.
func (e *engine) recordContact(gateway ident.NodeID, at time.Duration) {
	if e.contacts[0].gateway != gateway {
		e.contacts[1] = e.contacts[0]
		e.contacts[0] = contact{}
	}
	e.contacts[0] = contact{gateway: gateway, at: max(e.contacts[0].at, at)}
}

// recordResponse records a sign of life, the answer to a request that was sent at the
// given time.
func (e *engine) recordResponse(sentAt, at time.Duration) {
	e.health.observeResponse(max(e.lastResponseAt, sentAt), at)
	e.lastResponseAt = max(e.lastResponseAt, at)
	e.unheard = false
	e.rejections.recordTaken(sentAt)
}

// peerOf returns the latest answer that another gateway had, unless the upstream asked
// that gateway for a pause.
func (e *engine) peerOf(gateway ident.NodeID, now time.Duration) contact {
	for _, c := range e.contacts {
		if c.gateway != gateway && !e.isPausedFor(c.gateway, now) {
			return c
		}
	}
	return contact{}
}

func newEngine(u Upstream, pool *speed, h holders, t *tuning) *engine {
	g := &engine{fraction: 1, upstream: u, listed: true, running: make(map[*entry]struct{}), speed: newSpeed(pool), limiter: newLimiter(), health: newHealth(t)}
	g.cache = newCacheIndex(g, h)
	return g
}

// used returns the number of slots that are or may be occupied.
func (e *engine) used() int {
	return len(e.running) + len(e.orphans)
}

// limit returns the current bound on requests in flight. Probes are allowed
// beyond it.
func (e *engine) limit() int {
	limit := e.scaledLimit()
	if e.unheard {
		limit = min(1, limit)
	}
	if e.rejections.limit > 0 {
		limit = min(e.rejections.limit, limit)
	}
	return limit
}

// scaledLimit returns this scheduler's part of the limit.
func (e *engine) scaledLimit() int {
	if e.ownsSlots {
		return min(e.ownedSlots, e.unsharedLimit())
	}
	return scaleLimit(e.unsharedLimit(), e.fraction)
}

// unsharedLimit returns the limit that would apply without other schedulers of
// the pool.
func (e *engine) unsharedLimit() int {
	if e.health.ejected {
		return 0
	}
	limit := e.upstream.MaxConcurrent
	if !e.limitTrusted {
		limit = min(limit, int(e.limiter.limit))
	}
	if e.brittle != nil {
		limit = min(limit, e.brittle.limit)
	}
	return limit
}

// acceptsWork reports whether the upstream may get new work at all.
func (e *engine) acceptsWork() bool {
	return e.listed && !e.versionNotLoaded && !e.upstream.Leaving && !e.saysLeaving && !e.upstream.isBarred()
}

// free returns the number of slots that new requests may take.
func (e *engine) free() int {
	if !e.acceptsWork() {
		return 0
	}
	return max(0, e.limit()-e.used()-e.external.slots())
}

// expireOrphans drops the orphaned slots that no longer count.
func (e *engine) expireOrphans(now time.Duration) {
	e.orphans = slices.DeleteFunc(e.orphans, func(o orphan) bool { return o.until <= now })
}

// observeLoad drops the orphaned slots that a load report, measured at the given
// time, shows to be free. Requests that are running now and started before that
// time were running then.
func (e *engine) observeLoad(running int, at time.Duration) {
	older := 0
	for r := range e.running {
		if r.state == stateRunning && r.startedAt <= at {
			older++
		}
	}
	known := 0
	for known < len(e.orphans) && e.orphans[known].since <= at {
		known++
	}
	if gone := known - max(0, running-older); gone > 0 {
		e.orphans = e.orphans[gone:]
	}
}

// prefillWait estimates the time until the engine can start on a new prompt.
func (e *engine) prefillWait(now time.Duration) time.Duration {
	return e.speed.prefillTime(e.backlog.ahead(e.speed.prefillRate(), now))
}
