// Package scheduler decides, for one pool, which request runs on which upstream
// and when, and which requests are refused. It does no I/O and reads no clock:
// the caller passes the time.
package scheduler

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler/retryslots"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

// Ticket represents one request that waits at a gateway.
type Ticket struct {
	ID      ident.RequestID
	Gateway ident.NodeID
	Tier    ident.TierName
	Team    ident.TeamName
	Route   ident.RouteName
	// Idempotent is false for requests that must not run twice.
	Idempotent bool
	// Remaining is the time left until the deadline when the ticket was sent.
	Remaining time.Duration
	// PromptTokens and OutputTokens are the gateway's estimates. Both are zero
	// for plain services.
	PromptTokens int
	OutputTokens int
	// Prefixes holds chained hashes of the prompt's blocks, longest prefix last.
	Prefixes []uint64
	// PrefixTokens holds, for each element of Prefixes, the number of prompt
	// tokens up to its end. Without it the blocks are assumed to be of equal
	// size.
	PrefixTokens []int
	// Objective is the time left, when the ticket was sent, for the answer to
	// begin; zero if the request has no objective. A request past its objective
	// is still served, after those that can meet theirs.
	Objective time.Duration
	// Returned is true for a retry by the caller. The objective counts from the
	// caller's first attempt, so a retry has already missed it.
	Returned bool
	// Patience is the time left, when the ticket was sent, until the caller gives
	// up if the answer has not begun; zero if unknown.
	Patience time.Duration
	// Cost is what the request uses of its team's quota, in tokens.
	Cost float64
	// Resumes is true for the remainder of a stream that broke off.
	Resumes bool
	// Sent is true if the gateway has begun to send the request before, and Arrived if an
	// upstream may have got it, also if that rejected it.
	Sent, Arrived bool
	// Parts identifies the parts of the prompt that other requests may have too.
	Parts []uint64
	// Fingerprint identifies the request, and Content what it holds besides the parts of
	// its prompt; 0 if unknown. Both are the same without such parts.
	Fingerprint, Content uint64
	// BodyBytes is the memory that the request occupies at its gateway.
	BodyBytes int64
	// Excluded lists upstreams that provably did not get the request. It is not
	// sent to them again.
	Excluded []ident.UpstreamName
	// Regions are those in which the request may be served; nil means all, an empty list
	// none.
	Regions []ident.Region
}

// Grant permits one dispatch of one ticket.
type Grant struct {
	Ticket   ident.RequestID
	Epoch    ident.Epoch
	Upstream ident.UpstreamName
	Version  ident.VersionName
	// First is the expected time from dispatch until the answer begins; 0 if
	// unknown.
	First time.Duration
	// Limited is true if the upstream names a rate limit or is brittle, as far as the
	// scheduler knows.
	Limited bool
	// Trial is true for a request that is refused, or holds a refused part, and runs to
	// show whether that is sound again.
	Trial bool
	// Peer is another gateway that had an answer from the upstream PeerAge ago; empty if
	// there is none.
	Peer    ident.NodeID
	PeerAge time.Duration
	// Choice says why the upstream was chosen.
	Choice Choice
	// TTL is how long the gateway may use the grant, counted from when it sent
	// the call that the grant answers. After that it drops the grant.
	TTL time.Duration
}

// Choice holds the figures behind the choice of an upstream, for logs.
type Choice struct {
	// Expected is the expected cost of the request there, Error its standard error, and Age
	// that of the upstream's latest answer; 0 for one that has none.
	Expected, Error, Age time.Duration
	// Alike counts the candidates that count as equally fast, the chosen one included.
	Alike int
	// Crossing is the part of Expected for bytes that leave the gateway's data centre.
	Crossing time.Duration
	// Next is the cheapest one of the other candidates, which would cost NextExpected; empty
	// if there is none.
	Next         ident.UpstreamName
	NextExpected time.Duration
}

// String implements fmt.Stringer.
func (c Choice) String() string {
	text := fmt.Sprintf("expected %d ms, error %d ms, last answer %d ms ago, %d alike", c.Expected.Milliseconds(), c.Error.Milliseconds(), c.Age.Milliseconds(), c.Alike)
	if c.Crossing > 0 {
		text += fmt.Sprintf(", %d ms of it for another data centre", c.Crossing.Milliseconds())
	}
	if c.Next == "" {
		return text
	}
	return text + fmt.Sprintf(", next %s at %d ms", c.Next, c.NextExpected.Milliseconds())
}

