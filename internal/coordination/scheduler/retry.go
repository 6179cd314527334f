package scheduler

const (
	// retryRatio is the fraction of dispatches that may be retried on another
	// upstream.
	retryRatio = 0.1
	// retryBurst is the number of retries that may accumulate.
	retryBurst = 20
	// maxRetries bounds the retries of one ticket.
	maxRetries = 3
)

// retryBudget bounds retries of unsent requests to a fraction of all dispatches,
// so that a network fault does not multiply the load.
type retryBudget struct {
	tokens float64
	ratio  float64
	burst  float64
}

func newRetryBudget() retryBudget {
	return retryBudget{tokens: retryBurst, ratio: retryRatio, burst: retryBurst}
}

// configure replaces the bounds. It never adds tokens to the budget.
func (b *retryBudget) configure(ratio, burst float64) {
	b.ratio, b.burst = ratio, burst
	b.tokens = min(b.tokens, burst)
}

// dispatched adds what the first sending of a request earns.
func (b *retryBudget) dispatched() {
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
