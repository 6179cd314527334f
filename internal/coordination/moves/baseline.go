package moves

import (
	"math"
	"time"
)

const (
	// cusumThreshold is the lowest CUSUM value, in nats, at which a run of bad
	// samples reduces the share. The threshold in force grows with the
	// logarithm of the number of samples, because longer runs occur by chance
	// among more samples.
	cusumThreshold = 8.0
	// cusumMargin is added to the logarithm of the number of samples to get the
	// threshold in force, in nats.
	cusumMargin = 3.0
	// cusumMax caps the CUSUM value, in nats, however long a run is.
	cusumMax = 18.0
	// cusumBadRate is the rate of bad samples in the alternative hypothesis of
	// the CUSUM test.
	cusumBadRate = 0.6
	// minBaseFailureRate is the lowest failure rate that the baseline test
	// accepts as normal.
	minBaseFailureRate = 0.02
	// maxBaseFailureRate is the highest failure rate that the baseline test
	// accepts as normal.
	maxBaseFailureRate = 0.3
	// baseSlowRate is the rate of slow samples that the baseline test accepts
	// as normal.
	baseSlowRate = 0.15
	// baseAboveMeanRate is the rate of samples above the mean plus the
	// tolerance that the above-mean test accepts as normal.
	baseAboveMeanRate = 0.5
	// slowDeviations is how many standard deviations a sample's log latency
	// must lie above the old version's mean plus the tolerance to count as
	// slow.
	slowDeviations = 1.5
	// referenceTimeConstant is the time constant of a reference. It is long, so
	// that a short slowdown does not become the reference of the strata that
	// the old version serves at that time.
	referenceTimeConstant = 30 * time.Minute
	// referenceMaxWeight bounds the weight of one sample in a reference that
	// has enough samples.
	referenceMaxWeight = 0.02
	// driftWeight is the weight of one sample in the moving average of the old
	// version's deviation from its references.
	driftWeight = 0.1
	// failureMinWeight is the lowest weight of one sample in the old version's
	// failure rate.
	failureMinWeight = 0.005
	// referenceMinSamples is the number of samples that a reference needs
	// before it is used.
	referenceMinSamples = 50
)

// baseEffects are the alternatives of the baseline test: the rates of bad
// samples that a faulty version may have.
var baseEffects = [...]float64{0.3, 0.65, 0.95}

const (
	// maxNewSinceOld is how many new samples may update the baseline test after
	// an old one. Further new samples are skipped until the next old sample
	// shows whether the old version is still healthy.
	maxNewSinceOld = 3
	// commonFaultThreshold is the old version's CUSUM value, in nats, above
	// which a fault is considered common to both versions.
	commonFaultThreshold = 2.0
	// oldRateWeight is the weight of one sample in the old version's recent
	// rate of bad samples.
	oldRateWeight = 0.1
	// maxAllowedRate is the allowed rate of bad samples above which new samples
	// are not tested.
	maxAllowedRate = 0.9
)

// baseline compares the new version with the recorded behaviour of the old one,
// for shares at which few concurrent old samples are left. New samples count
// only while the old version is healthy, so that a fault common to both
// versions does not count against the new one.
type baseline struct {
	tests testGroup
	// newCUSUM and oldCUSUM detect runs of bad samples, one for each version.
	newCUSUM cusum
	oldCUSUM cusum
	// newSinceOld counts the new samples tested since the last old sample.
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

// allowedRate returns the rate of bad samples that the new version may have:
// the recorded rate or, if higher, the old version's recent rate plus two
// standard errors.
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

// cusum is a one-sided CUSUM test for a run of bad samples. It can only reduce
// the share; it adds no evidence for taking the move back.
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

// reference tracks the old version's log latency in one stratum.
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

// known reports whether the reference has enough samples to be used.
func (r *reference) known() bool {
	return r.n >= referenceMinSamples
}

// slow reports whether a log latency exceeds the mean by more than the given
// number of standard deviations plus the margin.
func (r *reference) slow(log, deviations, margin float64) bool {
	limit := r.mean + deviations*math.Sqrt(r.variance) + margin
	return log > limit
}

// rateMeter estimates a rate in events per second with exponential decay.
type rateMeter struct {
	count float64
	// span is the observed time in seconds, with the same decay as count.
	span float64
	last time.Time
}

// rateTimeConstant is the time constant of the decay in a rateMeter.
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

// perSecond returns the rate in events per second. An observed time of less
// than one second counts as one second.
func (m *rateMeter) perSecond(now time.Time) float64 {
	m.advance(now)
	return m.count / max(m.span, 1)
}

// ewma is an exponentially weighted moving average over time.
type ewma struct {
	value float64
	last  time.Time
}

// ewmaTimeConstant is the time constant of an ewma.
const ewmaTimeConstant = 30 * time.Second

// ewmaMinWeight is the lowest weight of a sample, which applies to samples that
// arrive at almost the same time.
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
