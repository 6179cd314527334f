package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Limits on resends and waiting.
const (
	// resendPause is the shortest pause before a resend.
	resendPause = 25 * time.Millisecond
	// answerGrace is how long past its deadline a caller waits for an answer.
	answerGrace = 2 * time.Second
	// minimumDeadline is the shortest deadline sent. Resends close to or past the
	// caller's own deadline use it to learn the result of the request.
	minimumDeadline = 250 * time.Millisecond
	// maxAttempts limits the sends of one request.
	maxAttempts = 40
)

// attemptKind is the result of one send of a request.
type attemptKind int

const (
	attemptAnswered attemptKind = iota
	// attemptNotRun means that this send was refused as not run or not sent.
	attemptNotRun
	attemptMayHaveRun
	// attemptBroken means that the connection ended before a complete answer.
	attemptBroken
	// attemptUnreached means that no connection was established.
	attemptUnreached
	// attemptWrong means that the answer belonged to another request.
	attemptWrong
)

// attempt is one send of a request.
type attempt struct {
	kind       attemptKind
	address    string
	request    ident.RequestID
	reason     callerapi.Reason
	refused    callerapi.Outcome
	retryAfter time.Duration
	replayed   bool
	// firstAt is when the first part of the answer arrived.
	firstAt time.Time
	// sentAt and endedAt are the start and the end of the attempt.
	sentAt, endedAt time.Time
	err             error
}

// outcome is the result of one job with all its attempts.
type outcome struct {
	job      *job
	attempts []attempt
	// first and total are the times from the arrival to the first part and to
	// the end of the answer.
	first time.Duration
	total time.Duration
	// disturbed is true if a fault was injected into the node of the last broken
	// attempt during that attempt.
	disturbed bool
}

// caller sends the jobs of a run and collects their outcomes.
type caller struct {
	options   *Options
	client    *http.Client
	addresses *addressCache

	mu       sync.Mutex
	outcomes []outcome
}

