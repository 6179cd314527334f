package scheduler

import "time"

const (
	// perTokenTarget is the mean time between tokens above which an engine's
	// limit shrinks. The 95th percentile of single steps lies higher.
	perTokenTarget = 52 * time.Millisecond
	// perTokenFactor is the multiple of its own unloaded time between tokens
	// up to which an engine that can't reach the target is filled.
	perTokenFactor = 1.6
	// initialLimit is where the limit of an unknown upstream starts.
	initialLimit = 8
	// limitDecrease is the factor by which a limit shrinks.
	limitDecrease = 0.9
	// serviceLatencyFactor is the multiple of its unloaded latency at which a plain
	// service's limit shrinks.
	serviceLatencyFactor = 3.0
	// baselineDrift is the part by which each sample raises the unloaded latency.
	baselineDrift = 0.002
)

// limiter finds the concurrency limit of one upstream from its own latency
// curve: additive increase while requests fill the limit and stay fast,
// multiplicative decrease when they are slow. It doubles until the first cut.
type limiter struct {
	limit        float64
	lastDecrease time.Duration
	decreased    bool
	baseline     time.Duration
}

func newLimiter() limiter {
	return limiter{limit: initialLimit}
}

// restart begins the search anew.
func (l *limiter) restart(limit float64) {
	l.limit = limit
	l.decreased = false
}

// raiseTo raises the limit to the requests found running at a takeover.
func (l *limiter) raiseTo(running int) {
	l.limit = max(l.limit, float64(running))
}

// observe takes in the latency of a request that started at the given time. A
// request from before the last cut says nothing about the new limit.
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

// observeService takes in the latency of a plain service's request.
func (l *limiter) observeService(latency, started, now time.Duration, full bool) {
	if l.baseline == 0 || latency < l.baseline {
		l.baseline = latency
	}
	l.baseline += scaleBy(l.baseline, baselineDrift)
	l.observe(latency, scaleBy(l.baseline, serviceLatencyFactor), started, now, full)
}

// observeOverdue takes in a plain service's request that was given up after the
// given time.
func (l *limiter) observeOverdue(elapsed, started, now time.Duration) {
	target := scaleBy(l.baseline, serviceLatencyFactor)
	if l.baseline > 0 && elapsed > target {
		l.observe(elapsed, target, started, now, false)
	}
}

func scaleBy(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
