package scheduler

import (
	"math"
	"time"
)

const (
	// historySize is the number of own counts that are kept, one per
	// checkInterval: 16 s.
	historySize = 32
	// reportWeight is the weight of a load report of age 0. It falls by a factor
	// of e with every reportDecay of age.
	reportWeight = 0.5
	reportDecay  = 5 * time.Second
)

// externalLoad estimates the requests on an upstream that did not come from this
// scheduler, from load reports that lag. Own counts are exact, so a report is
// compared with the own count at the time at which it was measured.
type externalLoad struct {
	history  [historySize]int
	at       [historySize]time.Duration
	next     int
	estimate float64
}

// record stores the own count of requests on the upstream. It is called every
// checkInterval.
func (f *externalLoad) record(own int, now time.Duration) {
	f.history[f.next] = own
	f.at[f.next] = now
	f.next = (f.next + 1) % historySize
}

// ownAt returns the highest own count recorded within two check intervals of the
// given time, and false if there is none.
func (f *externalLoad) ownAt(at time.Duration) (own int, known bool) {
	for i, recordedAt := range f.at {
		if recordedAt != 0 && recordedAt >= at-2*checkInterval && recordedAt <= at+2*checkInterval {
			own = max(own, f.history[i])
			known = true
		}
	}
	return own, known
}

// observe updates the estimate from a load report of running requests that is of
// the given age.
func (f *externalLoad) observe(running int, age, now time.Duration) {
	own, known := f.ownAt(now - age)
	if !known {
		return
	}
	weight := reportWeight * math.Exp(-age.Seconds()/reportDecay.Seconds())
	f.estimate += weight * (float64(max(0, running-own)) - f.estimate)
}

// slots returns the estimate, rounded to whole requests.
func (f *externalLoad) slots() int {
	return int(math.Round(f.estimate))
}
