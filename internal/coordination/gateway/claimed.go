package gateway

import (
	"context"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// OutcomeWait is how long one lookup waits for a claim that another gateway
	// holds.
	OutcomeWait = time.Second
	// ReleasedRetryAfter is the advice to a caller whose first sending was
	// released without having run.
	ReleasedRetryAfter = 50 * time.Millisecond
	// CommitTimeout bounds the committing of a release or an outcome.
	CommitTimeout = 5 * time.Second
	// CommitRetryInterval is the pause before a failed commit is tried again.
	CommitRetryInterval = 50 * time.Millisecond
	// StatusTimeout bounds one status query.
	StatusTimeout = 2 * time.Second
)

// answerKnown answers a request whose key the ledger knows already, so that a
// resend takes no place in the queue.
func (g *Gateway) answerKnown(ctx context.Context, r *Request, sink Sink) (Result, bool) {
	_, found, err := g.ledger.Lookup(ctx, r.ledgerKey(), 0)
	if err != nil {
		return refusal(ReasonNoQuorum, "the request ledger can't be reached: "+err.Error(), time.Second), true
	}
	if !found {
		return Result{}, false
	}
	// The claim compares the digests. It is granted only if the earlier claim
	// was released since; the request then waits like a new one.
	r.attempt++
	claimed, err := g.ledger.Claim(ctx, g.claim(r))
	if err != nil {
		return g.claimUncertain(ctx, r), true
	}
	if claimed.Verdict == ledger.VerdictGranted {
		result, end := g.releaseUnsent(ctx, r, lapsed)
		return result, end == settled
	}
	return g.claimRefused(ctx, r, claimed, sink), true
}

func (g *Gateway) claim(r *Request) ledger.Claim {
	node, incarnation := g.env.Identity()
	return ledger.Claim{
		Key:         r.ledgerKey(),
		Digest:      r.Digest,
		Gateway:     node,
		Incarnation: incarnation,
		Request:     r.ID,
		Attempt:     r.attempt,
	}
}

func (r *Request) ledgerKey() ledger.Key {
	return ledger.Key{Team: r.Team, Route: r.Route, Idempotency: r.Key}
}

// attemptClaimed claims the key just before it dispatches. No byte is sent
// before the claim is committed.
func (g *Gateway) attemptClaimed(ctx context.Context, placer Placer, d Dispatch, grant *scheduler.Grant, sink Sink) (Result, verdict) {
	r := d.Request
	r.attempt++
	claimCtx, cancel := context.WithDeadlineCause(ctx, r.Deadline, errDeadline)
	defer cancel()
	claimed, err := g.ledger.Claim(claimCtx, g.claim(r))
	if err != nil {
		placer.Finish(r.ID, scheduler.ReportDropped, 0)
		return g.claimUncertain(ctx, r), settled
	}
	if claimed.Verdict != ledger.VerdictGranted {
		placer.Finish(r.ID, scheduler.ReportDropped, 0)
		return g.claimRefused(claimCtx, r, claimed, sink), settled
	}
	g.record(r, timeline.KindClaimed, r.Key)
	if !placer.Begin(r.ID) {
		placer.Finish(r.ID, scheduler.ReportDropped, 0)
		return g.releaseUnsent(ctx, r, lapsed)
	}
	g.record(r, timeline.KindDispatched, string(grant.Upstream))
	return g.dispatchClaimed(ctx, placer, d, grant, sink)
}

// dispatchClaimed sends a claimed request. It runs to its end also when the
// caller leaves, so that a resend finds the outcome.
func (g *Gateway) dispatchClaimed(ctx context.Context, placer Placer, d Dispatch, grant *scheduler.Grant, sink Sink) (Result, verdict) {
	r := d.Request
	sendCtx, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), r.Deadline, errDeadline)
	defer cancel()
	answer := &recording{placer: placer, id: r.ID}
	sent := g.upstreams.Send(sendCtx, d, answer)
	placer.Finish(r.ID, reportKind(sendCtx, sent, settled), 0)
	if sent.Outcome == DispatchUnsent {
		return g.releaseUnsent(ctx, r, unsent)
	}
	whole := answer.whole(sent)
	recorded, known := settleInTime(ctx, g, r, func(ctx context.Context) *ledger.Answer {
		outcome := whole
		if outcome == nil {
			outcome = g.queryStatus(ctx, r, []Target{d.Target})
		}
		g.commitOutcome(ctx, r, outcome)
		return outcome
	})
	if !known {
		// An answer that is there is delivered; its record follows.
		recorded = whole
	}
	if recorded == nil {
		return broken(sendCtx, sent, false), settled
	}
	header := AnswerHeader{Status: recorded.Status, ContentType: recorded.ContentType, Upstream: d.Target.Name, Version: grant.Version}
	return deliver(sink, header, recorded.Body), settled
}

