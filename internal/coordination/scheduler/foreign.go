package scheduler

import (
	"math"
	"time"
)

const (
	// historySize and checkEvery give the time over which an upstream's own
	// count is remembered.
	historySize = 32
	// reportTrust is the weight of a fresh load report; it falls by a factor e
	// with every reportFade of age.
	reportTrust = 0.5
	reportFade  = 5 * time.Second
)

// foreignLoad estimates the requests on an upstream that this scheduler knows
// nothing of, from load reports that lag. Own counts are exact, so a report is
// compared with the own count at the time it was true.
type foreignLoad struct {
	history  [historySize]int
	at       [historySize]time.Duration
	next     int
	estimate float64
}

// remember notes the own count; it is called every checkEvery.
func (f *foreignLoad) remember(own int, now time.Duration) {
	f.history[f.next] = own
	f.at[f.next] = now
	f.next = (f.next + 1) % historySize
}

// ownAt returns the greatest own count noted around a time, false if none was.
func (f *foreignLoad) ownAt(at time.Duration) (own int, known bool) {
	for i, noted := range f.at {
		if noted != 0 && noted >= at-2*checkEvery && noted <= at+2*checkEvery {
			own = max(own, f.history[i])
			known = true
		}
	}
	return own, known
}

// observe takes in a report of running requests, true so long ago.
func (f *foreignLoad) observe(running int, age, now time.Duration) {
	own, known := f.ownAt(now - age)
	if !known {
		return
	}
	weight := reportTrust * math.Exp(-age.Seconds()/reportFade.Seconds())
	f.estimate += weight * (float64(max(0, running-own)) - f.estimate)
}

// slots is the estimate in whole requests.
func (f *foreignLoad) slots() int {
	return int(math.Round(f.estimate))
}
