package policymodel

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// tickInterval is the period of the scheduler's time-driven work.
const tickInterval = 20 * time.Millisecond

// Central is the policy in which one scheduler decides for all gateways of the
// pool. Every message between a gateway and the scheduler takes Config.Delay;
// load reports and cache events have no further delay.
type Central struct {
	Scheduler scheduler.Scheduler
	sim       *Simulation
	view      scheduler.View
	epoch     ident.Epoch
	// down is true between the loss of a scheduler and the start of the next.
	down bool
	// requests holds the requests that have arrived and not ended.
	requests map[ident.RequestID]*Request
}

// NewCentral returns a constructor of the Central policy, which runs
// scheduler.Scheduler over all engines with the given version shares.
func NewCentral(shares []scheduler.VersionShare) func(*Simulation) Policy {
	return func(s *Simulation) Policy {
		v := s.View(shares)
		c := &Central{sim: s, view: v, requests: make(map[ident.RequestID]*Request)}
		c.startScheduler()
		s.Clock.Every(tickInterval, func() { c.callScheduler(func(now time.Duration) { c.Scheduler.Tick(now) }) })
		return c
	}
}

// startScheduler starts the scheduler of the next epoch and registers all
// gateways with it.
func (c *Central) startScheduler() {
	c.epoch++
	c.down = false
	c.Scheduler = scheduler.New(c.epoch, c.view, c.sim.Clock.Now())
	for _, g := range c.view.Gateways {
		c.callScheduler(func(now time.Duration) { c.Scheduler.Register(c.registration(g), now) })
	}
}

// FailOver stops the scheduler, whose state is lost, and starts the next one
// after the gap. Meanwhile the gateways keep their requests.
func (c *Central) FailOver(gap time.Duration) {
	c.down = true
	c.sim.Clock.After(gap, c.startScheduler)
}

// registration returns the gateway's registration, which lists its waiting and
// running requests.
func (c *Central) registration(g ident.NodeID) scheduler.Registration {
	r := scheduler.Registration{Gateway: g, Incarnation: 1}
	now := c.sim.Clock.Now()
	for _, request := range c.sim.Requests {
		if request.Gateway != g || request.Outcome != OutcomePending || c.requests[request.ID] == nil {
			continue
		}
		if request.Engine == nil {
			r.Waiting = append(r.Waiting, newTicket(request, now))
			continue
		}
		r.Running = append(r.Running, scheduler.Running{
			Ticket: newTicket(request, now), Upstream: request.Engine.Name, Version: request.Engine.Version,
			Elapsed: now - request.Dispatched,
		})
	}
	return r
}

// newTicket returns the scheduler's ticket for a request, with the time left
// until its deadline.
func newTicket(r *Request, now time.Duration) scheduler.Ticket {
	return scheduler.Ticket{
		ID: r.ID, Gateway: r.Gateway, Tier: r.Tier, Team: r.Team, Route: r.Route, Idempotent: r.Idempotent,
		Remaining: r.Deadline - now, PromptTokens: r.Prompt, OutputTokens: r.EstimatedOutput, Prefixes: r.Prefixes,
	}
}

// callScheduler calls f and sends the resulting decisions to the gateways. While
// the scheduler is down, it does nothing, so messages to it are lost.
func (c *Central) callScheduler(f func(now time.Duration)) {
	if c.down {
		return
	}
	f(c.sim.Clock.Now())
	for _, d := range c.Scheduler.Decisions() {
		c.sim.Clock.After(c.sim.Delay, func() { c.apply(d) })
	}
}

// callSchedulerDelayed is callScheduler for a message from a gateway, which
// arrives after Config.Delay.
func (c *Central) callSchedulerDelayed(f func(now time.Duration)) {
	c.sim.Clock.After(c.sim.Delay, func() { c.callScheduler(f) })
}

// apply carries out a decision at the gateway.
func (c *Central) apply(d scheduler.Decision) {
	if d.Refusal != nil {
		if r := c.requests[d.Refusal.Ticket]; r != nil {
			c.sim.Refuse(r)
			delete(c.requests, r.ID)
		}
		return
	}
	r := c.requests[d.Grant.Ticket]
	if r == nil || r.Engine != nil || r.Outcome != OutcomePending {
		return
	}
	e := c.sim.Engine(d.Grant.Upstream)
	c.sim.Dispatch(r, e)
	c.sendReport(r, scheduler.Report{Kind: scheduler.ReportDispatched})
}

// sendReport sends the scheduler a report on a dispatched request.
func (c *Central) sendReport(r *Request, report scheduler.Report) {
	report.Ticket = r.ID
	report.Gateway = r.Gateway
	report.Upstream = r.Engine.Name
	report.Elapsed = c.sim.Clock.Now() - r.Dispatched
	c.callSchedulerDelayed(func(now time.Duration) { c.Scheduler.Report(report, now) })
}

// Arrive implements Policy.
func (c *Central) Arrive(r *Request) {
	c.requests[r.ID] = r
	t := newTicket(r, r.Arrival)
	c.callSchedulerDelayed(func(now time.Duration) { c.Scheduler.Submit(t, now) })
}

// FirstToken implements Policy.
func (c *Central) FirstToken(r *Request, cached int) {
	c.sendReport(r, scheduler.Report{Kind: scheduler.ReportFirstToken, CachedTokens: cached, OutputTokens: 1})
}

// Ended implements Policy.
func (c *Central) Ended(r *Request) {
	delete(c.requests, r.ID)
	kind := scheduler.ReportEnded
	switch r.Outcome {
	case OutcomeFailed:
		kind = scheduler.ReportFailed
	case OutcomeLate:
		kind = scheduler.ReportDropped
	}
	c.sendReport(r, scheduler.Report{Kind: kind, OutputTokens: r.Output})
}

// Canceled implements Policy.
func (c *Central) Canceled(r *Request) {
	delete(c.requests, r.ID)
	c.callSchedulerDelayed(func(now time.Duration) {
		c.Scheduler.Cancel(r.ID, now)
	})
}

// Load implements Policy.
func (c *Central) Load(l scheduler.LoadReport) {
	c.callScheduler(func(now time.Duration) { c.Scheduler.Load(l, now) })
}

// Cache implements Policy.
func (c *Central) Cache(e scheduler.CacheEvent) {
	c.callScheduler(func(now time.Duration) { c.Scheduler.Cache(e, now) })
}
