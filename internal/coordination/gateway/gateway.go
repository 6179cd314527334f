package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// MaxUnsent bounds how often one request is placed again after a dispatch that
// provably sent nothing.
const MaxUnsent = 3

// Gateway serves caller requests. It is safe for concurrent use.
type Gateway struct {
	env       Environment
	ledger    Ledger
	upstreams Upstreams
	budget    *Budget
	retries   RetryDetector
	paths     *Paths
	// freshConns knows to which upstreams new connections break.
	freshConns freshConns
	// ends counts the checks of ends of answers by what decided them.
	endsMu sync.Mutex
	ends   map[EndBasis]uint64
	// relays is nil if requests are only sent directly.
	relays Relays
	// evacuations is nil if there are none.
	evacuations Evacuations
	events      *timeline.Recorder
	// running ends, by endRunning, when all requests are to end.
	running    context.Context
	endRunning context.CancelCauseFunc
	// settling counts the commits of releases and outcomes that are under way,
	// also those of requests that were already answered.
	settling atomic.Int64
}

// New returns a gateway. Events may be nil.
func New(env Environment, l Ledger, u Upstreams, b *Budget, events *timeline.Recorder) *Gateway {
	g := &Gateway{env: env, ledger: l, upstreams: u, budget: b, events: events, paths: NewPaths(), ends: make(map[EndBasis]uint64)}
	g.running, g.endRunning = context.WithCancelCause(context.Background())
	return g
}

// Settling returns the number of requests whose release or outcome is still being
// committed. It includes requests that were already answered; their commits end
// at most StatusTimeout plus CommitTimeout later.
func (g *Gateway) Settling() int { return int(g.settling.Load()) }

var errDeadline = errors.New("deadline has passed")

// Admit reserves memory for a request before its body is read, whose size in bytes may be
// known. The caller releases the reservation unless it passes the request to Serve.
func (g *Gateway) Admit(ctx context.Context, r *Request, bodyBytes int64) (*Reservation, *Failure) {
	reservation, failure := g.budget.Acquire(ctx, r, bodyBytes)
	if failure != nil {
		g.record(r, timeline.KindAccepted, r.describe())
		g.recordEnd(r, Result{Failure: failure})
	}
	return reservation, failure
}

// Serve runs r until it is answered or has failed. Exactly one field of the
// result is set. Ctx is canceled when the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, r *Request, sink Sink) Result {
	ctx, cancel := g.untilEnd(ctx)
	defer cancel()
	result := g.serve(ctx, r, sink)
	g.recordEnd(r, result)
	return result
}

func (g *Gateway) serve(ctx context.Context, r *Request, sink Sink) Result {
	if r.Admission != nil {
		defer r.Admission.Release()
	}
	if !r.AllowStaleLease && !g.env.Fresh() {
		return refusal(Reason(scheduler.ReasonCutOff), "this node holds no fresh lease", 0)
	}
	r.isRetry = g.retries.Observe(r.Route, r.CallerTimeout, time.Now())
	r.setFingerprint()
	g.record(r, timeline.KindAccepted, r.describe())
	reservation := r.Admission
	if reservation == nil {
		var failure *Failure
		if reservation, failure = g.budget.Acquire(ctx, r, int64(len(r.Body))); failure != nil {
			return Result{Failure: failure}
		}
		defer reservation.Release()
	}
	waitCtx, cancel := context.WithDeadlineCause(reservation.Context(), r.Deadline, errDeadline)
	defer cancel()
	if r.needsClaim() {
		if result, done := g.answerFromLedger(waitCtx, r, sink); done {
			return result
		}
	}
	return g.run(ctx, waitCtx, reservation, r, sink)
}

// attemptOutcome says how the gateway proceeds after an attempt under one grant.
type attemptOutcome uint8

const (
	// attemptSettled means that the attempt's result is final.
	attemptSettled attemptOutcome = iota
	// attemptUnsent means that provably no upstream runs the request.
	attemptUnsent
	// attemptRetryElsewhere means that the request failed and may be retried or
	// resumed at another upstream.
	attemptRetryElsewhere
	// attemptLapsed means that the grant could not be used and nothing was sent.
	attemptLapsed
	// attemptUnlisted means the same because this gateway knows that the upstream is
	// leaving, or does not know the upstream, and the scheduler's list is older or newer.
	attemptUnlisted
	// attemptPaused means the same because the upstream asked this gateway for a pause that
	// the scheduler does not know of.
	attemptPaused
)

// run places and dispatches the request until an attempt settles it. WaitCtx also
// ends when the request is shed while it waits.
func (g *Gateway) run(ctx, waitCtx context.Context, reservation *Reservation, r *Request, sink Sink) Result {
	placer := g.env.Placer(r.Pool)
	if placer == nil {
		return refusal(ReasonUnknownPool, "no scheduler serves the pool yet", time.Second)
	}
	var excluded, unlisted []ident.UpstreamName
	relay := newRelay(sink, placer, r, reservation)
	for len(excluded) < MaxUnsent+r.MaxAttempts {
		grant, failure := g.place(waitCtx, placer, r, slices.Concat(excluded, unlisted))
		if failure != nil {
			return giveUp(r, relay, failure)
		}
		reservation.MarkDispatched()
		result, end := g.attempt(ctx, placer, r, grant, relay)
		if end == attemptSettled {
			return result
		}
		switch {
		case r.sends == 0:
			reservation.MarkWaiting()
		case !relay.begun:
			reservation.MarkRetrying()
		}
		switch end {
		case attemptLapsed:
		case attemptUnlisted, attemptPaused:
			unlisted = append(unlisted, grant.Upstream)
			if unlisted, failure = g.excludeEvacuated(r, grant.Upstream, unlisted); failure != nil {
				return giveUp(r, relay, failure)
			}
		default:
			excluded = append(excluded, grant.Upstream)
		}
	}
	return giveUp(r, relay, &Failure{
		Reason: Reason(scheduler.ReasonUnsent), NotRun: true, RetryAfter: unsentRetryAfter,
		Message: "no upstream took the request",
	})
}

