package scheduler

import (
	"math"
	"time"
)

const (
	// shortWindow and longWindow are the time constants of the averages of
	// arrivals.
	shortWindow = 10 * time.Second
	longWindow  = 60 * time.Second
)

// average is an exponentially decaying average of amounts per second.
type average struct {
	perSecond float64
	at        time.Duration
}

func (a *average) add(amount float64, window, now time.Duration) {
	a.perSecond = a.value(window, now) + amount/window.Seconds()
	a.at = now
}

func (a *average) value(window, now time.Duration) float64 {
	return a.perSecond * math.Exp(-(now-a.at).Seconds()/window.Seconds())
}

// rate measures arrivals over a short and a long window.
type rate struct {
	short, long average
}

func (r *rate) add(amount float64, now time.Duration) {
	r.short.add(amount, shortWindow, now)
	r.long.add(amount, longWindow, now)
}

// expected returns the amount per second to expect over the coming time. Towards
// the long window, the result moves to the lower of the two averages, so that a
// short burst is not assumed to last longer than that window.
func (r *rate) expected(horizon, now time.Duration) float64 {
	short := r.short.value(shortWindow, now)
	if horizon <= shortWindow {
		return short
	}
	long := r.long.value(longWindow, now)
	weight := min(1, float64(horizon-shortWindow)/float64(longWindow-shortWindow))
	return short + weight*(min(short, long)-short)
}
