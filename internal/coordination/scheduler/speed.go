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

const (
	// An upstream's samples keep their weight for minFading, or the time in which each
	// upstream of the pool got fadingRounds on average. While it gets no requests for longer,
	// the weight goes over to the pool's samples within as long again. The rounds bound the
	// part of all requests that show whether slow upstreams are still slow, also where
	// requests are few.
	minFading    = 500 * time.Millisecond
	fadingRounds = 12
	// staleWeight is the weight below which samples count as stale.
	staleWeight = 0.5
)

// fit is a least-squares line through samples whose weight decays with each new
// sample.
type fit struct {
	n, sx, sy, sxx, sxy, syy float64
	// intercept and slope are those of the line, neither of them below zero, and variance
	// is that of the samples around it, in the unit of y squared.
	intercept, slope, variance float64
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
	f.syy = f.syy*decay + y*y
	f.draw()
}

// age lets the weight of all samples decay.
func (f *fit) age(weight float64) {
	f.n, f.sx, f.sy, f.sxx, f.sxy, f.syy = f.n*weight, f.sx*weight, f.sy*weight, f.sxx*weight, f.sxy*weight, f.syy*weight
}

// errorOfMean returns the variance of the line's height at the samples' mean. Few samples
// may lie closer together than others would, so the pool's variance counts as some more.
func (f *fit) errorOfMean(pool *fit) float64 {
	variance := (f.n*f.variance + fitMinSamples*pool.variance) / (f.n + fitMinSamples)
	return variance / max(1, f.n)
}

func (f *fit) known() bool {
	return f.n >= fitMinSamples
}

// draw draws the line through the samples.
func (f *fit) draw() {
	meanX, meanY := f.sx/f.n, f.sy/f.n
	spread := f.sxx/f.n - meanX*meanX
	covariance := f.sxy/f.n - meanX*meanY
	f.intercept, f.slope = meanY, 0
	if spread > 1e-9*(1+meanX*meanX) && covariance > 0 {
		f.slope = covariance / spread
		f.intercept = meanY - f.slope*meanX
		if f.intercept < 0 {
			f.intercept, f.slope = 0, f.sxy/f.sxx
		}
	}
	f.variance = max(0, f.syy/f.n-meanY*meanY-f.slope*(2*covariance-f.slope*spread))
}

func (f *fit) at(x float64) float64 {
	return f.intercept + f.slope*x
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
	// upstreams is the number of upstreams of a pool, and samples that of its answers.
	upstreams, samples int
	// latest is the upstream's latest sample, and before the one from which on its samples
	// were stale when the latest came; nil if they were not.
	latest sampleTime
	before *sampleTime
}

// sampleTime is when an upstream's sample came, and the number of samples of its pool by
// then.
type sampleTime struct {
	at      time.Duration
	samples int
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
	if f.slope <= 0 {
		return 0
	}
	return 1 / f.slope
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
	return max(perTokenTarget, scaleBy(seconds(s.longDecode.intercept), perTokenFactor))
}

// serviceTime estimates the time from dispatch to the end of the answer.
func (s *speed) serviceTime(tokens float64, output, batch int) time.Duration {
	decode := time.Duration(max(0, output-1)) * s.perToken(batch)
	return s.firstToken(tokens) + decode
}

// variance returns that of the time of answers of a length around what is expected, in
// seconds squared, and errorOfMean that of the expected time itself.
func (s *speed) variance(output int) float64 {
	steps := float64(max(0, output-1))
	return s.prefill.variance + steps*steps*s.decode.variance
}

func (s *speed) errorOfMean(output int) float64 {
	steps := float64(max(0, output-1))
	return s.prefill.errorOfMean(&s.pool.prefill) + steps*steps*s.decode.errorOfMean(&s.pool.decode)
}

// sampleTime returns that of a sample which comes now.
func (s *speed) sampleTime(now time.Duration) sampleTime {
	if s.pool == nil {
		return sampleTime{at: now}
	}
	return sampleTime{at: now, samples: s.pool.samples}
}

// staleness returns how long ago a sample came beyond the time for which it keeps its
// weight, as a multiple of the time in which the weight fades.
func (s *speed) staleness(since sampleTime, now time.Duration) float64 {
	rounds := float64(s.pool.samples-since.samples) / float64(max(1, s.pool.upstreams))
	return max(0, min(float64(now-since.at)/float64(minFading), rounds/fadingRounds)-1)
}

// isStale reports whether an upstream has samples that say little of its speed now.
func (s *speed) isStale(now time.Duration) bool {
	return s.pool != nil && s.prefill.known() && 1-s.staleness(s.latest, now) < staleWeight
}

// refresh ages the samples by the time since the latest one, before an answer adds one.
// They stay known.
func (s *speed) refresh(now time.Duration) {
	weight := max(0, 1-s.staleness(s.latest, now))
	for _, f := range []*fit{&s.prefill, &s.decode} {
		if f.known() {
			f.age(max(weight, min(1, fitMinSamples/f.n)))
		}
	}
	s.before = nil
	if weight < staleWeight {
		before := s.latest
		s.before = &before
	}
	s.pool.samples++
	s.latest = s.sampleTime(now)
}

// checkFaster lets the samples stay stale if a new one is closer to what the pool's let
// expect than to what the upstream's own do: the next request is to show it as well.
func (s *speed) checkFaster(own, pool *fit, x, y float64) {
	if s.before == nil || !own.known() || !pool.known() {
		return
	}
	if slow, usual := own.at(x), pool.at(x); usual < slow && y < (slow+usual)/2 {
		s.latest = *s.before
	}
}

func (s *speed) observeFirstToken(tokens float64, elapsed, now time.Duration) {
	if s.pool != nil {
		s.refresh(now)
		s.checkFaster(&s.prefill, &s.pool.prefill, tokens, elapsed.Seconds())
	}
	s.prefill.add(tokens, elapsed.Seconds())
	if s.pool != nil {
		s.pool.prefill.add(tokens, elapsed.Seconds())
	}
}

func (s *speed) observePerToken(batch int, gap time.Duration) {
	if s.pool != nil {
		s.checkFaster(&s.decode, &s.pool.decode, float64(batch), gap.Seconds())
	}
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
