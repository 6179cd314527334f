package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestIsOutlasting takes the times of a request that came 3.2 s after its gateway
// was told to stop, had 6 s left, and was cut 7.5 s after.
func TestIsOutlasting(t *testing.T) {
	const grace = 8 * time.Second
	began := time.Unix(100, 0)
	for _, c := range []struct {
		name          string
		after, remain time.Duration
		want          bool
	}{
		{"cut at the end of the grace period", 3221 * time.Millisecond, 6 * time.Second, true},
		{"done before the end", 3221 * time.Millisecond, 4 * time.Second, false},
		{"callers could not know", 100 * time.Millisecond, 10 * time.Second, false},
		{"last moment", 7 * time.Second, time.Second, true},
	} {
		now := began.Add(c.after)
		must.Eq(t, c.want, mayOutliveGrace(began, now, now.Add(c.remain), grace), must.Sprint(c.name))
	}
}
