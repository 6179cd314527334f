package pool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Run exchanges messages with the pool's scheduler until ctx ends.
func (c *Client) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.pollLoop(ctx)
	}()
	c.submitLoop(ctx)
	<-done
}

// submitLoop sends pending messages. Until the scheduler has accepted the session
// it sends one message at a time, then up to MaxInFlight concurrently.
func (c *Client) submitLoop(ctx context.Context) {
	slots := make(chan struct{}, MaxInFlight)
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		if !c.isAccepted() {
			if c.submitOnce(ctx) {
				sleep(ctx, RetryInterval)
				c.wakeSubmitLoop()
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		args, address := c.nextMessage(time.Now())
		if args == nil {
			<-slots
			continue
		}
		calls.Go(func() {
			c.send(ctx, args, address)
			<-slots
		})
	}
}

func (c *Client) isAccepted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// wakeSubmitLoop makes the submit loop check for pending messages.
func (c *Client) wakeSubmitLoop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notify()
}

// submitOnce sends one message and waits for the reply. It reports whether to try
// again.
func (c *Client) submitOnce(ctx context.Context) bool {
	args, address := c.nextMessage(time.Now())
	if args == nil {
		return false
	}
	return !c.send(ctx, args, address) && ctx.Err() == nil
}

// send sends one message and delivers the decisions in the reply. It reports
// whether the scheduler accepted the message.
func (c *Client) send(ctx context.Context, args *SubmitArgs, address string) bool {
	callCtx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	reply := &Reply{}
	sent := time.Now()
	args.Stamp = c.clock.Now(sent)
	err := c.caller.Call(callCtx, address, ServiceName+".Submit", args, reply)
	if err != nil || reply.Refused {
		c.sessionLost(args.Session)
		c.reportFailure(err, address)
		return false
	}
	if c.onAnswer != nil {
		c.onAnswer(time.Since(sent))
	}
	c.clock.Observe(reply.Stamp)
	c.unansweredCalls.Store(0)
	c.markAnswered(args.Session, sent)
	c.learn(reply, sent)
	c.deliver(args.Session, reply.Decisions, sent)
	return true
}

// failureThreshold is the number of consecutive unanswered calls after which a
// scheduler counts as failed: the first may have used a connection to a former
// process. A call that timed out counts as a failure at once.
const failureThreshold = 2

func (c *Client) reportFailure(err error, address string) {
	if err == nil || c.onFailure == nil {
		return
	}
	if c.unansweredCalls.Add(1) >= failureThreshold || errors.Is(err, context.DeadlineExceeded) {
		c.unansweredCalls.Store(0)
		c.onFailure(address)
	}
}

// learn records what a scheduler tells besides its decisions.
func (c *Client) learn(reply *Reply, sent time.Time) {
	limits, parts := c.learnLimits(reply.RateLimits, sent), c.LearnPoison(reply.Poison)
	pauses, leaving := c.learnPauses(reply.Pauses, time.Now()), c.learnLeaving(reply.Leaving, time.Now())
	if len(limits)+len(parts)+len(pauses)+len(leaving) > 0 && c.onUpdate != nil {
		c.onUpdate(fmt.Sprintf("the scheduler tells of rate limits %v, parts %v, pauses %v and leaving upstreams %v", limits, parts, pauses, leaving))
	}
	if cold := c.learnCold(reply.Cold, time.Now()); len(cold) > 0 && c.onUpdate != nil {
		c.onUpdate(fmt.Sprintf("the scheduler tells of cold upstreams %v", cold))
	}
}

// markAnswered records that the scheduler knows the session, so that polls can begin, and
// how long it took to answer a message in it.
func (c *Client) markAnswered(s Session, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != c.session() {
		return
	}
	if c.accepted {
		now := time.Now()
		c.answers.observe(now.Sub(sent), now)
		return
	}
	c.accepted = true
	close(c.changed)
	c.changed = make(chan struct{})
	c.notify()
}

