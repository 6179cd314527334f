package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// attempt dispatches the request under one grant.
func (g *Gateway) attempt(ctx context.Context, placer Placer, r *Request, grant *scheduler.Grant, relay *relay) (Result, attemptOutcome) {
	upstream, ok := g.env.Upstream(grant.Upstream)
	if !ok {
		return Result{}, g.dropUnlisted(placer, r, grant)
	}
	if !g.permits(r, upstream) {
		g.record(r, timeline.KindAttemptEnded, fmt.Sprintf("not sent: %s is outside the regions of the request; goes on elsewhere", grant.Upstream))
		placer.Finish(r.ID, scheduler.Ending{Kind: scheduler.ReportDropped})
		return Result{}, attemptUnlisted
	}
	d := Dispatch{
		Request: r, Target: Target{Name: grant.Upstream, Upstream: upstream}, Version: grant.Version,
		Leaving: func() bool {
			_, remains := g.env.Upstream(grant.Upstream)
			return !remains
		},
		TakesNoRequests: func() bool { return g.takesNoRequests(placer, r.Pool, grant.Upstream) },
	}
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

// Pauser is implemented by Placers that know which upstreams asked this gateway for a pause.
type Pauser interface {
	// PauseLeft returns how much longer an upstream wants no request; 0 if it takes them.
	PauseLeft(name ident.UpstreamName) time.Duration
}

// takesNoRequests reports whether an upstream is to get no request now: its data centre is evacuated,
// or it asked for a pause.
func (g *Gateway) takesNoRequests(placer Placer, pool ident.PoolName, name ident.UpstreamName) bool {
	if pauser, ok := placer.(Pauser); ok && pauser.PauseLeft(name) > 0 {
		return true
	}
	if g.evacuations == nil {
		return false
	}
	evacuated, _ := g.evacuations.Evacuated(pool)
	return slices.Contains(evacuated, name)
}

// begin takes up a grant just before the request is sent. If the grant can't be used, it
// reports that and returns why; otherwise attemptSettled. It asks the environment again:
// the commit of a claim takes long enough for an evacuation to come into force meanwhile.
func (g *Gateway) begin(placer Placer, r *Request, grant *scheduler.Grant) attemptOutcome {
	if _, ok := g.env.Upstream(grant.Upstream); !ok {
		return g.dropUnlisted(placer, r, grant)
	}
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

// describe returns the detail of the timeline event that records the acceptance
// of the request.
func (r *Request) describe() string {
	return fmt.Sprintf("route %s, tier %s, team %s%s, fingerprint %016x, %d+%d tokens, parts %x, cost %.0f, deadline in %d ms, objective in %d ms, returned: %t",
		r.Route, r.Tier, r.Team, r.describeRegions(), r.fingerprint, r.PromptTokens, r.OutputTokens, r.Parts, r.Cost,
		time.Until(r.Deadline).Milliseconds(), r.objectiveLeft().Milliseconds(), r.isRetry)
}

// describeAttempt returns the detail of the timeline event that records the end
// of a dispatch, which went through the gateway via unless that is empty. After is the
// last event that the caller had when it began.
func describeAttempt(d Dispatch, via ident.NodeID, after string, sent DispatchResult, end attemptOutcome) string {
	outcomes := map[DispatchOutcome]string{
		DispatchComplete: "whole", DispatchUnsent: "unsent", DispatchIncomplete: "broken",
		DispatchMismatched: "crossed", DispatchRejected: "rejected", DispatchMisdirected: "misdirected",
		DispatchUnwritable: "unwritable",
	}
	text := fmt.Sprintf("%s at %s", outcomes[sent.Outcome], d.Target.Name)
	if via != "" {
		text += fmt.Sprintf(" through %s", via)
	}
	if sent.Conn != 0 {
		text += fmt.Sprintf(" on connection %d after %d requests", sent.Conn, sent.ConnCalls)
	}
	text += fmt.Sprintf(", status %d, %d events", sent.Status, sent.Events)
	if after != "" {
		text += fmt.Sprintf(" after %q", after)
	}
	if sent.LastEvent != "" {
		text += fmt.Sprintf(", the last one %q", sent.LastEvent)
	}
	if sent.Framing != 0 {
		text += fmt.Sprintf(", %s, %s", sent.Framing, sent.BytesEnd.describe(sent.Framing))
	}
	if sent.WithinEvent {
		text += " within an event"
	}
	if sent.HeldBack > 0 {
		text += fmt.Sprintf(", %d bytes of text before the first event held back", sent.HeldBack)
	}
	if sent.EndBasis != "" {
		text += fmt.Sprintf(", end judged by %s", sent.EndBasis)
	}
	if sent.Err != nil {
		text += ": " + sent.Err.Error()
	}
	if sent.Skipped > 0 {
		text += fmt.Sprintf("; %d answers skipped as no answers to it, %d of them without an id", sent.Skipped, sent.SkippedNameless)
	}
	if end == attemptRetryElsewhere {
		text += "; goes on elsewhere"
	}
	return text
}

// evaluateAttempt decides whether a dispatch settles the request, and updates the
// request's send count and resume position.
func (g *Gateway) evaluateAttempt(ctx context.Context, r *Request, sent DispatchResult, relay *relay) attemptOutcome {
	r.arrived = r.arrived || !sent.Outcome.isUnsent()
	switch sent.Outcome {
	case DispatchUnsent, DispatchUnwritable, DispatchRejected, DispatchMisdirected:
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
	case sent.Outcome == DispatchUnwritable:
		return scheduler.ReportDropped
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
	case errors.Is(context.Cause(ctx), errStopping):
		f.Reason = ReasonStopping
		f.Message = "the node stopped while the request ran"
	case errors.Is(context.Cause(ctx), errDeadline):
		f.Reason = ReasonTimeout
		f.Message = "the deadline passed while the request ran"
	case ctx.Err() != nil:
		f.Reason = ReasonCallerLeft
		f.Message = "the caller left while the request ran"
	}
	return Result{Failure: f}
}

// dropUnlisted gives up a grant at an upstream that the environment doesn't know or that gets
// no new requests.
func (g *Gateway) dropUnlisted(placer Placer, r *Request, grant *scheduler.Grant) attemptOutcome {
	g.record(r, timeline.KindAttemptEnded, fmt.Sprintf("not sent: %s gets no new requests from this gateway; goes on elsewhere", grant.Upstream))
	placer.Finish(r.ID, scheduler.Ending{Kind: scheduler.ReportDropped})
	return attemptUnlisted
}
