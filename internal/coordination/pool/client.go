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

// Holder is the present scheduler of a pool.
type Holder struct {
	Lease   lease.Pool
	Address string
}

// Client connects one gateway with the scheduler of one pool. It keeps what a
// next scheduler needs to know: all waiting and running requests. It is safe
// for concurrent use.
type Client struct {
	pool        ident.PoolName
	gateway     ident.NodeID
	incarnation ident.Incarnation
	caller      Caller
	clock       *timeline.Clock
	wake        chan struct{}
	// callTimeout bounds one message, beside the hold of a poll.
	callTimeout time.Duration
	// usage, if set, counts what this gateway sends.
	usage *scheduler.UsageLog
	// failed, if set, is told the address of a scheduler that didn't answer.
	failed func(address string)

	// failures counts the calls in a row that were not answered.
	failures atomic.Int32

	mu     sync.Mutex
	holder Holder
	number uint64
	// sequence numbers the messages of the session.
	sequence   uint64
	registered bool
	accept     bool
	changed    chan struct{}
	waiting    map[ident.RequestID]*waiter
	running    map[ident.RequestID]*runner
	tickets    []ident.RequestID
	cancels    []ident.RequestID
	reports    []scheduler.Report
}

type waiter struct {
	ticket    scheduler.Ticket
	deadline  time.Time
	decisions chan scheduler.Decision
}

type runner struct {
	ticket scheduler.Ticket
	grant  scheduler.Grant
	// expires is counted from the sending of the call that the grant answered,
	// so it is never later than the scheduler's own expiry.
	expires time.Time
	// since is the time of dispatch, or of the grant until then.
	since time.Time
}

// NewClient returns a client that knows no scheduler yet. Run must be called.
// Its messages carry the time line's clock, which may be nil.
func NewClient(pool ident.PoolName, gateway ident.NodeID, incarnation ident.Incarnation, caller Caller, clock *timeline.Clock) *Client {
	return &Client{
		pool:        pool,
		gateway:     gateway,
		incarnation: incarnation,
		caller:      caller,
		clock:       clock,
		wake:        make(chan struct{}, 1),
		callTimeout: CallTimeout,
		changed:     make(chan struct{}),
		waiting:     make(map[ident.RequestID]*waiter),
		running:     make(map[ident.RequestID]*runner),
	}
}

// Watch has the client give a scheduler so long for an answer, and tell failed
// of each that didn't answer. It is called before Run.
func (c *Client) Watch(timeout time.Duration, failed func(address string)) {
	c.callTimeout = timeout
	c.failed = failed
}

// CountUsage has the client count what it sends in a log that all clients of
// the gateway share. It is called before Run.
func (c *Client) CountUsage(l *scheduler.UsageLog) { c.usage = l }

// SetHolder tells who schedules the pool now. A holder of a lower epoch than
// one already seen is ignored.
func (c *Client) SetHolder(h Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.Lease.Epoch < c.holder.Lease.Epoch || h == c.holder {
		return
	}
	if c.registered && h.Lease.Epoch == c.holder.Lease.Epoch {
		// Without a new epoch the former scheduler may go on for others. It
		// would use this gateway's part of the capacity and of the quotas too.
		go c.leave(c.session(), c.holder.Address)
	}
	c.holder = h
	c.forget()
}

// leave tells a former scheduler that the session has ended. If the call is
// lost, the scheduler ends a silent session by itself.
func (c *Client) leave(s Session, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.callTimeout)
	defer cancel()
	if err := c.caller.Call(ctx, address, ServiceName+".Leave", &LeaveArgs{Session: s}, &Reply{}); err != nil {
		klog.V(1).InfoS("former scheduler was not told that a gateway left", "pool", c.pool, "scheduler", address, "err", err)
	}
}

// forget makes the next message register anew. The caller holds the lock.
func (c *Client) forget() {
	c.registered = false
	c.accept = false
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

// Place queues a ticket and waits for the scheduler's decision or the end of
// ctx. When ctx ends first the ticket is withdrawn.
func (c *Client) Place(ctx context.Context, t scheduler.Ticket, deadline time.Time) (scheduler.Decision, error) {
	w := &waiter{ticket: t, deadline: deadline, decisions: make(chan scheduler.Decision, 1)}
	c.mu.Lock()
	c.waiting[t.ID] = w
	c.tickets = append(c.tickets, t.ID)
	c.notify()
	c.mu.Unlock()
	select {
	case d := <-w.decisions:
		return d, nil
	case <-ctx.Done():
		return c.withdraw(t.ID, w, ctx.Err())
	}
}

// withdraw takes back a ticket, unless a decision came at the same time.
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

// Begin asks whether a granted request may be sent now. It refuses a grant that
// has lapsed or that belongs to an older epoch; the request must then be
// dropped and placed anew.
func (c *Client) Begin(id ident.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[id]
	now := time.Now()
	if r == nil || now.After(r.expires) || r.grant.Epoch < c.holder.Lease.Epoch {
		return false
	}
	r.since = now
	if c.usage != nil {
		c.usage.Sent(r.ticket.Team, r.ticket.Cost, now)
	}
	c.push(scheduler.Report{Kind: scheduler.ReportDispatched, Ticket: id, Upstream: r.grant.Upstream})
	return true
}

// FirstToken reports that the answer began.
func (c *Client) FirstToken(id ident.RequestID, cachedTokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[id]
	if r == nil {
		return
	}
	c.push(scheduler.Report{
		Kind:         scheduler.ReportFirstToken,
		Ticket:       id,
		Upstream:     r.grant.Upstream,
		Elapsed:      time.Since(r.since),
		CachedTokens: cachedTokens,
	})
}

// Finish reports the end of a granted request. Kind is one of the final kinds.
func (c *Client) Finish(id ident.RequestID, kind scheduler.ReportKind, outputTokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[id]
	if r == nil {
		return
	}
	delete(c.running, id)
	c.push(scheduler.Report{
		Kind:         kind,
		Ticket:       id,
		Upstream:     r.grant.Upstream,
		Elapsed:      time.Since(r.since),
		OutputTokens: outputTokens,
	})
}

func (c *Client) push(r scheduler.Report) {
	r.Gateway = c.gateway
	c.reports = append(c.reports, r)
	c.notify()
}

// Load returns how many requests wait and run at this gateway.
func (c *Client) Load() (waiting, running int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting), len(c.running)
}

// deliver hands decisions to their waiters. A grant that nobody waits for is
// given back.
func (c *Client) deliver(decisions []scheduler.Decision, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range decisions {
		if d.Refusal != nil {
			c.deliverRefusal(d)
			continue
		}
		c.deliverGrant(d, sent)
	}
}

func (c *Client) deliverRefusal(d scheduler.Decision) {
	w := c.waiting[d.Refusal.Ticket]
	if w == nil {
		return
	}
	delete(c.waiting, d.Refusal.Ticket)
	w.decisions <- d
}

func (c *Client) deliverGrant(d scheduler.Decision, sent time.Time) {
	id := d.Grant.Ticket
	if c.running[id] != nil || d.Grant.Epoch < c.holder.Lease.Epoch {
		return
	}
	w := c.waiting[id]
	if w == nil {
		c.push(scheduler.Report{Kind: scheduler.ReportDropped, Ticket: id, Upstream: d.Grant.Upstream})
		return
	}
	delete(c.waiting, id)
	c.running[id] = &runner{
		ticket:  w.ticket,
		grant:   *d.Grant,
		expires: sent.Add(d.Grant.TTL),
		since:   time.Now(),
	}
	w.decisions <- d
}
