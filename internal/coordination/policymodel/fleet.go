package policymodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// referenceBatch is the batch size, in requests, for which Cost computes the
	// time of a decoded token.
	referenceBatch = 32
	// referenceKV is the number of KV cache tokens of each request in that batch.
	referenceKV = 2500
)

// ReferenceEngine returns the spec of the fastest of the three engine
// generations, without a name and a version.
func ReferenceEngine() EngineSpec {
	return EngineSpec{
		MaxConcurrent:   96,
		StepBase:        12 * time.Millisecond,
		StepPerSequence: 300 * time.Microsecond,
		StepPerKiloKV:   150 * time.Microsecond,
		PrefillRate:     16_000,
		ChunkTokens:     256,
		KVTokens:        200_000,
		CacheBlocks:     1_200,
	}
}

// generationFactors holds the factor of EngineSpec.Scaled for each of the three
// generations.
var generationFactors = []float64{1, 1.5, 2.2}

// Fleet returns the specs of n engines of one version, which belong to the three
// generations in turn.
func Fleet(n int, version ident.VersionName) []EngineSpec {
	out := make([]EngineSpec, n)
	for i := range out {
		out[i] = ReferenceEngine().Scaled(generationFactors[i%len(generationFactors)])
		out[i].Name = ident.UpstreamName(fmt.Sprintf("engine-%02d", i+1))
		out[i].Version = version
	}
	return out
}

// Cost returns the share of engine time that the request takes on the reference
// engine with the reference batch, in seconds, without any cached prefix.
func (r *Request) Cost() float64 {
	e := ReferenceEngine()
	step := e.StepBase + referenceBatch*e.StepPerSequence + referenceBatch*referenceKV*e.StepPerKiloKV/1000
	return float64(r.Prompt)/e.PrefillRate + float64(r.Output)*step.Seconds()/referenceBatch
}

// Capacity measures the throughput of a fleet. Each engine runs alone with a
// constant number of requests in flight and without deadlines. The results are
// requests and work (Request.Cost) per second, summed over the engines, each at
// the number in flight with the most work per second.
func Capacity(fleet []EngineSpec, workload Workload, seed uint64) (requests, work float64) {
	for _, spec := range fleet {
		bestRequests, bestWork := 0.0, 0.0
		for _, inFlight := range []int{4, 8, 12, 16, 20, 24, 32, 40, 48, 64} {
			l := newClosedLoop(spec, workload, inFlight, seed)
			l.run()
			if l.work > bestWork {
				bestRequests, bestWork = l.requests, l.work
			}
		}
		requests += bestRequests
		work += bestWork
	}
	return requests, work
}

const (
	closedLoopWarmup = 30 * time.Second
	closedLoopEnd    = 150 * time.Second
)

// closedLoop is a load generator that keeps a constant number of requests in
// flight on one engine. It implements EngineEvents.
type closedLoop struct {
	clock  Clock
	engine *Engine
	gen    *generator
	// requests and work are totals after the warm-up until run divides them by
	// the measured time; then they are rates per second.
	requests float64
	work     float64
}

func newClosedLoop(spec EngineSpec, workload Workload, inFlight int, seed uint64) *closedLoop {
	l := &closedLoop{gen: newGenerator(workload, seed)}
	l.gen.rng = rand.New(rand.NewPCG(seed, 2))
	l.engine = NewEngine(spec, &l.clock, l)
	for range inFlight {
		l.engine.Submit(l.gen.draw(0, 1))
	}
	return l
}

func (l *closedLoop) run() {
	l.clock.Run(closedLoopEnd)
	window := (closedLoopEnd - closedLoopWarmup).Seconds()
	l.requests /= window
	l.work /= window
}

func (l *closedLoop) FirstToken(*Request, int) {}

func (l *closedLoop) Token(*Request, time.Duration) {}

func (l *closedLoop) Ended(r *Request) {
	if l.clock.Now() >= closedLoopWarmup {
		l.requests++
		l.work += r.Cost()
	}
	l.engine.Submit(l.gen.draw(l.clock.Now(), 1))
}

func (l *closedLoop) Failed(*Request) {}

func (l *closedLoop) CacheChanged(*Engine, []uint64, []uint64) {}
