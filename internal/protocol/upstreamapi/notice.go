package upstreamapi

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

const (
	// MinRateLimit is the lowest limit that is applied, in requests a second. A
	// lower one, also 0, is raised to it: a request now and then is the only way to
	// learn that the limit has ended.
	MinRateLimit = 0.1
	// MaxRateLimit is the highest limit that is applied, in requests a second.
	MaxRateLimit = 10_000
	// MaxPause is the longest pause that is kept to when an upstream asks for no
	// requests. After it, one request shows whether the upstream still asks for it.
	MaxPause = 5 * time.Minute
	// maxNumberText bounds the length of a number's text, in bytes.
	maxNumberText = 32
)

// ParseNotice decodes the values of the header fields that name a limit in requests a
// second, and the requests a second that a brittle upstream may turn away. Each is digits
// with at most one decimal point. Several fields, and a text that is no such number or is
// longer than maxNumberText, are unreadable: they neither set anything nor lift it.
func ParseNotice(limit, brittle []string) scheduler.UpstreamNotice {
	n := ParseRateLimit(limit)
	n.Brittle, n.TurnAway, n.BrittleText = parseNumber(brittle)
	n.TurnAway = min(MaxRateLimit, n.TurnAway)
	return n
}

// ParseRateLimit is ParseNotice for a limit alone.
func ParseRateLimit(values []string) scheduler.UpstreamNotice {
	state, perSecond, text := parseNumber(values)
	n := scheduler.UpstreamNotice{RateLimit: state, Text: text}
	if state == scheduler.NoticeNamed {
		n.PerSecond = min(MaxRateLimit, max(MinRateLimit, perSecond))
	}
	return n
}

// WithPause returns the notice with what the values of the header field Retry-After on
// status 503 ask for: a pause in seconds, up to MaxPause. A date, as RFC 9110 also permits,
// and anything else that is no decimal number is unreadable.
func WithPause(n scheduler.UpstreamNotice, retryAfter []string) scheduler.UpstreamNotice {
	state, seconds, text := parseNumber(retryAfter)
	n.Pause, n.PauseText = state, text
	n.PauseFor = time.Duration(min(MaxPause.Seconds(), seconds) * float64(time.Second))
	return n
}

// WithLeaving returns the notice with what the values of the header field that says whether
// an upstream leaves mean: one "1" that it does, one "0" that it doesn't. Anything else is
// unreadable.
func WithLeaving(n scheduler.UpstreamNotice, values []string) scheduler.UpstreamNotice {
	state, number, text := parseNumber(values)
	switch {
	case state == scheduler.NoticeNamed && number == 0:
		state = scheduler.NoticeAbsent
	case state == scheduler.NoticeNamed && number != 1:
		state, text = scheduler.NoticeUnreadable, fmt.Sprintf("%q is neither 0 nor 1", text)
	}
	n.Leaving, n.LeavingText = state, text
	return n
}

// WithCold returns the notice with how much longer an upstream is cold, in milliseconds, as
// the values of the header field say. 0 means that it isn't.
func WithCold(n scheduler.UpstreamNotice, values []string) scheduler.UpstreamNotice {
	state, ms, text := parseNumber(values)
	if state == scheduler.NoticeNamed && ms == 0 {
		state = scheduler.NoticeAbsent
	}
	n.Cold, n.ColdText = state, text
	n.ColdFor = time.Duration(min(float64(MaxCold.Milliseconds()), ms) * float64(time.Millisecond))
	return n
}

// MaxCold is the longest cold time that is kept to when an upstream or the list names one.
const MaxCold = 5 * time.Minute

// parseNumber decodes the values of a field. Text is the number as it was sent or, if it
// is unreadable, why.
func parseNumber(values []string) (state scheduler.NoticeState, number float64, text string) {
	switch len(values) {
	case 0:
		return scheduler.NoticeAbsent, 0, ""
	case 1:
	default:
		return scheduler.NoticeUnreadable, 0, fmt.Sprintf("the field stands %d times", len(values))
	}
	text = strings.TrimSpace(values[0])
	if len(text) > maxNumberText {
		return scheduler.NoticeUnreadable, 0, fmt.Sprintf("the text has %d bytes, at most %d are read", len(text), maxNumberText)
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return scheduler.NoticeUnreadable, 0, fmt.Sprintf("%q is no decimal number", text)
	}
	return scheduler.NoticeNamed, number, text
}
