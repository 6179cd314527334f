package gateway

import (
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// firstAttemptPart is the part of the longest time lately given on a route below
	// which a caller has spent the rest on an earlier attempt. Callers of one route
	// give their first attempts times that differ by less than that.
	firstAttemptPart = 0.8
	// longestKept is how long the longest time given on a route is remembered at
	// least; after twice that it is forgotten.
	longestKept = 30 * time.Second
)

// Returns tells callers that come back after a refusal or a failure from those that
// come for the first time: they have less time left than others on the same route.
// It is safe for concurrent use. The zero value is ready.
type Returns struct {
	mu     sync.Mutex
	routes map[ident.RouteName]*longestTime
}

// longestTime is the longest time given in the present period and in the last one.
type longestTime struct {
	present, last time.Duration
	began         time.Time
}

// Note takes in the time that a caller gives a request, and reports whether the
// caller has surely tried before.
func (r *Returns) Note(route ident.RouteName, given time.Duration, now time.Time) bool {
	if given <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.routes[route]
	if t == nil {
		if r.routes == nil {
			r.routes = make(map[ident.RouteName]*longestTime)
		}
		t = &longestTime{began: now}
		r.routes[route] = t
	}
	switch passed := now.Sub(t.began); {
	case passed >= 2*longestKept:
		t.present, t.last, t.began = 0, 0, now
	case passed >= longestKept:
		t.present, t.last, t.began = 0, t.present, now
	}
	t.present = max(t.present, given)
	return float64(given) < firstAttemptPart*float64(max(t.present, t.last))
}
