package upstreamapi

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

// TestWithCold_SpoiledValues checks that a cold time which can't be read sets nothing, that a
// huge one is bounded, and that the other notices stay.
func TestWithCold_SpoiledValues(t *testing.T) {
	for _, text := range []string{"", "soon", "-1", "1e3", "NaN", "Inf", "0x10", "1,5", "1 2", strings.Repeat("1", 33)} {
		n := WithCold(scheduler.UpstreamNotice{PerSecond: 2}, []string{text})
		must.Eq(t, scheduler.NoticeUnreadable, n.Cold, must.Sprintf("%q", text))
		must.Zero(t, n.ColdFor, must.Sprintf("%q", text))
		must.Eq(t, 2, n.PerSecond)
	}
	must.Eq(t, scheduler.NoticeUnreadable, WithCold(scheduler.UpstreamNotice{}, []string{"3", "3"}).Cold)
	must.Eq(t, scheduler.UpstreamNotice{}, WithCold(scheduler.UpstreamNotice{}, nil))
	must.Eq(t, scheduler.NoticeAbsent, WithCold(scheduler.UpstreamNotice{}, []string{"0"}).Cold)
	for text, want := range map[string]time.Duration{"1500": 1500 * time.Millisecond, " 0.5 ": 500 * time.Microsecond, strings.Repeat("9", 30): MaxCold} {
		n := WithCold(scheduler.UpstreamNotice{}, []string{text})
		must.Eq(t, scheduler.NoticeNamed, n.Cold, must.Sprintf("%q", text))
		must.Eq(t, want, n.ColdFor, must.Sprintf("%q", text))
	}
}
