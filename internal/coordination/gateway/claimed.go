package gateway

import (
	"context"
	"fmt"
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
	// ReleasedRetryAfter is the retry delay advised to a caller whose first
	// attempt was released without having run.
	ReleasedRetryAfter = 50 * time.Millisecond
	// CommitTimeout bounds the commit of a release or an outcome, including
	// retries.
	CommitTimeout = 5 * time.Second
	// CommitRetryInterval is the pause before a failed commit is retried.
	CommitRetryInterval = 50 * time.Millisecond
	// StatusTimeout bounds one status query.
	StatusTimeout = 2 * time.Second
)

// answerFromLedger answers a request whose key is already in the ledger, so that
// a resend does not wait in the queue. It returns false if the request must be
// queued.
func (g *Gateway) answerFromLedger(ctx context.Context, r *Request, sink Sink) (Result, bool) {
	_, found, err := g.lookup(ctx, r, 0)
	if err != nil {
		return refusal(ReasonNoQuorum, "the request ledger can't be reached: "+err.Error(), time.Second), true
	}
	if !found {
		return Result{}, false
	}
	// Claim compares the digests. It is granted only if the earlier claim has
	// been released since the lookup; this claim is then released and the request
	// is queued like a new one.
	claimed, err := g.claim(ctx, r)
	if err != nil {
		return g.claimUncertain(ctx, r), true
	}
	if claimed.Verdict == ledger.VerdictGranted {
		result, end := g.releaseUnsent(ctx, r, attemptLapsed)
		return result, end == attemptSettled
	}
	return g.claimRefused(ctx, r, claimed, sink), true
}

// lookup returns the state of the request's key.
func (g *Gateway) lookup(ctx context.Context, r *Request, wait time.Duration) (ledger.ClaimResult, bool, error) {
	result, found, err := g.ledger.Lookup(ctx, r.ledgerKey(), wait)
	r.observeLookup(result, found, err)
	return result, found, err
}

// claim claims the request's key with the next attempt number.
func (g *Gateway) claim(ctx context.Context, r *Request) (ledger.ClaimResult, error) {
	r.attempt++
	node, incarnation := g.env.Identity()
	claimed, err := g.ledger.Claim(ctx, ledger.Claim{
		Key:         r.ledgerKey(),
		Digest:      r.Digest,
		Gateway:     node,
		Incarnation: incarnation,
		Request:     r.ID,
		Attempt:     r.attempt,
	})
	r.observeClaim(claimed, err)
	return claimed, err
}

func (r *Request) ledgerKey() ledger.Key {
	return ledger.Key{Team: r.Team, Route: r.Route, Idempotency: r.Key}
}

// attemptClaimed claims the key immediately before the dispatch. No byte is sent
// before the claim is committed.
func (g *Gateway) attemptClaimed(ctx context.Context, placer Placer, d Dispatch, grant *scheduler.Grant, sink Sink) (Result, attemptOutcome) {
	r := d.Request
	claimCtx, cancel := context.WithDeadlineCause(ctx, r.Deadline, errDeadline)
	defer cancel()
	claimed, err := g.claim(claimCtx, r)
	if err != nil {
		placer.Finish(r.ID, scheduler.Ending{Kind: scheduler.ReportDropped})
		return g.claimUncertain(ctx, r), attemptSettled
	}
	if claimed.Verdict != ledger.VerdictGranted {
		placer.Finish(r.ID, scheduler.Ending{Kind: scheduler.ReportDropped})
		return g.claimRefused(claimCtx, r, claimed, sink), attemptSettled
	}
	g.record(r, timeline.KindClaimed, r.Key)
	if end := g.begin(placer, r, grant); end != attemptSettled {
		return g.releaseUnsent(ctx, r, end)
	}
	g.record(r, timeline.KindDispatched, string(grant.Upstream))
	return g.dispatchClaimed(ctx, placer, d, grant, sink)
}

