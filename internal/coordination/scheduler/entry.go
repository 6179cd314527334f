package scheduler

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// entryState is a step in the life of a ticket at the scheduler.
type entryState uint8

const (
	stateWaiting entryState = iota + 1
	stateGranted
	stateRunning
	stateRefused
	stateEnded
)

// entry is the scheduler's record of one ticket.
type entry struct {
	ticket Ticket
	state  entryState
	// deadline is the ticket's deadline on the pool's clock.
	deadline time.Duration
	// expectedOutput is the predicted number of expectedOutput tokens; one answer in ten is longer
	// than longOutput.
	expectedOutput int
	longOutput     int
	// objective is when the answer should begin, on the pool's clock; 0 if the
	// ticket has no objective or has missed it.
	objective time.Duration
	// firstTokenEstimate is the estimated time from dispatch to the firstTokenEstimate token.
	firstTokenEstimate time.Duration
	// pending is what the ticket holds of its team's quota while it waits, in
	// tokens.
	pending float64
	// submittedAt is when the ticket came, and waitAhead the wait that was
	// estimated then.
	submittedAt time.Duration
	waitAhead   time.Duration
	// quotaWait is how long the team's quota takes to allow the ticket.
	quotaWait time.Duration
	// lateUntil is until when a ticket that missed its objective waits; 0 if it
	// has not missed it.
	lateUntil time.Duration
	// serviceTime is the estimated time from dispatch to the end of the answer;
	// shortest and longest are those of an answer as short or long as one in ten.
	serviceTime time.Duration
	shortest    time.Duration
	longest     time.Duration
	queue       *teamQueue
	index       int

	engine          *engine
	version         ident.VersionName
	shareGeneration int
	// trial is true for a ticket that goes against the estimate, to renew it.
	trial bool
	// lapsed is true once the grant expired without a report.
	lapsed       bool
	grantExpires time.Duration
	startedAt    time.Duration
	firstTokenAt time.Duration
	batchAtStart int
	// uncachedTokens is the part of the prompt that the engine is expected to compute,
	// and prefillAhead what it had to compute before at dispatch; in tokens.
	uncachedTokens int
	matchedBlocks  int
	// expectedFirstToken is the expected time from dispatch to the first token.
	expectedFirstToken time.Duration
	prefillAhead       float64
	retries            int
	refusal            Refusal
}

// latestStart is the last moment at which a dispatch still meets the deadline.
func (e *entry) latestStart() time.Duration {
	if e.objective != 0 {
		return e.objective - e.firstTokenEstimate
	}
	return e.deadline - e.serviceTime
}

// missesDeadline tells whether the ticket should be given up after a wait. A ticket
// that contends with others of the lowest tier at work must be likely to meet
// its deadline; any other is given up only when even a short answer misses it.
func (e *entry) missesDeadline(wait time.Duration, contended bool, now time.Duration) bool {
	if e.trial {
		return now >= e.deadline
	}
	if e.objective != 0 {
		return now+wait+e.firstTokenEstimate >= e.objective
	}
	if contended && wait > 0 {
		return now+wait+e.longest >= e.deadline
	}
	return now+wait+e.shortest >= e.deadline
}

// holdsSlot tells whether the ticket occupies a slot of an upstream.
func (e *entry) holdsSlot() bool {
	return e.state == stateGranted || e.state == stateRunning
}

// excludes tells whether the ticket must not go to the named upstream.
func (e *entry) excludes(name ident.UpstreamName) bool {
	for _, excluded := range e.ticket.Excluded {
		if excluded == name {
			return true
		}
	}
	return false
}

// tokenCost is the ticket's cost in tokenCost; a plain service's request costs one.
func (e *entry) tokenCost() float64 {
	return float64(max(1, e.ticket.PromptTokens+e.ticket.OutputTokens))
}

// cachedTokens converts leading cached blocks to prompt tokens.
func (e *entry) cachedTokens(blocks int) int {
	if blocks == 0 {
		return 0
	}
	if len(e.ticket.PrefixTokens) == len(e.ticket.Prefixes) {
		return min(e.ticket.PromptTokens-1, e.ticket.PrefixTokens[blocks-1])
	}
	return min(e.ticket.PromptTokens-1, e.ticket.PromptTokens*blocks/len(e.ticket.Prefixes))
}

// cachedBlocks converts cached prompt tokens to leading blocks.
func (e *entry) cachedBlocks(tokens int) int {
	if e.ticket.PromptTokens == 0 {
		return 0
	}
	return tokens * len(e.ticket.Prefixes) / e.ticket.PromptTokens
}
