package moves

import (
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func testRand(stream uint64) *rand.Rand {
	seed, err := strconv.ParseUint(os.Getenv("FLAMINGOHAVEN_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	return rand.New(rand.NewPCG(seed, stream))
}

// trafficModel generates the samples of one route. Load, failure rate and
// latency drift together for both versions; worse is how the new version
// differs.
type trafficModel struct {
	share    float64
	failures float64
	worse    struct {
		failures float64
		slowness float64
	}
}

func (m trafficModel) sample(rng *rand.Rand, i int) (Sample, bool) {
	isNew := rng.Float64() < m.share
	drift := 0.5 + 0.4*math.Sin(float64(i)/150)
	failures, slowness := m.failures*2*drift, 1+drift
	if isNew {
		failures += m.worse.failures
		slowness *= 1 + m.worse.slowness
	}
	latency := 100 * float64(time.Millisecond) * slowness
	return Sample{
		Route: "r", Load: drift, PromptTokens: 1 + rng.IntN(2000),
		Failed:     rng.Float64() < failures,
		FirstToken: time.Duration(latency * math.Exp(0.5*rng.NormFloat64())),
		PerToken:   time.Duration(latency / 10 * math.Exp(0.3*rng.NormFloat64())),
	}, isNew
}

// firstAlarm returns the number of new samples at which the evidence first
// reaches 1/alpha, checked after each sample, or -1 if it never does.
func (m trafficModel) firstAlarm(rng *rand.Rand, alpha float64, samples int) int {
	e := newRouteEvidence(Sample{Route: "r"}, alpha, 1)
	now := time.Unix(0, 0)
	for i := range samples {
		now = now.Add(50 * time.Millisecond)
		s, isNew := m.sample(rng, i)
		e.observe(s, isNew, 0.5+0.5*float64(i)/float64(samples), now)
		if e.value() >= e.limit {
			return e.newOutcomes.n
		}
	}
	return -1
}

// TestEvidence_FalseAlarmsStayBelowAlpha compares two equal versions and checks
// the evidence after every sample.
func TestEvidence_FalseAlarmsStayBelowAlpha(t *testing.T) {
	const runs, alpha = 400, 0.05
	for i, share := range []float64{0.05, 0.5, 0.95} {
		alarms := 0
		for run := range runs {
			m := trafficModel{share: share, failures: 0.02}
			if m.firstAlarm(testRand(uint64(1000*i+run)), alpha, 2000) >= 0 {
				alarms++
			}
		}
		t.Logf("share %v: %d alarms in %d runs", share, alarms, runs)
		must.LessEq(t, int(alpha*runs), alarms)
	}
}

// TestEvidence_DetectsEachFault runs versions with many failures, some
// failures and slowness at a share of 0.05, and one with failures at a share of
// 0.95.
func TestEvidence_DetectsEachFault(t *testing.T) {
	const alpha = 0.001
	var cases [4]trafficModel
	for i := range cases {
		cases[i] = trafficModel{share: 0.05, failures: 0.01}
	}
	cases[0].worse.failures = 0.9
	cases[1].worse.failures = 0.15
	cases[2].worse.slowness = 2
	cases[3].share = 0.95
	cases[3].worse.failures = 0.5
	for i, m := range cases {
		for run := range uint64(10) {
			n := m.firstAlarm(testRand(run), alpha, 20000)
			must.NonNegative(t, n, must.Sprintf("case %d run %d", i, run))
		}
	}
}

func TestFailureFactor_ExpectationIsAtMostOne(t *testing.T) {
	for _, p := range []float64{0.001, 0.05, 0.5, 0.95} {
		for _, effect := range failureEffects {
			for m := 1; m <= blockMaxSamples; m++ {
				sum := 0.0
				for failedNew := range 2 {
					for failedOld := range m + 1 {
						f := failureFactor(effect, 0.01, outcomes{1, failedNew}, outcomes{m, failedOld})
						sum += f * binomial(1, failedNew, p) * binomial(m, failedOld, p)
					}
				}
				must.LessEq(t, 1+1e-9, sum)
			}
		}
	}
}

func binomial(n, k int, p float64) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return math.Exp(a - b - c + float64(k)*math.Log(p) + float64(n-k)*math.Log(1-p))
}

func TestSlownessFactor_ExpectationIsOne(t *testing.T) {
	for effect := range slownessEffects {
		for m := 1; m <= blockMaxSamples; m++ {
			sum := 0.0
			for r := range m + 1 {
				sum += slownessFactor(effect, r, m) / float64(m+1)
			}
			must.InDelta(t, 1, sum, 1e-9)
		}
	}
}
