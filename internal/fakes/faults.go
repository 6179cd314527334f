package fakes

import "sync"

// FailMode is how a fake fails its requests.
type FailMode string

// Modes of failure.
const (
	// FailNone serves well.
	FailNone FailMode = ""
	// FailStatus answers 500 without running the request.
	FailStatus FailMode = "status"
	// FailReset breaks the connection without running the request. The sender
	// cannot know that, so it counts as a run.
	FailReset FailMode = "reset"
	// FailAnswerLost runs the request and breaks the connection before the answer.
	FailAnswerLost FailMode = "answer_lost"
	// FailMidStream breaks the answer halfway; the request cannot be resumed.
	FailMidStream FailMode = "mid_stream"
)

// faults holds the faults of a fake that are switched at run time.
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

// failsNow spreads failures evenly: of n calls with one rate, rate*n fail.
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

// SetFail chooses how requests fail from now on.
func (f *faults) SetFail(mode FailMode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = mode
}

// BreakStreamsAfter breaks the connection of every streamed answer after n
// events. The request runs on and can be resumed. Zero breaks none.
func (e *Engine) BreakStreamsAfter(n int) {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	e.faults.breakAfter = n
}

// CrossAnswers gives each caller the answer to another request, under that
// request's id.
func (f *faults) CrossAnswers(cross bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cross = cross
}
