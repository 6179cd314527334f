package scheduler

import (
	"math"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// outputMinSamples is the weight of samples from which a route's answers
	// are predicted rather than taken from the gateway's estimate.
	outputMinSamples = 10
	// lengthQuantile is the standard score of the length that one answer in ten
	// stays below; one in ten exceeds the opposite score.
	lengthQuantile = 1.28
	// unknownShortRatio is the part of the gateway's estimate that counts as a short
	// answer while nothing is known.
	unknownShortRatio = 0.25
)

// outputs predicts, per route, how long answers will be from the gateways'
// estimates: a line through the logarithms of both.
type outputs map[ident.RouteName]*lengthFit

// lengthFit is a fit of logarithms with the squares of the outcome.
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

// lengths are predictions of a number of output tokens: one answer in ten is
// shorter than short, one in ten longer than long.
type lengths struct {
	short, expected, long int
}

// predict returns the lengths to expect for a gateway's estimate.
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
