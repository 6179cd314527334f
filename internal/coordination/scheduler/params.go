package scheduler

import "time"

const (
	// GrantTTL is how long a gateway may use a grant.
	GrantTTL = time.Second
	// grantMargin allows for clock drift and for reports in flight when a grant
	// expires.
	grantMargin = 250 * time.Millisecond
	// confirmMargin is how long after a grant's expiry its slot stays counted if
	// the gateway has not reported. If a call is lost, a dispatch at the last
	// moment is reported only after the gateway has registered again.
	confirmMargin = 1250 * time.Millisecond
	// GrantCounted is how long the slot of a grant stays counted if the gateway does not
	// report.
	GrantCounted = GrantTTL + confirmMargin
	// takeoverWait is how long a new epoch waits for missing registrations.
	takeoverWait = GrantTTL + grantMargin
	// takeoverWindow is how long into an epoch load reports may reveal requests
	// of the previous epoch.
	takeoverWindow = 10 * time.Second
	// orphanTimeout is how long an orphaned slot stays counted.
	orphanTimeout = 30 * time.Second
	// finishedRetention is how long a refused or ended ticket is kept.
	finishedRetention = 10 * time.Second
	// defaultQueueLimit bounds the queue when the view sets no limit.
	defaultQueueLimit = 10_000
	// sweepInterval is the time between reviews of the waiting tickets.
	sweepInterval = 100 * time.Millisecond
	// checkInterval is the time between checks for silent upstreams.
	checkInterval = 500 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the RetryAfter of refusals.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// maxPassedOver bounds the tickets of a tier that are passed over in one
	// placement round.
	maxPassedOver = 8
)
