// Package gateway carries one caller request from acceptance to its answer:
// waiting, claim, dispatch, outcome. It holds bodies and streams, knows no HTTP
// and opens no sockets.
package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// Request is one caller request whose route, team and tier are known.
type Request struct {
	ID    ident.RequestID
	Team  ident.TeamName
	Route ident.RouteName
	Pool  ident.PoolName
	Tier  ident.TierName
	// TeamWaitingBytes bounds the memory that the team may hold at this
	// gateway; zero selects the default share.
	TeamWaitingBytes int64
	// Rank is the tier's rank; work of a higher rank is shed later.
	Rank       int
	Idempotent bool
	// Deadline is when the answer must be whole.
	Deadline time.Time

	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Stream is true when the caller wants tokens as they come.
	Stream bool
	// Engine is true when a model engine serves the pool.
	Engine bool

	// Key and Digest are set on non-idempotent routes.
	Key    string
	Digest ledger.Digest
	// StatusPath is the service's status query; empty if it has none.
	StatusPath string

	PromptTokens int
	OutputTokens int
	Prefixes     []uint64
	// PrefixTokens holds the prompt tokens up to the end of each prefix.
	PrefixTokens []int

	// Fields are header fields to pass on to the upstream as they are.
	Fields []HeaderField
	// Objective is when the answer should begin; zero if the request has none.
	Objective time.Time
	// Patience is when the caller gives up an answer that has not begun; zero if
	// unknown.
	Patience time.Time
	// CallerTime is the time that the caller gives the request; zero if it names none.
	CallerTime time.Duration
	// ObjectiveSpan is the whole time that the request had for it.
	ObjectiveSpan time.Duration
	// Cost is what the request takes of its team's quota, in tokens.
	Cost float64
	// MaxAttempts bounds the upstreams that the request may be sent to; 0
	// means one.
	MaxAttempts int
	// Repeatable permits the request to run again at another upstream after a
	// failure, and Resumable a stream to go on there.
	Repeatable bool
	Resumable  bool
	// Unclaimed marks a non-idempotent request that its caller never resends
	// under the same id: it is sent at most once and needs no claim.
	Unclaimed bool
	// Unleased permits the request at a node without a fresh lease.
	Unleased bool
	// ResumeAfter is the id of the last event that the caller got; empty at the
	// beginning of a stream.
	ResumeAfter string

	// returned is true for a caller that has tried before.
	returned bool
	// sends counts the dispatches that may have reached an upstream.
	sends int
	// attempt numbers the claims of the request.
	attempt uint32
}

// HeaderField is one header field that the gateway passes on.
type HeaderField struct {
	Name  string
	Value string
}

// AnswerHeader begins an answer.
type AnswerHeader struct {
	Status      int
	ContentType string
	// Fields are the upstream's other header fields, where the edge passes
	// them on.
	Fields   []HeaderField
	Upstream ident.UpstreamName
	Version  ident.VersionName
	Replayed bool
}

// Sink takes the answer to the caller.
type Sink interface {
	// Begin sends the header. It is called at most once.
	Begin(h AnswerHeader) error
	// Write sends a part of the body at once.
	Write(part []byte) error
}

// Result is how a request ended.
type Result struct {
	// Answered is true when the sink got a whole answer.
	Answered bool
	// Failure is set otherwise.
	Failure *Failure
}

// Failure is a request that ended without a whole answer.
type Failure struct {
	Reason Reason
	// NotRun is true when no byte of the request reached an upstream and no
	// claim is left that a resend could find.
	NotRun     bool
	RetryAfter time.Duration
	Message    string
	// Begun is true when the sink already got a part of the answer.
	Begun bool
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %s", f.Reason, f.Message)
}

// Reason is the cause of a failure. Reasons of the scheduler are taken over.
type Reason string

// Reasons that the gateway adds to the scheduler's.
const (
	ReasonTimeout     Reason = "timeout"
	ReasonCallerLeft  Reason = "caller_left"
	ReasonFailed      Reason = "upstream_failed"
	ReasonCrossed     Reason = "answer_mismatch"
	ReasonLostAnswer  Reason = "answer_lost"
	ReasonMismatch    Reason = "idempotency_key_reused"
	ReasonExpired     Reason = "idempotency_key_expired"
	ReasonMalformed   Reason = "idempotency_key_malformed"
	ReasonLedgerFull  Reason = "ledger_full"
	ReasonNoQuorum    Reason = "no_quorum"
	ReasonUnknownPool Reason = "unknown_pool"
)

