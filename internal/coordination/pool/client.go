package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// RetryInterval is the pause after a failed call to a scheduler.
const RetryInterval = 20 * time.Millisecond

// Holder is the node that currently schedules a pool.
type Holder struct {
	Lease   lease.Pool
	Address string
}

// Client connects one gateway to the scheduler of one pool. It keeps all waiting
// and running requests, so that it can register them with the next scheduler. It
// is safe for concurrent use.
type Client struct {
	pool        ident.PoolName
	gateway     ident.NodeID
	incarnation ident.Incarnation
	caller      Caller
	clock       *timeline.Clock
	wake        chan struct{}
	// callTimeout bounds one call; a poll may take PollHold longer.
	callTimeout time.Duration
	// usage, if set, counts the requests that this gateway sends.
	usage *scheduler.UsageLog
	// retries counts what this gateway sends to the pool.
	retries *scheduler.RetryLog
	// onFailure, if set, is called with the address of a scheduler that did not
	// answer.
	onFailure func(address string)

	// onAnswer, if set, is called with the time that a scheduler took to answer a message.
	onAnswer func(took time.Duration)

	// onUpdate, if set, is called with what the client learns from a scheduler about
	// upstreams and prompt parts.
	onUpdate func(detail string)

	// unansweredCalls counts consecutive calls without an answer.
	unansweredCalls atomic.Int32

	mu     sync.Mutex
	holder Holder
	// offered is true once a registration was sent to the holder.
	offered bool
	number  uint64
	// sequence is the number of the next message of the session.
	sequence   uint64
	registered bool
	accepted   bool
	changed    chan struct{}
	waiting    map[ident.RequestID]*waiter
	running    map[ident.RequestID]*runningRequest
	tickets    ticketQueue
	cancels    []ident.RequestID
	reports    reportQueue
	answers    answerTimes
	// ended holds the requests whose grants the scheduler may still count.
	ended []endedRequest
	// notices holds what upstreams have said about themselves.
	notices map[ident.UpstreamName]upstreamNotices
	// pauses holds until when upstreams asked this gateway to send them nothing.
	pauses map[ident.UpstreamName]time.Time
	// successors holds the later names of upstreams that were listed under another one.
	successors map[ident.UpstreamName]succession
	// leaving holds the upstreams that are known to have said in an answer that they leave.
	leaving map[ident.UpstreamName]leavingMark
	// cold holds which upstreams are cold, and coldLimited is true if that limits them.
	cold        coldUpstreams
	coldLimited bool
	poison      poisonRecord
}

type waiter struct {
	ticket    scheduler.Ticket
	deadline  time.Time
	placedAt  time.Time
	decisions chan scheduler.Decision
}

type runningRequest struct {
	ticket scheduler.Ticket
	grant  scheduler.Grant
	// expires is counted from when the call that returned the grant was sent, so
	// it is never later than the expiry at the scheduler.
	expires time.Time
	// since is the time of the dispatch, or of the grant before the dispatch.
	since time.Time
	begun bool
	// firstToken is when the answer began; zero if it has not.
	firstToken time.Time
	// via is the gateway through which it is sent; empty if it is sent directly.
	via ident.NodeID
}

// NewClient returns a client without a scheduler. Run must be called. Its
// messages carry the timeline's clock, which may be nil.
func NewClient(pool ident.PoolName, gateway ident.NodeID, incarnation ident.Incarnation, caller Caller, clock *timeline.Clock) *Client {
	return &Client{
		pool:        pool,
		gateway:     gateway,
		incarnation: incarnation,
		caller:      caller,
		clock:       clock,
		wake:        make(chan struct{}, 1),
		retries:     scheduler.NewRetryLog(false, time.Now()),
		callTimeout: CallTimeout,
		changed:     make(chan struct{}),
		waiting:     make(map[ident.RequestID]*waiter),
		running:     make(map[ident.RequestID]*runningRequest),
		notices:     make(map[ident.UpstreamName]upstreamNotices),
		pauses:      make(map[ident.UpstreamName]time.Time),
		successors:  make(map[ident.UpstreamName]succession),
		leaving:     make(map[ident.UpstreamName]leavingMark),
		cold:        make(coldUpstreams),
		poison:      poisonRecord{start: time.Now(), requests: newEndedSet(), parts: newEndedSet()},
	}
}

