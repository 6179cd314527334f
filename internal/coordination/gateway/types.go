// Package gateway serves one caller request from acceptance to its answer: it
// queues the request, claims its idempotency key, dispatches it and commits its
// outcome. It holds bodies and streams, but knows no HTTP and opens no sockets.
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
	// Admission is the memory reserved by Admit; Serve releases it. If it is nil, Serve
	// reserves memory itself.
	Admission *Reservation
	// Rank is the tier's rank; requests of a lower rank are shed first.
	Rank       int
	Idempotent bool
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time

	// Host is the host that the caller named, without a port; empty where routes do
	// not depend on it.
	Host        string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Stream is true when the caller wants tokens as they are generated.
	Stream bool
	// Engine is true when a model engine serves the pool.
	Engine bool

	// Key and Digest are set on non-idempotent routes.
	Key    string
	Digest ledger.Digest
	// StatusPath is the path of the service's status query; empty if it has none.
	StatusPath string

	PromptTokens int
	OutputTokens int
	// MaxOutputTokens is the most output tokens that the caller allows; 0 if unknown.
	MaxOutputTokens int
	Prefixes        []uint64
	// PrefixTokens holds the prompt tokens up to the end of each prefix.
	PrefixTokens []int
	// Parts identifies the parts of the prompt that other requests may have too,
	// wherever they stand in it. The request's own last part is not among them.
	Parts []uint64

	// Fields are the header fields to forward to the upstream unchanged.
	Fields []HeaderField
	// Objective is the time by which the answer should begin; zero if the request
	// has none.
	Objective time.Time
	// GiveUpAt is the time at which the caller gives up if the answer has not
	// begun; zero if unknown.
	GiveUpAt time.Time
	// CallerTimeout is the timeout that the caller set for the request; zero if it
	// set none.
	CallerTimeout time.Duration
	// ObjectiveDuration is the time from the arrival of the request to Objective.
	ObjectiveDuration time.Duration
	// Cost is the part of its team's quota that the request uses, in tokens.
	Cost float64
	// MaxAttempts bounds the upstreams that the request may be sent to; 0
	// means one.
	MaxAttempts int
	// Repeatable permits a retry at another upstream after a failure. Resumable
	// permits a broken stream to be resumed at another upstream.
	Repeatable bool
	Resumable  bool
	// SkipClaim marks a non-idempotent request that its caller never resends
	// under the same id: it is sent at most once and needs no claim in the
	// ledger.
	SkipClaim bool
	// Regions are those in which the request may be served, as in scheduler.Ticket.
	Regions []ident.Region
	// AllowStaleLease permits the request at a node without a fresh lease.
	AllowStaleLease bool
	// ResumeAfter is the id of the last event that the caller received; empty at
	// the beginning of a stream.
	ResumeAfter string

	// fingerprint identifies the request, and content what it holds besides the parts of
	// its prompt; see setFingerprint.
	fingerprint, content uint64
	// isRetry is true when the caller has made an earlier attempt; see
	// RetryDetector.
	isRetry bool
	// sends counts the dispatches that may have reached an upstream.
	sends int
	// begun is true once the gateway has begun to send the request, and arrived once an
	// upstream may have got it, also if that rejected it.
	begun, arrived bool
	// unrelayed is true once no other gateway relayed the request.
	unrelayed bool
	// provenUnrun is true if the ledger's last answer proves that no send of the request
	// under its key had run.
	provenUnrun bool
	// attempt is the number of the latest claim of the request.
	attempt uint32
}

// HeaderField is one header field that the gateway forwards.
type HeaderField struct {
	Name  string
	Value string
}

// AnswerHeader holds the status and the header fields of an answer.
type AnswerHeader struct {
	Status      int
	ContentType string
	// Framing is that of the upstream's answer. One that is FramedByConnection must end
	// by its connection for the caller too: nothing else may vouch for its end.
	Framing Framing
	// Fields are the upstream's other header fields, if they are forwarded to the
	// caller.
	Fields   []HeaderField
	Upstream ident.UpstreamName
	Version  ident.VersionName
	Replayed bool
}

// Sink delivers an answer to the caller.
type Sink interface {
	// Begin sends the header. It is called at most once.
	Begin(h AnswerHeader) error
	// Write sends a part of the body immediately.
	Write(part []byte) error
}

// Result is the outcome of a request.
type Result struct {
	// Answered is true when the sink received the complete answer.
	Answered bool
	// Failure is set otherwise.
	Failure *Failure
}

