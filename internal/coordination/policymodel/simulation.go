package policymodel

import (
	"math/rand/v2"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Config describes one run.
type Config struct {
	Seed     uint64
	Engines  []EngineSpec
	Workload Workload
	Gateways int
	// Duration is the virtual length of the run. Requests arrive throughout.
	Duration time.Duration
	// Warmup is the time at the start of the run whose arrivals are excluded
	// from the results.
	Warmup time.Duration
	// Delay is the one-way message delay between a gateway and the scheduler.
	Delay time.Duration
	// ReportInterval is the period of load reports, ReportLag their age on receipt.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// CacheLag is the age of cache events on receipt, CacheLoss the fraction of
	// events that are lost.
	CacheLag  time.Duration
	CacheLoss float64
	// Policy builds the policy under test.
	Policy func(*Simulation) Policy
	// OnEnd, if set, is called for every request when it ends.
	OnEnd func(*Request)
	// Prepare, if set, is called before the run, for example to schedule events.
	Prepare func(*Simulation)
}

// Policy decides for the gateways whether and where each request runs. It calls
// Simulation.Dispatch or Simulation.Refuse for each request; further calls for
// the same request have no effect.
type Policy interface {
	// Arrive is called when a request arrives at its gateway.
	Arrive(r *Request)
	// FirstToken is called at the first token of an answer; cached counts the
	// prompt tokens found in the engine's prefix cache.
	FirstToken(r *Request, cached int)
	// Ended is called when a dispatched request has ended; see its Outcome.
	Ended(r *Request)
	// Canceled is called when the deadline of a request passes before the
	// request was dispatched or refused.
	Canceled(r *Request)
	// Load is called for each load report of an engine.
	Load(l scheduler.LoadReport)
	// Cache is called for each cache event that is not lost.
	Cache(c scheduler.CacheEvent)
}

// Simulation is one run of a policy in virtual time.
type Simulation struct {
	Config
	Clock   Clock
	Engines []*Engine
	// Requests holds all requests in the order of arrival.
	Requests      []*Request
	policy        Policy
	rng           *rand.Rand
	enginesByName map[ident.UpstreamName]*Engine
	cacheSequence map[*Engine]uint64
	metrics       *metrics
}

// Run runs a configuration to the end and returns the results.
func Run(c Config) Summary {
	return NewSimulation(c).Run()
}

// NewSimulation returns a simulation that is ready to run.
func NewSimulation(c Config) *Simulation {
	s := &Simulation{
		Config:        c,
		rng:           rand.New(rand.NewPCG(c.Seed, 1)),
		enginesByName: make(map[ident.UpstreamName]*Engine),
		cacheSequence: make(map[*Engine]uint64),
		metrics:       newMetrics(),
	}
	for _, spec := range c.Engines {
		e := NewEngine(spec, &s.Clock, s)
		s.Engines = append(s.Engines, e)
		s.enginesByName[spec.Name] = e
	}
	s.policy = c.Policy(s)
	return s
}

// Policy returns the policy under test.
func (s *Simulation) Policy() Policy {
	return s.policy
}

// Engine returns the engine with the given name, or nil if there is none.
func (s *Simulation) Engine(name ident.UpstreamName) *Engine {
	return s.enginesByName[name]
}

// Run runs the simulation for Config.Duration and returns the results.
func (s *Simulation) Run() Summary {
	if s.Prepare != nil {
		s.Prepare(s)
	}
	g := newGenerator(s.Workload, s.Seed)
	s.scheduleNextArrival(g)
	s.Clock.Every(s.ReportInterval, s.reportLoad)
	s.Clock.Run(s.Duration)
	return s.metrics.summary(s)
}

// scheduleNextArrival schedules the next arrival, unless it would be after the
// end of the run. Each arrival schedules the one after it.
func (s *Simulation) scheduleNextArrival(g *generator) {
	at := s.Clock.Now() + g.interarrival(s.Clock.Now())
	if at >= s.Duration {
		return
	}
	s.Clock.At(at, func() {
		r := g.draw(at, s.Gateways)
		s.Requests = append(s.Requests, r)
		s.Clock.At(r.Deadline, func() { s.expire(r) })
		s.policy.Arrive(r)
		s.scheduleNextArrival(g)
	})
}

// Dispatch sends a request to an engine. It has no effect on a request that has
// ended or was dispatched before.
func (s *Simulation) Dispatch(r *Request, e *Engine) {
	if r.Outcome != OutcomePending || r.Engine != nil {
		return
	}
	r.Engine = e
	r.LoadAtDispatch = float64(e.Running()+e.Waiting()) / float64(max(1, e.MaxConcurrent))
	r.Dispatched = s.Clock.Now()
	e.Submit(r)
}

// Refuse ends a request with OutcomeRefused. It has no effect on a request that
// has ended or was dispatched.
func (s *Simulation) Refuse(r *Request) {
	if r.Outcome == OutcomePending && r.Engine == nil {
		s.end(r, OutcomeRefused)
	}
}

// expire ends a request at its deadline if it has not ended before, as if the
// caller disconnected.
func (s *Simulation) expire(r *Request) {
	if r.Outcome != OutcomePending {
		return
	}
	s.end(r, OutcomeLate)
	if r.Engine == nil {
		s.policy.Canceled(r)
		return
	}
	r.Engine.Cancel(r)
	s.policy.Ended(r)
}

func (s *Simulation) end(r *Request, outcome Outcome) {
	r.Outcome = outcome
	r.Ended = s.Clock.Now()
	if s.OnEnd != nil {
		s.OnEnd(r)
	}
}

// FirstToken implements EngineEvents.
func (s *Simulation) FirstToken(r *Request, cached int) {
	r.FirstToken = s.Clock.Now()
	s.policy.FirstToken(r, cached)
}

// Token implements EngineEvents.
func (s *Simulation) Token(r *Request, gap time.Duration) {
	s.metrics.recordTokenGap(s, r, gap)
}

// Ended implements EngineEvents.
func (s *Simulation) Ended(r *Request) {
	s.complete(r, OutcomeDone)
}

// Failed implements EngineEvents.
func (s *Simulation) Failed(r *Request) {
	s.complete(r, OutcomeFailed)
}

// complete ends a dispatched request with the engine's outcome, unless the request
// has ended before.
func (s *Simulation) complete(r *Request, outcome Outcome) {
	if r.Outcome != OutcomePending {
		return
	}
	s.end(r, outcome)
	s.policy.Ended(r)
}

// CacheChanged implements EngineEvents. It delivers the event after CacheLag. A
// lost event uses up a sequence number, so the receiver can detect the gap.
func (s *Simulation) CacheChanged(e *Engine, stored, evicted []uint64) {
	s.cacheSequence[e]++
	c := scheduler.CacheEvent{Upstream: e.Name, Sequence: s.cacheSequence[e], Stored: stored, Evicted: evicted}
	if s.rng.Float64() < s.CacheLoss {
		return
	}
	s.Clock.After(s.CacheLag, func() { s.policy.Cache(c) })
}

// reportLoad sends the policy a load report of every engine after ReportLag.
func (s *Simulation) reportLoad() {
	for _, e := range s.Engines {
		l := scheduler.LoadReport{Upstream: e.Name, Running: e.Running() + e.Waiting(), CacheUsed: e.CacheUsed(), Age: s.ReportLag}
		s.Clock.After(s.ReportLag, func() { s.policy.Load(l) })
	}
}

// View returns the scheduler's view of the run: all engines and gateways, the
// workload's tiers and teams, and the given version shares.
func (s *Simulation) View(shares []scheduler.VersionShare) scheduler.View {
	v := scheduler.View{Pool: "model", Revision: 1, Shares: shares}
	for _, t := range s.Workload.Tiers {
		v.Tiers = append(v.Tiers, scheduler.Tier{Name: t.Name, Rank: t.Rank, Reserve: t.Reserve})
	}
	for _, t := range s.Workload.Teams {
		v.Teams = append(v.Teams, scheduler.Team{Name: t.Name, Shares: t.Shares})
	}
	for _, e := range s.Engines {
		v.Upstreams = append(v.Upstreams, scheduler.Upstream{Name: e.Name, Version: e.Version, MaxConcurrent: e.MaxConcurrent})
	}
	for i := range s.Gateways {
		v.Gateways = append(v.Gateways, GatewayName(i))
	}
	return v
}
