package moves

import (
	"math"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// blockLimit bounds the samples of one version in a block; the oldest go first.
	blockLimit = 32
	// blockAge bounds how long before the other version's sample a sample of a
	// block may have ended, so that both ran under like conditions.
	blockAge = time.Minute
	// loadBands counts the strata of load.
	loadBands = 5
	// promptBands counts the strata of prompt size.
	promptBands = 6
	// promptBase is the upper bound of the lowest prompt stratum, in tokens.
	promptBase = 64
)

// loadBounds are the upper bounds of the load strata but the last.
var loadBounds = [loadBands - 1]float64{0.3, 0.5, 0.7, 0.85}

func loadBand(load float64) int {
	for i, bound := range loadBounds {
		if load < bound {
			return i
		}
	}
	return loadBands - 1
}

// promptBand returns the stratum of a prompt; each spans a factor of four.
func promptBand(tokens int) int {
	if tokens < promptBase {
		return 0
	}
	band := 1 + int(math.Log2(float64(tokens)/promptBase)/2)
	return min(band, promptBands-1)
}

// reading is one sample's value in a block: 1 for a failure in failure
// blocks, the natural logarithm of a latency in latency blocks.
type reading struct {
	at    time.Time
	value float64
	// adjusted is value less the old version's mean in the sample's stratum;
	// known tells whether that mean is known.
	adjusted float64
	known    bool
	// band is the load band that the sample ran under.
	band int
}

// comparable reports whether a reading of the new version can be compared
// with one of the old version. Without known means only a new version under
// no more load than the old one can be, which favours the new one.
func comparable(newer, older reading) bool {
	return newer.band <= older.band || (newer.known && older.known)
}

// slower reports whether the new version's reading exceeds the old one's.
func slower(newer, older reading, margin float64) bool {
	if newer.band != older.band && newer.known && older.known {
		return newer.adjusted > older.adjusted+margin
	}
	return newer.value > older.value+margin
}

// block gathers the concurrent readings of both versions in one stratum. It
// yields a comparison as soon as readings of both can be compared, so one of
// them has exactly one reading in it. Every reading is used once.
type block struct {
	newer []reading
	older []reading
	// rate is the old version's failure rate known when the block was empty:
	// an alternative may not depend on the outcomes that it is tested on.
	rate float64
}

// comparison holds concurrent readings of both versions.
type comparison struct {
	newer []reading
	older []reading
}

// add takes in a reading, with the old version's present failure rate, and returns the comparison that it completes, if any.
func (b *block) add(isNew bool, r reading, rate float64) (comparison, bool) {
	b.newer = dropOld(b.newer, r.at)
	b.older = dropOld(b.older, r.at)
	if len(b.newer)+len(b.older) == 0 {
		b.rate = rate
	}
	var c comparison
	if isNew {
		c.newer = []reading{r}
		c.older, b.older = take(b.older, r.band, func(o reading) bool { return comparable(r, o) })
		if len(c.older) == 0 {
			b.newer = append(b.newer, r)
		}
		return c, len(c.older) > 0
	}
	c.older = []reading{r}
	c.newer, b.newer = take(b.newer, r.band, func(n reading) bool { return comparable(n, r) })
	if len(c.newer) == 0 {
		b.older = append(b.older, r)
	}
	return c, len(c.newer) > 0
}

// take removes from rs the readings of the band or, if there are none, those
// that can be compared in spite of another band.
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

func dropOld(rs []reading, now time.Time) []reading {
	drop := 0
	for drop < len(rs) && now.Sub(rs[drop].at) > blockAge {
		drop++
	}
	drop = max(drop, len(rs)-blockLimit+1)
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

// rank returns how slow the new version looks, as the rank of
// the version with one reading among m of the other; 0 is fastest for the new
// one. margin is added to the old version's logarithms; ties favour the new one.
func (c comparison) rank(margin float64) (rank, m int) {
	if len(c.newer) == 1 {
		for _, r := range c.older {
			if slower(c.newer[0], r, margin) {
				rank++
			}
		}
		return rank, len(c.older)
	}
	for _, r := range c.newer {
		if slower(r, c.older[0], margin) {
			rank++
		}
	}
	return rank, len(c.newer)
}

// outageStreak is how many failures in a row of one upstream count against
// its version while another upstream of the version serves.
const outageStreak = 3

// outageMemory is how long an upstream's success vouches for its version.
const outageMemory = 30 * time.Second

type upstreamHealth struct {
	version ident.VersionName
	streak  int
	lastOK  time.Time
}

// outages tells the failure of one upstream from the failure of its version.
type outages struct {
	upstreams map[ident.UpstreamName]*upstreamHealth
}

// counts reports whether a sample counts for its version.
func (o *outages) counts(s Sample, now time.Time) bool {
	if o.upstreams == nil {
		o.upstreams = make(map[ident.UpstreamName]*upstreamHealth)
	}
	h := o.upstreams[s.Upstream]
	if h == nil || h.version != s.Version {
		h = &upstreamHealth{version: s.Version}
		o.upstreams[s.Upstream] = h
	}
	if !s.Failed {
		h.streak = 0
		h.lastOK = now
		return true
	}
	h.streak++
	return h.streak <= outageStreak || !o.otherServes(s, now)
}

func (o *outages) otherServes(s Sample, now time.Time) bool {
	for name, h := range o.upstreams {
		if name == s.Upstream || h.version != s.Version || h.streak > 0 || h.lastOK.IsZero() {
			continue
		}
		if now.Sub(h.lastOK) <= outageMemory {
			return true
		}
	}
	return false
}
