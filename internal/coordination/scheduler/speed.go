package scheduler

import "time"

// fitDecay is the factor by which the weight of old samples shrinks with each new
// sample.
const fitDecay = 0.98

// longFitDecay is the decay of longDecode, the fit from which an engine's latency
// bound is derived.
const longFitDecay = 0.995

// fitMinSamples is the total weight of samples below which a fit is not used.
const fitMinSamples = 3

// fit is a least-squares line through samples whose weight decays with each new
// sample.
type fit struct {
	n, sx, sy, sxx, sxy float64
}

func (f *fit) add(x, y float64) {
	f.addDecayed(x, y, fitDecay)
}

func (f *fit) addDecayed(x, y, decay float64) {
	f.n = f.n*decay + 1
	f.sx = f.sx*decay + x
	f.sy = f.sy*decay + y
	f.sxx = f.sxx*decay + x*x
	f.sxy = f.sxy*decay + x*y
}

func (f *fit) known() bool {
	return f.n >= fitMinSamples
}

// line returns the intercept and the slope of the line, neither of them below
// zero.
func (f *fit) line() (intercept, slope float64) {
	meanX := f.sx / f.n
	meanY := f.sy / f.n
	spread := f.sxx/f.n - meanX*meanX
	if spread <= 1e-9*(1+meanX*meanX) {
		return meanY, 0
	}
	slope = (f.sxy/f.n - meanX*meanY) / spread
	if slope < 0 {
		return meanY, 0
	}
	intercept = meanY - slope*meanX
	if intercept < 0 {
		return 0, f.sxy / f.sxx
	}
	return intercept, slope
}

func (f *fit) at(x float64) float64 {
	intercept, slope := f.line()
	return intercept + slope*x
}

// speed learns how fast an upstream is: the time to the first token as a function
// of the uncached prompt tokens, including those ahead on the engine, and the
// time between tokens as a function of the requests in flight. Both are in
// seconds. An upstream without enough samples uses the pool's fits.
type speed struct {
	pool    *speed
	prefill fit
	decode  fit
	// longDecode is the decode fit with a longer memory.
	longDecode fit
}

func newSpeed(pool *speed) speed {
	return speed{pool: pool}
}

// prefillFit returns the engine's own fit, else the pool's, or nil if neither has
// enough samples.
func (s *speed) prefillFit() *fit {
	if s.prefill.known() {
		return &s.prefill
	}
	if s.pool != nil && s.pool.prefill.known() {
		return &s.pool.prefill
	}
	return nil
}

// firstToken estimates the time from dispatch to the first token, 0 if unknown.
// tokens includes all prompt tokens ahead on the engine.
func (s *speed) firstToken(tokens float64) time.Duration {
	f := s.prefillFit()
	if f == nil {
		return 0
	}
	return seconds(f.at(tokens))
}

// prefillRate returns the learned rate in prompt tokens per second, 0 if unknown.
func (s *speed) prefillRate() float64 {
	f := s.prefillFit()
	if f == nil {
		return 0
	}
	_, slope := f.line()
	if slope <= 0 {
		return 0
	}
	return 1 / slope
}

// prefillTime estimates the time to compute the given prompt tokens, 0 if
// unknown.
func (s *speed) prefillTime(tokens float64) time.Duration {
	rate := s.prefillRate()
	if rate == 0 {
		return 0
	}
	return seconds(tokens / rate)
}

// perToken estimates the time between tokens with the given number of requests in
// flight, 0 if unknown.
func (s *speed) perToken(batch int) time.Duration {
	f := &s.decode
	if !f.known() && s.pool != nil {
		f = &s.pool.decode
	}
	if !f.known() {
		return 0
	}
	return seconds(f.at(float64(batch)))
}

// perTokenBound returns the time between tokens up to which the upstream is
// filled: the target, or a multiple of the upstream's own unloaded time if that
// is longer.
func (s *speed) perTokenBound() time.Duration {
	if !s.longDecode.known() {
		return perTokenTarget
	}
	unloaded, _ := s.longDecode.line()
	return max(perTokenTarget, scaleBy(seconds(unloaded), perTokenFactor))
}

// serviceTime estimates the time from dispatch to the end of the answer.
func (s *speed) serviceTime(tokens float64, output, batch int) time.Duration {
	decode := time.Duration(max(0, output-1)) * s.perToken(batch)
	return s.firstToken(tokens) + decode
}

func (s *speed) observeFirstToken(tokens float64, elapsed time.Duration) {
	s.prefill.add(tokens, elapsed.Seconds())
	if s.pool != nil {
		s.pool.prefill.add(tokens, elapsed.Seconds())
	}
}

func (s *speed) observePerToken(batch int, gap time.Duration) {
	s.decode.add(float64(batch), gap.Seconds())
	s.longDecode.addDecayed(float64(batch), gap.Seconds(), longFitDecay)
	if s.pool != nil {
		s.pool.decode.add(float64(batch), gap.Seconds())
	}
}

// forget drops all samples. It is used after a sudden change, which a few new
// samples would not outweigh for a long time.
func (s *speed) forget() {
	s.prefill, s.decode, s.longDecode = fit{}, fit{}, fit{}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