// run sends one job, up to maxAttempts times, until shouldResend reports false,
// and records the outcome.
func (c *caller) run(ctx context.Context, j *job) {
	began := time.Now()
	o := outcome{job: j}
	var avoid []string
	for len(o.attempts) < maxAttempts {
		remaining := j.class.Deadline - time.Since(began)
		sentAt := time.Now()
		a := c.try(ctx, j, c.addresses.choose(ctx, avoid), remaining, len(o.attempts) == 0)
		a.sentAt, a.endedAt = sentAt, time.Now()
		o.attempts = append(o.attempts, a)
		pause := max(a.retryAfter, resendPause)
		if !c.shouldResend(ctx, j, &o, time.Since(began)+pause) {
			break
		}
		avoid = nextAvoid(avoid, a)
		sleep(ctx, pause)
	}
	last := o.attempts[len(o.attempts)-1]
	o.total = time.Since(began)
	if !last.firstAt.IsZero() {
		o.first = last.firstAt.Sub(began)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// shouldResend reports whether the caller sends the job once more. It resends
// until its deadline. After a broken attempt the request may have run, so the
// caller resends for answerGrace longer to learn the result.
func (c *caller) shouldResend(ctx context.Context, j *job, o *outcome, elapsed time.Duration) bool {
	last := o.attempts[len(o.attempts)-1]
	if ctx.Err() != nil || last.kind == attemptAnswered || last.kind == attemptWrong {
		return false
	}
	if last.kind == attemptNotRun && !retriable(last.reason) {
		return false
	}
	if last.kind == attemptMayHaveRun && j.key != "" {
		return false
	}
	patience := j.class.Deadline
	if last.kind == attemptBroken {
		patience += answerGrace
	}
	return elapsed < patience
}

// retriable reports whether a resend can succeed after a refusal with this reason.
func retriable(reason callerapi.Reason) bool {
	switch reason {
	case "overload", "no_upstream", "memory", "draining", "cut_off", "unsent", "retry_budget", "deadline",
		callerapi.ReasonNoQuorum, callerapi.ReasonLedgerFull:
		return true
	default:
		return false
	}
}

// nextAvoid returns the addresses that the next send avoids: up to two whose
// nodes failed most recently, or none if the node was not at fault this time.
func nextAvoid(avoid []string, a attempt) []string {
	nodeFault := a.kind == attemptBroken || a.kind == attemptUnreached ||
		slices.Contains([]callerapi.Reason{"draining", "cut_off", callerapi.ReasonNoQuorum}, a.reason)
	if !nodeFault {
		return nil
	}
	if len(avoid) > 1 {
		avoid = avoid[1:]
	}
	return append(avoid, a.address)
}

// try sends a job once. Its first send may be abandoned after dropAfter.
func (c *caller) try(ctx context.Context, j *job, address string, remaining time.Duration, first bool) attempt {
	remaining = max(remaining, minimumDeadline)
	timeout := remaining + answerGrace
	if first && j.dropAfter > 0 {
		timeout = min(timeout, j.dropAfter)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a := attempt{address: address}
	req, err := http.NewRequestWithContext(ctx, j.method, "http://"+address+j.path, bytes.NewReader(j.body))
	if err != nil {
		a.kind, a.err = attemptUnreached, err
		return a
	}
	// A request with a key would be sent again by the client itself once its connection breaks,
	// and this attempt look like one that never reached the node.
	req.GetBody = nil
	setHeaders(req, j, remaining)
	resp, err := c.client.Do(req)
	if err != nil {
		a.kind, a.err = classifyError(err), err
		return a
	}
	defer resp.Body.Close()
	a.request = ident.RequestID(resp.Header.Get(callerapi.HeaderRequestID))
	a.replayed = resp.Header.Get(callerapi.HeaderReplayed) == "true"
	if resp.Header.Get(callerapi.HeaderOutcome) != "" || resp.StatusCode >= http.StatusBadRequest {
		a.readRefusal(resp)
		return a
	}
	answer, err := readAnswer(resp, j, c.options.VerifyEcho)
	a.setResult(answer, err)
	return a
}

func setHeaders(req *http.Request, j *job, remaining time.Duration) {
	req.Header.Set(callerapi.HeaderTeam, string(j.team))
	req.Header.Set(callerapi.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	if len(j.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if j.class.Route != "" {
		req.Header.Set(callerapi.HeaderRoute, string(j.class.Route))
	}
	if j.key != "" {
		req.Header.Set(callerapi.HeaderIdempotencyKey, j.key)
	}
}

// classifyError returns attemptUnreached if the connection was never established,
// and attemptBroken otherwise.
func classifyError(err error) attemptKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attemptUnreached
	}
	return attemptBroken
}

// readRefusal reads a refusal from the body. An error answer that is not a
// refusal, such as an upstream's own error, is recorded as may have run, with
// the HTTP status as its reason.
func (a *attempt) readRefusal(resp *http.Response) {
	var body callerapi.Refusal
	_ = json.NewDecoder(resp.Body).Decode(&body)
	a.setRefusal(body.Error)
	if a.reason == "" {
		a.reason = callerapi.Reason("status_" + strconv.Itoa(resp.StatusCode))
	}
}

func (a *attempt) setRefusal(e callerapi.RefusalError) {
	a.kind = attemptMayHaveRun
	if e.Outcome == callerapi.NotRun || e.Outcome == callerapi.NotSent {
		a.kind = attemptNotRun
	}
	a.refused = e.Outcome
	a.reason = e.Reason
	a.retryAfter = time.Duration(e.RetryAfterSeconds * float64(time.Second))
}

func (a *attempt) setResult(answer *content, err error) {
	var refusal *refusedError
	switch {
	case err == nil:
		a.kind, a.firstAt = attemptAnswered, answer.firstAt
	case errors.As(err, &refusal):
		a.setRefusal(refusal.refusal)
	case errors.Is(err, errWrongAnswer):
		a.kind, a.err = attemptWrong, err
	default:
		a.kind, a.err = attemptBroken, err
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
