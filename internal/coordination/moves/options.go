package moves

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// DefaultCanaryShare is the first share of a move that names none.
	DefaultCanaryShare = 0.05
	// MaxCanaryShare bounds the first share, whatever the operator asks for.
	MaxCanaryShare = 0.05
	// DefaultWatch is the watching time of a move that names none.
	DefaultWatch = 10 * time.Minute
	// DefaultAlpha is the chance of taking back a version that is no worse.
	DefaultAlpha = 0.01
	// DefaultTolerance is how many times as slow a version may be.
	DefaultTolerance = 1.25
	// DefaultRoutes is the number of routes that share alpha when none is given.
	DefaultRoutes = 8
	// HoldbackShare is the part of traffic that stays on the old version until
	// the move is done, for comparison at the same time.
	HoldbackShare = 0.05
)

// Options adjust a move. The zero value selects the defaults.
type Options struct {
	// Epoch is the scheduler epoch that the records carry.
	Epoch ident.Epoch
	// Routes is the number of routes of the pool: they share Alpha evenly.
	Routes int
	// Alpha bounds the chance, 0 to 1, that a version no worse than the old
	// one is taken back on evidence, over all routes and looks.
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

// routeAlpha returns the part of alpha of the route that was seen as the k-th,
// from 0. Half goes evenly to the configured routes; the rest is a series for
// routes that a later configuration adds, so that the sum never exceeds alpha.
func (o Options) routeAlpha(k int) float64 {
	if k < o.Routes {
		return o.Alpha / 2 / float64(o.Routes)
	}
	j := float64(k - o.Routes + 1)
	return o.Alpha / 2 / (j * (j + 1))
}
