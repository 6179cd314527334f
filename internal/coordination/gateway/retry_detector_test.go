package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRetryDetector_SecondAttempts replays callers whose first attempts have
// timeouts of 85 to 100% of 10 s and who retry after 2 s with the rest.
func TestRetryDetector_SecondAttempts(t *testing.T) {
	var r RetryDetector
	now := time.Unix(1000, 0)
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		first := 8500*time.Millisecond + time.Duration(i*37%1500)*time.Millisecond
		must.False(t, r.Observe("a", first, now), must.Sprint(first))
		if i > 50 {
			must.True(t, r.Observe("a", first-2100*time.Millisecond, now), must.Sprint(first))
		}
	}
	must.False(t, r.Observe("b", 3*time.Second, now), must.Sprint("another route"))
	must.False(t, r.Observe("a", 0, now), must.Sprint("no time is given"))
}

// TestRetryDetector_ShorterTimeoutsBecomeNormal has the callers of a route switch
// to a shorter timeout: after a minute they count as first-time callers again.
func TestRetryDetector_ShorterTimeoutsBecomeNormal(t *testing.T) {
	var r RetryDetector
	now := time.Unix(1000, 0)
	must.False(t, r.Observe("a", 10*time.Second, now))
	must.True(t, r.Observe("a", 4*time.Second, now.Add(time.Second)))
	for i := range 70 {
		r.Observe("a", 4*time.Second, now.Add(time.Duration(i)*time.Second))
	}
	must.False(t, r.Observe("a", 4*time.Second, now.Add(70*time.Second)))
	must.False(t, r.Observe("a", time.Second, now.Add(10*time.Minute)), must.Sprint("after a pause nothing is known"))
}
