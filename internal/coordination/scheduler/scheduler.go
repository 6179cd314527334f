package scheduler

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

// Scheduler schedules the requests of one pool during one lease epoch. It is not
// safe for concurrent use. Every method takes the current time as a duration
// since an arbitrary fixed origin of the process.
type Scheduler interface {
	// SetView replaces configuration and membership.
	SetView(v View, now time.Duration)
	// Register adds a gateway's requests, also after a fail-over. Nothing is
	// placed until every gateway of the view has registered or the grants of the
	// previous epoch have expired.
	Register(r Registration, now time.Duration)
	// Submit queues a ticket. For a ticket that is already known, the decision is
	// repeated.
	Submit(t Ticket, now time.Duration)
	// Cancel withdraws a waiting ticket whose caller left.
	Cancel(id ident.RequestID, now time.Duration)
	// Depart removes a gateway that has fallen silent. Its waiting tickets are
	// dropped; its running requests stay counted until a timeout passes.
	Depart(gateway ident.NodeID, now time.Duration)
	// Report processes a report about a granted request.
	Report(r Report, now time.Duration)
	// Load processes an upstream's load report.
	Load(r LoadReport, now time.Duration)
	// Cache processes an upstream's cache event.
	Cache(e CacheEvent, now time.Duration)
	// Tick runs time-driven work: expiries, early refusals and probes.
	Tick(now time.Duration)
	// Decisions returns and clears the decisions made since the last call.
	Decisions() []Decision
	// Rotations returns and clears the changes of rotation since the last call.
	Rotations() []Rotation
	// RateLimitChanges returns and clears the changes of rate limits since the last
	// call.
	RateLimitChanges() []RateLimitChange
	// PauseChanges returns and clears the pauses that upstreams have asked gateways for
	// since the last call.
	PauseChanges() []PauseChange
	// LeavingChanges returns and clears the upstreams that the scheduler has learnt to leave
	// since the last call, because they said so in an answer.
	LeavingChanges() []ident.UpstreamName
	// ColdChanges returns and clears the upstreams that became cold since the last call, or
	// are so for longer.
	ColdChanges() []ColdChange
	// PoisonChanges returns and clears the changes of refused parts since the last
	// call.
	PoisonChanges() []PoisonChange
	// RetryChanges returns and clears the changes of the retry budget since the last call.
	RetryChanges() []RetryChange
	// RequestEnds returns the latest ends of upstreams under requests that the gateways of
	// this scheduler saw, for schedulers that don't know of them.
	RequestEnds(now time.Duration) []poison.End
	// ClearRequests records that requests under which upstreams had ended were answered
	// at gateways that may use another scheduler.
	ClearRequests(fingerprints []uint64, now time.Duration)
	// Stats returns counters for metrics and for choosing addresses.
	Stats() Stats
}

// Rotation reports that an upstream was taken out of rotation or returned to it,
// with the figures behind the change.
type Rotation struct {
	Upstream ident.UpstreamName
	Ejected  bool
	// Failures counts consecutive failures, FailureRate is the fraction of recent
	// outcomes that were failures, and Slowness is the ratio of the upstream's
	// recent to its expected time.
	Failures    int
	FailureRate float64
	Slowness    float64
}

// String implements fmt.Stringer.
func (r Rotation) String() string {
	state := "back in rotation"
	if r.Ejected {
		state = "out of rotation"
	}
	return fmt.Sprintf("%s is %s: %d failures in a row, %.0f%% of its answers failed lately, %.1f times its usual time",
		r.Upstream, state, r.Failures, 100*r.FailureRate, r.Slowness)
}

// Stats is a summary of a pool's state.
type Stats struct {
	Waiting int
	Running int
	// Capacity is the sum of the upstreams' current concurrency limits.
	Capacity int
	// WaitingByTier counts queued tickets per tier.
	WaitingByTier map[ident.TierName]int
	// Stale counts the grants so far of upstreams whose speed was no longer known, because
	// they had got no requests for a while.
	Stale int
	// Retries counts the retries so far that took from the retry budget, RetriesRefused those
	// that it did not allow, and RetriesLeft is what is left of it.
	Retries, RetriesRefused int
	RetriesLeft             float64
	// Cold counts the upstreams in their cold time, and ColdHolds the tickets so far that
	// waited while a cold upstream with free slots might get no more requests.
	Cold, ColdHolds int
}
