// Package scheduler decides, for one pool, which request runs on which upstream
// and when, and which requests are refused. It does no I/O and reads no clock:
// the caller passes the time.
package scheduler

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
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
	// Next is the cheapest one of the other candidates, which would cost NextExpected; empty
	// if there is none.
	Next         ident.UpstreamName
	NextExpected time.Duration
}

// String implements fmt.Stringer.
func (c Choice) String() string {
	text := fmt.Sprintf("expected %d ms, error %d ms, last answer %d ms ago, %d alike", c.Expected.Milliseconds(), c.Error.Milliseconds(), c.Age.Milliseconds(), c.Alike)
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
}

// String implements fmt.Stringer.
func (b Basis) String() string {
	text := fmt.Sprintf("waited %d ms, %d ms ahead, %d running, %d waiting, %d slots, %d upstreams ejected, %d limited, %d brittle, %d%% of capacity",
		b.Waited.Milliseconds(), b.Wait.Milliseconds(), b.Running, b.Waiting, b.Slots, b.Ejected, b.Limited, b.Brittle, b.Percent)
	if b.Cold > 0 {
		text += fmt.Sprintf(", %d cold or warming up", b.Cold)
	}
	return text
}

// Upstream describes one upstream to the scheduler.
type Upstream struct {
	Name          ident.UpstreamName
	Version       ident.VersionName
	Zone          ident.Zone
	MaxConcurrent int
	// Leaving upstreams get no new work.
	Leaving bool
	// Process is the same for upstreams that may be one process under several names; empty
	// if that can't be told.
	Process string
	// Region is the region of the upstream's data centre; empty if it isn't known.
	Region ident.Region
	// Evacuated upstreams get no new work until the evacuation of their data centre ends.
	Evacuated bool
	// ColdFor is how much longer the upstream was cold when ColdNumber last changed, which
	// grows each time that it becomes cold or stays so for longer.
	ColdFor    time.Duration
	ColdNumber uint64
}

// VersionShare directs a fraction of a pool's traffic to one version.
type VersionShare struct {
	Version ident.VersionName
	// Share is the fraction of idempotent traffic, 0 to 1.
	Share float64
	// NonIdempotentShare is the fraction of non-idempotent traffic, 0 to 1.
	NonIdempotentShare float64
}

// Tier describes a tier of service to the scheduler. A tier of higher Rank is
// served first. Reserve is the fraction of the slots that the tier may use for
// tickets close to their deadlines.
type Tier struct {
	Name    ident.TierName
	Rank    int
	Reserve float64
}

// Team describes a team to the scheduler. Shares is its weight among the teams of
// a tier.
type Team struct {
	Name   ident.TeamName
	Shares int
}

// View is the scheduler's input from configuration, membership and moves.
type View struct {
	Pool       ident.PoolName
	Revision   ident.Revision
	QueueLimit int
	Tiers      []Tier
	Teams      []Team
	Upstreams  []Upstream
	// Incomplete is true while the list of upstreams may lack some.
	Incomplete bool
	// Shares sum to 1 over the versions that get traffic.
	Shares []VersionShare
	// Gateways lists the nodes that hold a lease. Slots used by other nodes stay
	// counted until the upstream reports them free or a timeout passes.
	Gateways []ident.NodeID
	// Poison holds the records of refused parts and requests that the leader knows, of
	// all pools, and Ends the ends of upstreams under requests.
	Poison []poison.Record
	Ends   []poison.End
	// Cold limits the load of upstreams that have just started; nil means no limit.
	Cold *config.ColdLimit
	// Shared is set where no lease prevents other schedulers from serving the
	// pool at the same time.
	Shared *Shared
}

// Shared configures a shared scheduler: one that may run beside other schedulers
// of the same pool. Of the upstreams' slots, the quotas and the retry budget it
// uses only the fraction that its registered gateways make up of all gateways.
type Shared struct {
	// In any RetryWindow, RetryRatio retries for each request and RetryBurst more may be
	// sent; a window of 0 selects 10 s.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// Neighbours are the gateways that have the same scheduler if all is well; nil means all.
	Neighbours []ident.NodeID
	// FirstStart is true if the whole system started for the first time when this process
	// did, so that no scheduler was there before.
	FirstStart bool
	// Quotas bounds what teams use. Several pools may share it.
	Quotas *Quotas
	// Phase is a number from 0 to 1 that differs between schedulers. Those that use
	// a small fraction of a rate limit grant out of phase.
	Phase float64
	// CutOffGrace is how long a gateway goes on serving requests under quotas
	// after it has lost the leader.
	CutOffGrace time.Duration
}
