package upstreamapi

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

const (
	// MinRateLimit is the lowest limit that is applied, in requests a second. A
	// lower one, also 0, is raised to it: a request now and then is the only way to
	// learn that the limit has ended.
	MinRateLimit = 0.1
	// MaxRateLimit is the highest limit that is applied, in requests a second.
	MaxRateLimit = 10_000
	// maxRateLimitText bounds the length of a limit's text, in bytes.
	maxRateLimitText = 32
)

// ParseRateLimit decodes the values of a header field that names a limit in
// requests a second: digits with at most one decimal point. Several fields, and a
// text that is no such number or is longer than maxRateLimitText, are unreadable.
// An unreadable limit neither sets a limit nor lifts one.
func ParseRateLimit(values []string) scheduler.UpstreamNotice {
	switch len(values) {
	case 0:
		return scheduler.UpstreamNotice{}
	case 1:
	default:
		return unreadableRateLimit("the field stands %d times", len(values))
	}
	text := strings.TrimSpace(values[0])
	if len(text) > maxRateLimitText {
		return unreadableRateLimit("the text has %d bytes, at most %d are read", len(text), maxRateLimitText)
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return unreadableRateLimit("%q is no decimal number", text)
	}
	return scheduler.UpstreamNotice{
		RateLimit: scheduler.RateLimitNamed,
		PerSecond: min(MaxRateLimit, max(MinRateLimit, perSecond)),
		Text:      text,
	}
}

func unreadableRateLimit(format string, values ...any) scheduler.UpstreamNotice {
	return scheduler.UpstreamNotice{RateLimit: scheduler.RateLimitUnreadable, Text: fmt.Sprintf(format, values...)}
}
