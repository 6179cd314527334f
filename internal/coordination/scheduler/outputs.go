package scheduler

import (
	"math"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// outputMinSamples is the weight of samples from which a route's answers
	// are predicted rather than taken from the gateway's estimate.
	outputMinSamples = 10
	// shortQuantile is the standard score of the length that one answer in ten
	// stays below.
	shortQuantile = 1.28
	// unknownShort is the part of the gateway's estimate that counts as a short
	// answer while nothing is known.
	unknownShort = 0.25
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

// predict returns the expected number of output tokens, and the number that
// one answer in ten stays below.
func (o outputs) predict(route ident.RouteName, estimated int) (expected, short int) {
	f, known := o[route]
	if estimated < 1 || !known || f.n < outputMinSamples {
		return estimated, int(float64(estimated) * unknownShort)
	}
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
	median := meanY + slope*(math.Log(float64(estimated))-meanX)
	expected = int(math.Exp(median + residual/2))
	short = int(math.Exp(median - shortQuantile*math.Sqrt(residual)))
	return max(1, expected), max(1, short)
}
