package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestStopTimes checks that requests are refused while their callers still have time, and that all
// are answered before the process exits.
func TestStopTimes(t *testing.T) {
	must.Eq(t, stopTimes{refuse: 2 * time.Second, end: 7300 * time.Millisecond}, stopTimesOf(8*time.Second))
	for _, grace := range []time.Duration{0, 100 * time.Millisecond, time.Second, 3 * time.Second, time.Minute} {
		times := stopTimesOf(grace)
		must.LessEq(t, times.end, times.refuse, must.Sprint(grace))
		must.LessEq(t, max(0, grace-ExitReserve), times.end, must.Sprint(grace))
	}
}
