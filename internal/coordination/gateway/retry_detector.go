package gateway

import (
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// firstAttemptFraction is the fraction of the longest recent timeout on a
	// route below which a request counts as a retry: its caller has spent the
	// rest on an earlier attempt. Timeouts of first attempts on one route differ
	// by less than that.
	firstAttemptFraction = 0.8
	// timeoutRetention is the minimum time for which the longest timeout on a
	// route is kept. It is forgotten after at most twice that time.
	timeoutRetention = 30 * time.Second
)

// RetryDetector distinguishes callers that retry after a refusal or a failure
// from first-time callers: they have less of their timeout left than others on
// the same route. It is safe for concurrent use. The zero value is ready to use.
type RetryDetector struct {
	mu     sync.Mutex
	routes map[ident.RouteName]*longestTimeout
}

// longestTimeout holds the longest timeouts of the current and the previous
// period.
type longestTimeout struct {
	current, previous time.Duration
	periodStart       time.Time
}

// Observe records the timeout of a request and reports whether the caller has
// surely made an earlier attempt. It ignores requests without a timeout.
func (r *RetryDetector) Observe(route ident.RouteName, timeout time.Duration, now time.Time) bool {
	if timeout <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.routes[route]
	if t == nil {
		if r.routes == nil {
			r.routes = make(map[ident.RouteName]*longestTimeout)
		}
		t = &longestTimeout{periodStart: now}
		r.routes[route] = t
	}
	switch elapsed := now.Sub(t.periodStart); {
	case elapsed >= 2*timeoutRetention:
		t.current, t.previous, t.periodStart = 0, 0, now
	case elapsed >= timeoutRetention:
		t.current, t.previous, t.periodStart = 0, t.current, now
	}
	t.current = max(t.current, timeout)
	return float64(timeout) < firstAttemptFraction*float64(max(t.current, t.previous))
}
