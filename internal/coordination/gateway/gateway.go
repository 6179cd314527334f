package gateway

import (
	"context"
	"errors"
	"fmt"
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
	returns   Returns
	events    *timeline.Recorder
	// settling counts what goes on after a caller was answered at its deadline.
	settling atomic.Int64
}

// New returns a gateway. Events may be nil.
func New(env Environment, l Ledger, u Upstreams, b *Budget, events *timeline.Recorder) *Gateway {
	return &Gateway{env: env, ledger: l, upstreams: u, budget: b, events: events}
}

// Settling counts the requests whose outcome is still being committed, also those
// that were answered already: at most StatusTimeout and CommitTimeout after it.
func (g *Gateway) Settling() int { return int(g.settling.Load()) }

var errDeadline = errors.New("deadline has passed")

// Serve carries r to its end. Exactly one of the result's fields is set. Ctx
// ends when the caller leaves.
func (g *Gateway) Serve(ctx context.Context, r *Request, sink Sink) Result {
	result := g.serve(ctx, r, sink)
	g.recordEnd(r, result)
	return result
}

func (g *Gateway) serve(ctx context.Context, r *Request, sink Sink) Result {
	if !r.Unleased && !g.env.Fresh() {
		return refusal(Reason(scheduler.ReasonCutOff), "this node holds no fresh lease", 0)
	}
	r.returned = g.returns.Note(r.Route, r.CallerTime, time.Now())
	g.record(r, timeline.KindAccepted, r.describe())
	held, failure := g.budget.Acquire(ctx, r)
	if failure != nil {
		return Result{Failure: failure}
	}
	defer held.Release()
	waitCtx, cancel := context.WithDeadlineCause(held.Context(), r.Deadline, errDeadline)
	defer cancel()
	if !r.Idempotent && !r.Unclaimed {
		if result, done := g.answerKnown(waitCtx, r, sink); done {
			return result
		}
	}
	return g.run(ctx, waitCtx, held, r, sink)
}

// verdict tells what a dispatch under one grant came to.
type verdict uint8

const (
	// settled means that the result stands.
	settled verdict = iota
	// unsent means that provably no upstream runs the request.
	unsent
	// again means that the request failed and may go on at another upstream.
	again
	// lapsed means that the grant could not be used; nothing was tried.
	lapsed
)

// run places and dispatches the request until a dispatch settles it. WaitCtx
// ends also when the request is shed while it waits.
func (g *Gateway) run(ctx, waitCtx context.Context, held *Hold, r *Request, sink Sink) Result {
	placer := g.env.Placer(r.Pool)
	if placer == nil {
		return refusal(ReasonUnknownPool, "no scheduler serves the pool yet", time.Second)
	}
	var excluded []ident.UpstreamName
	relay := newRelay(sink, placer, r)
	for len(excluded) < MaxUnsent+r.MaxAttempts {
		grant, failure := g.place(waitCtx, placer, r, excluded)
		if failure != nil {
			return giveUp(r, relay, failure)
		}
		held.Dispatching()
		result, end := g.attempt(ctx, placer, r, grant, relay)
		if end == settled {
			return result
		}
		if r.sends == 0 {
			held.Waiting()
		}
		if end != lapsed {
			excluded = append(excluded, grant.Upstream)
		}
	}
	return giveUp(r, relay, &Failure{
		Reason: Reason(scheduler.ReasonUnsent), NotRun: true, RetryAfter: unsentRetryAfter,
		Message: "no upstream took the request",
	})
}

// unsentRetryAfter is the advice to a caller whose request no upstream took.
const unsentRetryAfter = time.Second

// giveUp ends a request that can't be placed any more. One that was sent before
// may have run: its last whole answer stands, else it has failed.
func giveUp(r *Request, relay *relay, failure *Failure) Result {
	if r.sends == 0 {
		return Result{Failure: failure}
	}
	if relay.holdsAnswer() {
		if err := relay.Flush(); err != nil {
			return Result{Failure: &Failure{Reason: ReasonCallerLeft, Message: err.Error(), Begun: true}}
		}
		return Result{Answered: true}
	}
	reason := failure.Reason
	if failure.NotRun && reason != Reason(scheduler.ReasonDeadline) && reason != ReasonCallerLeft {
		reason = ReasonFailed
	}
	return Result{Failure: &Failure{Reason: reason, Begun: relay.begun, Message: "an upstream failed the request, then: " + failure.Message}}
}

