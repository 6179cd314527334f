package moves

import (
	"fmt"
	"math"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// metric is a quantity that is compared between the versions.
type metric int

const (
	metricFailure metric = iota
	metricFirstToken
	metricPerToken
	metricCount
)

// testKinds is the number of tests of one metric: concurrent, baseline and
// above-mean.
const testKinds = 3

// stratum identifies samples that can be compared with each other. Only
// references are kept for each load band; a block holds readings of all load
// bands and takes the bands into account when it compares them.
type stratum struct {
	metric metric
	class  ident.HardwareClass
	load   int
	prompt int
}

// testGroup holds the test martingales of one metric: one mixture over all
// samples and one for each load band, since a fault may occur only under load.
type testGroup struct {
	pooled mixture
	bands  [loadBands]mixture
}

func newTestGroup(effects int) testGroup {
	t := testGroup{pooled: newMixture(effects)}
	for i := range t.bands {
		t.bands[i] = newMixture(effects)
	}
	return t
}

func (t *testGroup) update(band int, released float64, factor func(i int) float64) {
	t.pooled.update(released, factor)
	t.bands[band].update(released, factor)
}

func (t *testGroup) value() float64 {
	sum := 0.0
	for i := range t.bands {
		sum += t.bands[i].value()
	}
	return t.pooled.value()/2 + sum/loadBands/2
}

// routeEvidence holds the observations of both versions on one route and the
// evidence against the new version.
type routeEvidence struct {
	name       ident.RouteName
	idempotent bool
	// limit is the evidence, 1/alpha, at which the move is taken back.
	limit float64
	// margin is the logarithm of the tolerated latency ratio.
	margin float64

	tests      [metricCount]testGroup
	total      float64
	blocks     map[stratum]*block
	references map[stratum]*reference
	baselines  [metricCount]baseline
	// aboveMean tests how often latencies exceed the old version's mean. It
	// detects slowness that is too small to make single samples slow.
	aboveMean [metricCount]baseline

	rate           rateMeter
	oldFailureRate float64
	lastSeen       time.Time
	samples        int
	newOutcomes    outcomes
	oldOutcomes    outcomes
	// drift is the old version's current deviation from its references: the
	// smoothed difference of log latencies, by metric.
	drift [metricCount]float64
	// logRatio is the smoothed logarithm of the ratio of new to old latency, by
	// metric.
	logRatio [metricCount]ewma
	// evidenceAtSuspicion is the highest evidence at any earlier suspicion.
	evidenceAtSuspicion float64
	// newBand is the load band of the new version's last sample.
	newBand int
	// comparedSinceStep counts the new version's samples in failure comparisons
	// since the last committed record.
	comparedSinceStep int
	// comparedSinceCeiling counts the same samples since the last suspicion or
	// change of the ceiling.
	comparedSinceCeiling int
	// suspect is true if the route caused the reduction of the share that is in
	// force.
	suspect bool
}

func newRouteEvidence(s Sample, alpha, tolerance float64) *routeEvidence {
	e := &routeEvidence{
		name:       s.Route,
		idempotent: s.Idempotent,
		limit:      1 / alpha,
		margin:     math.Log(tolerance),
		blocks:     make(map[stratum]*block),
		references: make(map[stratum]*reference),
	}
	for m := range e.baselines {
		e.baselines[m] = newBaseline()
		e.aboveMean[m] = newBaseline()
	}
	e.tests[metricFailure] = newTestGroup(len(failureEffects))
	e.tests[metricFirstToken] = newTestGroup(len(slownessEffects))
	e.tests[metricPerToken] = newTestGroup(len(slownessEffects))
	return e
}

// value returns the route's evidence against the new version. While the new
// version is no worse, the probability that the evidence ever reaches limit is
// at most 1/limit.
func (e *routeEvidence) value() float64 {
	return e.total
}

// updateTotal recomputes the route's evidence, the mean over all tests of all
// metrics.
func (e *routeEvidence) updateTotal() {
	sum := 0.0
	for m := metricFailure; m < metricCount; m++ {
		sum += e.metricEvidence(m)
	}
	e.total = sum / float64(testKinds*metricCount)
}

// metricEvidence returns the sum of the evidence from the tests of one metric.
func (e *routeEvidence) metricEvidence(m metric) float64 {
	return e.tests[m].value() + e.baselines[m].tests.value() + e.aboveMean[m].tests.value()
}

// suspicious reports whether recent samples call for a smaller share.
func (e *routeEvidence) suspicious() bool {
	for m := range e.baselines {
		if e.baselines[m].newCUSUM.exceedsThreshold(e.newOutcomes.n) {
			return true
		}
	}
	return e.value() >= max(suspicionEvidence, 2*e.evidenceAtSuspicion)
}

// resetSuspicion makes the next suspicion depend on new evidence. The evidence
// for taking the move back is kept.
func (e *routeEvidence) resetSuspicion() {
	e.evidenceAtSuspicion = max(e.evidenceAtSuspicion, e.value())
	e.comparedSinceCeiling = 0
	for m := range e.baselines {
		e.baselines[m].newCUSUM = cusum{}
	}
}

func (e *routeEvidence) observe(s Sample, isNew bool, released float64, now time.Time) {
	e.rate.add(now)
	e.lastSeen = now
	e.samples++
	e.observeOutcome(s, isNew, released, now)
	if !s.Failed {
		e.observeLatency(metricFirstToken, s.FirstToken, s, isNew, released, now)
		e.observeLatency(metricPerToken, s.PerToken, s, isNew, released, now)
	}
	e.updateTotal()
}

func (e *routeEvidence) observeOutcome(s Sample, isNew bool, released float64, now time.Time) {
	value := 0.0
	if s.Failed {
		value = 1
	}
	e.baselines[metricFailure].add(isNew, s.Failed, e.baseFailureRate(), loadBand(s.Load), released)
	b := e.block(stratum{metric: metricFailure})
	c, ok := b.add(isNew, reading{at: now, value: value}, e.oldFailureRate)
	if isNew {
		e.newBand = loadBand(s.Load)
	}
	if ok {
		newOutcomes, oldOutcomes := countOutcomes(c.newReadings), countOutcomes(c.oldReadings)
		e.tests[metricFailure].update(e.newBand, released, func(i int) float64 {
			return failureFactor(failureEffects[i], b.rate, newOutcomes, oldOutcomes)
		})
		e.comparedSinceStep += newOutcomes.n
		e.comparedSinceCeiling += newOutcomes.n
	}
	e.countOutcome(isNew, s.Failed, value)
}

// baseFailureRate returns the failure rate that the baseline test accepts as
// normal.
func (e *routeEvidence) baseFailureRate() float64 {
	return min(max(2*e.oldFailureRate, minBaseFailureRate), maxBaseFailureRate)
}

func (e *routeEvidence) countOutcome(isNew, failed bool, value float64) {
	o := &e.oldOutcomes
	if isNew {
		o = &e.newOutcomes
	} else {
		weight := max(failureMinWeight, 1/float64(e.oldOutcomes.n+100))
		e.oldFailureRate += weight * (value - e.oldFailureRate)
	}
	o.n++
	if failed {
		o.failed++
	}
}

func (e *routeEvidence) observeLatency(m metric, d time.Duration, s Sample, isNew bool, released float64, now time.Time) {
	if d <= 0 {
		return
	}
	log := math.Log(d.Seconds())
	key := stratum{metric: m, class: s.Class, load: loadBand(s.Load), prompt: promptBand(s.PromptTokens)}
	ref := e.reference(key)
	r := reading{at: now, value: log, band: key.load, known: ref.known(), adjusted: log - ref.mean}
	if r.known {
		e.compareWithReference(m, isNew, ref, log, key.load, released)
	}
	if r.known && isNew {
		e.logRatio[m].add(r.adjusted, now)
	}
	if !isNew {
		ref.add(log, now)
	}
	c, ok := e.block(stratum{metric: m, class: key.class, prompt: key.prompt}).add(isNew, r, e.oldFailureRate)
	if !ok {
		return
	}
	rank, others := c.rank(e.margin)
	e.tests[m].update(c.newReadings[0].band, released, func(i int) float64 {
		return slownessFactor(i, rank, others)
	})
}

// compareWithReference updates the tests that compare a latency with the old
// version's reference. For the new version, the old version's current drift
// above its references is added to the margin.
func (e *routeEvidence) compareWithReference(m metric, isNew bool, ref *reference, log float64, band int, released float64) {
	margin := e.margin
	if isNew {
		margin += max(e.drift[m], 0)
	} else {
		e.drift[m] += driftWeight * (log - ref.mean - e.drift[m])
	}
	e.baselines[m].add(isNew, ref.slow(log, slowDeviations, margin), baseSlowRate, band, released)
	e.aboveMean[m].add(isNew, ref.slow(log, 0, margin), baseAboveMeanRate, band, released)
}

func (e *routeEvidence) block(key stratum) *block {
	b := e.blocks[key]
	if b == nil {
		b = &block{}
		e.blocks[key] = b
	}
	return b
}

func (e *routeEvidence) reference(key stratum) *reference {
	r := e.references[key]
	if r == nil {
		r = &reference{}
		e.references[key] = r
	}
	return r
}

// explain describes the metric with the most evidence against the new version.
func (e *routeEvidence) explain(from, to ident.VersionName) string {
	worst := metricFailure
	for m := metricFailure; m < metricCount; m++ {
		if e.metricEvidence(m) > e.metricEvidence(worst) {
			worst = m
		}
	}
	evidence := fmt.Sprintf("evidence %.3g, limit %.3g", e.value(), e.limit)
	if worst == metricFailure {
		return fmt.Sprintf("route %s: %d of %d requests failed on %s, %d of %d on %s (%s)",
			e.name, e.newOutcomes.failed, e.newOutcomes.n, to, e.oldOutcomes.failed, e.oldOutcomes.n, from, evidence)
	}
	what := "the first token"
	if worst == metricPerToken {
		what = "each further token"
	}
	return fmt.Sprintf("route %s: %s takes about %.2g times as long on %s as on %s, over %d requests (%s)",
		e.name, what, math.Exp(e.logRatio[worst].value), to, from, e.newOutcomes.n, evidence)
}
