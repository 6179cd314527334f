package moves

import "math"

const (
	// maxCapital keeps a process finite.
	maxCapital = 1e200
	// minOldRate and maxOldRate bound the failure rate assumed of the old version.
	minOldRate = 0.002
	maxOldRate = 0.9
)

// failureEffects are the alternatives of the failure test: the chance that a
// request fails that would have succeeded on the old version.
var failureEffects = [...]float64{0.02, 0.1, 0.4, 0.9}

// slownessEffects are the alternatives of the rank test: exponents of the
// density a*u^(a-1) of a new sample's normalised rank among old ones.
var slownessEffects = [...]float64{1.6, 4, 16}

// martingale is a test martingale mixed over the times at which a fault may
// begin. Its expected value never exceeds the capital invested while the new
// version is no worse, so it reaches 1/alpha with a chance of at most alpha,
// however often it is looked at.
type martingale struct {
	capital  float64
	invested float64
}

// update invests the capital released so far, 0 to 1 in all, and multiplies
// the stake by the likelihood ratio of one block.
func (m *martingale) update(released, factor float64) {
	m.capital += released - m.invested
	m.invested = released
	m.capital = min(m.capital*factor, maxCapital)
}

// mixture averages processes over the effect sizes of one test.
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

// outcomes counts the requests of one version in a block.
type outcomes struct {
	n      int
	failed int
}

// failureFactor returns the likelihood ratio of a block of concurrent outcomes
// for the alternative that the new version fails by effect more often. Its
// expectation is at most 1 for every common failure rate, which may change
// from block to block. Source: Turner, Ly, Grünwald, "Generic E-variables for
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

// rankTables holds the likelihood ratios of slownessFactor by effect, number
// of other samples and rank.
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
// high ranks are likelier. Its expectation is 1 when the ranks are uniform.
func slownessFactor(effect, rank, m int) float64 {
	return rankTables[effect][m][rank]
}
