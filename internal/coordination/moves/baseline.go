package moves

import (
	"math"
	"time"
)

const (
	// suspicionLimit is the least log-likelihood, in nats, at which a run of
	// bad samples makes the controller reduce the share. It grows with the
	// logarithm of the samples, since runs by chance do.
	suspicionLimit = 8.0
	// suspicionMargin is the limit less the logarithm of the samples.
	suspicionMargin = 3.0
	// suspicionMax bounds how far a long run goes.
	suspicionMax = 18.0
	// badRate is the rate of bad samples that the baseline test looks for.
	badRate = 0.6
	// minBaseFailures is the least failure rate that the baseline test allows.
	minBaseFailures = 0.02
	// maxBaseFailures is the greatest failure rate that it assumes.
	maxBaseFailures = 0.3
	// baseSlowRate is the rate of slow samples that the baseline test allows.
	baseSlowRate = 0.15
	// baseMiddleRate is the rate of samples above the mean and the tolerance
	// that the middle test allows.
	baseMiddleRate = 0.5
	// slowDeviations is how many standard deviations above the old version's
	// mean log latency a sample counts as slow.
	slowDeviations = 1.5
	// referenceMemory is the time constant of a reference: it remembers long,
	// so that a short slowdown does not become the record of the strata that
	// the old version happens to be in.
	referenceMemory = 30 * time.Minute
	// referenceWeight bounds the weight of one sample in a known reference.
	referenceWeight = 0.02
	// driftWeight is the weight of one sample in the old version's present
	// distance from its references.
	driftWeight = 0.1
	// failureWeight is the least weight of one sample in the failure rate.
	failureWeight = 0.005
	// referenceMin is the least number of samples for a reference to be used.
	referenceMin = 50
)

// baseEffects are the alternatives of the baseline test: the rate of bad
// samples of a bad version.
var baseEffects = [...]float64{0.3, 0.65, 0.95}

const (
	// betLimit is how many new samples may count against the baseline before
	// the next old sample shows that the old version is well.
	betLimit = 3
	// wellLimit is the old version's own log-likelihood, in nats, above which
	// trouble counts as common to both versions.
	wellLimit = 2.0
	// recentWeight is the weight of one sample in the old version's recent rate.
	recentWeight = 0.1
	// maxAllowedRate is the rate above which nothing counts.
	maxAllowedRate = 0.9
)

// baseline compares the new version with the recorded behaviour of the old
// one, for shares at which few concurrent old samples are left. It counts only
// while the old version looks well, so that common trouble does not.
type baseline struct {
	tests tests
	// newRun and oldRun are the versions' present runs of bad samples.
	newRun cusum
	oldRun cusum
	bets   int
	// oldRate is the old version's recent rate of bad samples.
	oldRate float64
}

func newBaseline() baseline {
	return baseline{tests: newTests(len(baseEffects))}
}

func (b *baseline) add(isNew, bad bool, rate float64, band int, released float64) {
	if isNew {
		b.addNew(bad, rate, band, released)
	} else {
		b.addOld(bad, rate)
	}
}

func (b *baseline) addOld(bad bool, rate float64) {
	b.oldRun.add(bad, rate)
	b.bets = 0
	value := 0.0
	if bad {
		value = 1
	}
	b.oldRate += recentWeight * (value - b.oldRate)
}

// allowed returns the rate of bad samples that is no worse than the recorded
// rate and than the old version's own recent one, with two standard errors.
func (b *baseline) allowed(rate float64) float64 {
	r := b.oldRate
	return max(rate, r+2*math.Sqrt(r*(1-r)*recentWeight/(2-recentWeight)))
}

func (b *baseline) addNew(bad bool, rate float64, band int, released float64) {
	b.newRun.add(bad, rate)
	rate = b.allowed(rate)
	if b.bets >= betLimit || b.oldRun.sum > wellLimit || rate > maxAllowedRate {
		return
	}
	b.bets++
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
		c.sum += math.Log(badRate / rate)
	} else {
		c.sum += math.Log((1 - badRate) / (1 - rate))
	}
	c.sum = min(max(c.sum, 0), suspicionMax)
}

// raised reports whether the run is too long to be chance among n samples.
func (c *cusum) raised(n int) bool {
	return c.sum >= max(suspicionLimit, math.Log(float64(n+1))+suspicionMargin)
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
	if r.n > 2*referenceMin {
		weight = min(now.Sub(r.last).Seconds()/referenceMemory.Seconds(), referenceWeight)
	}
	r.last = now
	d := log - r.mean
	r.mean += weight * d
	r.variance = (1 - weight) * (r.variance + weight*d*d)
}

func (r *reference) known() bool {
	return r.n >= referenceMin
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

// rateMemory is the time constant of rate meters.
const rateMemory = 3 * time.Minute

func (m *rateMeter) advance(now time.Time) {
	if m.last.IsZero() {
		m.last = now
		return
	}
	dt := now.Sub(m.last).Seconds()
	if dt <= 0 {
		return
	}
	keep := math.Exp(-dt / rateMemory.Seconds())
	m.count *= keep
	m.span = m.span*keep + (1-keep)*rateMemory.Seconds()
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

// level is an exponentially forgotten mean of a quantity, by time.
type level struct {
	value float64
	last  time.Time
}

// levelMemory is the time constant of levels.
const levelMemory = 30 * time.Second

// levelWeight is the weight of one sample among samples of the same moment.
const levelWeight = 0.02

func (l *level) add(v float64, now time.Time) {
	if l.last.IsZero() {
		l.value = v
		l.last = now
		return
	}
	weight := 1 - math.Exp(-now.Sub(l.last).Seconds()/levelMemory.Seconds())
	weight = min(max(weight, levelWeight), 1)
	l.value += weight * (v - l.value)
	l.last = now
}
