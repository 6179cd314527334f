package fakes

import (
	"fmt"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// prefillChunk is the maximum number of prompt tokens computed in one step.
const prefillChunk = 512

// maxStepsPerWake is the longest delay, in steps, that is caught up after a late
// timer. After a longer delay the schedule restarts from the present.
const maxStepsPerWake = 64

// stepWork describes the work of one step of the batch.
type stepWork struct {
	// decoding counts the sequences that get a token.
	decoding int
	// prefillTokens counts the prompt tokens that the step computes.
	prefillTokens int
	// version and path are those of the oldest sequence in the batch.
	version ident.VersionName
	path    string
}

// sequence is one request in the batch. The fields that change after its admission
// are guarded by batch.mu until it has ended.
type sequence struct {
	id ident.RequestID
	// run is the request's index in the run log.
	run     int
	chat    bool
	model   string
	echo    string
	path    string
	version ident.VersionName

	promptTokens int
	cachedTokens int
	prefillLeft  int
	outputTokens int
	// failAt is the number of tokens at which the sequence fails; zero means never.
	failAt int

	// tokens counts the output tokens so far.
	tokens   int
	ended    bool
	failed   bool
	canceled bool
	// changed is closed at the next token and when the sequence ends. A new
	// channel replaces it after each token except the last.
	changed chan struct{}
	endedAt time.Time
}

// token returns the text of token i.
func (s *sequence) token(i int) string {
	if i == 0 {
		return s.echo
	}
	return fmt.Sprintf(" t%d", i)
}

// progress is a snapshot of a sequence.
type progress struct {
	tokens  int
	ended   bool
	failed  bool
	changed <-chan struct{}
}

// batch runs all admitted sequences together. Each step adds one token to every
// sequence whose prompt has been computed.
type batch struct {
	// stepTime returns the duration of a step.
	stepTime func(stepWork) time.Duration

	mu        sync.Mutex
	active    []*sequence
	wake      chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

func newBatch(stepTime func(stepWork) time.Duration) *batch {
	return &batch{stepTime: stepTime, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

func (b *batch) close() {
	b.closeOnce.Do(func() { close(b.done) })
}

func (b *batch) admit(s *sequence) {
	b.mu.Lock()
	s.changed = make(chan struct{})
	b.active = append(b.active, s)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *batch) cancel(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !s.ended {
		s.canceled = true
		s.end(true)
	}
}

func (b *batch) progress(s *sequence) progress {
	b.mu.Lock()
	defer b.mu.Unlock()
	return progress{tokens: s.tokens, ended: s.ended, failed: s.failed, changed: s.changed}
}

// sizes returns the numbers of sequences that decode and that are in prefill or
// wait for it.
func (b *batch) sizes() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.active {
		if s.prefillLeft > 0 {
			waiting++
		} else {
			running++
		}
	}
	return running, waiting
}

// run executes steps until the batch is closed. The times of the steps are computed
// from the time of the previous step, so late timers do not slow the engine down.
func (b *batch) run() {
	var nextAt time.Time
	for {
		duration, ok := b.nextStep()
		if !ok {
			select {
			case <-b.done:
				return
			case <-b.wake:
			}
			nextAt = time.Now()
			continue
		}
		nextAt = nextAt.Add(duration)
		if behind := time.Since(nextAt); behind > maxStepsPerWake*duration {
			nextAt = time.Now()
		}
		if wait := time.Until(nextAt); wait > 0 {
			select {
			case <-b.done:
				return
			case <-time.After(wait):
			}
		}
		b.step()
	}
}

// nextStep returns the duration of the next step, and false if there is no work.
func (b *batch) nextStep() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropEnded()
	if len(b.active) == 0 {
		return 0, false
	}
	work := stepWork{version: b.active[0].version, path: b.active[0].path}
	for _, s := range b.active {
		if s.prefillLeft == 0 {
			work.decoding++
		} else if work.prefillTokens == 0 {
			work.prefillTokens = min(s.prefillLeft, prefillChunk)
		}
	}
	return b.stepTime(work), true
}

// step computes one chunk of the oldest incomplete prompt and adds a token to every
// sequence that decodes.
func (b *batch) step() {
	b.mu.Lock()
	defer b.mu.Unlock()
	prefilled := false
	for _, s := range b.active {
		if s.ended {
			continue
		}
		if s.prefillLeft > 0 {
			if !prefilled {
				s.prefillLeft -= min(s.prefillLeft, prefillChunk)
				prefilled = true
			}
			continue
		}
		s.decode()
	}
	b.dropEnded()
}

// dropEnded removes ended sequences from the batch. The caller holds b.mu.
func (b *batch) dropEnded() {
	kept := b.active[:0]
	for _, s := range b.active {
		if !s.ended {
			kept = append(kept, s)
		}
	}
	clear(b.active[len(kept):])
	b.active = kept
}

// decode adds a token and ends the sequence if it fails at this token or has all
// its output tokens.
func (s *sequence) decode() {
	s.tokens++
	switch {
	case s.failAt > 0 && s.tokens >= s.failAt:
		s.end(true)
	case s.tokens >= s.outputTokens:
		s.end(false)
	default:
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// end marks the sequence as ended and closes changed for good.
func (s *sequence) end(failed bool) {
	s.ended = true
	s.failed = failed
	s.endedAt = time.Now()
	close(s.changed)
}