// BeginResult states whether a granted request may be sent.
type BeginResult uint8

const (
	// BeginSend means that the request is to be sent now.
	BeginSend BeginResult = iota + 1
	// BeginLapsed means that the grant has expired or belongs to an older epoch.
	BeginLapsed
	// BeginLeaving means that the upstream has said that it leaves.
	BeginLeaving
	// BeginPaused means that the upstream asked this gateway for a pause.
	BeginPaused
)

// Reason states why a request was refused.
type Reason string

const (
	// ReasonDeadline means that the request could not finish in time.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload means that work of its own or higher tiers fills the pool.
	ReasonOverload Reason = "overload"
	// ReasonNoUpstream means that the pool has no upstream able to serve.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonMemory means that a limit on the bytes of waiting requests was
	// reached.
	ReasonMemory Reason = "memory"
	// ReasonDraining means that the node is leaving.
	ReasonDraining Reason = "draining"
	// ReasonCutOff means that the node holds no fresh lease.
	ReasonCutOff Reason = "cut_off"
	// ReasonUnsent means that no connection to an upstream could be made.
	ReasonUnsent Reason = "unsent"
	// ReasonRetryBudget means that the request would have to be sent once more and the
	// retry budget does not allow it.
	ReasonRetryBudget Reason = "retry_budget"
	// ReasonQuota means that the team has used up its quota.
	ReasonQuota Reason = "quota"
	// ReasonPoisonPart means that upstreams end when they answer a request with a
	// part of this prompt.
	ReasonPoisonPart Reason = "poison_part"
	// ReasonPoisonRequest means that upstreams end when they run this request.
	ReasonPoisonRequest Reason = "poison_request"
)

// Refusal ends one ticket whose request was not run.
type Refusal struct {
	Ticket ident.RequestID
	Reason Reason
	// RetryAfter is the scheduler's estimate of when capacity returns.
	RetryAfter time.Duration
}

// Decision is the scheduler's decision on one ticket: exactly one of Grant and
// Refusal is set.
type Decision struct {
	Gateway ident.NodeID
	Grant   *Grant
	Refusal *Refusal
	Basis   Basis
}

// Basis holds the figures behind a decision, for logs.
type Basis struct {
	// Waited is how long the ticket waited at the scheduler, and Wait the wait
	// that was estimated when it arrived.
	Waited time.Duration
	Wait   time.Duration
	// Slots counts the slots of the upstreams in rotation, Running and Waiting
	// the tickets.
	Slots, Running, Waiting int
	// Ejected counts the upstreams out of rotation, Limited those under a rate limit and
	// Brittle those that are brittle.
	Ejected, Limited, Brittle int
	// Cold counts the upstreams that are bounded because they have just started.
	Cold int
	// Percent is the percentage of the pool's capacity that this scheduler may
	// use.
	Percent int
	// Retry says what the reservations for retries decided; empty if they don't apply.
	Retry string
}

// String implements fmt.Stringer.
func (b Basis) String() string {
	text := fmt.Sprintf("waited %d ms, %d ms ahead, %d running, %d waiting, %d slots, %d upstreams ejected, %d limited, %d brittle, %d%% of capacity",
		b.Waited.Milliseconds(), b.Wait.Milliseconds(), b.Running, b.Waiting, b.Slots, b.Ejected, b.Limited, b.Brittle, b.Percent)
	if b.Cold > 0 {
		text += fmt.Sprintf(", %d cold or warming up", b.Cold)
	}
	if b.Retry != "" {
		text += "; " + b.Retry
	}
	return text
}

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
	// ClearAnswered records what was answered, since upstreams ended under it, at gateways
	// that may use another scheduler.
	ClearAnswered(answered poison.Answered, now time.Duration)
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
	// Elsewhere counts the grants so far of upstreams outside their gateways' data centres, where
	// that matters.
	Elsewhere int
	// BeyondShares counts the grants so far to versions beyond their shares.
	BeyondShares int
	// Retries counts the retries so far that took from the retry budget, RetriesRefused those
	// that it did not allow, and RetriesLeft is what is left of it.
	Retries, RetriesRefused int
	RetriesLeft             float64
	// Reservations are those for retries of refused callers, and Unplanned counts the refusals
	// for load so far that had none and no RetryAfter.
	Reservations retryslots.Counts
	Unplanned    int
	// Cold counts the upstreams in their cold time, and ColdHolds the tickets so far that
	// waited while a cold upstream with free slots might get no more requests.
	Cold, ColdHolds int
}
