package policymodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// negligibleRegret is the part of the best time up to which another engine isn't wrong.
const negligibleRegret = 0.05

// trueTime estimates the time to complete a request on an engine from the engine's true
// speed, work and cache and the request's true length, if nothing else arrives.
func trueTime(e *Engine, r *Request) time.Duration {
	tokens := r.Prompt - min(r.Prompt-1, e.cache.match(r.Prefixes)*BlockTokens)
	batch, kv := 1, 0
	for _, sequences := range [][]*sequence{e.active, e.waiting} {
		for _, s := range sequences {
			tokens += s.prefillLeft
			kv += s.request.Prompt + s.emitted
			batch++
		}
	}
	step := func(decoding, kv int) time.Duration {
		return e.StepBase + time.Duration(decoding)*e.StepPerSequence + time.Duration(kv)*e.StepPerKiloKV/1000
	}
	chunks := (tokens + e.ChunkTokens - 1) / e.ChunkTokens
	prefill := time.Duration(float64(tokens)/e.PrefillRate*float64(time.Second)) + time.Duration(chunks)*step(batch-1, kv)
	return scale(prefill+time.Duration(max(0, r.Output-1))*step(batch, kv+r.Prompt), e.slowdown)
}

// regretMeter compares the choices of a policy with the best by trueTime.
type regretMeter struct {
	sim                    *Simulation
	failing                *Engine
	choices, wrong, failed int
	extra                  time.Duration
}

// best returns the engine on which a request would be complete first among the sound ones
// with a free slot, nil if there is none.
func (m *regretMeter) best(r *Request) (best *Engine, least time.Duration) {
	for _, e := range m.sim.Engines {
		if e == m.failing || e.Running()+e.Waiting() >= e.MaxConcurrent {
			continue
		}
		if t := trueTime(e, r); best == nil || t < least {
			best, least = e, t
		}
	}
	return best, least
}

// record records that a request was sent to its engine, before the engine queues it.
func (m *regretMeter) record(r *Request) {
	if r.Arrival < m.sim.Warmup {
		return
	}
	m.choices++
	if r.Engine == m.failing {
		m.wrong++
		m.failed++
		return
	}
	best, least := m.best(r)
	if best == nil || best == r.Engine {
		return
	}
	extra := max(0, trueTime(r.Engine, r)-least)
	m.extra += extra
	if extra > scale(least, negligibleRegret) {
		m.wrong++
	}
}

// allKnowing is the policy that sends each request on arrival to the engine on which it is
// complete first by trueTime.
type allKnowing struct{ meter *regretMeter }

func (p allKnowing) Arrive(r *Request) {
	if e, _ := p.meter.best(r); e != nil {
		p.meter.sim.Dispatch(r, e)
		return
	}
	p.meter.sim.Refuse(r)
}
func (allKnowing) FirstToken(*Request, int)   {}
func (allKnowing) Ended(*Request)             {}
func (allKnowing) Canceled(*Request)          {}
func (allKnowing) Load(scheduler.LoadReport)  {}
func (allKnowing) Cache(scheduler.CacheEvent) {}

// referenceCapacity is the number of requests of the standard workload that the reference
// engine serves a second.
var referenceCapacity = sync.OnceValue(func() float64 {
	requests, _ := Capacity([]EngineSpec{ReferenceEngine()}, StandardWorkload(), 1)
	return requests
})

// regretFleets are the fleets of BenchmarkPolicyRegret, by the slowness of the engine at a
// rank, 0 for the first and 1 for the last.
var regretFleets = []struct {
	name     string
	slowness func(rank float64) float64
	fails    bool
}{
	{"equal", func(float64) float64 { return 1 }, false},
	{"three-orders", func(rank float64) float64 { return math.Pow(1000, rank) }, false},
	{"fails-fast", func(float64) float64 { return 1 }, true},
}

// longestDeadline is that of the standard workload, so that all requests of a run end in it.
const longestDeadline = 120 * time.Second

