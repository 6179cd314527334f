package policymodel

import (
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

// seed returns the seed of the run: FLAMINGOHAVEN_SEED if it is set, else 1.
func seed(tb testing.TB) uint64 {
	text, set := os.LookupEnv("FLAMINGOHAVEN_SEED")
	if !set {
		return 1
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		tb.Fatalf("FLAMINGOHAVEN_SEED: %v", err)
	}
	return n
}

// fullShareV1 gives version v1 all requests.
func fullShareV1() []scheduler.VersionShare {
	return []scheduler.VersionShare{{Version: "v1", Share: 1, NonIdempotentShare: 1}}
}

func standardConfig(tb testing.TB) Config {
	return Config{
		Seed: seed(tb), Engines: Fleet(12, "v1"), Workload: StandardWorkload(), Gateways: 6,
		Duration: 300 * time.Second, Warmup: 60 * time.Second, Delay: time.Millisecond,
		ReportInterval: time.Second, ReportLag: time.Second, CacheLag: 500 * time.Millisecond, CacheLoss: 0.05,
	}
}

// capacity holds the results of Capacity: requests and work per second.
type capacity struct{ requests, work float64 }

// measuredCapacity returns the capacity of the standard fleet of 12 engines, as
// four times that of its first three, one of each generation.
var measuredCapacity = sync.OnceValue(func() capacity {
	requests, work := Capacity(Fleet(12, "v1")[:3], StandardWorkload(), 1)
	return capacity{requests: 4 * requests, work: 4 * work}
})

var policies = []struct {
	name  string
	build func(*Simulation) Policy
}{
	{"scheduler", NewCentral(fullShareV1())},
	{"round-robin", NewRoundRobin},
	{"least-loaded", NewLeastLoaded},
}

// benchmarkCase runs the standard configuration, changed by configure, under
// every policy.
func benchmarkCase(b *testing.B, configure func(*Config, capacity)) {
	full := measuredCapacity()
	for _, policy := range policies {
		b.Run(policy.name, func(b *testing.B) {
			var s Summary
			for b.Loop() {
				c := standardConfig(b)
				c.Policy = policy.build
				configure(&c, full)
				s = Run(c)
			}
			reportMetrics(b, s, full)
		})
	}
}

func reportMetrics(b *testing.B, s Summary, full capacity) {
	for _, t := range StandardWorkload().Tiers {
		b.ReportMetric(s.Tiers[t.Name].Goodput*100, "goodput-"+string(t.Name)+"-%")
	}
	b.ReportMetric(float64(s.WastedPrefill)/float64(max(1, s.PrefillTokens))*100, "wasted-prefill-%")
	b.ReportMetric(100-float64(s.ComputedTokens)/float64(max(1, s.PromptTokens))*100, "cached-prompt-%")
	b.ReportMetric(float64(s.FirstTokenP95.Milliseconds()), "p95-first-ms")
	b.ReportMetric(float64(s.InterTokenP95.Microseconds())/1000, "p95-between-ms")
	b.ReportMetric(s.UsefulWork/full.work*100, "useful-work-%")
	b.ReportMetric(s.OfferedWork/full.work*100, "offered-work-%")
}

// steadyLoad sets a constant arrival rate: load is a fraction of the capacity.
func steadyLoad(load float64) func(*Config, capacity) {
	return func(c *Config, full capacity) {
		c.Workload.Rate = ConstantRate(full.requests * load)
	}
}

func BenchmarkPolicySteady60(b *testing.B)  { benchmarkCase(b, steadyLoad(0.6)) }
func BenchmarkPolicySteady90(b *testing.B)  { benchmarkCase(b, steadyLoad(0.9)) }
func BenchmarkPolicySteady150(b *testing.B) { benchmarkCase(b, steadyLoad(1.5)) }

func BenchmarkPolicyBurst(b *testing.B) {
	benchmarkCase(b, func(c *Config, full capacity) {
		c.Workload.Rate = BurstRate(full.requests*0.6, 10, 120*time.Second, 135*time.Second)
	})
}

// BenchmarkPolicySlowEngine makes one engine ten times slower for 100 s.
func BenchmarkPolicySlowEngine(b *testing.B) {
	benchmarkCase(b, func(c *Config, full capacity) {
		steadyLoad(0.8)(c, full)
		c.Prepare = func(s *Simulation) {
			s.Clock.At(100*time.Second, func() { s.Engines[0].SetSlowdown(10) })
			s.Clock.At(200*time.Second, func() { s.Engines[0].SetSlowdown(1) })
		}
	})
}

// BenchmarkPolicyLengths varies prompt and output lengths more than the standard
// workload does.
func BenchmarkPolicyLengths(b *testing.B) {
	benchmarkCase(b, func(c *Config, full capacity) {
		steadyLoad(0.9)(c, full)
		for i := range c.Workload.Tiers {
			c.Workload.Tiers[i].Spread = 1.2
		}
	})
}

// BenchmarkPolicyStaleReports delays load reports and cache events by 10 s.
func BenchmarkPolicyStaleReports(b *testing.B) {
	benchmarkCase(b, func(c *Config, full capacity) {
		steadyLoad(0.9)(c, full)
		c.ReportLag = 10 * time.Second
		c.CacheLag = 10 * time.Second
	})
}

// BenchmarkPolicyFailOver stops the scheduler twice, for 3 s and for 10 s. The
// baselines have no scheduler and run without a fault.
func BenchmarkPolicyFailOver(b *testing.B) {
	benchmarkCase(b, func(c *Config, full capacity) {
		steadyLoad(0.8)(c, full)
		c.Prepare = func(s *Simulation) {
			central, ok := s.Policy().(*Central)
			if !ok {
				return
			}
			s.Clock.At(120*time.Second, func() { central.FailOver(3 * time.Second) })
			s.Clock.At(200*time.Second, func() { central.FailOver(10 * time.Second) })
		}
	})
}
