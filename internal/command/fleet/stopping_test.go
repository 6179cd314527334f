package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestMayOutliveGrace uses the times of a request that arrived 3.2 s after its
// gateway began to drain, had 6 s left, and was cut off 7.5 s after the start of
// the drain.
func TestMayOutliveGrace(t *testing.T) {
	const grace = 8 * time.Second
	began := time.Unix(100, 0)
	for _, c := range []struct {
		name          string
		after, remain time.Duration
		want          bool
	}{
		{"cut off at the end of the grace period", 3221 * time.Millisecond, 6 * time.Second, true},
		{"finished before the end of the grace period", 3221 * time.Millisecond, 4 * time.Second, false},
		{"too soon for callers to know of the drain", 100 * time.Millisecond, 10 * time.Second, false},
		{"short request just before the exit", 7 * time.Second, time.Second, true},
	} {
		now := began.Add(c.after)
		must.Eq(t, c.want, mayOutliveGrace(began, now, now.Add(c.remain), grace), must.Sprint(c.name))
	}
}
