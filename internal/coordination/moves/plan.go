package moves

import (
	"time"
)

const (
	// stepFactor and stepMaxIncrease bound one step: the share at most doubles
	// and grows by at most stepMaxIncrease.
	stepFactor      = 2.0
	stepMaxIncrease = 0.25
	// stepSamples is the number of compared samples that each route needs at
	// the first share before the next step.
	stepSamples = 24
	// minStepSamples is the lowest number of compared samples for a step,
	// however close the deadline is.
	minStepSamples = 6
	// recoverSamples is the number of compared samples after which a reduced
	// share may double again, up to the committed one. It doubles with each
	// suspicion after the first, at most maxBackoffDoublings times.
	recoverSamples      = 12
	maxBackoffDoublings = 4
	// minStepTime is the minimum time at one share.
	minStepTime = 2 * time.Second
	// holdEvidence is the evidence against the new version at which the share
	// stops growing.
	holdEvidence = 4.0
	// suspicionEvidence is the evidence at which a route becomes suspicious and
	// the share falls below the first one.
	suspicionEvidence = 20.0
	// maxSuspicions is how many suspicions a version may recover from. One
	// suspicion expires after each suspicionExpiry without a new one.
	maxSuspicions   = 3
	suspicionExpiry = time.Hour
	// suspicionShareFactor is the part of the first share that remains during a
	// suspicion.
	suspicionShareFactor = 0.5
	// routeIdleTimeout is how long a route counts as active after its last
	// sample.
	routeIdleTimeout = 10 * time.Minute
	// routeMinSamples is the number of samples that a route needs to be
	// evaluated.
	routeMinSamples = 20
	// routeDiscoveryTime is how long a move observes the old version before its
	// first step, to learn which routes there are. A move near its deadline
	// does not wait.
	routeDiscoveryTime = 20 * time.Second
	// maxUtilization is the part of the new version's capacity that its share
	// may use.
	maxUtilization = 0.85
	// planTimeFraction is the part of the remaining time in which the remaining
	// steps are planned to fit.
	planTimeFraction = 0.7
	// commitMargin is how long before the deadline the last record is proposed.
	commitMargin = 15 * time.Second
	// minWatchFraction is the part of the watch time that must have passed
	// before a move near its deadline can be done.
	minWatchFraction = 0.5
)

// nextShare returns the share that follows the given one. The first share is
// canary.
func nextShare(share, canary float64) float64 {
	if share <= 0 {
		return canary
	}
	next := min(share*stepFactor, share+stepMaxIncrease)
	if next > 1-HoldbackShare {
		return 1
	}
	return next
}

// stepWeight returns how many times the samples of the first step are needed at
// a share. A larger share needs more samples, because a fault harms more
// requests.
func stepWeight(share, canary float64) float64 {
	return min(max(share/canary, 1), 8)
}

// remainingWork returns how long the steps from share to 1 take, in seconds, at
// one request per second and one sample for the first step.
func remainingWork(share, canary float64) float64 {
	work := 0.0
	for share < 1 {
		if share > 0 {
			work += stepWeight(share, canary) / share
		}
		share = nextShare(share, canary)
	}
	return work
}

// samplesForStep returns how many compared samples a route needs for a step of
// the given weight. work is the remaining work of the phase, rate is the
// route's rate in requests per second, and left is the time left for the phase.
// The number falls with the time left, but not below minStepSamples.
func samplesForStep(weight, work, rate float64, left time.Duration) int {
	first := float64(stepSamples)
	if work > 0 {
		first = min(first, planTimeFraction*left.Seconds()*rate/work)
	}
	return int(max(first*weight, minStepSamples))
}
