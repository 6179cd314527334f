package policymodel

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// EngineSpec describes one engine.
type EngineSpec struct {
	Name          ident.UpstreamName
	Version       ident.VersionName
	MaxConcurrent int
	// A step of the batch takes StepBase, StepPerSequence for each request that
	// decodes, StepPerKiloKV for each 1,000 tokens that these hold in the KV
	// cache, and the prompt tokens of the step over PrefillRate (tokens/s).
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerKiloKV   time.Duration
	PrefillRate     float64
	// ChunkTokens bounds the prompt tokens of one step.
	ChunkTokens int
	// KVTokens bounds the tokens of all admitted requests.
	KVTokens int
	// CacheBlocks bounds the prefix cache, in blocks of BlockTokens.
	CacheBlocks int
	// Fault, if set, tells how the engine mistreats a request.
	Fault func(r *Request, running int, now time.Duration) Fault
}

// Fault is what goes wrong with one request.
type Fault struct {
	// Fail ends the request with an error instead of its first token.
	Fail bool
	// Slow stretches the request's prefill and decode. 0 and 1 mean no change.
	SlowFactor float64
}

// Scaled returns the spec of an engine whose steps take longer by the factor
// and whose memory is smaller by it.
func (s EngineSpec) Scaled(factor float64) EngineSpec {
	s.StepBase = scale(s.StepBase, factor)
	s.StepPerSequence = scale(s.StepPerSequence, factor)
	s.StepPerKiloKV = scale(s.StepPerKiloKV, factor)
	s.PrefillRate /= factor
	s.KVTokens = int(float64(s.KVTokens) / factor)
	s.CacheBlocks = int(float64(s.CacheBlocks) / factor)
	return s
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// sequence is one request in an engine.
type sequence struct {
	request *Request
	fault   Fault
	cached  int
	// prefillLeft counts tokens to compute before the next token can come.
	prefillLeft int
	// computing counts the tokens under way in the present step.
	chunk   int
	emitted int
	// progress adds up to one token; slow requests gain less than one a step.
	progress    float64
	kvUsed      int
	lastTokenAt time.Duration
	ended       bool
}

// EngineEvents receives what an engine does. Calls come in virtual time order.
type EngineEvents interface {
	FirstToken(r *Request, cached int)
	Token(r *Request, gap time.Duration)
	Ended(r *Request)
	Failed(r *Request)
	CacheChanged(e *Engine, stored, evicted []uint64)
}

// Engine models continuous batching: it admits requests in order of arrival
// while its KV cache has room, computes prompts in chunks beside one token for
// each admitted request, and knows no priorities.
type Engine struct {
	EngineSpec
	clock    *Clock
	events   EngineEvents
	cache    *prefixCache
	waiting  []*sequence
	active   []*sequence
	kvUsed   int
	stepping bool
	slowdown float64
	// BusyTime is the time spent in steps.
	BusyTime time.Duration
}

// NewEngine returns an idle engine.
func NewEngine(spec EngineSpec, clock *Clock, events EngineEvents) *Engine {
	return &Engine{EngineSpec: spec, clock: clock, events: events, cache: newPrefixCache(spec.CacheBlocks), slowdown: 1}
}

// SetSlowdown stretches every later step by the factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.slowdown = factor
}

// Running counts admitted requests.
func (e *Engine) Running() int { return len(e.active) }

// Waiting counts requests that wait for room in the engine.
func (e *Engine) Waiting() int { return len(e.waiting) }

// CacheUsed is the filled part of the KV cache, 0 to 1.
func (e *Engine) CacheUsed() float64 { return float64(e.kvUsed) / float64(e.KVTokens) }

// Submit hands a request to the engine.
func (e *Engine) Submit(r *Request) {
	s := &sequence{request: r, prefillLeft: r.Prompt}
	if e.Fault != nil {
		s.fault = e.Fault(r, len(e.active)+len(e.waiting), e.clock.Now())
	}
	e.waiting = append(e.waiting, s)
	e.startStep()
}

// Cancel ends a request without an answer. An unknown request is left alone.
func (e *Engine) Cancel(r *Request) {
	for _, s := range append(e.active[:len(e.active):len(e.active)], e.waiting...) {
		if s.request == r {
			s.ended = true
		}
	}
}

