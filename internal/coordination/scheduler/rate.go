package scheduler

import (
	"math"
	"time"
)

const (
	// shortWindow and longWindow are the times over which arrivals are averaged.
	shortWindow = 10 * time.Second
	longWindow  = 60 * time.Second
)

// average is an exponentially weighted average of amounts per second.
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

// rate measures arrivals over a short and a long time.
type rate struct {
	short, long average
}

func (r *rate) add(amount float64, now time.Duration) {
	r.short.add(amount, shortWindow, now)
	r.long.add(amount, longWindow, now)
}

// expected returns the amount per second to expect expected the coming time. A burst
// shorter than the long window is not taken to last longer than that.
func (r *rate) expected(horizon, now time.Duration) float64 {
	short := r.short.value(shortWindow, now)
	if horizon <= shortWindow {
		return short
	}
	long := r.long.value(longWindow, now)
	weight := min(1, float64(horizon-shortWindow)/float64(longWindow-shortWindow))
	return short + weight*(min(short, long)-short)
}