// Failure describes a request that ended without a complete answer.
type Failure struct {
	Reason Reason
	// NotRun is true when no byte of this send reached an upstream and no claim of
	// it is left that a resend could find. OutcomeOf also considers other sends.
	NotRun     bool
	RetryAfter time.Duration
	Message    string
	// Begun is true when the sink has already received a part of the answer.
	Begun bool
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s: %s", f.Reason, f.Message)
}

// Reason is the cause of a failure: one of the constants below or a
// scheduler.Reason.
type Reason string

// Reasons that the gateway adds to the scheduler's.
const (
	ReasonTimeout        Reason = "timeout"
	ReasonCallerLeft     Reason = "caller_left"
	ReasonUpstreamFailed Reason = "upstream_failed"
	ReasonAnswerMismatch Reason = "answer_mismatch"
	ReasonAnswerLost     Reason = "answer_lost"
	ReasonKeyReused      Reason = "idempotency_key_reused"
	ReasonKeyExpired     Reason = "idempotency_key_expired"
	ReasonKeyMalformed   Reason = "idempotency_key_malformed"
	ReasonLedgerFull     Reason = "ledger_full"
	ReasonNoQuorum       Reason = "no_quorum"
	ReasonUnknownPool    Reason = "unknown_pool"
)

// Target is an upstream with its name.
type Target struct {
	Name     ident.UpstreamName
	Upstream config.Upstream
}

// Dispatch is one attempt to send a request to an upstream.
type Dispatch struct {
	Request *Request
	Target  Target
	// Version is the version that the grant names.
	Version ident.VersionName
	// Relay is the host:port of the gateway to send the request through; empty for a
	// direct sending. Fresh demands a new connection, and ReuseOnly one from before: without
	// one the request is unsent.
	Relay            string
	Fresh, ReuseOnly bool
	// Gateway is the node that sends the request, and TunnelEnded, if set, is told how the
	// connection through Relay ended.
	Gateway     ident.NodeID
	TunnelEnded func(how string)
	// Leaving reports whether the upstream gets no new requests any more, so that it may stop
	// soon; nil if that isn't known.
	Leaving func() bool
	// TakesNoRequests reports whether the upstream is to get no request from this gateway now, not
	// even a health check; nil if there is no reason for that.
	TakesNoRequests func() bool
	// OnStall, if set, is called if the bytes of the request are not acknowledged StallAfter
	// after they were sent. It is optional for Upstreams to detect that.
	OnStall    func()
	StallAfter time.Duration
}

// DispatchOutcome is the outcome of a dispatch.
type DispatchOutcome uint8

const (
	// DispatchComplete means that the complete answer arrived.
	DispatchComplete DispatchOutcome = iota + 1
	// DispatchUnsent means that provably no byte of the request was sent.
	DispatchUnsent
	// DispatchIncomplete means that no answer arrived or that it was cut short.
	DispatchIncomplete
	// DispatchMismatched means that the answer belongs to another request.
	DispatchMismatched
	// DispatchRejected means that the upstream declined the request: it did not
	// run it and never will.
	DispatchRejected
	// DispatchMisdirected means that another upstream answered at the address
	// and declined the request.
	DispatchMisdirected
	// DispatchUnwritable means that the request can't be written for the upstream, as a text
	// in its head would end a line. No byte was sent, and nothing is learned of the upstream.
	DispatchUnwritable
)

// isUnsent reports whether provably no byte of the request was sent.
func (o DispatchOutcome) isUnsent() bool { return o == DispatchUnsent || o == DispatchUnwritable }

// DispatchResult describes how a dispatch ended.
type DispatchResult struct {
	Outcome DispatchOutcome
	// Status is the HTTP status of a complete answer.
	Status       int
	OutputTokens int
	// LastEvent is the id of the last stream event that was forwarded, and Events
	// is the number of forwarded events.
	LastEvent string
	Events    int
	// Resumed is the number of times that a broken stream was resumed.
	Resumed int
	// FreshConn is true if the request was sent on a new connection.
	FreshConn bool
	// Conn is the number of the connection that the request was sent on, which tells those
	// of a gateway apart, and ConnCalls the number of requests that it had carried before;
	// Conn is 0 if that isn't known.
	Conn      uint64
	ConnCalls int
	// ConnAge is how long before the sending the connection was opened; 0 if unknown.
	ConnAge time.Duration
	// Skipped is the number of answers before the request's, or in its place, that belong
	// to other requests or to none, and SkippedNameless of those without a request id.
	Skipped, SkippedNameless int
	// Broken is true if the upstream broke off the connection before the answer was
	// complete.
	Broken bool
	// Framing and BytesEnd say how the upstream marked the end of the answer's body and
	// how its bytes ended; zero if no body was read.
	Framing  Framing
	BytesEnd BytesEnd
	// EventStream is true if the answer was passed on as events, and WithinEvent if it
	// ended within one.
	EventStream, WithinEvent bool
	// Evidence, if set, returns what is known of the upstream's process; it is called a while
	// after the answer has ended with its connection.
	Evidence func() EndEvidence
	// Reconnect, if set, connects to the upstream in the same way as the dispatch, and closes
	// the connection. It fails with ErrInconclusive if that shows nothing of the upstream,
	// and with ErrNextStart if another process accepted it.
	Reconnect func(ctx context.Context) error
	// EndBasis names what decided whether that was the end of the answer; empty if it was not
	// checked. CheckTime is how long the check took.
	EndBasis  EndBasis
	CheckTime time.Duration
	// HeldBack is the size of the text before the first event that the caller did not get
	// because the attempt failed, in bytes.
	HeldBack int
	Err      error
}