// SetFailureHandler sets the timeout of calls to a scheduler and a function that is called
// when a scheduler fails to answer. It must be called before Run.
func (c *Client) SetFailureHandler(timeout time.Duration, onFailure func(address string)) {
	c.callTimeout = timeout
	c.onFailure = onFailure
}

// SetUpdateHandler sets a function that is called with what the client learns from a
// scheduler about upstreams and prompt parts. It must be called before Run.
func (c *Client) SetUpdateHandler(onUpdate func(detail string)) { c.onUpdate = onUpdate }

// SetAnswerHandler sets a function that is called with the time that a scheduler took to
// answer a message, which it does at once. It must be called before Run.
func (c *Client) SetAnswerHandler(onAnswer func(took time.Duration)) { c.onAnswer = onAnswer }

// CountUsage sets a log, shared by all clients of the gateway, in which the
// client counts the requests that it sends. It must be called before Run.
func (c *Client) CountUsage(l *scheduler.UsageLog) { c.usage = l }

// SetFirstStart tells the client that the whole system starts for the first time, so that
// this gateway cannot have sent anything before. It must be called before Run.
func (c *Client) SetFirstStart() { c.retries = scheduler.NewRetryLog(true, time.Now()) }

// SetHolder sets the scheduler of the pool. It ignores a holder whose epoch is
// lower than the current one.
func (c *Client) SetHolder(h Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.Lease.Epoch < c.holder.Lease.Epoch || h == c.holder {
		return
	}
	if c.offered && h.Lease.Epoch == c.holder.Lease.Epoch {
		// Without a new epoch the former scheduler may keep serving other
		// gateways. If its session for this gateway did not end, it would also
		// use the part of the capacity and of the quotas that belongs to this
		// gateway.
		go c.leave(c.session(), c.holder.Address)
	}
	c.holder, c.offered = h, false
	c.resetSession()
}

// leave tells a former scheduler that the session and those before it have ended. If the
// call is lost, the scheduler ends the session after a timeout.
func (c *Client) leave(s Session, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.callTimeout)
	defer cancel()
	if err := c.caller.Call(ctx, address, ServiceName+".Leave", &LeaveArgs{Session: s}, &Reply{}); err != nil {
		klog.V(1).InfoS("failed to end the session with the former scheduler", "pool", c.pool, "scheduler", address, "err", err)
	}
}

// resetSession makes the next message start a new session. The caller holds the
// lock.
func (c *Client) resetSession() {
	// Answers to messages of the former session must not count for the next one.
	c.number++
	c.registered = false
	c.accepted = false
	c.answers = answerTimes{}
	close(c.changed)
	c.changed = make(chan struct{})
	c.notify()
}

func (c *Client) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Place queues a ticket and waits for the scheduler's decision or the end of ctx.
// If ctx ends first, the ticket is withdrawn.
func (c *Client) Place(ctx context.Context, t scheduler.Ticket, deadline time.Time) (scheduler.Decision, error) {
	now := time.Now()
	w := &waiter{ticket: t, deadline: deadline, placedAt: now, decisions: make(chan scheduler.Decision, 1)}
	c.mu.Lock()
	c.waiting[t.ID] = w
	if c.tickets.add(t.ID, c.answers.ticketDelay(&t, deadline.Sub(now), now), now, c.wakeSubmitLoop) {
		c.notify()
	}
	c.mu.Unlock()
	select {
	case d := <-w.decisions:
		return d, nil
	case <-ctx.Done():
		return c.withdraw(t.ID, w, ctx.Err())
	}
}

