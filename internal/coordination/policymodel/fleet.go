package policymodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// referenceBatch is the batch at which Cost prices a decoded token.
	referenceBatch = 32
	// referenceKV is the KV cache, in tokens, of one request in that batch.
	referenceKV = 2500
)

// ReferenceEngine is the fastest of three generations.
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

// generationFactors stretch the steps of the three generations.
var generationFactors = []float64{1, 1.5, 2.2}

// Fleet returns n engines of three generations in turn, all of one version.
func Fleet(n int, version ident.VersionName) []EngineSpec {
	out := make([]EngineSpec, n)
	for i := range out {
		out[i] = ReferenceEngine().Scaled(generationFactors[i%len(generationFactors)])
		out[i].Name = ident.UpstreamName(fmt.Sprintf("engine-%02d", i+1))
		out[i].Version = version
	}
	return out
}

// Cost is the request's price in seconds of the reference engine at its
// reference batch, without any cached prefix.
func (r *Request) Cost() float64 {
	e := ReferenceEngine()
	step := e.StepBase + referenceBatch*e.StepPerSequence + referenceBatch*referenceKV*e.StepPerKiloKV/1000
	return float64(r.Prompt)/e.PrefillRate + float64(r.Output)*step.Seconds()/referenceBatch
}

// Capacity measures what a fleet can do with a workload: each engine by itself
// keeps a constant number of requests in flight, without deadlines. It returns
// the requests and the useful work a second, each engine at its best number.
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

// closedLoop keeps a number of requests in flight on one engine.
type closedLoop struct {
	clock    Clock
	engine   *Engine
	gen      *generator
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
