package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPausedFor covers a process that was frozen and left no trace of it in its lines.
func TestPausedFor(t *testing.T) {
	for _, c := range []struct{ since, want time.Duration }{
		{pauseCheckInterval, 0},
		{pauseCheckInterval + minPause - 1, 0},
		{pauseCheckInterval + minPause, minPause},
		{5 * time.Second, 4900 * time.Millisecond},
	} {
		must.Eq(t, c.want, pausedFor(time.Hour, time.Hour+c.since))
	}
}