// nextMessage returns a message with all pending tickets, cancellations and
// reports, or the registration of a new session. It returns nil when there is
// nothing to send or no scheduler is known.
func (c *Client) nextMessage(now time.Time) (*SubmitArgs, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder.Address == "" {
		return nil, ""
	}
	args := &SubmitArgs{}
	if c.registered {
		if len(c.cancels) == 0 && !c.tickets.isDue(now) && !c.reports.isDue(now) {
			return nil, ""
		}
		args.Tickets = c.pendingTickets(now)
		args.Cancels = c.cancels
		args.Reports = c.reports.list(now)
	} else {
		c.number++
		c.sequence = 0
		c.registered, c.offered = true, true
		args.Register = c.registration(now)
	}
	c.cancels = nil
	c.tickets.clear()
	c.reports.clear()
	args.Session = c.session()
	args.Sequence = c.sequence
	c.sequence++
	return args, c.holder.Address
}

func (c *Client) session() Session {
	return Session{
		Pool:        c.pool,
		Epoch:       c.holder.Lease.Epoch,
		Gateway:     c.gateway,
		Incarnation: c.incarnation,
		Number:      c.number,
	}
}

func (c *Client) pendingTickets(now time.Time) []scheduler.Ticket {
	tickets := make([]scheduler.Ticket, 0, len(c.tickets.ids))
	for _, id := range c.tickets.ids {
		if w := c.waiting[id]; w != nil {
			tickets = append(tickets, w.ticketAt(now))
		}
	}
	return tickets
}

// registration lists all waiting and running requests. Reports in a lost message
// are not sent again: the scheduler treats a running request that is not listed
// as ended.
func (c *Client) registration(now time.Time) *scheduler.Registration {
	r := &scheduler.Registration{Gateway: c.gateway, Incarnation: c.incarnation, RateLimits: c.rateLimits(now)}
	r.Pauses, r.Leaving = c.pauseNotices(now), c.leavingNames(now)
	r.Cold = c.cold.notices(now)
	r.Poison, r.Ends = c.poison.refused.List(), c.poison.endsAt(now)
	if c.usage != nil {
		r.Sent, r.Uptime = c.usage.Recent(now)
	}
	for _, w := range c.waiting {
		r.Waiting = append(r.Waiting, w.ticketAt(now))
	}
	granted := 0
	for _, run := range c.running {
		if !run.begun && isRetry(&run.ticket) {
			granted++
		}
		r.Running = append(r.Running, scheduler.Running{
			Ticket:   run.ticket,
			Upstream: run.grant.Upstream,
			Version:  run.grant.Version,
			Elapsed:  now.Sub(run.since),
		})
	}
	r.Retries = c.retries.Usage(granted, now)
	r.Ended = c.endedIDs(now)
	return r
}

// sessionLost makes the next message start a new session, unless a newer session
// has replaced s.
func (c *Client) sessionLost(s Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registered && s == c.session() {
		c.resetSession()
	}
}

func (c *Client) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		session, address, changed := c.currentSession()
		if address == "" {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if !c.pollOnce(ctx, session, address) && !sleep(ctx, RetryInterval) {
			return
		}
	}
}

// currentSession returns the accepted session and the address of its scheduler,
// which is empty while there is none. The channel is closed when either changes.
func (c *Client) currentSession() (Session, string, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.accepted {
		return Session{}, "", c.changed
	}
	return c.session(), c.holder.Address, c.changed
}

func (c *Client) pollOnce(ctx context.Context, s Session, address string) bool {
	callCtx, cancel := context.WithTimeout(ctx, PollHold+c.callTimeout)
	defer cancel()
	reply := &Reply{}
	sent := time.Now()
	err := c.caller.Call(callCtx, address, ServiceName+".Poll", &PollArgs{Session: s}, reply)
	if err != nil || reply.Refused {
		c.sessionLost(s)
		c.reportFailure(err, address)
		return false
	}
	c.clock.Observe(reply.Stamp)
	c.unansweredCalls.Store(0)
	c.learn(reply, sent)
	c.deliver(s, reply.Decisions, sent)
	return true
}

// Waiting returns the ids of the waiting requests, for tests and status.
func (c *Client) Waiting() []ident.RequestID {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]ident.RequestID, 0, len(c.waiting))
	for id := range c.waiting {
		ids = append(ids, id)
	}
	return ids
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