// place queues the request and waits for the scheduler's word.
func (g *Gateway) place(ctx context.Context, placer Placer, r *Request, excluded []ident.UpstreamName) (*scheduler.Grant, *Failure) {
	decision, err := placer.Place(ctx, g.ticket(r, excluded), r.Deadline)
	if err != nil {
		return nil, waitFailure(ctx)
	}
	if decision.Refusal != nil {
		return nil, &Failure{
			Reason:     Reason(decision.Refusal.Reason),
			NotRun:     true,
			RetryAfter: decision.Refusal.RetryAfter,
			Message:    "the pool's scheduler refused the request: " + decision.Basis.String(),
		}
	}
	g.record(r, timeline.KindGranted, fmt.Sprintf("%s: %s", decision.Grant.Upstream, decision.Basis))
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
		Objective:    r.objectiveLeft(),
		Returned:     r.returned,
		Patience:     r.patienceLeft(),
		Cost:         r.Cost,
		Resumes:      r.sends > 0,
		BodyBytes:    int64(len(r.Body)),
		Excluded:     excluded,
	}
}

// patienceLeft is the time left until the caller gives up; zero if unknown.
func (r *Request) patienceLeft() time.Duration {
	if r.Patience.IsZero() {
		return 0
	}
	return max(1, time.Until(r.Patience))
}

// objectiveLeft is the time left until the answer should begin; zero without an
// objective, else never zero.
func (r *Request) objectiveLeft() time.Duration {
	if r.Objective.IsZero() {
		return 0
	}
	if left := time.Until(r.Objective); left != 0 {
		return left
	}
	return -1
}

// waitFailure tells why a request stopped waiting. Nothing was sent.
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

// attempt dispatches under one grant.
func (g *Gateway) attempt(ctx context.Context, placer Placer, r *Request, grant *scheduler.Grant, relay *relay) (Result, verdict) {
	upstream, ok := g.env.Upstream(grant.Upstream)
	if !ok {
		placer.Finish(r.ID, scheduler.ReportDropped, 0)
		return Result{}, lapsed
	}
	d := Dispatch{Request: r, Target: Target{Name: grant.Upstream, Upstream: upstream}, Version: grant.Version}
	if !r.Idempotent && !r.Unclaimed {
		return g.attemptClaimed(ctx, placer, d, grant, relay.sink)
	}
	if !placer.Begin(r.ID) {
		placer.Finish(r.ID, scheduler.ReportDropped, 0)
		return Result{}, lapsed
	}
	g.record(r, timeline.KindDispatched, string(grant.Upstream))
	deadlineCtx, cancel := context.WithDeadlineCause(ctx, r.Deadline, errDeadline)
	defer cancel()
	sendCtx, silence := context.WithCancelCause(deadlineCtx)
	defer silence(nil)
	relay.under(grant, watchSilence(silenceBound(r, grant, relay.begun), silence))
	sent := g.upstreams.Send(sendCtx, d, relay)
	relay.watch.stop()
	end := g.judge(deadlineCtx, r, sent, relay)
	g.record(r, timeline.KindAttemptEnded, describeAttempt(d, sent, end))
	placer.Finish(r.ID, reportKind(sendCtx, sent, end), sent.OutputTokens)
	if sent.Resumed > 0 {
		g.record(r, timeline.KindResumed, fmt.Sprintf("%d times at %s", sent.Resumed, grant.Upstream))
	}
	if end != settled {
		return Result{}, end
	}
	if sent.Outcome != DispatchWhole {
		return broken(sendCtx, sent, relay.begun), settled
	}
	if err := relay.Flush(); err != nil {
		return Result{Failure: &Failure{Reason: ReasonCallerLeft, Message: err.Error(), Begun: true}}, settled
	}
	return Result{Answered: true}, settled
}

