package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
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
	// endChecks counts the
	// connections made to check the end of an answer, endsDoubted the ends that weren't
	// taken for one.
	endChecks, endsDoubted atomic.Uint64
	// relays is nil if requests are only sent directly.
	relays Relays
	events *timeline.Recorder
	// settling counts the commits of releases and outcomes that are under way,
	// also those of requests that were already answered.
	settling atomic.Int64
}

// New returns a gateway. Events may be nil.
func New(env Environment, l Ledger, u Upstreams, b *Budget, events *timeline.Recorder) *Gateway {
	return &Gateway{env: env, ledger: l, upstreams: u, budget: b, events: events, paths: NewPaths()}
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
	relay := newRelay(sink, placer, r)
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
		if r.sends == 0 {
			reservation.MarkWaiting()
		}
		switch end {
		case attemptLapsed:
		case attemptUnlisted, attemptPaused:
			unlisted = append(unlisted, grant.Upstream)
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

// waitFailure returns the failure of a request whose wait for a grant was ended
// by ctx. Nothing was sent.
func waitFailure(ctx context.Context) *Failure {
	cause := context.Cause(ctx)
	if errors.Is(cause, errDeadline) {
		return &Failure{Reason: Reason(scheduler.ReasonDeadline), NotRun: true, Message: "the deadline passed while the request waited"}
	}
	var failure *Failure
	if errors.As(cause, &failure) {
		return failure
	}
	return &Failure{Reason: ReasonCallerLeft, NotRun: true, Message: "the caller left while the request waited"}
}

// attempt dispatches the request under one grant.
func (g *Gateway) attempt(ctx context.Context, placer Placer, r *Request, grant *scheduler.Grant, relay *relay) (Result, attemptOutcome) {
	upstream, ok := g.env.Upstream(grant.Upstream)
	if !ok {
		placer.Finish(r.ID, scheduler.Ending{Kind: scheduler.ReportDropped})
		return Result{}, attemptUnlisted
	}
	if !g.permits(r, upstream) {
		g.record(r, timeline.KindAttemptEnded, fmt.Sprintf("not sent: %s is outside the regions of the request; goes on elsewhere", grant.Upstream))
		placer.Finish(r.ID, scheduler.Ending{Kind: scheduler.ReportDropped})
		return Result{}, attemptUnlisted
	}
	d := Dispatch{Request: r, Target: Target{Name: grant.Upstream, Upstream: upstream}, Version: grant.Version}
	if r.needsClaim() {
		return g.attemptClaimed(ctx, placer, d, grant, relay.sink)
	}
	if end := g.begin(placer, r, grant); end != attemptSettled {
		return Result{}, end
	}
	g.record(r, timeline.KindDispatched, string(grant.Upstream))
	deadlineCtx, cancel := context.WithDeadlineCause(ctx, r.Deadline, errDeadline)
	defer cancel()
	sendCtx, cancelSend := context.WithCancelCause(deadlineCtx)
	defer cancelSend(nil)
	sending := g.newSending(r, grant)
	relay.onNotice = g.noticeHandler(placer, sending)
	relay.setGrant(grant, startSilenceTimer(silenceTimeout(r, grant, relay.begun), cancelSend))
	after := r.ResumeAfter
	sent := sending.send(sendCtx, placer, d, relay)
	relay.silence.stop()
	sent = relay.requireRest(requireEndMark(sent, relay.hasEndMark()))
	end := g.evaluateAttempt(deadlineCtx, r, sent, relay)
	if sent.Outcome != DispatchComplete {
		sent.HeldBack = relay.heldBack()
	}
	g.record(r, timeline.KindAttemptEnded, describeAttempt(d, sending.route.Relay, after, sent, end))
	var refused *ContinuationError
	if errors.As(sent.Err, &refused) {
		g.record(r, timeline.KindContinuation, fmt.Sprintf("%s: %s", d.Target.Name, refused))
	}
	placer.Finish(r.ID, scheduler.Ending{
		Kind: reportKind(sendCtx, sent, end), OutputTokens: sent.OutputTokens, Broken: brokenState(sendCtx, sent),
		PathSuspect: sending.isSuspect(), ConnAge: sent.ConnAge, SinceEnd: sent.CheckTime,
	})
	if sent.Resumed > 0 {
		g.record(r, timeline.KindResumed, fmt.Sprintf("%d times at %s", sent.Resumed, grant.Upstream))
	}
	if end != attemptSettled {
		return Result{}, end
	}
	if sent.Outcome != DispatchComplete {
		return incompleteResult(sendCtx, sent, relay.begun), attemptSettled
	}
	if err := relay.Flush(); err != nil {
		return Result{Failure: &Failure{Reason: ReasonCallerLeft, Message: err.Error(), Begun: true}}, attemptSettled
	}
	return Result{Answered: true}, attemptSettled
}

// begin takes up a grant just before the request is sent. If the grant can't be used, it
// reports that and returns why; otherwise attemptSettled.
func (g *Gateway) begin(placer Placer, r *Request, grant *scheduler.Grant) attemptOutcome {
	switch placer.Begin(r.ID) {
	case scheduler.BeginSend:
		r.begun = true
		return attemptSettled
	case scheduler.BeginLeaving:
		g.record(r, timeline.KindAttemptEnded, fmt.Sprintf("not sent: %s has said that it leaves; goes on elsewhere", grant.Upstream))
		placer.Finish(r.ID, scheduler.Ending{Kind: scheduler.ReportDropped})
		return attemptUnlisted
	case scheduler.BeginPaused:
		g.record(r, timeline.KindAttemptEnded, fmt.Sprintf("not sent: %s asked this gateway for a pause; goes on elsewhere", grant.Upstream))
		placer.Finish(r.ID, scheduler.Ending{Kind: scheduler.ReportDropped})
		return attemptPaused
	default:
		placer.Finish(r.ID, scheduler.Ending{Kind: scheduler.ReportDropped})
		return attemptLapsed
	}
}

// noticeHandler returns a function that passes on what an answer to the request
// says about its upstream, and records it if it is new to this gateway.
func (g *Gateway) noticeHandler(placer Placer, s *sending) func(scheduler.UpstreamNotice) {
	return func(n scheduler.UpstreamNotice) {
		s.answered()
		if placer.Notice(s.request.ID, n) {
			g.record(s.request, timeline.KindUpstream, fmt.Sprintf("%s %s", s.grant.Upstream, n))
		}
	}
}

// evaluateAttempt decides whether a dispatch settles the request, and updates the
// request's send count and resume position.
func (g *Gateway) evaluateAttempt(ctx context.Context, r *Request, sent DispatchResult, relay *relay) attemptOutcome {
	r.arrived = r.arrived || sent.Outcome != DispatchUnsent
	switch sent.Outcome {
	case DispatchUnsent, DispatchRejected, DispatchMisdirected:
		return attemptUnsent
	}
	r.sends++
	r.ResumeAfter = relay.position.last
	relay.complete = sent.Outcome == DispatchComplete
	failed := sent.Outcome != DispatchComplete || sent.Status >= firstServerError
	mayRetry := r.Repeatable && !relay.begun || r.Resumable && relay.canResume()
	if failed && mayRetry && r.sends < r.MaxAttempts && ctx.Err() == nil {
		return attemptRetryElsewhere
	}
	return attemptSettled
}

// reportKind maps the end of a dispatch to the kind of report that the scheduler
// gets.
func reportKind(ctx context.Context, sent DispatchResult, end attemptOutcome) scheduler.ReportKind {
	switch {
	case sent.Outcome == DispatchUnsent:
		return scheduler.ReportUnsent
	case sent.Outcome == DispatchRejected:
		return scheduler.ReportRejected
	case sent.Outcome == DispatchMisdirected:
		return scheduler.ReportMisdirected
	case end == attemptRetryElsewhere:
		return scheduler.ReportRetryable
	case sent.Outcome == DispatchComplete && sent.Status < firstServerError:
		return scheduler.ReportEnded
	case sent.Outcome == DispatchComplete:
		return scheduler.ReportFailed
	case errors.Is(context.Cause(ctx), errDeadline):
		return scheduler.ReportOverdue
	case ctx.Err() != nil:
		return scheduler.ReportDropped
	default:
		return scheduler.ReportUnknown
	}
}

// brokenState returns how far an answer had come if its upstream broke it off, and
// Abandoned if this gateway canceled it.
func brokenState(ctx context.Context, sent DispatchResult) scheduler.Broken {
	switch {
	case sent.Outcome == DispatchIncomplete && ctx.Err() != nil:
		return scheduler.Abandoned
	case !sent.Broken || ctx.Err() != nil:
		return scheduler.NotBroken
	case sent.Status == 0:
		return scheduler.BrokenUnbegun
	default:
		return scheduler.BrokenBegun
	}
}

// firstServerError is the lowest HTTP status that counts as a failure of the
// upstream.
const firstServerError = 500

// incompleteResult returns the result of a dispatch that ended without a complete
// answer.
func incompleteResult(ctx context.Context, sent DispatchResult, begun bool) Result {
	f := &Failure{Reason: ReasonUpstreamFailed, Begun: begun, Message: "the upstream's answer did not come whole"}
	switch {
	case sent.Outcome == DispatchMismatched:
		f.Reason = ReasonAnswerMismatch
		f.Message = "the upstream answered another request"
	case errors.Is(context.Cause(ctx), errDeadline):
		f.Reason = ReasonTimeout
		f.Message = "the deadline passed while the request ran"
	case ctx.Err() != nil:
		f.Reason = ReasonCallerLeft
		f.Message = "the caller left while the request ran"
	}
	return Result{Failure: f}
}

// refusal returns the result of a request that was not run.
func refusal(reason Reason, message string, retryAfter time.Duration) Result {
	return Result{Failure: &Failure{Reason: reason, NotRun: true, Message: message, RetryAfter: retryAfter}}
}
