package scheduler

import "time"

// RetryUsage is what a gateway has sent to a pool, as it tells the scheduler that it registers
// with.
type RetryUsage struct {
	// Known is for how long nothing is missing in Steps.
	Known time.Duration
	Steps []RetryStep
}

// RetryStep counts what a gateway sent in one step of its log, which ended Age ago: requests
// that it sent for the first time, and retries of those that may have reached an upstream.
type RetryStep struct {
	Age             time.Duration
	Firsts, Retries int
}

// RetryLog records what a gateway itself sends to a pool, for the schedulers that it
// registers with. It is not safe for concurrent use.
type RetryLog struct {
	began time.Time
	// steps holds the latest steps, oldest first, by their numbers since began.
	steps []loggedStep
}

type loggedStep struct {
	number          int64
	firsts, retries int
}

const (
	retryLogStep = 250 * time.Millisecond
	// retryLogLength is how long a retry log keeps its steps. It is longer than the windows
	// in which retries count (10 s on the first platform).
	retryLogLength = 20 * time.Second
	// emptyFleet is the age of a log that begins when the whole system starts for the first
	// time: nothing can have been sent before.
	emptyFleet = 24 * time.Hour
)

// NewRetryLog returns an empty log that starts now. FirstStart is true if the whole system
// starts for the first time.
func NewRetryLog(firstStart bool, now time.Time) *RetryLog {
	if firstStart {
		now = now.Add(-emptyFleet)
	}
	return &RetryLog{began: now}
}

// Record counts a request that the gateway sends now, for the first time or as a retry.
func (l *RetryLog) Record(retry bool, now time.Time) {
	number := int64(now.Sub(l.began) / retryLogStep)
	for len(l.steps) > 0 && number-l.steps[0].number > int64(retryLogLength/retryLogStep) {
		l.steps = l.steps[1:]
	}
	if n := len(l.steps); n == 0 || l.steps[n-1].number < number {
		l.steps = append(l.steps, loggedStep{number: number})
	}
	last := &l.steps[len(l.steps)-1]
	if retry {
		last.retries++
	} else {
		last.firsts++
	}
}

// Usage returns what was sent, and as many retries more that may still be sent under grants
// which the gateway has.
func (l *RetryLog) Usage(granted int, now time.Time) *RetryUsage {
	since := now.Sub(l.began)
	u := &RetryUsage{Known: min(since, retryLogLength)}
	for _, s := range l.steps {
		age := since - time.Duration(s.number+1)*retryLogStep
		u.Steps = append(u.Steps, RetryStep{Age: max(0, age), Firsts: s.firsts, Retries: s.retries})
	}
	if granted > 0 {
		u.Steps = append(u.Steps, RetryStep{Retries: granted})
	}
	return u
}
