// Package scheduler decides for one pool which request runs where, when, and
// whether at all. It does no I/O and reads no clock: time is passed in.
package scheduler

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Ticket stands for one request that waits at a gateway.
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
	// PrefixTokens holds, for each of Prefixes, the prompt tokens up to its end.
	// Without it the blocks are taken to be of equal size.
	PrefixTokens []int
	// Objective is the time left, when the ticket was sent, in which the answer
	// should begin; zero if the request has none. A request past its objective
	// is still served, after those that can meet theirs.
	Objective time.Duration
	// Returned is true when the caller has tried before, so that its objective, which
	// counts from its first attempt, has passed.
	Returned bool
	// Patience is the time left, when the ticket was sent, after which its caller
	// gives up an answer that has not begun; zero if unknown.
	Patience time.Duration
	// Cost is what the request takes of its team's quota, in tokens.
	Cost float64
	// Resumes is true for the rest of a stream that broke on its way.
	Resumes bool
	// BodyBytes is the memory that the request holds at its gateway.
	BodyBytes int64
	// Excluded names upstreams that provably did not get the request.
	Excluded []ident.UpstreamName
}

// Grant permits one dispatch of one ticket.
type Grant struct {
	Ticket   ident.RequestID
	Epoch    ident.Epoch
	Upstream ident.UpstreamName
	Version  ident.VersionName
	// First is the expected time from dispatch to the first sign of an answer; 0
	// if unknown.
	First time.Duration
	// TTL runs from the moment the gateway sent the call that the grant
	// answers. A gateway drops the grant after it.
	TTL time.Duration
}

// Reason tells why a request was refused.
type Reason string

const (
	// ReasonDeadline means that the request could not finish in time.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload means that work of its own or higher tiers fills the pool.
	ReasonOverload Reason = "overload"
	// ReasonNoUpstream means that the pool has no upstream able to serve.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonMemory means that a limit on waiting bytes was reached.
	ReasonMemory Reason = "memory"
	// ReasonDraining means that the node is leaving.
	ReasonDraining Reason = "draining"
	// ReasonCutOff means that the node holds no fresh lease.
	ReasonCutOff Reason = "cut_off"
	// ReasonUnsent means that no connection to an upstream could be made.
	ReasonUnsent Reason = "unsent"
	// ReasonQuota means that the team has used up its quota.
	ReasonQuota Reason = "quota"
)

// Refusal ends one ticket that was not run.
type Refusal struct {
	Ticket ident.RequestID
	Reason Reason
	// RetryAfter is the scheduler's estimate of when capacity returns.
	RetryAfter time.Duration
}

// Decision is the scheduler's word on one ticket: exactly one of Grant and
// Refusal is set.
type Decision struct {
	Gateway ident.NodeID
	Grant   *Grant
	Refusal *Refusal
	Basis   Basis
}

// Basis is what a decision went by, for logs.
type Basis struct {
	// Waited is how long the ticket waited here, and Wait the estimate of what a
	// ticket like it had ahead.
	Waited time.Duration
	Wait   time.Duration
	// Slots are those of upstreams in rotation, Running and Waiting tickets.
	Slots, Running, Waiting int
	// Ejected counts the upstreams out of rotation.
	Ejected int
	// Percent is the part of capacity that this scheduler may use.
	Percent int
}

// String implements fmt.Stringer.
func (b Basis) String() string {
	return fmt.Sprintf("waited %d ms, %d ms ahead, %d running, %d waiting, %d slots, %d upstreams ejected, %d%% of capacity",
		b.Waited.Milliseconds(), b.Wait.Milliseconds(), b.Running, b.Waiting, b.Slots, b.Ejected, b.Percent)
}

// ReportKind is a step in the life of a granted request.
type ReportKind uint8

const (
	// ReportDispatched says that the request was sent.
	ReportDispatched ReportKind = iota + 1
	// ReportFirstToken says that the answer began.
	ReportFirstToken
	// ReportEnded says that the answer is whole.
	ReportEnded
	// ReportFailed says that the upstream failed the request.
	ReportFailed
	// ReportUnsent says that the request provably did not reach the upstream;
	// the slot is free and the ticket waits again.
	ReportUnsent
	// ReportDropped says that the gateway let the grant lapse unused or that the caller left.
	ReportDropped
	// ReportUnknown says that the connection broke: the upstream may still run it.
	ReportUnknown
	// ReportRejected says that the upstream declined to run the request; the
	// slot is free and the ticket waits again.
	ReportRejected
	// ReportRepeat says that the upstream failed a request that may run again;
	// the ticket waits again.
	ReportRepeat
	// ReportOverdue says that the caller's deadline passed before the whole answer
	// was there: the upstream may still run the request.
	ReportOverdue
	// ReportMisdirected says that another upstream answers at the address and did
	// not run the request; the slot is free and the ticket waits again.
	ReportMisdirected
)

// Report tells the scheduler how a granted request fares.
type Report struct {
	Kind     ReportKind
	Ticket   ident.RequestID
	Gateway  ident.NodeID
	Upstream ident.UpstreamName
	// Elapsed is the time since dispatch.
	Elapsed time.Duration
	// OutputTokens counts tokens received so far.
	OutputTokens int
	// CachedTokens counts prompt tokens that the engine took from its cache.
	CachedTokens int
}

// Running is a dispatched request that a gateway names when it registers.
type Running struct {
	Ticket   Ticket
	Upstream ident.UpstreamName
	Version  ident.VersionName
	// Elapsed is the time since dispatch.
	Elapsed time.Duration
}

