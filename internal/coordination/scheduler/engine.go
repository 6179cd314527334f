package scheduler

import (
	"slices"
	"time"
)

// orphan is a slot whose request may still run.
type orphan struct {
	// since is when the request was lost sight of, until how long it counts.
	since, until time.Duration
}

// engine is the scheduler's model of one upstream.
type engine struct {
	upstream Upstream
	// listed is false once the view no longer names the upstream.
	listed bool
	// versionNotLoaded is true while the upstream reports that its version is not loaded.
	versionNotLoaded bool
	running          map[*entry]struct{}
	// orphans holds the slots of unknown fate, oldest first.
	orphans  []orphan
	speed    speed
	limiter  limiter
	health   health
	external externalLoad
	backlog  backlog
	cache    cacheIndex
	// slots is the engine's part of the pool's slots.
	slots int
	// readyIn and readyAt tell the engine's place in a ready set, if any.
	readyIn    *readySet
	readyIndex int
	// score is the time that a reference request would need.
	score time.Duration
	// refreshAt is when a timer looks at the engine again, 0 if none.
	refreshAt time.Duration
	// limitTrusted is true where the upstream's own bound on requests in flight is
	// known to be right, so that no limit needs to be found.
	limitTrusted bool
	// fraction is the fraction of the upstream's slots that this scheduler may use.
	fraction float64
	// lastResponseAt is when the upstream last showed a sign of life.
	lastResponseAt time.Duration
	// countedEjected tells whether the pool counts the engine as ejected.
	countedEjected bool
}

func newEngine(u Upstream, pool *speed, h holders, t *tuning) *engine {
	g := &engine{fraction: 1, upstream: u, listed: true, running: make(map[*entry]struct{}), speed: newSpeed(pool), limiter: newLimiter(), health: newHealth(t)}
	g.cache = newCacheIndex(g, h)
	return g
}

// used counts the slots that are or may be taken.
func (e *engine) used() int {
	return len(e.running) + len(e.orphans)
}

// limit is the present bound on requests in flight; probes come beyond it.
func (e *engine) limit() int {
	return scaleLimit(e.unsharedLimit(), e.fraction)
}

// unsharedLimit is the limit of a scheduler that no other stands beside.
func (e *engine) unsharedLimit() int {
	if e.health.ejected {
		return 0
	}
	if e.limitTrusted {
		return e.upstream.MaxConcurrent
	}
	return min(e.upstream.MaxConcurrent, int(e.limiter.limit))
}

// acceptsWork tells whether the upstream may get new work at all.
func (e *engine) acceptsWork() bool {
	return e.listed && !e.versionNotLoaded && !e.upstream.Leaving
}

// free counts the slots that a new request may take.
func (e *engine) free() int {
	if !e.acceptsWork() {
		return 0
	}
	return max(0, e.limit()-e.used()-e.external.slots())
}

// expireOrphans forgets the slots of unknown fate that count no longer.
func (e *engine) expireOrphans(now time.Duration) {
	e.orphans = slices.DeleteFunc(e.orphans, func(o orphan) bool { return o.until <= now })
}

// observeLoad corrects the orphans by a load report that was true at the given
// time. Requests that still run and began before it were running then.
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

// prefillWait estimates the time until the engine can begin a new prompt.
func (e *engine) prefillWait(now time.Duration) time.Duration {
	return e.speed.prefillTime(e.backlog.ahead(e.speed.prefillRate(), now))
}