func (e *Engine) startStep() {
	if e.stepping {
		return
	}
	e.removeEnded()
	e.admit()
	if len(e.active) == 0 {
		return
	}
	e.stepping = true
	duration := e.planStep()
	e.BusyTime += duration
	e.clock.After(duration, func() {
		e.stepping = false
		e.finishStep()
		e.startStep()
	})
}

// admit takes waiting requests in order while the KV cache has room.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		need := s.request.Prompt + s.emitted
		if len(e.active) > 0 && e.kvUsed+need > e.KVTokens {
			return
		}
		e.waiting = e.waiting[1:]
		s.cached = min(s.request.Prompt-1, e.cache.match(s.request.Prefixes)*BlockTokens)
		s.prefillLeft = need - s.cached
		s.kvUsed = need
		e.kvUsed += need
		e.active = append(e.active, s)
	}
}

// plan chooses the work of the next step and returns the step's duration.
func (e *Engine) planStep() time.Duration {
	budget := e.ChunkTokens
	decoding, kvUsed := 0, 0
	for _, s := range e.active {
		s.chunk = 0
		if s.prefillLeft > 0 {
			s.chunk = min(budget, s.prefillLeft)
			budget -= s.chunk
			continue
		}
		decoding++
		kvUsed += s.kvUsed
	}
	prefill := float64(e.ChunkTokens-budget) / e.PrefillRate * float64(time.Second)
	step := e.StepBase + time.Duration(decoding)*e.StepPerSequence + time.Duration(prefill)
	step += time.Duration(kvUsed) * e.StepPerKiloKV / 1000
	return scale(step, e.slowdown)
}

// finish applies the step that has passed.
func (e *Engine) finishStep() {
	for _, s := range e.active {
		if s.ended {
			continue
		}
		if s.prefillLeft > 0 {
			e.advancePrefill(s)
		} else {
			e.advanceDecode(s)
		}
	}
	e.removeEnded()
	e.preempt()
}

// advance returns how much of a step's work counts for the request.
func (s *sequence) progressPerStep() float64 {
	if s.fault.SlowFactor > 1 {
		return 1 / s.fault.SlowFactor
	}
	return 1
}

func (e *Engine) advancePrefill(s *sequence) {
	if s.chunk == 0 {
		return
	}
	done := max(1, int(float64(s.chunk)*s.progressPerStep()))
	s.prefillLeft -= done
	s.request.prefilled += done
	if s.prefillLeft > 0 {
		return
	}
	if stored, evicted := e.cache.store(s.request.Prefixes); len(stored)+len(evicted) > 0 {
		e.events.CacheChanged(e, stored, evicted)
	}
	if s.fault.Fail {
		s.ended = true
		e.events.Failed(s.request)
		return
	}
	e.emitToken(s)
}

func (e *Engine) advanceDecode(s *sequence) {
	s.progress += s.progressPerStep()
	if s.progress >= 1 {
		s.progress--
		e.emitToken(s)
	}
}

// produce emits one token of a request.
func (e *Engine) emitToken(s *sequence) {
	now := e.clock.Now()
	s.emitted++
	s.kvUsed++
	e.kvUsed++
	if s.emitted == 1 {
		e.events.FirstToken(s.request, s.cached)
	} else {
		e.events.Token(s.request, now-s.lastTokenAt)
	}
	s.lastTokenAt = now
	if s.emitted >= s.request.Output {
		s.ended = true
		e.events.Ended(s.request)
	}
}

// preempt returns the latest requests to the queue while the KV cache is too
// full; their tokens must be computed again.
func (e *Engine) preempt() {
	for e.kvUsed > e.KVTokens && len(e.active) > 1 {
		last := e.active[len(e.active)-1]
		e.active = e.active[:len(e.active)-1]
		e.kvUsed -= last.kvUsed
		last.kvUsed = 0
		e.waiting = append([]*sequence{last}, e.waiting...)
	}
}

func (e *Engine) removeEnded() {
	kept := e.active[:0]
	for _, s := range e.active {
		if s.ended {
			e.kvUsed -= s.kvUsed
			continue
		}
		kept = append(kept, s)
	}
	e.active = kept
	waiting := e.waiting[:0]
	for _, s := range e.waiting {
		if !s.ended {
			waiting = append(waiting, s)
		}
	}
	e.waiting = waiting
}
