package scheduler

import "time"

const (
	// GrantTTL is how long a gateway may use a grant.
	GrantTTL = time.Second
	// grantMargin covers clock drift and reports under way at a grant's expiry.
	grantMargin = 250 * time.Millisecond
	// confirmMargin is how long after a grant's expiry its slot stays counted
	// while the gateway has said nothing: a dispatch at the last moment may be
	// reported only after a call was lost and the gateway registered anew.
	confirmMargin = 1250 * time.Millisecond
	// takeoverWait is how long a new epoch waits for missing registrations.
	takeoverWait = GrantTTL + grantMargin
	// takeoverWindow is how long load reports may reveal work of a former epoch.
	takeoverWindow = 10 * time.Second
	// orphanTimeout is how long a slot of unknown fate stays counted.
	orphanTimeout = 30 * time.Second
	// finishedRetention is how long a refused or ended ticket is remembered.
	finishedRetention = 10 * time.Second
	// defaultQueueLimit bounds the queue when the view sets no limit.
	defaultQueueLimit = 10_000
	// sweepInterval is the period of the review of waiting tickets.
	sweepInterval = 100 * time.Millisecond
	// checkInterval is the period of the search for silent upstreams.
	checkInterval = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the advice in refusals.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// maxPassedOver bounds the tickets passed over in one placement round.
	maxPassedOver = 8
)
