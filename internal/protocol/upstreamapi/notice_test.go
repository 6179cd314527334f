package upstreamapi

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

// TestParseRateLimit_SpoiledValues checks that a field which is no decimal number
// is never taken for a limit, or for the end of one.
func TestParseRateLimit_SpoiledValues(t *testing.T) {
	for _, text := range []string{"", " ", "-1", "+2", "inf", "NaN", "1e3", "0x1p-2", "1_0", "2,5", "2.5.1", ".", "2 3", "2s", strings.Repeat("1", 33), "Fri, 04 Dec 2026 09:00:00 GMT", "\x00"} {
		must.Eq(t, scheduler.NoticeUnreadable, ParseRateLimit([]string{text}).RateLimit, must.Sprintf("%q", text))
	}
	must.Eq(t, scheduler.NoticeUnreadable, ParseRateLimit([]string{"2", "2"}).RateLimit)
	must.Eq(t, scheduler.NoticeAbsent, ParseRateLimit(nil).RateLimit)
	for text, want := range map[string]float64{"2.5": 2.5, " 7 ": 7, "0.25": 0.25, ".5": 0.5, "0": MinRateLimit, "0.0001": MinRateLimit, "99999999": MaxRateLimit} {
		n := ParseRateLimit([]string{text})
		must.Eq(t, scheduler.NoticeNamed, n.RateLimit, must.Sprintf("%q", text))
		must.Eq(t, want, n.PerSecond, must.Sprintf("%q", text))
	}
}

// TestParseNotice_SpoiledBrittleness checks that a number of requests to turn away which
// can't be read neither says nor ends that an upstream is brittle, whatever limit stands
// beside it.
func TestParseNotice_SpoiledBrittleness(t *testing.T) {
	for _, text := range []string{"", "-1", "NaN", "1e3", "5/s", "5, 6", "five", strings.Repeat("1", 33)} {
		n := ParseNotice([]string{"2.5"}, []string{text})
		must.Eq(t, scheduler.NoticeUnreadable, n.Brittle, must.Sprintf("%q", text))
		must.Eq(t, scheduler.NoticeNamed, n.RateLimit)
	}
	must.Eq(t, scheduler.NoticeUnreadable, ParseNotice(nil, []string{"5", "5"}).Brittle)
	must.Eq(t, scheduler.UpstreamNotice{}, ParseNotice(nil, nil))
	for text, want := range map[string]float64{"5": 5, " 12 ": 12, "0": 0, "0.5": 0.5, "99999999": MaxRateLimit} {
		n := ParseNotice(nil, []string{text})
		must.Eq(t, scheduler.NoticeNamed, n.Brittle, must.Sprintf("%q", text))
		must.Eq(t, want, n.TurnAway, must.Sprintf("%q", text))
		must.Eq(t, scheduler.NoticeAbsent, n.RateLimit)
	}
}

// TestWithPause_SpoiledValues checks that a field which is no decimal number of seconds is
// never taken for a pause, and that no pause is longer than the bound.
func TestWithPause_SpoiledValues(t *testing.T) {
	for _, text := range []string{"", " ", "-5", "soon", "NaN", "Inf", "1,2", "3s", "1e9", strings.Repeat("1", 33), "Fri, 04 Dec 2026 09:00:00 GMT"} {
		n := WithPause(scheduler.UpstreamNotice{}, []string{text})
		must.Eq(t, scheduler.NoticeUnreadable, n.Pause, must.Sprintf("%q", text))
		must.Zero(t, n.PauseFor)
	}
	must.Eq(t, scheduler.NoticeUnreadable, WithPause(scheduler.UpstreamNotice{}, []string{"3", "3"}).Pause)
	must.Eq(t, scheduler.UpstreamNotice{}, WithPause(scheduler.UpstreamNotice{}, nil))
	for text, want := range map[string]time.Duration{"3": 3 * time.Second, " 1.5 ": 1500 * time.Millisecond, "0": 0, "99999999999": MaxPause} {
		n := WithPause(scheduler.UpstreamNotice{PerSecond: 2}, []string{text})
		must.Eq(t, scheduler.NoticeNamed, n.Pause, must.Sprintf("%q", text))
		must.Eq(t, want, n.PauseFor, must.Sprintf("%q", text))
		must.Eq(t, 2, n.PerSecond)
	}
}

// TestWithLeaving_SpoiledValues checks that only a single 1 says that an upstream leaves.
func TestWithLeaving_SpoiledValues(t *testing.T) {
	for text, want := range map[string]scheduler.NoticeState{
		"1": scheduler.NoticeNamed, " 1 ": scheduler.NoticeNamed, "0": scheduler.NoticeAbsent,
		"": scheduler.NoticeUnreadable, "true": scheduler.NoticeUnreadable, "2": scheduler.NoticeUnreadable,
		"-1": scheduler.NoticeUnreadable, "1,1": scheduler.NoticeUnreadable, strings.Repeat("1", 33): scheduler.NoticeUnreadable,
	} {
		must.Eq(t, want, WithLeaving(scheduler.UpstreamNotice{}, []string{text}).Leaving, must.Sprintf("%q", text))
	}
	must.Eq(t, scheduler.NoticeUnreadable, WithLeaving(scheduler.UpstreamNotice{}, []string{"1", "1"}).Leaving)
	must.Eq(t, scheduler.UpstreamNotice{}, WithLeaving(scheduler.UpstreamNotice{}, nil))
}

// FuzzWithPause checks that any values are decoded without a panic, and that a pause is
// always within its bound.
func FuzzWithPause(f *testing.F) {
	for _, text := range []string{"3", "", "-1", "1e308", "inf", "0", "2\n3", ".", "00000000000000000000000000000001"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		n := WithPause(scheduler.UpstreamNotice{}, strings.Split(text, "\n"))
		must.Between(t, 0, n.PauseFor, MaxPause)
		if n.Pause != scheduler.NoticeNamed {
			must.Zero(t, n.PauseFor)
		}
	})
}

// FuzzParseRateLimit checks that any values are decoded without a panic, and that
// a limit is always within the bounds.
func FuzzParseRateLimit(f *testing.F) {
	for _, text := range []string{"2.5", "", "-1", "1e308", "inf", "0", "2\n3", ".", "00000000000000000000000000000001"} {
		f.Add(text, text != "2\n3")
	}
	f.Fuzz(func(t *testing.T, text string, single bool) {
		values := []string{text}
		if !single {
			values = strings.Split(text, "\n")
		}
		n := ParseRateLimit(values)
		if n.RateLimit != scheduler.NoticeNamed {
			must.Zero(t, n.PerSecond)
			return
		}
		must.Between(t, MinRateLimit, n.PerSecond, MaxRateLimit)
		must.Len(t, 1, values)
	})
}