// dispatchClaimed sends a claimed request. It continues after the caller has
// disconnected, so that a resend finds the outcome.
func (g *Gateway) dispatchClaimed(ctx context.Context, placer Placer, d Dispatch, grant *scheduler.Grant, sink Sink) (Result, attemptOutcome) {
	r := d.Request
	sendCtx, cancel := context.WithDeadlineCause(context.WithoutCancel(ctx), r.Deadline, errDeadline)
	defer cancel()
	sending := g.newSending(r, grant)
	answer := &answerRecorder{placer: placer, id: r.ID, onNotice: g.noticeHandler(placer, sending)}
	sent := sending.send(sendCtx, placer, d, answer)
	placer.Finish(r.ID, scheduler.Ending{
		Kind: reportKind(sendCtx, sent, attemptSettled), Broken: brokenState(sendCtx, sent), PathSuspect: sending.isSuspect(), ConnAge: sent.ConnAge, SinceEnd: sent.CheckTime,
	})
	if sent.Outcome.isUnsent() {
		return g.releaseUnsent(ctx, r, attemptUnsent)
	}
	complete := answer.completeAnswer(sent)
	recorded, known := settleByDeadline(ctx, g, r, func(ctx context.Context) *ledger.Answer {
		outcome := complete
		if outcome == nil {
			outcome = g.queryStatus(ctx, r, []Target{d.Target})
		}
		g.commitOutcome(ctx, r, outcome)
		return outcome
	})
	if !known {
		// A complete answer is delivered now; its outcome is committed in the
		// background.
		recorded = complete
	}
	if recorded == nil {
		return incompleteResult(sendCtx, sent, false), attemptSettled
	}
	header := AnswerHeader{Status: recorded.Status, ContentType: recorded.ContentType, Upstream: d.Target.Name, Version: grant.Version}
	if recorded == complete {
		header.Framing = sent.Framing
	}
	return deliver(sink, header, recorded.Body), attemptSettled
}

// claimRefused ends a request whose claim was not granted. A stale verdict can
// follow an earlier copy of the same claim that was granted, so that claim is
// released.
func (g *Gateway) claimRefused(ctx context.Context, r *Request, claimed ledger.ClaimResult, sink Sink) Result {
	result := g.resolve(ctx, r, claimed, sink)
	if claimed.Verdict == ledger.VerdictStale && !g.release(ctx, r) {
		result.Failure.NotRun = false
	}
	return result
}

// claimUncertain ends a request whose claim may or may not have been committed.
// Nothing was sent, but the failure has NotRun set only if the release was
// committed.
func (g *Gateway) claimUncertain(ctx context.Context, r *Request) Result {
	if g.release(ctx, r) {
		return refusal(ReasonNoQuorum, "the claim could not be committed", time.Second)
	}
	return Result{Failure: &Failure{Reason: ReasonNoQuorum, Message: "the claim could be neither committed nor released", RetryAfter: time.Second}}
}

// releaseUnsent releases a claim after an attempt that sent nothing. It returns
// the given outcome if the release was committed. Otherwise the request must not
// be placed again, and it returns a failure.
func (g *Gateway) releaseUnsent(ctx context.Context, r *Request, outcome attemptOutcome) (Result, attemptOutcome) {
	if g.release(ctx, r) {
		return Result{}, outcome
	}
	return Result{Failure: &Failure{Reason: ReasonNoQuorum, Message: "the claim could not be released", RetryAfter: time.Second}}, attemptSettled
}

// release releases the claim and reports whether the release was committed in
// time. Retries continue in the background after the caller was answered.
func (g *Gateway) release(ctx context.Context, r *Request) bool {
	release := ledger.Release{Key: r.ledgerKey(), Request: r.ID, Attempt: r.attempt}
	released, _ := settleByDeadline(ctx, g, r, func(ctx context.Context) bool {
		return retryCommit(ctx, func(ctx context.Context) error { return g.ledger.Release(ctx, release) })
	})
	r.observeRelease(released)
	return released
}

// settleGrace is how long after its deadline a request waits for its outcome:
// "not run" a little late helps a caller more than "may have run" in time.
const settleGrace = 250 * time.Millisecond

// settleByDeadline runs work that must finish even if the caller disconnects. It
// returns the result, or false if the work still runs settleGrace after the
// deadline of the request; the work then continues in the background.
func settleByDeadline[T any](ctx context.Context, g *Gateway, r *Request, work func(ctx context.Context) T) (result T, known bool) {
	done := make(chan T, 1)
	detached := context.WithoutCancel(ctx)
	g.settling.Add(1)
	go func() {
		defer g.settling.Add(-1)
		done <- work(detached)
	}()
	graceTimer := time.NewTimer(max(0, time.Until(r.Deadline)) + settleGrace)
	defer graceTimer.Stop()
	select {
	case result = <-done:
		return result, true
	case <-graceTimer.C:
		return result, false
	}
}

// commitOutcome commits the outcome. If that fails, the claim remains, and a
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