// Target is an upstream with its name.
type Target struct {
	Name     ident.UpstreamName
	Upstream config.Upstream
}

// Dispatch is one sending of a request to an upstream.
type Dispatch struct {
	Request *Request
	Target  Target
	// Version is the version that the grant names.
	Version ident.VersionName
}

// DispatchOutcome tells how a dispatch ended.
type DispatchOutcome uint8

const (
	// DispatchWhole means that the whole answer came.
	DispatchWhole DispatchOutcome = iota + 1
	// DispatchUnsent means that provably no byte of the request was sent.
	DispatchUnsent
	// DispatchBroken means that the answer did not come or was cut short.
	DispatchBroken
	// DispatchCrossed means that the answer belongs to another request.
	DispatchCrossed
	// DispatchRejected means that the upstream declined: it did not run the
	// request and never will.
	DispatchRejected
	// DispatchMisdirected means that another upstream answered at the address
	// and declined the request.
	DispatchMisdirected
)

// DispatchResult is the end of a dispatch.
type DispatchResult struct {
	Outcome DispatchOutcome
	// Status is the HTTP status of a whole answer.
	Status       int
	OutputTokens int
	// LastEvent is the id of the last event that was passed on, and Events
	// their number.
	LastEvent string
	Events    int
	// Resumed counts how often a broken stream was taken up again.
	Resumed int
	Err     error
}

// AnswerSink takes an upstream's answer as it comes.
type AnswerSink interface {
	// Begin takes the header. It is called at most once, before any Write.
	Begin(status int, contentType string) error
	// Fields takes the header fields to pass on. It is called before Begin.
	Fields(fields []HeaderField)
	// FirstToken tells that the answer's content began.
	FirstToken()
	// Write takes a part of the body. The part is reused after the call.
	Write(part []byte) error
}

// Upstreams sends requests to upstreams.
type Upstreams interface {
	// Send sends the request once and passes the answer to sink. When ctx ends
	// early it cancels the request at the engine.
	Send(ctx context.Context, d Dispatch, sink AnswerSink) DispatchResult
	// Status asks a plain service for the outcome of an idempotency key. It
	// returns nil when the service does not know the key or can't tell.
	Status(ctx context.Context, d Dispatch) *ledger.Answer
}

// Ledger reaches the replicated request ledger.
type Ledger interface {
	// Lookup reads what is known of a key. It waits up to wait for a running
	// claim to end. Found is false when no claim holds the key. It does not
	// compare digests; a claim does.
	Lookup(ctx context.Context, k ledger.Key, wait time.Duration) (result ledger.ClaimResult, found bool, err error)
	// Claim commits a claim. After an error the claim may or may not stand.
	Claim(ctx context.Context, c ledger.Claim) (ledger.ClaimResult, error)
	// Release gives back a claim of a request that was provably never sent.
	Release(ctx context.Context, r ledger.Release) error
	// Complete commits the outcome of a claimed request.
	Complete(ctx context.Context, c ledger.Complete) error
}

// Placer queues tickets with a pool's scheduler; pool.Client implements it.
type Placer interface {
	// Place waits for the scheduler's decision or the end of ctx.
	Place(ctx context.Context, t scheduler.Ticket, deadline time.Time) (scheduler.Decision, error)
	// Begin asks whether a granted request may be sent now.
	Begin(id ident.RequestID) bool
	// FirstToken reports that the answer began.
	FirstToken(id ident.RequestID, cachedTokens int)
	// Finish reports the end of a granted request.
	Finish(id ident.RequestID, kind scheduler.ReportKind, outputTokens int)
}

// Environment is what the gateway knows of its node at one moment.
type Environment interface {
	// Fresh reports whether the node holds a lease that has surely not ended.
	Fresh() bool
	// Placer returns the way to a pool's scheduler; nil if the pool is unknown.
	Placer(pool ident.PoolName) Placer
	// Upstream returns an upstream that may get new work: one that is
	// configured and not known to leave.
	Upstream(name ident.UpstreamName) (config.Upstream, bool)
	// PoolUpstreams returns all upstreams of a pool that are not gone, for
	// status queries.
	PoolUpstreams(pool ident.PoolName) []Target
	// Identity names the node's present life.
	Identity() (ident.NodeID, ident.Incarnation)
}