// unsentRetryAfter is the retry delay advised to a caller whose request no
// upstream accepted.
const unsentRetryAfter = time.Second

// giveUp ends a request that can no longer be placed. A request that was sent
// before may have run: its last complete answer is delivered if there is one,
// otherwise the request fails.
func giveUp(r *Request, relay *relay, failure *Failure) Result {
	if r.sends == 0 {
		return Result{Failure: failure}
	}
	if relay.hasBufferedAnswer() {
		if err := relay.Flush(); err != nil {
			return Result{Failure: &Failure{Reason: ReasonCallerLeft, Message: err.Error(), Begun: true}}
		}
		return Result{Answered: true}
	}
	reason := failure.Reason
	if failure.NotRun && reason != Reason(scheduler.ReasonDeadline) && reason != ReasonCallerLeft {
		reason = ReasonUpstreamFailed
	}
	return Result{Failure: &Failure{Reason: reason, Begun: relay.begun, Message: fmt.Sprintf("an upstream failed the request, then %s: %s", failure.Reason, failure.Message)}}
}

// place queues the request and waits for the scheduler's decision.
func (g *Gateway) place(ctx context.Context, placer Placer, r *Request, excluded []ident.UpstreamName) (*scheduler.Grant, *Failure) {
	r.observeWait()
	decision, err := placer.Place(ctx, g.ticket(r, excluded), r.Deadline)
	if err != nil {
		return nil, waitFailure(ctx)
	}
	if decision.Refusal != nil {
		return nil, &Failure{
			Reason:     Reason(decision.Refusal.Reason),
			NotRun:     true,
			RetryAfter: decision.Refusal.RetryAfter,
			Message:    "the pool's scheduler refused the request" + r.describeRegions() + ": " + decision.Basis.String(),
		}
	}
	g.record(r, timeline.KindGranted, fmt.Sprintf("%s: %s; %s", decision.Grant.Upstream, decision.Grant.Choice, decision.Basis))
	return decision.Grant, nil
}

func (g *Gateway) ticket(r *Request, excluded []ident.UpstreamName) scheduler.Ticket {
	node, _ := g.env.Identity()
	return scheduler.Ticket{
		ID:           r.ID,
		Gateway:      node,
		Tier:         r.Tier,
		Team:         r.Team,
		Route:        r.Route,
		Idempotent:   r.Idempotent,
		PromptTokens: r.PromptTokens,
		OutputTokens: r.OutputTokens,
		Prefixes:     r.Prefixes,
		PrefixTokens: r.PrefixTokens,
		Parts:        r.Parts,
		Fingerprint:  r.fingerprint,
		Content:      r.content,
		Objective:    r.objectiveLeft(),
		Returned:     r.isRetry,
		Patience:     r.patienceLeft(),
		Cost:         r.Cost,
		Resumes:      r.sends > 0,
		Sent:         r.begun,
		Arrived:      r.arrived,
		BodyBytes:    int64(len(r.Body)),
		Excluded:     excluded,
		Regions:      r.Regions,
	}
}

// patienceLeft returns the time left until the caller gives up; zero if unknown.
func (r *Request) patienceLeft() time.Duration {
	if r.GiveUpAt.IsZero() {
		return 0
	}
	return max(1, time.Until(r.GiveUpAt))
}

// objectiveLeft returns the time left until the answer should begin. It is zero
// only for a request without an objective.
func (r *Request) objectiveLeft() time.Duration {
	if r.Objective.IsZero() {
		return 0
	}
	if left := time.Until(r.Objective); left != 0 {
		return left
	}
	return -1
}

// waitFailure returns the failure of a request whose wait for a grant was ended
// by ctx. Nothing was sent.
func waitFailure(ctx context.Context) *Failure {
	cause := context.Cause(ctx)
	if errors.Is(cause, errStopping) {
		return stoppingFailure()
	}
	if errors.Is(cause, errDeadline) {
		return &Failure{Reason: Reason(scheduler.ReasonDeadline), NotRun: true, Message: "the deadline passed while the request waited"}
	}
	var failure *Failure
	if errors.As(cause, &failure) {
		return failure
	}
	return &Failure{Reason: ReasonCallerLeft, NotRun: true, Message: "the caller left while the request waited"}
}

// refusal returns the result of a request that was not run.
func refusal(reason Reason, message string, retryAfter time.Duration) Result {
	return Result{Failure: &Failure{Reason: reason, NotRun: true, Message: message, RetryAfter: retryAfter}}
}

func (g *Gateway) recordEnd(r *Request, result Result) {
	if result.Failure == nil {
		g.record(r, timeline.KindEnded, "")
		return
	}
	g.record(r, timeline.KindRefused, fmt.Sprintf("%s (%s)", result.Failure, OutcomeOf(r, result.Failure)))
}

func (g *Gateway) record(r *Request, kind timeline.Kind, detail string) {
	g.events.Record(timeline.Event{Kind: kind, Request: r.ID, Pool: r.Pool, Detail: detail})
}