// resolve answers a request whose key already has a claim.
func (g *Gateway) resolve(ctx context.Context, r *Request, found ledger.ClaimResult, sink Sink) Result {
	switch found.Verdict {
	case ledger.VerdictRecorded:
		return replay(sink, found.Answer)
	case ledger.VerdictRunning:
		return g.awaitOutcome(ctx, r, sink)
	case ledger.VerdictMayHaveRun:
		return g.resolveLostAnswer(ctx, r, sink)
	case ledger.VerdictMismatch:
		return refusal(ReasonKeyReused, "the idempotency key was used with another request", 0)
	case ledger.VerdictMalformed:
		return refusal(ReasonKeyMalformed, "the idempotency key is not a UUIDv7", 0)
	case ledger.VerdictFull:
		return refusal(ReasonLedgerFull, "the request ledger is full", time.Second)
	case ledger.VerdictStale:
		return refusal(Reason(scheduler.ReasonCutOff), "this node's lease has ended", 0)
	case ledger.VerdictExpired:
		return Result{Failure: &Failure{Reason: ReasonKeyExpired, Message: "the key is older than the retention window: not run here, but it may have run before"}}
	default:
		return Result{Failure: &Failure{Reason: ReasonNoQuorum, Message: "unknown verdict " + string(found.Verdict)}}
	}
}

// awaitOutcome waits until the claim's holder has recorded an outcome.
func (g *Gateway) awaitOutcome(ctx context.Context, r *Request, sink Sink) Result {
	for ctx.Err() == nil {
		known, found, err := g.lookup(ctx, r, OutcomeWait)
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

// resolveLostAnswer answers a request whose key has an earlier claim with an
// unknown outcome. It replays the answer that the service's status query returns,
// if there is one, and otherwise reports that the request may have run.
func (g *Gateway) resolveLostAnswer(ctx context.Context, r *Request, sink Sink) Result {
	if answer := g.queryStatus(ctx, r, g.env.PoolUpstreams(r.Pool)); answer != nil {
		return replay(sink, answer)
	}
	return Result{Failure: &Failure{Reason: ReasonAnswerLost, Message: "an earlier sending may have run; its answer is lost"}}
}

func (g *Gateway) queryStatus(ctx context.Context, r *Request, targets []Target) *ledger.Answer {
	if r.StatusPath == "" {
		return nil
	}
	for _, t := range targets {
		if answer := g.queryUpstreamStatus(ctx, Dispatch{Request: r, Target: t}); answer != nil {
			return answer
		}
	}
	return nil
}

func (g *Gateway) queryUpstreamStatus(ctx context.Context, d Dispatch) *ledger.Answer {
	ctx, cancel := context.WithTimeout(ctx, StatusTimeout)
	defer cancel()
	return g.upstreams.Status(ctx, d)
}

func replay(sink Sink, answer *ledger.Answer) Result {
	if answer == nil || answer.Truncated {
		return Result{Failure: &Failure{Reason: ReasonAnswerLost, Message: "the request ran; its answer was too long to keep"}}
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

// answerRecorder is an AnswerSink that collects the answer to a claimed request.
type answerRecorder struct {
	placer      Placer
	id          ident.RequestID
	onNotice    func(n scheduler.UpstreamNotice)
	status      int
	contentType string
	connAge     time.Duration
	body        []byte
}

// Notice implements AnswerSink.
func (c *answerRecorder) Notice(n scheduler.UpstreamNotice) { c.onNotice(n) }

func (c *answerRecorder) Begin(head AnswerHead) error {
	c.status = head.Status
	c.contentType = head.ContentType
	c.connAge = head.ConnAge
	return nil
}

// Fields implements AnswerSink. It drops the header fields: a recorded answer is
// replayed without them.
func (c *answerRecorder) Fields([]HeaderField) {}

func (c *answerRecorder) FirstToken() {
	c.placer.FirstToken(c.id, 0, c.connAge)
}

// maxRecordedAnswer bounds the answer to a claimed request, which is held until its
// outcome is committed, in bytes.
const maxRecordedAnswer = 16 << 20

var errAnswerTooLong = fmt.Errorf("the answer to a claimed request exceeds %d bytes", maxRecordedAnswer)

func (c *answerRecorder) Write(part []byte) error {
	if len(c.body)+len(part) > maxRecordedAnswer {
		c.body = nil
		return errAnswerTooLong
	}
	c.body = append(c.body, part...)
	return nil
}

// Events implements AnswerSink.
func (c *answerRecorder) Events(events []StreamEvent) (int, error) {
	c.FirstToken()
	for i, e := range events {
		if err := c.Write(e.Bytes); err != nil {
			return i, err
		}
	}
	return len(events), nil
}

func (c *answerRecorder) completeAnswer(sent DispatchResult) *ledger.Answer {
	if sent.Outcome != DispatchComplete {
		return nil
	}
	return &ledger.Answer{Status: c.status, ContentType: c.contentType, Body: c.body}
}
