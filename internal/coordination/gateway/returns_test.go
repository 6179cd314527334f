package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestReturns_SecondAttempts replays callers that give their first attempts 85 to
// 100% of 10 s and come back after 2 s with what is left.
func TestReturns_SecondAttempts(t *testing.T) {
	var r Returns
	now := time.Unix(1000, 0)
	for i := range 200 {
		now = now.Add(50 * time.Millisecond)
		first := 8500*time.Millisecond + time.Duration(i*37%1500)*time.Millisecond
		must.False(t, r.Note("a", first, now), must.Sprint(first))
		if i > 50 {
			must.True(t, r.Note("a", first-2100*time.Millisecond, now), must.Sprint(first))
		}
	}
	must.False(t, r.Note("b", 3*time.Second, now), must.Sprint("another route"))
	must.False(t, r.Note("a", 0, now), must.Sprint("no time is given"))
}

// TestReturns_CallersGiveLess lets the callers of a route give less time from some
// moment on: after a minute they count as new ones again.
func TestReturns_CallersGiveLess(t *testing.T) {
	var r Returns
	now := time.Unix(1000, 0)
	must.False(t, r.Note("a", 10*time.Second, now))
	must.True(t, r.Note("a", 4*time.Second, now.Add(time.Second)))
	for i := range 70 {
		r.Note("a", 4*time.Second, now.Add(time.Duration(i)*time.Second))
	}
	must.False(t, r.Note("a", 4*time.Second, now.Add(70*time.Second)))
	must.False(t, r.Note("a", time.Second, now.Add(10*time.Minute)), must.Sprint("after a pause nothing is known"))
}
