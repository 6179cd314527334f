package scheduler

import "time"

// maxBacklog is the expected prefill time ahead on an engine above which
// further tickets wait in the scheduler's queue, where their order can change.
const maxBacklog = 300 * time.Millisecond

// overdueAfter is how late a first token may be before the estimate is doubted.
const overdueAfter = 200 * time.Millisecond

// backlog estimates the prompt tokens that an engine has yet to compute before
// it can begin a new prompt. Engines compute prompts in order of arrival.
type backlog struct {
	// tokens is the sum over the requests that have sent no first token.
	tokens int
	// since is when the prompt now under way began, as far as is known.
	since time.Duration
}

func (b *backlog) add(tokens int, now time.Duration) {
	if b.tokens == 0 {
		b.since = now
	}
	b.tokens += tokens
}

// done takes out a request that began its answer or left.
func (b *backlog) done(tokens int, now time.Duration) {
	b.tokens = max(0, b.tokens-tokens)
	b.since = now
}

// ahead estimates the tokens yet to compute at a rate in tokens per second.
// Once the engine is overdue, as much as it is overdue is taken to remain.
func (b *backlog) ahead(rate float64, now time.Duration) float64 {
	if b.tokens == 0 || rate <= 0 {
		return float64(b.tokens)
	}
	elapsed := now - b.since
	left := float64(b.tokens) - rate*elapsed.Seconds()
	overdue := -left - rate*overdueAfter.Seconds()
	return max(0, left, overdue)
}