// AnswerSink receives an upstream's answer as it arrives.
type AnswerSink interface {
	// Notice receives what the header of an answer says about the upstream. It is
	// called as soon as the header was read, for every answer of the upstream that
	// the request was sent to, also one that declines the request.
	Notice(n scheduler.UpstreamNotice)
	// Begin receives what the header says. It is called at most once, before any Write
	// or Events. An answer that it returns an error for must not be read.
	Begin(head AnswerHead) error
	// Fields receives the header fields to forward. It is called before Begin.
	Fields(fields []HeaderField)
	// FirstToken is called when the content of an answer begins that is passed on with
	// Write.
	FirstToken()
	// Events receives events of a stream in order and returns how many of them are passed
	// on. After an error the answer must not be read further.
	Events(events []StreamEvent) (passed int, err error)
	// Write receives a part of the body. The memory of part is reused after the
	// call.
	Write(part []byte) error
}

// Upstreams sends requests to upstreams.
type Upstreams interface {
	// Send sends the request once and passes the answer to sink. If ctx ends
	// early, Send cancels the request at the engine.
	Send(ctx context.Context, d Dispatch, sink AnswerSink) DispatchResult
	// Status asks a plain service for the outcome of an idempotency key. It
	// returns nil if the service does not know the key or the query fails.
	Status(ctx context.Context, d Dispatch) *ledger.Answer
}

// Ledger is a client of the replicated request ledger.
type Ledger interface {
	// Lookup returns the state of a key. It waits up to the given time for a
	// running claim to end. Found is false when no claim holds the key. Lookup
	// does not compare digests; Claim does.
	Lookup(ctx context.Context, k ledger.Key, wait time.Duration) (result ledger.ClaimResult, found bool, err error)
	// Claim commits a claim. After an error the claim may or may not have been
	// committed.
	Claim(ctx context.Context, c ledger.Claim) (ledger.ClaimResult, error)
	// Release releases the claim of a request that was provably never sent.
	Release(ctx context.Context, r ledger.Release) error
	// Complete commits the outcome of a claimed request.
	Complete(ctx context.Context, c ledger.Complete) error
}

// Placer queues tickets with a pool's scheduler; pool.Client implements it.
type Placer interface {
	// Place waits for the scheduler's decision or the end of ctx.
	Place(ctx context.Context, t scheduler.Ticket, deadline time.Time) (scheduler.Decision, error)
	// Begin reports whether a granted request may be sent now.
	Begin(id ident.RequestID) scheduler.BeginResult
	// Relayed records that a granted request is sent through another gateway.
	Relayed(id ident.RequestID, peer ident.NodeID)
	// Notice reports what the header of the answer says about the upstream, and
	// returns whether this gateway learns something new from it.
	Notice(id ident.RequestID, n scheduler.UpstreamNotice) (isNew bool)
	// FirstToken reports that the answer began. ConnAge is as in scheduler.Report.
	FirstToken(id ident.RequestID, cachedTokens int, connAge time.Duration)
	// Finish reports the end of a granted request.
	Finish(id ident.RequestID, end scheduler.Ending)
}

// Environment is the gateway's view of its node and of the configuration.
type Environment interface {
	// Fresh reports whether the node holds a lease that has certainly not
	// expired.
	Fresh() bool
	// Placer returns the client of a pool's scheduler; nil if the pool is
	// unknown.
	Placer(pool ident.PoolName) Placer
	// Upstream returns an upstream that may get new work: one that is configured
	// and not known to be leaving.
	Upstream(name ident.UpstreamName) (config.Upstream, bool)
	// PoolUpstreams returns all upstreams of a pool that are not gone, for
	// status queries.
	PoolUpstreams(pool ident.PoolName) []Target
	// Identity returns the node's id and current incarnation.
	Identity() (ident.NodeID, ident.Incarnation)
}