// withdraw cancels a ticket, unless a decision arrived at the same time.
func (c *Client) withdraw(id ident.RequestID, w *waiter, cause error) (scheduler.Decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case d := <-w.decisions:
		return d, nil
	default:
	}
	delete(c.waiting, id)
	c.cancels = append(c.cancels, id)
	c.notify()
	return scheduler.Decision{}, cause
}

// Begin reports whether a granted request may be sent now. If not, the caller must report
// the request as dropped and place it again.
func (c *Client) Begin(id ident.RequestID) scheduler.BeginResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[id]
	now := time.Now()
	if r == nil || now.After(r.expires) || r.grant.Epoch < c.holder.Lease.Epoch {
		return scheduler.BeginLapsed
	}
	if !r.grant.Trial && c.poison.refuses(&r.ticket, c.pool) {
		return scheduler.BeginLapsed
	}
	if c.isLeaving(r.grant.Upstream, now) {
		return scheduler.BeginLeaving
	}
	if c.pauseLeft(r.grant.Upstream, now) > 0 {
		return scheduler.BeginPaused
	}
	r.since, r.begun = now, true
	if retry := isRetry(&r.ticket); retry || !r.ticket.Sent {
		c.retries.Record(retry, now)
	}
	if c.usage != nil {
		c.usage.Record(r.ticket.Team, r.ticket.Cost, now)
	}
	c.queueReport(scheduler.Report{Kind: scheduler.ReportDispatched, Ticket: id, Upstream: r.grant.Upstream})
	return scheduler.BeginSend
}

// isRetry reports whether an upstream may have got the request before.
func isRetry(t *scheduler.Ticket) bool { return t.Arrived || t.Resumes }

// Relayed records that a granted request is sent through another gateway.
func (c *Client) Relayed(id ident.RequestID, peer ident.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.running[id]; r != nil {
		r.via = peer
	}
}

// FirstToken reports that the answer began.
func (c *Client) FirstToken(id ident.RequestID, cachedTokens int, connAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[id]
	if r == nil {
		return
	}
	r.firstToken = time.Now()
	c.queueReport(scheduler.Report{
		Kind:         scheduler.ReportFirstToken,
		Ticket:       id,
		Upstream:     r.grant.Upstream,
		Elapsed:      time.Since(r.since),
		CachedTokens: cachedTokens,
		ConnAge:      connAge,
		Via:          r.via,
	})
}

// Finish reports the end of a granted request.
func (c *Client) Finish(id ident.RequestID, end scheduler.Ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[id]
	if r == nil {
		return
	}
	delete(c.running, id)
	now := time.Now()
	c.poison.recordEnd(r, end, c.notices[r.grant.Upstream].brittle, now)
	c.recordEnded(id, now)
	c.queueReport(scheduler.Report{
		Kind:         end.Kind,
		Ticket:       id,
		Upstream:     r.grant.Upstream,
		Elapsed:      time.Since(r.since),
		OutputTokens: end.OutputTokens,
		SinceFirst:   r.sinceFirst(now.Add(-end.SinceEnd)),
		Broken:       end.Broken,
		Via:          r.via,

		AnsweredBefore: c.poison.answeredBefore(r.ticket.Fingerprint, now),
		PathSuspect:    end.PathSuspect,
		ConnAge:        end.ConnAge,
	})
}

// sinceFirst returns how long ago the answer began; 0 if it has not.
func (r *runningRequest) sinceFirst(now time.Time) time.Duration {
	if r.firstToken.IsZero() {
		return 0
	}
	return max(1, now.Sub(r.firstToken))
}

func (c *Client) queueReport(r scheduler.Report) {
	r.Gateway = c.gateway
	if c.reports.add(r, time.Now(), c.wakeSubmitLoop) {
		c.notify()
	}
}

// Load returns the numbers of waiting and running requests of this gateway.
func (c *Client) Load() (waiting, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting), len(c.running)
}
