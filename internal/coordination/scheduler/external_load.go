package scheduler

import (
	"math"
	"time"
)

const (
	// historySize and checkEvery give the time over which an upstream's own
	// count is remembered.
	historySize = 32
	// reportWeight is the weight of a fresh load report; it falls by a factor e
	// with every reportFade of age.
	reportWeight = 0.5
	reportDecay  = 5 * time.Second
)

// externalLoad estimates the requests on an upstream that this scheduler knows
// nothing of, from load reports that lag. Own counts are exact, so a report is
// compared with the own count at the time it was true.
type externalLoad struct {
	history  [historySize]int
	at       [historySize]time.Duration
	next     int
	estimate float64
}

// record notes the own count; it is called every checkEvery.
func (f *externalLoad) record(own int, now time.Duration) {
	f.history[f.next] = own
	f.at[f.next] = now
	f.next = (f.next + 1) % historySize
}

// ownAt returns the greatest own count noted around a time, false if none was.
func (f *externalLoad) ownAt(at time.Duration) (own int, known bool) {
	for i, recordedAt := range f.at {
		if recordedAt != 0 && recordedAt >= at-2*checkInterval && recordedAt <= at+2*checkInterval {
			own = max(own, f.history[i])
			known = true
		}
	}
	return own, known
}

// observe takes in a report of running requests, true so long ago.
func (f *externalLoad) observe(running int, age, now time.Duration) {
	own, known := f.ownAt(now - age)
	if !known {
		return
	}
	weight := reportWeight * math.Exp(-age.Seconds()/reportDecay.Seconds())
	f.estimate += weight * (float64(max(0, running-own)) - f.estimate)
}

// slots is the estimate in whole requests.
func (f *externalLoad) slots() int {
	return int(math.Round(f.estimate))
}