// regretRun is one run of BenchmarkPolicyRegret. No request arrives after the duration.
func regretRun(engines int, duration time.Duration, load float64, fleet int, build func(*regretMeter) func(*Simulation) Policy, seed uint64) *regretMeter {
	f, m, perSecond := regretFleets[fleet], &regretMeter{}, 0.0
	ranks := rand.New(rand.NewPCG(seed, 3)).Perm(engines)
	c := Config{
		Seed: seed, Workload: StandardWorkload(), Gateways: 6, Duration: 15*time.Second + duration + longestDeadline, Warmup: 15 * time.Second, Delay: time.Millisecond,
		ReportInterval: time.Second, ReportLag: time.Second, CacheLag: 500 * time.Millisecond, CacheLoss: 0.05, Policy: build(m),
	}
	for i, rank := range ranks {
		slowness := f.slowness(float64(rank) / float64(engines-1))
		spec := ReferenceEngine().Scaled(slowness)
		spec.Name, spec.Version = ident.UpstreamName(fmt.Sprintf("engine-%03d", i)), "v1"
		spec.Fault = func(r *Request, _ int, now time.Duration) Fault {
			m.record(r)
			return Fault{Fail: f.fails && i == 0 && now >= c.Warmup}
		}
		c.Engines = append(c.Engines, spec)
		perSecond += load * referenceCapacity() / slowness
	}
	c.Workload.Rate = func(at time.Duration) float64 {
		if at < c.Warmup+duration {
			return perSecond
		}
		return 1e-6
	}
	m.sim = NewSimulation(c)
	if f.fails {
		m.sim.Clock.At(c.Warmup, func() { m.failing = m.sim.Engines[0] })
	}
	m.sim.Run()
	return m
}

// BenchmarkPolicyRegret compares policies with an all-knowing choice, after 15 s. Each
// iteration has its own seed, from 1 on. A failed request counts as wrong and not in
// regret_ms. The mean time is that from arrival to the end of complete answers.
func BenchmarkPolicyRegret(b *testing.B) {
	for _, size := range []struct {
		engines  int
		duration time.Duration
	}{{3, 250 * time.Second}, {30, 80 * time.Second}, {760, 6 * time.Second}} {
		for _, load := range []float64{0.2, 0.8} {
			for fleet, f := range regretFleets {
				for _, policy := range []struct {
					name  string
					build func(*regretMeter) func(*Simulation) Policy
				}{
					{"scheduler", func(*regretMeter) func(*Simulation) Policy { return NewCentral(fullShareV1()) }},
					{"least-loaded", func(*regretMeter) func(*Simulation) Policy { return NewLeastLoaded }},
					{"all-knowing", func(m *regretMeter) func(*Simulation) Policy {
						return func(*Simulation) Policy { return allKnowing{m} }
					}},
				} {
					b.Run(fmt.Sprintf("engines=%d/load=%g/%s/%s", size.engines, load, f.name, policy.name), func(b *testing.B) {
						referenceCapacity()
						total, arrived, done, times := regretMeter{}, 0, 0, time.Duration(0)
						for seed := uint64(1); b.Loop(); seed++ {
							m := regretRun(size.engines, size.duration, load, fleet, policy.build, seed)
							total.choices, total.wrong, total.failed = total.choices+m.choices, total.wrong+m.wrong, total.failed+m.failed
							total.extra += m.extra
							for _, r := range m.sim.Requests {
								if r.Arrival < m.sim.Warmup {
									continue
								}
								arrived++
								if r.Outcome == OutcomeDone {
									done++
									times += r.Ended - r.Arrival
								}
							}
						}
						choices := float64(max(1, total.choices))
						b.ReportMetric(0, "ns/op")
						b.ReportMetric(total.extra.Seconds()*1000/choices, "regret_ms")
						b.ReportMetric(float64(total.wrong)/choices*100, "wrong_%")
						b.ReportMetric(float64(total.failed)/choices*100, "failed_%")
						b.ReportMetric(float64(done)/float64(max(1, arrived))*100, "done_%")
						b.ReportMetric(times.Seconds()*1000/float64(max(1, done)), "mean_ms")
					})
				}
			}
		}
	}
}
