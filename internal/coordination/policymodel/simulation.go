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
	// Duration is the virtual time over which requests arrive.
	Duration time.Duration
	// Warmup is the time at the start whose arrivals are left out of figures.
	Warmup time.Duration
	// Delay is the one-way time between a gateway and the scheduler.
	Delay time.Duration
	// ReportEvery is the period of load reports, ReportLag their age.
	ReportInterval time.Duration
	ReportLag      time.Duration
	// CacheLag is the age of cache events, CacheLoss the part that is lost.
	CacheLag  time.Duration
	CacheLoss float64
	// Policy builds the policy under test.
	Policy func(*Simulation) Policy
	// OnEnd, if set, sees every request as it ends.
	OnEnd func(*Request)
	// Prepare, if set, may add events to the clock before the run.
	Prepare func(*Simulation)
}

// Policy decides at the gateways, alone or through a scheduler. It calls
// Dispatch or Refuse of the simulation once for each request.
type Policy interface {
	// Arrive takes in a request at its gateway.
	Arrive(r *Request)
	// FirstToken tells that the answer began; cached prompt tokens were reused.
	FirstToken(r *Request, cached int)
	// Ended tells that a dispatched request ended, by its Outcome.
	Ended(r *Request)
	// Left tells that the caller of an undecided request left.
	Canceled(r *Request)
	// Load takes in a load report.
	Load(l scheduler.LoadReport)
	// Cache takes in a cache event.
	Cache(c scheduler.CacheEvent)
}

// Simulation is one run.
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

// Run runs a configuration to the end and returns its figures.
func Run(c Config) Summary {
	return NewSimulation(c).Run()
}

// NewSimulation prepares a run.
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

// Engine returns the engine of the given name.
func (s *Simulation) Engine(name ident.UpstreamName) *Engine {
	return s.enginesByName[name]
}

// Run runs to the end of the last deadline and returns the figures.
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

// Dispatch sends a request to an engine.
func (s *Simulation) Dispatch(r *Request, e *Engine) {
	if r.Outcome != OutcomePending || r.Engine != nil {
		return
	}
	r.Engine = e
	r.LoadAtDispatch = float64(e.Running()+e.Waiting()) / float64(max(1, e.MaxConcurrent))
	r.Dispatched = s.Clock.Now()
	e.Submit(r)
}

// Refuse ends a request that was not dispatched.
func (s *Simulation) Refuse(r *Request) {
	if r.Outcome == OutcomePending && r.Engine == nil {
		s.end(r, OutcomeRefused)
	}
}

// leave is the caller's leaving at the deadline.
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

func (s *Simulation) complete(r *Request, outcome Outcome) {
	if r.Outcome != OutcomePending {
		return
	}
	s.end(r, outcome)
	s.policy.Ended(r)
}

// CacheChanged implements EngineEvents. Some events are lost, all come late.
func (s *Simulation) CacheChanged(e *Engine, stored, evicted []uint64) {
	s.cacheSequence[e]++
	c := scheduler.CacheEvent{Upstream: e.Name, Sequence: s.cacheSequence[e], Stored: stored, Evicted: evicted}
	if s.rng.Float64() < s.CacheLoss {
		return
	}
	s.Clock.After(s.CacheLag, func() { s.policy.Cache(c) })
}

func (s *Simulation) reportLoad() {
	for _, e := range s.Engines {
		l := scheduler.LoadReport{Upstream: e.Name, Running: e.Running() + e.Waiting(), CacheUsed: e.CacheUsed(), Age: s.ReportLag}
		s.Clock.After(s.ReportLag, func() { s.policy.Load(l) })
	}
}

// View returns the scheduler's view of the run: all engines, the workload's
// tiers and teams, and the given shares.
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
