package scheduler

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// entryState is the state of a ticket at the scheduler.
type entryState uint8

const (
	stateWaiting entryState = iota + 1
	stateGranted
	stateRunning
	stateRefused
	stateEnded
	// stateUndecided means that a retry waits for the budget of a scheduler that begins.
	stateUndecided
)

// entry is the scheduler's record of one ticket.
type entry struct {
	ticket Ticket
	state  entryState
	// deadline is the ticket's deadline on the pool's clock.
	deadline time.Duration
	// expectedOutput is the predicted number of output tokens. One answer in ten
	// is longer than longOutput.
	expectedOutput int
	longOutput     int
	// objective is when the answer should begin, on the pool's clock; 0 if the
	// ticket has no objective or misses it.
	objective time.Duration
	// firstTokenEstimate is the time from dispatch to the first token that is
	// estimated at admission, from the pool's speed.
	firstTokenEstimate time.Duration
	// pending is the part of its team's quota that the ticket holds while it
	// waits, in tokens.
	pending float64
	// submittedAt is when the ticket arrived, and waitAhead the wait estimated
	// then.
	submittedAt time.Duration
	waitAhead   time.Duration
	// quotaWait is the time until the team's quota allows the ticket.
	quotaWait time.Duration
	// lateUntil is when a ticket that misses its objective stops waiting; 0 for
	// any other ticket.
	lateUntil time.Duration
	// serviceTime is the estimated time from dispatch to the end of the answer.
	// One answer in ten takes less than shortest, and one in ten more than
	// longest.
	serviceTime time.Duration
	shortest    time.Duration
	longest     time.Duration
	// regionKey is that of the ticket's regions once it was queued.
	regionKey string
	queue     *teamQueue
	index     int

	engine *engine
	// choice is why choose took its latest upstream for the ticket.
	choice          Choice
	version         ident.VersionName
	shareGeneration int
	// trial is true for a ticket that is admitted against the estimate, to renew
	// the estimate.
	trial bool
	// lapsed is true once the grant has expired without a report.
	lapsed       bool
	grantExpires time.Duration
	startedAt    time.Duration
	firstTokenAt time.Duration
	batchAtStart int
	// uncachedTokens is the part of the prompt that the engine is expected to
	// compute, and prefillAhead what the engine had to compute before it at
	// dispatch; both are in tokens.
	uncachedTokens int
	matchedBlocks  int
	// expectedFirstToken is the time from dispatch to the first token that is
	// expected of the engine at the grant.
	expectedFirstToken time.Duration
	prefillAhead       float64
	// cold is true for a request to an upstream that was cold, or warming up, at the grant.
	// coldToken is the bucket of which the ticket holds a token; nil if none.
	cold      bool
	coldToken *rateLimit
	retries   int
	// admitted is true once the ticket was admitted or adopted here.
	admitted bool
	// retry is what the ticket has of the retry budget, counted the step in which a retry was
	// counted and countedFirst that of the first grant, 0 before.
	retry                 retryState
	counted, countedFirst int64
	refusal               Refusal
	// reserved is true for a retry that came at its reserved time, and retryNote what the
	// reservations say of the ticket, for logs.
	reserved  bool
	retryNote string
}

// latestStart returns the last moment at which a dispatch still meets the
// objective or, without one, the deadline.
func (e *entry) latestStart() time.Duration {
	if e.objective != 0 {
		return e.objective - e.firstTokenEstimate
	}
	return e.deadline - e.serviceTime
}

// missesDeadline reports whether the ticket should be given up because after the
// wait it would miss its objective or, without one, its deadline. A ticket that
// contends with others of the lowest active tier must be likely to meet its
// deadline; any other is given up only if even a short answer would miss it.
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

// holdsSlot reports whether the ticket occupies a slot of an upstream.
func (e *entry) holdsSlot() bool {
	return e.state == stateGranted || e.state == stateRunning
}

// excludes reports whether the ticket must not go to the named upstream.
func (e *entry) excludes(name ident.UpstreamName) bool {
	for _, excluded := range e.ticket.Excluded {
		if excluded == name {
			return true
		}
	}
	return false
}

// tokenCost returns the ticket's cost in tokens, for the shares of teams. A plain
// service's request costs one.
func (e *entry) tokenCost() float64 {
	return float64(max(1, e.ticket.PromptTokens+e.ticket.OutputTokens))
}

// cachedTokens converts leading cached blocks to prompt tokens. At least one
// token of a prompt always has to be computed.
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
