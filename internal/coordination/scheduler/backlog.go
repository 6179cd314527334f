package scheduler

import "time"

// maxBacklog is the expected prefill time ahead on an engine above which
// further tickets wait in the scheduler's queue, where their order can change.
const maxBacklog = 500 * time.Millisecond

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
func (b *backlog) ahead(rate float64, now time.Duration) float64 {
	if rate <= 0 {
		return float64(b.tokens)
	}
	return max(0, float64(b.tokens)-rate*(now-b.since).Seconds())
}