// describe tells people what was asked for.
func (r *Request) describe() string {
	return fmt.Sprintf("route %s, tier %s, team %s, %d+%d tokens, cost %.0f, deadline in %d ms, objective in %d ms, returned: %t",
		r.Route, r.Tier, r.Team, r.PromptTokens, r.OutputTokens, r.Cost,
		time.Until(r.Deadline).Milliseconds(), r.objectiveLeft().Milliseconds(), r.returned)
}

// describeAttempt tells people how a dispatch ended.
func describeAttempt(d Dispatch, sent DispatchResult, end verdict) string {
	outcomes := map[DispatchOutcome]string{
		DispatchWhole: "whole", DispatchUnsent: "unsent", DispatchBroken: "broken",
		DispatchCrossed: "crossed", DispatchRejected: "rejected", DispatchMisdirected: "misdirected",
	}
	text := fmt.Sprintf("%s at %s, status %d, %d events", outcomes[sent.Outcome], d.Target.Name, sent.Status, sent.Events)
	if sent.Err != nil {
		text += ": " + sent.Err.Error()
	}
	if end == again {
		text += "; goes on elsewhere"
	}
	return text
}

// judge decides whether a dispatch settles the request, and notes what was sent.
func (g *Gateway) judge(ctx context.Context, r *Request, sent DispatchResult, relay *relay) verdict {
	switch sent.Outcome {
	case DispatchUnsent, DispatchRejected, DispatchMisdirected:
		return unsent
	}
	r.sends++
	if sent.LastEvent != "" {
		r.ResumeAfter = sent.LastEvent
	}
	relay.whole = sent.Outcome == DispatchWhole
	failed := sent.Outcome != DispatchWhole || sent.Status >= firstServerError
	mayGoOn := r.Repeatable && !relay.begun || r.Resumable
	if failed && mayGoOn && r.sends < r.MaxAttempts && ctx.Err() == nil {
		return again
	}
	return settled
}

// reportKind maps the end of a dispatch to what the scheduler must know.
func reportKind(ctx context.Context, sent DispatchResult, end verdict) scheduler.ReportKind {
	switch {
	case sent.Outcome == DispatchUnsent:
		return scheduler.ReportUnsent
	case sent.Outcome == DispatchRejected:
		return scheduler.ReportRejected
	case sent.Outcome == DispatchMisdirected:
		return scheduler.ReportMisdirected
	case end == again:
		return scheduler.ReportRepeat
	case sent.Outcome == DispatchWhole && sent.Status < firstServerError:
		return scheduler.ReportEnded
	case sent.Outcome == DispatchWhole:
		return scheduler.ReportFailed
	case errors.Is(context.Cause(ctx), errDeadline):
		return scheduler.ReportOverdue
	case ctx.Err() != nil:
		return scheduler.ReportDropped
	default:
		return scheduler.ReportUnknown
	}
}

// firstServerError is the lowest HTTP status that counts as an upstream's fault.
const firstServerError = 500

// broken is the result of a dispatch that ended without a whole answer.
func broken(ctx context.Context, sent DispatchResult, begun bool) Result {
	f := &Failure{Reason: ReasonFailed, Begun: begun, Message: "the upstream's answer did not come whole"}
	switch {
	case sent.Outcome == DispatchCrossed:
		f.Reason = ReasonCrossed
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

// refusal is the result of a request that was not run.
func refusal(reason Reason, message string, retryAfter time.Duration) Result {
	return Result{Failure: &Failure{Reason: reason, NotRun: true, Message: message, RetryAfter: retryAfter}}
}

func (g *Gateway) recordEnd(r *Request, result Result) {
	if result.Failure == nil {
		g.record(r, timeline.KindEnded, "")
		return
	}
	g.record(r, timeline.KindRefused, result.Failure.Error())
}

func (g *Gateway) record(r *Request, kind timeline.Kind, detail string) {
	g.events.Record(timeline.Event{Kind: kind, Request: r.ID, Pool: r.Pool, Detail: detail})
}
