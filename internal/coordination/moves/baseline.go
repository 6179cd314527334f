package moves

import (
	"math"
	"time"
)

const (
	// cusumThreshold is the least log-likelihood, in nats, at which a run of
	// bad samples makes the controller reduce the share. It grows with the
	// logarithm of the samples, since runs by chance do.
	cusumThreshold = 8.0
	// cusumMargin is the limit less the logarithm of the samples.
	cusumMargin = 3.0
	// cusumMax bounds how far a long run goes.
	cusumMax = 18.0
	// cusumBadRate is the rate of bad samples that the baseline test looks for.
	cusumBadRate = 0.6
	// minBaseFailureRate is the least failure rate that the baseline test allows.
	minBaseFailureRate = 0.02
	// maxBaseFailureRate is the greatest failure rate that it assumes.
	maxBaseFailureRate = 0.3
	// baseSlowRate is the rate of slow samples that the baseline test allows.
	baseSlowRate = 0.15
	// baseAboveMeanRate is the rate of samples above the mean and the tolerance
	// that the middle test allows.
	baseAboveMeanRate = 0.5
	// slowDeviations is how many standard deviations above the old version's
	// mean log latency a sample counts as slow.
	slowDeviations = 1.5
	// referenceTimeConstant is the time constant of a reference: it remembers long,
	// so that a short slowdown does not become the record of the strata that
	// the old version happens to be in.
	referenceTimeConstant = 30 * time.Minute
	// referenceMaxWeight bounds the weight of one sample in a known reference.
	referenceMaxWeight = 0.02
	// driftWeight is the weight of one sample in the old version's present
	// distance from its references.
	driftWeight = 0.1
	// failureMinWeight is the least weight of one sample in the failure rate.
	failureMinWeight = 0.005
	// referenceMinSamples is the least number of samples for a reference to be used.
	referenceMinSamples = 50
)

// baseEffects are the alternatives of the baseline test: the rate of bad
// samples of a bad version.
var baseEffects = [...]float64{0.3, 0.65, 0.95}

const (
	// maxNewSinceOld is how many new samples may count against the baseline before
	// the next old sample shows that the old version is well.
	maxNewSinceOld = 3
	// commonFaultThreshold is the old version's own log-likelihood, in nats, above which
	// trouble counts as common to both versions.
	commonFaultThreshold = 2.0
	// oldRateWeight is the weight of one sample in the old version's recent rate.
	oldRateWeight = 0.1
	// maxAllowedRate is the rate above which nothing counts.
	maxAllowedRate = 0.9
)

// baseline compares the new version with the recorded behaviour of the old
// one, for shares at which few concurrent old samples are left. It counts only
// while the old version looks well, so that common trouble does not.
type baseline struct {
	tests testGroup
	// newCUSUM and oldRun are the versions' present runs of bad samples.
	newCUSUM    cusum
	oldCUSUM    cusum
	newSinceOld int
	// oldBadRate is the old version's recent rate of bad samples.
	oldBadRate float64
}

func newBaseline() baseline {
	return baseline{tests: newTestGroup(len(baseEffects))}
}

func (b *baseline) add(isNew, bad bool, rate float64, band int, released float64) {
	if isNew {
		b.addNew(bad, rate, band, released)
	} else {
		b.addOld(bad, rate)
	}
}

func (b *baseline) addOld(bad bool, rate float64) {
	b.oldCUSUM.add(bad, rate)
	b.newSinceOld = 0
	value := 0.0
	if bad {
		value = 1
	}
	b.oldBadRate += oldRateWeight * (value - b.oldBadRate)
}

// allowedRate returns the rate of bad samples that is no worse than the recorded
// rate and than the old version's own recent one, with two standard errors.
func (b *baseline) allowedRate(rate float64) float64 {
	r := b.oldBadRate
	return max(rate, r+2*math.Sqrt(r*(1-r)*oldRateWeight/(2-oldRateWeight)))
}

func (b *baseline) addNew(bad bool, rate float64, band int, released float64) {
	b.newCUSUM.add(bad, rate)
	rate = b.allowedRate(rate)
	if b.newSinceOld >= maxNewSinceOld || b.oldCUSUM.sum > commonFaultThreshold || rate > maxAllowedRate {
		return
	}
	b.newSinceOld++
	b.tests.update(band, released, func(i int) float64 {
		p := max(baseEffects[i], rate)
		if bad {
			return p / rate
		}
		return (1 - p) / (1 - rate)
	})
}

// cusum looks for a run of bad samples. It only ever reduces the share.
type cusum struct {
	sum float64
}

func (c *cusum) add(bad bool, rate float64) {
	if bad {
		c.sum += math.Log(cusumBadRate / rate)
	} else {
		c.sum += math.Log((1 - cusumBadRate) / (1 - rate))
	}
	c.sum = min(max(c.sum, 0), cusumMax)
}

// exceedsThreshold reports whether the run is too long to be chance among n samples.
func (c *cusum) exceedsThreshold(n int) bool {
	return c.sum >= max(cusumThreshold, math.Log(float64(n+1))+cusumMargin)
}

// reference tracks the log latency of the old version in one stratum.
type reference struct {
	n        int
	mean     float64
	variance float64
	last     time.Time
}

func (r *reference) add(log float64, now time.Time) {
	r.n++
	weight := 1 / float64(r.n)
	if r.n > 2*referenceMinSamples {
		weight = min(now.Sub(r.last).Seconds()/referenceTimeConstant.Seconds(), referenceMaxWeight)
	}
	r.last = now
	d := log - r.mean
	r.mean += weight * d
	r.variance = (1 - weight) * (r.variance + weight*d*d)
}

func (r *reference) known() bool {
	return r.n >= referenceMinSamples
}

// slow reports whether a sample is slower than the mean by more than the
// given standard deviations and margin.
func (r *reference) slow(log, deviations, margin float64) bool {
	limit := r.mean + deviations*math.Sqrt(r.variance) + margin
	return log > limit
}

// rateMeter estimates a rate in events a second, with exponential forgetting.
type rateMeter struct {
	count float64
	// span is the forgetting-weighted time observed, in seconds.
	span float64
	last time.Time
}

// rateTimeConstant is the time constant of rate meters.
const rateTimeConstant = 3 * time.Minute

func (m *rateMeter) advance(now time.Time) {
	if m.last.IsZero() {
		m.last = now
		return
	}
	dt := now.Sub(m.last).Seconds()
	if dt <= 0 {
		return
	}
	keep := math.Exp(-dt / rateTimeConstant.Seconds())
	m.count *= keep
	m.span = m.span*keep + (1-keep)*rateTimeConstant.Seconds()
	m.last = now
}

func (m *rateMeter) add(now time.Time) {
	m.advance(now)
	m.count++
}

// perSecond returns the rate; events of the first second count as one second's.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.advance(now)
	return m.count / max(m.span, 1)
}

// ewma is an exponentially forgotten mean of a quantity, by time.
type ewma struct {
	value float64
	last  time.Time
}

// ewmaTimeConstant is the time constant of levels.
const ewmaTimeConstant = 30 * time.Second

// ewmaMinWeight is the weight of one sample among samples of the same moment.
const ewmaMinWeight = 0.02

func (e *ewma) add(v float64, now time.Time) {
	if e.last.IsZero() {
		e.value = v
		e.last = now
		return
	}
	weight := 1 - math.Exp(-now.Sub(e.last).Seconds()/ewmaTimeConstant.Seconds())
	weight = min(max(weight, ewmaMinWeight), 1)
	e.value += weight * (v - e.value)
	e.last = now
}
