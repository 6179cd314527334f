package policymodel

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// EngineSpec describes the speed and capacity of one engine.
type EngineSpec struct {
	Name    ident.UpstreamName
	Version ident.VersionName
	// MaxConcurrent is the limit of concurrent requests that the scheduler is
	// given. The engine itself does not enforce it.
	MaxConcurrent int
	// The duration of a batch step is the sum of StepBase, StepPerSequence for
	// each decoding request, StepPerKiloKV for each 1,000 tokens that these
	// requests hold in the KV cache, and the number of prompt tokens in the step
	// divided by PrefillRate (tokens/s).
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerKiloKV   time.Duration
	PrefillRate     float64
	// ChunkTokens is the maximum number of prompt tokens in one step.
	ChunkTokens int
	// KVTokens is the capacity of the KV cache: the maximum number of tokens of
	// all admitted requests. A single request may exceed it.
	KVTokens int
	// CacheBlocks is the capacity of the prefix cache, in blocks of BlockTokens.
	CacheBlocks int
	// Fault, if set, returns the fault to inject into a submitted request;
	// running counts the other requests in the engine.
	Fault func(r *Request, running int, now time.Duration) Fault
}

// Fault is a fault injected into one request.
type Fault struct {
	// Fail ends the request with an error instead of its first token.
	Fail bool
	// SlowFactor multiplies the time of the request's prefill and decode.
	// Values up to 1 have no effect.
	SlowFactor float64
}

// Scaled returns the spec of a slower engine: step times are multiplied by the
// factor; prefill rate, KV cache and prefix cache are divided by it.
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
	// cached counts the prompt tokens found in the prefix cache.
	cached int
	// prefillLeft counts the tokens to compute before the next token can be
	// emitted.
	prefillLeft int
	// chunk counts the prefill tokens that the current step computes.
	chunk int
	// emitted counts the output tokens so far.
	emitted int
	// progress is the completed fraction of the next output token. A slowed
	// request gains less than one token per step.
	progress float64
	// kvUsed counts the request's tokens in the KV cache.
	kvUsed      int
	lastTokenAt time.Duration
	// ended marks a request that is complete, failed or canceled.
	ended bool
}

// EngineEvents receives the events of an engine, in order of virtual time.
type EngineEvents interface {
	// FirstToken reports a request's first token; cached counts the prompt
	// tokens found in the prefix cache.
	FirstToken(r *Request, cached int)
	// Token reports a later token and the time since the previous one.
	Token(r *Request, gap time.Duration)
	// Ended reports that the request's answer is complete.
	Ended(r *Request)
	// Failed reports that the request ended with an error.
	Failed(r *Request)
	// CacheChanged reports the hashes of blocks added to and evicted from the
	// prefix cache.
	CacheChanged(e *Engine, stored, evicted []uint64)
}

// Engine models continuous batching without priorities. It admits requests in
// order of arrival while its KV cache has room. Each step computes a chunk of
// prompt tokens and one output token for each request past its prefill.
type Engine struct {
	EngineSpec
	clock   *Clock
	events  EngineEvents
	cache   *prefixCache
	waiting []*sequence
	active  []*sequence
	// kvUsed counts the tokens in the KV cache.
	kvUsed int
	// stepping is true while a step is in progress.
	stepping bool
	slowdown float64
	// BusyTime is the total duration of all steps started so far.
	BusyTime time.Duration
}

// NewEngine returns an idle engine.
func NewEngine(spec EngineSpec, clock *Clock, events EngineEvents) *Engine {
	return &Engine{EngineSpec: spec, clock: clock, events: events, cache: newPrefixCache(spec.CacheBlocks), slowdown: 1}
}

// SetSlowdown multiplies the duration of later steps by the factor; 1 restores
// the normal speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.slowdown = factor
}

// Running returns the number of admitted requests.
func (e *Engine) Running() int { return len(e.active) }

// Waiting returns the number of requests that wait for admission.
func (e *Engine) Waiting() int { return len(e.waiting) }

// CacheUsed returns the used fraction of the KV cache. It can exceed 1 if a
// single request is larger than the cache.
func (e *Engine) CacheUsed() float64 { return float64(e.kvUsed) / float64(e.KVTokens) }

// Submit queues a request for admission.
func (e *Engine) Submit(r *Request) {
	s := &sequence{request: r, prefillLeft: r.Prompt}
	if e.Fault != nil {
		s.fault = e.Fault(r, len(e.active)+len(e.waiting), e.clock.Now())
	}
	e.waiting = append(e.waiting, s)
	e.startStep()
}

// Cancel ends a request without an event. It has no effect on a request that
// the engine does not hold.
func (e *Engine) Cancel(r *Request) {
	for _, s := range append(e.active[:len(e.active):len(e.active)], e.waiting...) {
		if s.request == r {
			s.ended = true
		}
	}
}

// startStep admits waiting requests and starts the next step, unless a step is in
// progress or no request is active.
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

// admit admits waiting requests in order while the KV cache has room. An engine
// without active requests admits the first one whatever its size. At least one
// prompt token is always computed, also if the whole prompt is cached.
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

// planStep assigns the work of the next step and returns the step's duration.
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

// finishStep applies the results of the step that has just ended.
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

// progressPerStep returns the fraction of a step's work that counts for the
// request: 1, or less for a slowed one.
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

// emitToken emits one output token of a request and ends the request after its
// last one.
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

// preempt moves the most recently admitted requests back to the front of the
// queue while the KV cache exceeds its capacity. Tokens of a preempted request
// that the prefix cache does not hold must be computed again.
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
