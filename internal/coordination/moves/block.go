package moves

import (
	"math"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// blockMaxSamples bounds the samples of one version in a block. The oldest
	// are dropped first.
	blockMaxSamples = 32
	// blockMaxAge is how long a sample stays in a block, so that it is only
	// compared with samples of the other version that ran under similar
	// conditions.
	blockMaxAge = time.Minute
	// loadBands is the number of load strata.
	loadBands = 5
	// promptBands is the number of prompt size strata.
	promptBands = 6
	// lowestPromptBound is the upper bound of the lowest prompt stratum, in tokens.
	lowestPromptBound = 64
)

// loadBounds are the upper bounds of all load strata except the last.
var loadBounds = [loadBands - 1]float64{0.3, 0.5, 0.7, 0.85}

func loadBand(load float64) int {
	for i, bound := range loadBounds {
		if load < bound {
			return i
		}
	}
	return loadBands - 1
}

// promptBand returns the stratum of a prompt with the given number of tokens.
// Between the lowest and the highest stratum, each spans a factor of four.
func promptBand(tokens int) int {
	if tokens < lowestPromptBound {
		return 0
	}
	band := 1 + int(math.Log2(float64(tokens)/lowestPromptBound)/2)
	return min(band, promptBands-1)
}

// reading is one sample's value in a block. In failure blocks it is 1 for a
// failure and 0 for a success, in latency blocks the natural logarithm of the
// latency in seconds.
type reading struct {
	at    time.Time
	value float64
	// adjusted is value minus the old version's mean in the sample's stratum.
	// It is meaningful only if known is true.
	adjusted float64
	known    bool
	// band is the load band in which the request ran.
	band int
}

// canCompare reports whether a reading of the new version can be compared with
// one of the old version. If a mean is unknown, the new version must have run
// under no more load than the old one, which can only favour the new version.
func canCompare(newReading, oldReading reading) bool {
	return newReading.band <= oldReading.band || (newReading.known && oldReading.known)
}

// slower reports whether the new version's reading exceeds the old version's by
// more than margin.
func slower(newReading, oldReading reading, margin float64) bool {
	if newReading.band != oldReading.band && newReading.known && oldReading.known {
		return newReading.adjusted > oldReading.adjusted+margin
	}
	return newReading.value > oldReading.value+margin
}

// block collects concurrent readings of both versions in one stratum. It yields
// a comparison as soon as readings of both versions can be compared, so each
// comparison has exactly one reading of at least one version. No reading is
// used twice.
type block struct {
	newReadings []reading
	oldReadings []reading
	// rate is the old version's failure rate at the time when the block was
	// last empty. Later outcomes do not change it, because an alternative must
	// not depend on the outcomes that it is tested on.
	rate float64
}

// comparison holds concurrent readings of both versions.
type comparison struct {
	newReadings []reading
	oldReadings []reading
}

// add adds a reading and returns the comparison that it completes, if any. rate
// is the old version's current failure rate.
func (b *block) add(isNew bool, r reading, rate float64) (comparison, bool) {
	b.newReadings = dropStale(b.newReadings, r.at)
	b.oldReadings = dropStale(b.oldReadings, r.at)
	if len(b.newReadings)+len(b.oldReadings) == 0 {
		b.rate = rate
	}
	var c comparison
	if isNew {
		c.newReadings = []reading{r}
		c.oldReadings, b.oldReadings = take(b.oldReadings, r.band, func(o reading) bool { return canCompare(r, o) })
		if len(c.oldReadings) == 0 {
			b.newReadings = append(b.newReadings, r)
		}
		return c, len(c.oldReadings) > 0
	}
	c.oldReadings = []reading{r}
	c.newReadings, b.newReadings = take(b.newReadings, r.band, func(n reading) bool { return canCompare(n, r) })
	if len(c.newReadings) == 0 {
		b.oldReadings = append(b.oldReadings, r)
	}
	return c, len(c.newReadings) > 0
}

// take removes and returns the readings of the given load band or, if there are
// none, those for which fits returns true.
func take(rs []reading, band int, fits func(reading) bool) (taken, rest []reading) {
	taken, rest = partition(rs, func(r reading) bool { return r.band == band })
	if len(taken) > 0 {
		return taken, rest
	}
	return partition(rs, fits)
}

func partition(rs []reading, in func(reading) bool) (taken, rest []reading) {
	rest = rs[:0]
	for _, r := range rs {
		if in(r) {
			taken = append(taken, r)
		} else {
			rest = append(rest, r)
		}
	}
	return taken, rest
}

func dropStale(rs []reading, now time.Time) []reading {
	drop := 0
	for drop < len(rs) && now.Sub(rs[drop].at) > blockMaxAge {
		drop++
	}
	drop = max(drop, len(rs)-blockMaxSamples+1)
	if drop <= 0 {
		return rs
	}
	return append(rs[:0], rs[drop:]...)
}

func countOutcomes(rs []reading) outcomes {
	o := outcomes{n: len(rs)}
	for _, r := range rs {
		if r.value > 0 {
			o.failed++
		}
	}
	return o
}

// rank returns how many of the m pairs of readings show the new version as
// slower. One version has a single reading and the other one has m. margin is
// added to the log latencies of the old version, and ties favour the new
// version.
func (c comparison) rank(margin float64) (rank, m int) {
	if len(c.newReadings) == 1 {
		for _, r := range c.oldReadings {
			if slower(c.newReadings[0], r, margin) {
				rank++
			}
		}
		return rank, len(c.oldReadings)
	}
	for _, r := range c.newReadings {
		if slower(r, c.oldReadings[0], margin) {
			rank++
		}
	}
	return rank, len(c.newReadings)
}

// outageStreak is how many consecutive failures of one upstream count against
// its version while another upstream of the version succeeds.
const outageStreak = 3

// outageSuccessWindow is how long an upstream counts as healthy after its last
// success.
const outageSuccessWindow = 30 * time.Second

// upstreamHealth holds the recent outcomes of one upstream.
type upstreamHealth struct {
	version       ident.VersionName
	failureStreak int
	lastOK        time.Time
}

// outageFilter distinguishes the failure of one upstream from a fault of its
// version.
type outageFilter struct {
	upstreams map[ident.UpstreamName]*upstreamHealth
}

// observe records the outcome of a sample and reports whether the sample counts
// for its version.
func (o *outageFilter) observe(s Sample, now time.Time) bool {
	if o.upstreams == nil {
		o.upstreams = make(map[ident.UpstreamName]*upstreamHealth)
	}
	h := o.upstreams[s.Upstream]
	if h == nil || h.version != s.Version {
		h = &upstreamHealth{version: s.Version}
		o.upstreams[s.Upstream] = h
	}
	if !s.Failed {
		h.failureStreak = 0
		h.lastOK = now
		return true
	}
	h.failureStreak++
	return h.failureStreak <= outageStreak || !o.otherUpstreamHealthy(s, now)
}

func (o *outageFilter) otherUpstreamHealthy(s Sample, now time.Time) bool {
	for name, h := range o.upstreams {
		if name == s.Upstream || h.version != s.Version || h.failureStreak > 0 || h.lastOK.IsZero() {
			continue
		}
		if now.Sub(h.lastOK) <= outageSuccessWindow {
			return true
		}
	}
	return false
}
