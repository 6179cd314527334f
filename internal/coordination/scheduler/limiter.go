package scheduler

import "time"

const (
	// perTokenTarget is the mean time between tokens above which an engine's
	// limit is decreased. The 95th percentile of single steps is higher.
	perTokenTarget = 52 * time.Millisecond
	// perTokenFactor is the multiple of its own unloaded time between tokens up
	// to which an engine that cannot reach the target is filled.
	perTokenFactor = 1.6
	// initialLimit is the starting limit of an unknown upstream.
	initialLimit = 8
	// limitDecrease is the factor by which a limit is multiplied to decrease it.
	limitDecrease = 0.9
	// serviceLatencyFactor is the multiple of its unloaded latency above which a
	// plain service's limit is decreased.
	serviceLatencyFactor = 3.0
	// baselineDrift is the fraction by which each sample raises the unloaded
	// latency.
	baselineDrift = 0.002
)

// limiter learns the concurrency limit of one upstream from its latency: additive
// increase while requests fill the limit and stay fast, multiplicative decrease
// when they are slow. Until the first decrease the limit grows by one per
// request, that is, it doubles each time all its requests have been answered.
type limiter struct {
	limit        float64
	lastDecrease time.Duration
	decreased    bool
	baseline     time.Duration
}

func newLimiter() limiter {
	return limiter{limit: initialLimit}
}

// restart starts the search for the limit again from the given value.
func (l *limiter) restart(limit float64) {
	l.limit = limit
	l.decreased = false
}

// raiseTo raises the limit to the number of requests found running at a takeover,
// if it is lower.
func (l *limiter) raiseTo(running int) {
	l.limit = max(l.limit, float64(running))
}

// observe updates the limit from the latency of a request that started at the
// given time. full reports whether requests filled the limit. A request that
// started before the last decrease says nothing about the new limit.
func (l *limiter) observe(latency, target, started, now time.Duration, full bool) {
	if latency > target {
		if !l.decreased || started >= l.lastDecrease {
			l.limit = max(1, l.limit*limitDecrease)
			l.lastDecrease = now
			l.decreased = true
		}
		return
	}
	if !full {
		return
	}
	if !l.decreased {
		l.limit++
		return
	}
	l.limit += 1 / l.limit
}

// observeService updates the limit from the latency of a plain service's request.
func (l *limiter) observeService(latency, started, now time.Duration, full bool) {
	if l.baseline == 0 || latency < l.baseline {
		l.baseline = latency
	}
	l.baseline += scaleBy(l.baseline, baselineDrift)
	l.observe(latency, scaleBy(l.baseline, serviceLatencyFactor), started, now, full)
}

// observeOverdue updates the limit from a plain service's request that was
// abandoned after the given time.
func (l *limiter) observeOverdue(elapsed, started, now time.Duration) {
	target := scaleBy(l.baseline, serviceLatencyFactor)
	if l.baseline > 0 && elapsed > target {
		l.observe(elapsed, target, started, now, false)
	}
}

func scaleBy(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
