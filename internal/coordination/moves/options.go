package moves

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// DefaultCanaryShare is the first share of a move whose configuration sets
	// none.
	DefaultCanaryShare = 0.05
	// MaxCanaryShare bounds the first share, whatever the configuration sets.
	MaxCanaryShare = 0.05
	// DefaultWatch is the watch time of a move whose configuration sets none.
	DefaultWatch = 10 * time.Minute
	// DefaultAlpha is the highest probability of taking back a version that is
	// no worse.
	DefaultAlpha = 0.01
	// DefaultTolerance is the factor by which latencies may grow.
	DefaultTolerance = 1.25
	// DefaultRoutes is the number of routes that share alpha when none is given.
	DefaultRoutes = 8
	// HoldbackShare is the share of traffic that stays on the old version until
	// the move is done, so that both versions can be compared at the same time.
	HoldbackShare = 0.05
)

// Options configure a move. The zero value selects the defaults.
type Options struct {
	// Epoch is the scheduler epoch under which records are proposed.
	Epoch ident.Epoch
	// Routes is the number of configured routes of the pool, used to divide
	// Alpha.
	Routes int
	// Alpha bounds the probability, 0 to 1, that a version no worse than the
	// old one is taken back on evidence, over all routes and all checks.
	Alpha float64
	// Tolerance is the factor, at least 1, by which latencies may grow.
	Tolerance float64
}

func (o Options) withDefaults() Options {
	if o.Routes <= 0 {
		o.Routes = DefaultRoutes
	}
	if o.Alpha <= 0 || o.Alpha >= 1 {
		o.Alpha = DefaultAlpha
	}
	if o.Tolerance < 1 {
		o.Tolerance = DefaultTolerance
	}
	return o
}

// routeAlpha returns the part of Alpha for the k-th route seen, counted from 0.
// Half of Alpha is divided evenly among the configured routes. The other half
// is divided as a series among routes that a later configuration adds, so that
// the sum never exceeds Alpha.
func (o Options) routeAlpha(k int) float64 {
	if k < o.Routes {
		return o.Alpha / 2 / float64(o.Routes)
	}
	j := float64(k - o.Routes + 1)
	return o.Alpha / 2 / (j * (j + 1))
}
