package fakes

import "sync"

// FailMode is the way in which a fake fails its requests.
type FailMode string

// Modes of failure. Each request counts as a run in every mode.
const (
	// FailNone means that requests do not fail.
	FailNone FailMode = ""
	// FailStatus answers with status 500. An engine does so without running the
	// request, a service after the time of a call.
	FailStatus FailMode = "status"
	// FailReset aborts the connection without running the request. It counts as a
	// run because the sender cannot tell that the request did not run.
	FailReset FailMode = "reset"
	// FailAnswerLost runs the request and aborts the connection before the answer.
	FailAnswerLost FailMode = "answer_lost"
	// FailMidStream lets an engine fail the request halfway through its output; the
	// stream cannot be resumed. A service handles it like FailAnswerLost.
	FailMidStream FailMode = "mid_stream"
)

// faults holds the faults of a fake that can be changed while it runs.
type faults struct {
	mu              sync.Mutex
	slow            float64
	fail            FailMode
	breakAfter      int
	cross           bool
	pendingFailures float64
}

func (f *faults) slowFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.slow <= 0 {
		return 1
	}
	return f.slow
}

func (f *faults) failMode() FailMode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fail
}

func (f *faults) breakStreamsAfter() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.breakAfter
}

func (f *faults) crossesAnswers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cross
}

// shouldFail reports whether this call is to fail. Failures are spread evenly: of n
// calls with the same rate, rate*n fail.
func (f *faults) shouldFail(rate float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pendingFailures += rate
	if f.pendingFailures < 1 {
		return false
	}
	f.pendingFailures--
	return true
}

// SetSlow multiplies the time of every step; 1 restores the normal speed.
func (f *faults) SetSlow(factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow = factor
}

// SetFail sets how later requests fail.
func (f *faults) SetFail(mode FailMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = mode
}

// BreakStreamsAfter aborts the connection of every later streamed answer after n
// events. The request continues to run and its stream can be resumed. Zero turns
// this off.
func (e *Engine) BreakStreamsAfter(n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.breakAfter = n
}

// CrossAnswers sets whether each caller gets the answer to another request, with
// the id of that request.
func (f *faults) CrossAnswers(cross bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cross = cross
}
