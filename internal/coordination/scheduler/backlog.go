package scheduler

import "time"

// maxBacklog is the expected prefill time on an engine above which further
// tickets stay in the scheduler's queue, where they can still be reordered.
const maxBacklog = 300 * time.Millisecond

// overdueAfter is how late a first token may be before the estimate is considered
// wrong.
const overdueAfter = 200 * time.Millisecond

// backlog estimates the prompt tokens that an engine has yet to compute before
// it can begin a new prompt. Engines compute prompts in order of arrival.
type backlog struct {
	// tokens is the sum of the uncached prompt tokens of the requests without a
	// first token.
	tokens int
	// since is when the engine began the current prompt, as far as is known.
	since time.Duration
}

func (b *backlog) add(tokens int, now time.Duration) {
	if b.tokens == 0 {
		b.since = now
	}
	b.tokens += tokens
}

// done removes a request whose answer has begun or which has left the engine.
func (b *backlog) done(tokens int, now time.Duration) {
	b.tokens = max(0, b.tokens-tokens)
	b.since = now
}

// ahead estimates the tokens still to compute, at a rate in tokens per second.
// Once the engine is overdue, the remaining work is assumed to take as long as it
// is overdue.
func (b *backlog) ahead(rate float64, now time.Duration) float64 {
	if b.tokens == 0 || rate <= 0 {
		return float64(b.tokens)
	}
	elapsed := now - b.since
	left := float64(b.tokens) - rate*elapsed.Seconds()
	overdue := -left - rate*overdueAfter.Seconds()
	return max(0, left, overdue)
}
