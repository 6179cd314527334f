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

// testKinds counts the tests of one metric: concurrent, baseline and middle.
const testKinds = 3

// stratum selects samples that are compared with each other. Load bands stand
// apart for references only; comparisons match them by themselves.
type stratum struct {
	metric metric
	class  ident.HardwareClass
	load   int
	prompt int
}

// tests holds the processes of one metric: one over all samples and one for
// each load band, since a fault may show under load only.
type tests struct {
	pooled mixture
	bands  [loadBands]mixture
}

func newTests(effects int) tests {
	t := tests{pooled: newMixture(effects)}
	for i := range t.bands {
		t.bands[i] = newMixture(effects)
	}
	return t
}

func (t *tests) update(band int, released float64, factor func(i int) float64) {
	t.pooled.update(released, factor)
	t.bands[band].update(released, factor)
}

func (t *tests) value() float64 {
	sum := 0.0
	for i := range t.bands {
		sum += t.bands[i].value()
	}
	return t.pooled.value()/2 + sum/loadBands/2
}

// routeEvidence holds what is known of both versions on one route.
type routeEvidence struct {
	name       ident.RouteName
	idempotent bool
	// limit is the evidence at which the version is taken back: 1/alpha.
	limit  float64
	margin float64

	tests      [metricCount]tests
	total      float64
	blocks     map[stratum]*block
	references map[stratum]*reference
	baselines  [metricCount]baseline
	// middles compares latencies with the old version's mean, for slowness too
	// small to make samples unusual.
	middles [metricCount]baseline

	rate     rateMeter
	oldRate  float64
	lastSeen time.Time
	seen     int
	newer    outcomes
	older    outcomes
	// drift is the old version's present distance from its references, as the
	// smoothed difference of log latencies, by metric.
	drift [metricCount]float64
	// ratio is the smoothed log of new over old latency, by metric.
	ratio [metricCount]level
	// forgiven is the evidence at the last suspicion.
	forgiven float64
	// newBand is the load band of the new version's last sample.
	newBand int
	// compared counts new samples in closed blocks since the last step.
	compared int
	// settled counts them since the last suspicion.
	settled int
	// suspect tells that the route raised the suspicion that is in force.
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
		e.middles[m] = newBaseline()
	}
	e.tests[metricFailure] = newTests(len(failureEffects))
	e.tests[metricFirstToken] = newTests(len(slownessEffects))
	e.tests[metricPerToken] = newTests(len(slownessEffects))
	return e
}

// value is the route's evidence against the new version. It exceeds limit
// with a chance of at most 1/limit while the version is no worse.
func (e *routeEvidence) value() float64 {
	return e.total
}

// weigh recomputes the route's evidence after a sample.
func (e *routeEvidence) weigh() {
	sum := 0.0
	for m := metricFailure; m < metricCount; m++ {
		sum += e.against(m)
	}
	e.total = sum / float64(testKinds*metricCount)
}

// against is the evidence of one metric.
func (e *routeEvidence) against(m metric) float64 {
	return e.tests[m].value() + e.baselines[m].tests.value() + e.middles[m].tests.value()
}

// suspicious reports whether recent samples call for a smaller share.
func (e *routeEvidence) suspicious() bool {
	for m := range e.baselines {
		if e.baselines[m].newRun.raised(e.newer.n) {
			return true
		}
	}
	return e.value() >= max(retreatEvidence, 2*e.forgiven)
}

// forgive makes the next suspicion depend on new evidence. The evidence for a
// verdict stays.
func (e *routeEvidence) forgive() {
	e.forgiven = max(e.forgiven, e.value())
	e.settled = 0
	for m := range e.baselines {
		e.baselines[m].newRun = cusum{}
	}
}

func (e *routeEvidence) observe(s Sample, isNew bool, released float64, now time.Time) {
	e.rate.add(now)
	e.lastSeen = now
	e.seen++
	e.observeOutcome(s, isNew, released, now)
	if !s.Failed {
		e.observeLatency(metricFirstToken, s.FirstToken, s, isNew, released, now)
		e.observeLatency(metricPerToken, s.PerToken, s, isNew, released, now)
	}
	e.weigh()
}

func (e *routeEvidence) observeOutcome(s Sample, isNew bool, released float64, now time.Time) {
	value := 0.0
	if s.Failed {
		value = 1
	}
	e.baselines[metricFailure].add(isNew, s.Failed, e.baseFailures(), loadBand(s.Load), released)
	b := e.block(stratum{metric: metricFailure})
	c, ok := b.add(isNew, reading{at: now, value: value}, e.oldRate)
	if isNew {
		e.newBand = loadBand(s.Load)
	}
	if ok {
		newer, older := countOutcomes(c.newer), countOutcomes(c.older)
		e.tests[metricFailure].update(e.newBand, released, func(i int) float64 {
			return failureFactor(failureEffects[i], b.rate, newer, older)
		})
		e.compared += newer.n
		e.settled += newer.n
	}
	e.count(isNew, s.Failed, value)
}

// baseFailures is the failure rate that the baseline test allows.
func (e *routeEvidence) baseFailures() float64 {
	return min(max(2*e.oldRate, minBaseFailures), maxBaseFailures)
}

func (e *routeEvidence) count(isNew, failed bool, value float64) {
	o := &e.older
	if isNew {
		o = &e.newer
	} else {
		weight := max(failureWeight, 1/float64(e.older.n+100))
		e.oldRate += weight * (value - e.oldRate)
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
		e.compareWithRecord(m, isNew, ref, log, key.load, released)
	}
	if r.known && isNew {
		e.ratio[m].add(r.adjusted, now)
	}
	if !isNew {
		ref.add(log, now)
	}
	c, ok := e.block(stratum{metric: m, class: key.class, prompt: key.prompt}).add(isNew, r, e.oldRate)
	if !ok {
		return
	}
	rank, others := c.rank(e.margin)
	e.tests[m].update(c.newer[0].band, released, func(i int) float64 {
		return slownessFactor(i, rank, others)
	})
}

// compareWithRecord runs the tests against the old version's record, from
// which its own present drift is taken off for the new version.
func (e *routeEvidence) compareWithRecord(m metric, isNew bool, ref *reference, log float64, band int, released float64) {
	margin := e.margin
	if isNew {
		margin += max(e.drift[m], 0)
	} else {
		e.drift[m] += driftWeight * (log - ref.mean - e.drift[m])
	}
	e.baselines[m].add(isNew, ref.slow(log, slowDeviations, margin), baseSlowRate, band, released)
	e.middles[m].add(isNew, ref.slow(log, 0, margin), baseMiddleRate, band, released)
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

// explain says in words what the evidence shows.
func (e *routeEvidence) explain(from, to ident.VersionName) string {
	worst := metricFailure
	for m := metricFailure; m < metricCount; m++ {
		if e.against(m) > e.against(worst) {
			worst = m
		}
	}
	evidence := fmt.Sprintf("evidence %.3g, limit %.3g", e.value(), e.limit)
	if worst == metricFailure {
		return fmt.Sprintf("route %s: %d of %d requests failed on %s, %d of %d on %s (%s)",
			e.name, e.newer.failed, e.newer.n, to, e.older.failed, e.older.n, from, evidence)
	}
	what := "the first token"
	if worst == metricPerToken {
		what = "each further token"
	}
	return fmt.Sprintf("route %s: %s takes about %.2g times as long on %s as on %s, over %d requests (%s)",
		e.name, what, math.Exp(e.ratio[worst].value), to, from, e.newer.n, evidence)
}