// claimRefused ends a request whose claim was not granted. A stale verdict may
// hide an earlier copy of the claim that was granted, so it is released too.
func (g *Gateway) claimRefused(ctx context.Context, r *Request, claimed ledger.ClaimResult, sink Sink) Result {
	result := g.resolve(ctx, r, claimed, sink)
	if claimed.Verdict == ledger.VerdictStale && !g.release(ctx, r) {
		result.Failure.NotRun = false
	}
	return result
}

// claimUncertain ends a request whose claim may or may not stand. Nothing was
// sent; "not run" is said only once the release is committed.
func (g *Gateway) claimUncertain(ctx context.Context, r *Request) Result {
	if g.release(ctx, r) {
		return refusal(ReasonNoQuorum, "the claim could not be committed", time.Second)
	}
	return Result{Failure: &Failure{Reason: ReasonNoQuorum, Message: "the claim could be neither committed nor released", RetryAfter: time.Second}}
}

// releaseUnsent gives a claim back after a dispatch that sent nothing. The
// request may be placed again only when the release is committed.
func (g *Gateway) releaseUnsent(ctx context.Context, r *Request, why verdict) (Result, verdict) {
	if g.release(ctx, r) {
		return Result{}, why
	}
	return Result{Failure: &Failure{Reason: ReasonNoQuorum, Message: "the claim could not be released", RetryAfter: time.Second}}, settled
}

// release gives a claim back and reports whether that is committed. It goes on
// trying when the caller can't wait for it any longer.
func (g *Gateway) release(ctx context.Context, r *Request) bool {
	given := ledger.Release{Key: r.ledgerKey(), Request: r.ID, Attempt: r.attempt}
	released, _ := settleInTime(ctx, g, r, func(ctx context.Context) bool {
		return retryCommit(ctx, func(ctx context.Context) error { return g.ledger.Release(ctx, given) })
	})
	return released
}

// settleGrace is how far beyond its deadline a request waits for its outcome to be
// known: "not run" helps a caller more than a quick "may have run".
const settleGrace = 250 * time.Millisecond

// settleInTime does work that has to be done also after the caller left, and
// returns its result, or false once the request's deadline and the grace are over.
func settleInTime[T any](ctx context.Context, g *Gateway, r *Request, work func(ctx context.Context) T) (result T, known bool) {
	done := make(chan T, 1)
	lasting := context.WithoutCancel(ctx)
	g.settling.Add(1)
	go func() {
		defer g.settling.Add(-1)
		done <- work(lasting)
	}()
	late := time.NewTimer(max(0, time.Until(r.Deadline)) + settleGrace)
	defer late.Stop()
	select {
	case result = <-done:
		return result, true
	case <-late.C:
		return result, false
	}
}

// commitOutcome records the outcome. When that fails the claim stays, and a
// resend learns that the request may have run.
func (g *Gateway) commitOutcome(ctx context.Context, r *Request, answer *ledger.Answer) {
	retryCommit(ctx, func(ctx context.Context) error {
		return g.ledger.Complete(ctx, ledger.Complete{Key: r.ledgerKey(), Request: r.ID, Answer: answer})
	})
}

func retryCommit(ctx context.Context, commit func(context.Context) error) bool {
	ctx, cancel := context.WithTimeout(ctx, CommitTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if commit(ctx) == nil {
			return true
		}
		sleep(ctx, CommitRetryInterval)
	}
	return false
}

