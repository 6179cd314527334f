package fakes

import (
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// RunState is the state of a run.
type RunState string

// States of a run. RunStarted means that it has not ended.
const (
	RunStarted  RunState = "started"
	RunFinished RunState = "finished"
	RunFailed   RunState = "failed"
	RunCanceled RunState = "canceled"
)

// Run is one request received by a fake, as the fake recorded it.
type Run struct {
	RequestID      ident.RequestID
	IdempotencyKey string
	Path           string
	Version        ident.VersionName
	// Echo identifies the content of the request; see Echo.
	Echo      string
	StartedAt time.Time
	EndedAt   time.Time
	State     RunState
}

// runLog records runs in the order of their arrival.
type runLog struct {
	mu   sync.Mutex
	runs []Run
}

// start records a run and returns its index.
func (l *runLog) start(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.StartedAt = time.Now()
	r.State = RunStarted
	l.runs = append(l.runs, r)
	return len(l.runs) - 1
}

// end records the end of a run. Further calls for the same run have no effect.
func (l *runLog) end(index int, state RunState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[index].State != RunStarted {
		return
	}
	l.runs[index].State = state
	l.runs[index].EndedAt = time.Now()
}

// Runs returns a copy of all runs so far, in the order of their arrival.
func (l *runLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// Counts is a summary of the runs that fakes recorded.
type Counts struct {
	// Runs counts the requests that fakes received.
	Runs int
	// ByRequest counts runs by request id; runs without an id are left out.
	ByRequest map[ident.RequestID]int
	// ByKey counts runs by Idempotency-Key; runs without a key are left out.
	ByKey map[string]int
}

// CountRuns summarizes the runs of several fakes.
func CountRuns(lists ...[]Run) Counts {
	c := Counts{ByRequest: map[ident.RequestID]int{}, ByKey: map[string]int{}}
	for _, runs := range lists {
		for _, r := range runs {
			c.Runs++
			if r.RequestID != "" {
				c.ByRequest[r.RequestID]++
			}
			if r.IdempotencyKey != "" {
				c.ByKey[r.IdempotencyKey]++
			}
		}
	}
	return c
}

// RepeatedRequests returns the ids of the requests that ran more than once, in no
// particular order.
func (c Counts) RepeatedRequests() []ident.RequestID {
	var repeated []ident.RequestID
	for id, n := range c.ByRequest {
		if n > 1 {
			repeated = append(repeated, id)
		}
	}
	return repeated
}

// RepeatedKeys returns the idempotency keys that ran more than once, in no
// particular order.
func (c Counts) RepeatedKeys() []string {
	var repeated []string
	for key, n := range c.ByKey {
		if n > 1 {
			repeated = append(repeated, key)
		}
	}
	return repeated
}