// Registration hands a gateway's waiting and running requests to a scheduler.
type Registration struct {
	Gateway     ident.NodeID
	Incarnation ident.Incarnation
	Waiting     []Ticket
	Running     []Running
	// Sent is what the gateway has sent lately by team, and Uptime how long it
	// has kept count; where quotas are shared.
	Sent   []TeamUsage
	Uptime time.Duration
}

// LoadReport is an upstream's own word about its load. It lags.
type LoadReport struct {
	Upstream ident.UpstreamName
	Running  int
	Waiting  int
	// CacheUsed is the filled part of the KV cache, 0 to 1.
	CacheUsed float64
	// Age is how old the figures are when the scheduler gets them.
	Age time.Duration
	// Versions lists the versions loaded and ready. Empty means unknown.
	Versions []ident.VersionName
}

// CacheEvent tells that an engine stored or evicted prefix blocks. Events come
// late and with gaps; Sequence shows the gaps.
type CacheEvent struct {
	Upstream ident.UpstreamName
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
	// Cleared says that the whole cache is empty.
	Cleared bool
}

// Upstream is one upstream as the pool's scheduler sees it.
type Upstream struct {
	Name          ident.UpstreamName
	Version       ident.VersionName
	Zone          ident.Zone
	MaxConcurrent int
	// Leaving upstreams get no new work.
	Leaving bool
}

// VersionShare directs a part of a pool's traffic to one version.
type VersionShare struct {
	Version ident.VersionName
	// Share is the part of idempotent traffic, 0 to 1.
	Share float64
	// NonIdempotentShare is the part of non-idempotent traffic, 0 to 1.
	NonIdempotentShare float64
}

// Tier is a tier of service as the scheduler needs it.
type Tier struct {
	Name    ident.TierName
	Rank    int
	Reserve float64
}

// Team is a team as the scheduler needs it.
type Team struct {
	Name   ident.TeamName
	Shares int
}

// View is all that the scheduler of one pool knows from configuration,
// membership and moves.
type View struct {
	Pool       ident.PoolName
	Revision   ident.Revision
	QueueLimit int
	Tiers      []Tier
	Teams      []Team
	Upstreams  []Upstream
	// Shares sum to 1 over the versions that get traffic.
	Shares []VersionShare
	// Gateways lists the nodes that hold a lease. Slots of others are counted
	// until the upstream reports them gone or a bound has passed.
	Gateways []ident.NodeID
	// Shared is set where no lease keeps other schedulers from serving the pool
	// at the same time.
	Shared *Shared
}

// Shared governs a scheduler that others may stand beside. It uses only the
// part of the upstreams' slots, of the quotas and of the retry budget that its
// registered gateways are of all gateways.
type Shared struct {
	// RetryRatio is the part of dispatches that may be repeated, and RetryBurst
	// the number of repetitions that may be saved up.
	RetryRatio float64
	RetryBurst float64
	// Quotas bounds what teams use; it may be common to several pools.
	Quotas *Quotas
	// CutOffServes is how long a gateway that has lost the leader goes on serving
	// requests under quotas.
	CutOffServes time.Duration
}

// Scheduler is the scheduler of one pool during one lease epoch. It is not
// safe for concurrent use. Every method takes the current time as the time
// since an arbitrary fixed origin of the process.
type Scheduler interface {
	// SetView replaces what the scheduler knows of configuration and members.
	SetView(v View, now time.Duration)
	// Register takes over a gateway's requests, also after a fail-over. It
	// places nothing until every gateway of the view has registered or the
	// grants of the former epoch have expired.
	Register(r Registration, now time.Duration)
	// Submit queues a ticket. A ticket that is already known is answered again.
	Submit(t Ticket, now time.Duration)
	// Cancel withdraws a waiting ticket whose caller left.
	Cancel(id ident.RequestID, now time.Duration)
	// Depart notes that a gateway has fallen silent. Its waiting tickets are
	// dropped; its running ones count until a bound has passed.
	Depart(gateway ident.NodeID, now time.Duration)
	// Report takes in how a granted request fares.
	Report(r Report, now time.Duration)
	// Load takes in an upstream's load report.
	Load(r LoadReport, now time.Duration)
	// Cache takes in an upstream's cache event.
	Cache(e CacheEvent, now time.Duration)
	// Tick lets time-driven work happen: expiries, early refusals, probes.
	Tick(now time.Duration)
	// Decisions returns and clears the decisions made since the last call.
	Decisions() []Decision
	// Rotations returns and clears the upstreams that were taken out of rotation or
	// back since the last call.
	Rotations() []Rotation
	// Stats returns counters for metrics and for choosing addresses.
	Stats() Stats
}

// Rotation tells that an upstream was taken out of rotation or back, and what that
// went by.
type Rotation struct {
	Upstream ident.UpstreamName
	Out      bool
	// Failures counts failures in a row, Failing is the part of recent outcomes that
	// were failures, and Slowness the multiple of its usual time that it takes.
	Failures int
	Failing  float64
	Slowness float64
}

// String implements fmt.Stringer.
func (r Rotation) String() string {
	state := "back in rotation"
	if r.Out {
		state = "out of rotation"
	}
	return fmt.Sprintf("%s is %s: %d failures in a row, %.0f%% of its answers failed lately, %.1f times its usual time",
		r.Upstream, state, r.Failures, 100*r.Failing, r.Slowness)
}

// Stats is a summary of a pool's state.
type Stats struct {
	Waiting int
	Running int
	// Capacity is the sum of the upstreams' present concurrency limits.
	Capacity int
	// WaitingByTier counts queued tickets per tier.
	WaitingByTier map[ident.TierName]int
}
