package scheduler

import (
	"math"
	"time"
)

// rateWindow is the time over which arrival rates are averaged.
const rateWindow = 10 * time.Second

// rate is an exponentially weighted average of amounts per second.
type rate struct {
	perSecond float64
	at        time.Duration
}

func (r *rate) add(amount float64, now time.Duration) {
	r.perSecond = r.now(now) + amount/rateWindow.Seconds()
	r.at = now
}

func (r *rate) now(now time.Duration) float64 {
	return r.perSecond * math.Exp(-(now-r.at).Seconds()/rateWindow.Seconds())
}
