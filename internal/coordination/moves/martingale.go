package moves

import "math"

const (
	// maxCapital bounds the capital of a martingale, so that it stays finite.
	maxCapital = 1e200
	// minOldRate and maxOldRate bound the failure rate that is assumed for the
	// old version.
	minOldRate = 0.002
	maxOldRate = 0.9
)

// failureEffects are the alternatives of the failure test: the probability that
// a request fails on the new version although it would have succeeded on the
// old one.
var failureEffects = [...]float64{0.02, 0.1, 0.4, 0.9}

// slownessEffects are the alternatives of the rank test: exponents a of the
// density a*u^(a-1) of a new sample's normalised rank u among old samples.
var slownessEffects = [...]float64{1.6, 4, 16}

// martingale is a test martingale averaged over the times at which a fault may
// begin. While the new version is no worse, its expected value never exceeds
// the invested capital. The probability that it ever reaches 1/alpha is then at
// most alpha, however often it is checked.
type martingale struct {
	capital  float64
	invested float64
}

// update invests the capital released since the last update, then multiplies
// all capital by factor, the likelihood ratio of one comparison. released is
// the total released so far, 0 to 1.
func (m *martingale) update(released, factor float64) {
	m.capital += released - m.invested
	m.invested = released
	m.capital = min(m.capital*factor, maxCapital)
}

// mixture averages martingales over the effect sizes of one test.
type mixture struct {
	martingales []martingale
}

func newMixture(effects int) mixture {
	return mixture{martingales: make([]martingale, effects)}
}

func (m *mixture) update(released float64, factor func(i int) float64) {
	for i := range m.martingales {
		m.martingales[i].update(released, factor(i))
	}
}

func (m *mixture) value() float64 {
	sum := 0.0
	for i := range m.martingales {
		sum += m.martingales[i].capital
	}
	return sum / float64(len(m.martingales))
}

// outcomes counts the requests of one version and how many of them failed.
type outcomes struct {
	n      int
	failed int
}

// failureFactor returns the likelihood ratio of concurrent outcomes for the
// alternative that the new version also fails the fraction effect of those
// requests that would succeed on the old one. oldRate is the failure rate
// assumed for the old version. If both versions have the same failure rate, the
// expectation is at most 1, whatever that rate is, and the rate may differ
// between comparisons. Source: Turner, Ly, Grünwald, "Generic E-variables for
// exact sequential k-sample tests that allow for optional stopping".
func failureFactor(effect, oldRate float64, newOutcomes, oldOutcomes outcomes) float64 {
	a := min(max(oldRate, minOldRate), maxOldRate)
	b := a + effect*(1-a)
	n := float64(newOutcomes.n + oldOutcomes.n)
	pooled := (float64(newOutcomes.n)*b + float64(oldOutcomes.n)*a) / n
	log := logBernoulli(b, newOutcomes) + logBernoulli(a, oldOutcomes)
	log -= logBernoulli(pooled, outcomes{n: newOutcomes.n + oldOutcomes.n, failed: newOutcomes.failed + oldOutcomes.failed})
	return math.Exp(log)
}

func logBernoulli(p float64, o outcomes) float64 {
	return float64(o.failed)*math.Log(p) + float64(o.n-o.failed)*math.Log(1-p)
}

// rankTables holds the likelihood ratios of slownessFactor by effect, number of
// samples of the other version, and rank.
var rankTables = newRankTables()

type rankTable [blockMaxSamples + 1][]float64

func newRankTables() [len(slownessEffects)]rankTable {
	var tables [len(slownessEffects)]rankTable
	for i, exponent := range slownessEffects {
		for m := range tables[i] {
			tables[i][m] = rankRatios(exponent, m)
		}
	}
	return tables
}

// rankRatios returns the likelihood ratios of the ranks 0 to m, scaled to a
// mean of 1.
func rankRatios(exponent float64, m int) []float64 {
	n := float64(m + 1)
	ratios := make([]float64, m+1)
	total := 0.0
	for r := range ratios {
		ratios[r] = math.Pow((float64(r)+0.5)/n, exponent-1)
		total += ratios[r]
	}
	for r := range ratios {
		ratios[r] *= n / total
	}
	return ratios
}

// slownessFactor returns the likelihood ratio of one sample's rank, 0 to m,
// among m exchangeable samples of the other version, for the alternative that
// high ranks are more likely. effect is an index into slownessEffects. The
// expectation is 1 if all ranks are equally likely.
func slownessFactor(effect, rank, m int) float64 {
	return rankTables[effect][m][rank]
}