// resolve answers a request whose key has a claim already.
func (g *Gateway) resolve(ctx context.Context, r *Request, found ledger.ClaimResult, sink Sink) Result {
	switch found.Verdict {
	case ledger.VerdictRecorded:
		return replay(sink, found.Answer)
	case ledger.VerdictRunning:
		return g.awaitOutcome(ctx, r, sink)
	case ledger.VerdictMayHaveRun:
		return g.resolveLost(ctx, r, sink)
	case ledger.VerdictMismatch:
		return refusal(ReasonMismatch, "the idempotency key was used with another request", 0)
	case ledger.VerdictMalformed:
		return refusal(ReasonMalformed, "the idempotency key is not a UUIDv7", 0)
	case ledger.VerdictFull:
		return refusal(ReasonLedgerFull, "the request ledger is full", time.Second)
	case ledger.VerdictStale:
		return refusal(Reason(scheduler.ReasonCutOff), "this node's lease has ended", 0)
	case ledger.VerdictExpired:
		return Result{Failure: &Failure{Reason: ReasonExpired, Message: "the key is older than the retention window: not run here, but it may have run before"}}
	default:
		return Result{Failure: &Failure{Reason: ReasonNoQuorum, Message: "unknown verdict " + string(found.Verdict)}}
	}
}

// awaitOutcome waits until the claim's holder has recorded an outcome.
func (g *Gateway) awaitOutcome(ctx context.Context, r *Request, sink Sink) Result {
	for ctx.Err() == nil {
		known, found, err := g.ledger.Lookup(ctx, r.ledgerKey(), OutcomeWait)
		switch {
		case err != nil || found && known.Verdict == ledger.VerdictRunning:
			sleep(ctx, CommitRetryInterval)
		case !found:
			return refusal(Reason(scheduler.ReasonUnsent), "the first sending was released without having run", ReleasedRetryAfter)
		default:
			return g.resolve(ctx, r, known, sink)
		}
	}
	return Result{Failure: &Failure{Reason: ReasonTimeout, Message: "another sending of this request still runs", RetryAfter: time.Second}}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// resolveLost answers a request whose first outcome was lost: by the service's
// own word if it has one, else by "may have run".
func (g *Gateway) resolveLost(ctx context.Context, r *Request, sink Sink) Result {
	if answer := g.queryStatus(ctx, r, g.env.PoolUpstreams(r.Pool)); answer != nil {
		return replay(sink, answer)
	}
	return Result{Failure: &Failure{Reason: ReasonLostAnswer, Message: "an earlier sending may have run; its answer is lost"}}
}

func (g *Gateway) queryStatus(ctx context.Context, r *Request, targets []Target) *ledger.Answer {
	if r.StatusPath == "" {
		return nil
	}
	for _, t := range targets {
		if answer := g.queryOne(ctx, Dispatch{Request: r, Target: t}); answer != nil {
			return answer
		}
	}
	return nil
}

func (g *Gateway) queryOne(ctx context.Context, d Dispatch) *ledger.Answer {
	ctx, cancel := context.WithTimeout(ctx, StatusTimeout)
	defer cancel()
	return g.upstreams.Status(ctx, d)
}

func replay(sink Sink, answer *ledger.Answer) Result {
	if answer == nil || answer.Truncated {
		return Result{Failure: &Failure{Reason: ReasonLostAnswer, Message: "the request ran; its answer was too long to keep"}}
	}
	header := AnswerHeader{Status: answer.Status, ContentType: answer.ContentType, Replayed: true}
	return deliver(sink, header, answer.Body)
}

func deliver(sink Sink, header AnswerHeader, body []byte) Result {
	err := sink.Begin(header)
	if err == nil {
		err = sink.Write(body)
	}
	if err != nil {
		return Result{Failure: &Failure{Reason: ReasonCallerLeft, Message: err.Error(), Begun: true}}
	}
	return Result{Answered: true}
}

// recording collects the answer to a claimed request.
type recording struct {
	placer      Placer
	id          ident.RequestID
	status      int
	contentType string
	body        []byte
}

func (c *recording) Begin(status int, contentType string) error {
	c.status = status
	c.contentType = contentType
	return nil
}

// Fields drops the header fields: a recorded answer is replayed without them.
func (c *recording) Fields([]HeaderField) {}

func (c *recording) FirstToken() {
	c.placer.FirstToken(c.id, 0)
}

func (c *recording) Write(part []byte) error {
	c.body = append(c.body, part...)
	return nil
}

func (c *recording) whole(sent DispatchResult) *ledger.Answer {
	if sent.Outcome != DispatchWhole {
		return nil
	}
	return &ledger.Answer{Status: c.status, ContentType: c.contentType, Body: c.body}
}
