package scheduler

import "fmt"

// RateLimitState states what an answer says about a rate limit of its upstream.
type RateLimitState uint8

const (
	// RateLimitAbsent means that the answer names no limit: none is in force.
	RateLimitAbsent RateLimitState = iota
	// RateLimitNamed means that the answer names a limit.
	RateLimitNamed
	// RateLimitUnreadable means that the answer's limit can't be read. It changes
	// nothing.
	RateLimitUnreadable
)

// UpstreamNotice is what the header of an answer says about the upstream that sent
// it, rather than about the request.
type UpstreamNotice struct {
	RateLimit RateLimitState
	// PerSecond is the named limit: the requests a second that the upstream takes
	// from all gateways together.
	PerSecond float64
	// Text is the limit as it was sent or, if it is unreadable, why.
	Text string
}

// String implements fmt.Stringer.
func (n UpstreamNotice) String() string {
	switch n.RateLimit {
	case RateLimitNamed:
		return fmt.Sprintf("names a limit of %g requests a second (%q)", n.PerSecond, n.Text)
	case RateLimitUnreadable:
		return "names a limit that can't be read, ignored: " + n.Text
	default:
		return "names no limit any more"
	}
}
