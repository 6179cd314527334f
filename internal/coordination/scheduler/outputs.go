package scheduler

import (
	"math"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// outputMinSamples is the total weight of samples from which on a route's
	// answer lengths are predicted. Below it, the gateway's estimate is used.
	outputMinSamples = 10
	// lengthQuantile is the standard score that one answer length in ten exceeds.
	// One in ten is below its negative.
	lengthQuantile = 1.28
	// unknownShortRatio is the ratio of a short answer to the gateway's estimate
	// while there are too few samples.
	unknownShortRatio = 0.25
)

// outputs predicts answer lengths per route from the gateways' estimates, by a
// line through the logarithms of both.
type outputs map[ident.RouteName]*lengthFit

// lengthFit is a fit of logarithms that also sums the squares of the outcome.
type lengthFit struct {
	fit
	syy float64
}

func (o outputs) observe(route ident.RouteName, estimated, actual int) {
	if estimated < 1 || actual < 1 {
		return
	}
	f, known := o[route]
	if !known {
		f = &lengthFit{}
		o[route] = f
	}
	y := math.Log(float64(actual))
	f.add(math.Log(float64(estimated)), y)
	f.syy = f.syy*fitDecay + y*y
}

// lengths predicts a number of output tokens: one answer in ten is shorter than
// short, and one in ten is longer than long.
type lengths struct {
	short, expected, long int
}

// predict returns the predicted lengths of the answer for a gateway's estimate.
func (o outputs) predict(route ident.RouteName, estimated int) lengths {
	f, known := o[route]
	if estimated < 1 || !known || f.n < outputMinSamples {
		return lengths{short: int(float64(estimated) * unknownShortRatio), expected: estimated, long: estimated}
	}
	median, deviation := f.at(math.Log(float64(estimated)))
	return lengths{
		short:    tokensOf(median - lengthQuantile*deviation),
		expected: tokensOf(median + deviation*deviation/2),
		long:     tokensOf(median + lengthQuantile*deviation),
	}
}

func tokensOf(logarithm float64) int {
	return max(1, int(math.Exp(logarithm)))
}

// at returns the mean and the standard deviation of the outcome's logarithm.
func (f *lengthFit) at(x float64) (mean, deviation float64) {
	meanX := f.sx / f.n
	meanY := f.sy / f.n
	varX := f.sxx/f.n - meanX*meanX
	varY := f.syy/f.n - meanY*meanY
	covariance := f.sxy/f.n - meanX*meanY
	slope := 0.0
	if varX > 1e-9 {
		slope = min(1, max(0, covariance/varX))
	}
	residual := max(0, varY-2*slope*covariance+slope*slope*varX)
	return meanY + slope*(x-meanX), math.Sqrt(residual)
}
