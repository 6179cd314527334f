package moves

import (
	"time"
)

const (
	// stepFactor and stepMax bound a step: the share at most doubles and grows
	// by at most stepMax.
	stepFactor      = 2.0
	stepMaxIncrease = 0.25
	// stepSamples is the number of compared samples that each route needs at
	// the first share before the next step.
	stepSamples = 24
	// minStepSamples is the least number, however close the deadline is.
	minStepSamples = 6
	// recoverSamples is the number of compared samples after which a reduced
	// share may double again, up to the committed one. It doubles with each
	// suspicion after the first, maxBackoff times at most.
	recoverSamples      = 12
	maxBackoffDoublings = 4
	// minStepTime is the least time at one share.
	minStepTime = 2 * time.Second
	// holdEvidence is the evidence against a version at which growth pauses.
	holdEvidence = 4.0
	// suspicionEvidence is the evidence at which the share falls below the first one.
	suspicionEvidence = 20.0
	// maxSuspicions is how many suspicions a version may clear itself of.
	// calmTime without one clears one more.
	maxSuspicions   = 3
	suspicionExpiry = time.Hour
	// suspicionShareFactor is the part of the first share that is left under suspicion.
	suspicionShareFactor = 0.5
	// routeIdleTimeout is how long after its last sample a route carries traffic.
	routeIdleTimeout = 10 * time.Minute
	// routeMinSamples is the least number of samples of a route that can be judged.
	routeMinSamples = 20
	// routeDiscoveryTime is how long a move watches the old traffic, at most, to learn
	// which routes there are.
	routeDiscoveryTime = 20 * time.Second
	// maxUtilization is the part of the new version's capacity that its share may fill.
	maxUtilization = 0.85
	// planTimeFraction is the part of the remaining time that a plan may use.
	planTimeFraction = 0.7
	// commitMargin is how long before the deadline the last record is proposed.
	commitMargin = 15 * time.Second
	// minWatchFraction is the part of the watching time that a move near its
	// deadline must still have had.
	minWatchFraction = 0.5
)

// nextShare returns the share after the given one.
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

// stepWeight returns how many times the samples of the first step are needed
// at a share: more where a fault harms more.
func stepWeight(share, canary float64) float64 {
	return min(max(share/canary, 1), 8)
}

// remainingWork returns the time that the steps still to go from share take when
// the first step needs one sample, at one request a second, in seconds.
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
// the given weight, when its phase has the given work left and rate is in
// requests a second. It falls with the time left, but not below stepSamplesMin.
func samplesForStep(weight, work, rate float64, left time.Duration) int {
	first := float64(stepSamples)
	if work > 0 {
		first = min(first, planTimeFraction*left.Seconds()*rate/work)
	}
	return int(max(first*weight, minStepSamples))
}
