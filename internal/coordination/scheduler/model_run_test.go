package scheduler

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/testseed"
)

// TestMain fixes the seed of random tests; FLAMINGOHAVEN_SEED overrides it.
func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

const (
	modelSteps = 250
	mutantRuns = 300
)

// runModel drives one scheduler and returns the first violation of a rule.
func runModel(pick func(n int) int, wrap func(Scheduler) Scheduler) error {
	var inner *Pool
	m := newModel(pick, func(epoch ident.Epoch, v View, now time.Duration) Scheduler {
		if wrap == nil {
			inner = New(epoch, v, now)
			return inner
		}
		inner = New(epoch, View{Gateways: v.Gateways}, now)
		s := wrap(inner)
		s.SetView(v, now)
		return s
	})
	m.oracle.ejected = func(name ident.UpstreamName) bool {
		g, known := inner.engines[name]
		return known && g.health.ejected
	}
	actions := m.actions()
	for range modelSteps {
		actions[pick(len(actions))]()
		if m.violation != nil {
			return m.violation
		}
	}
	return m.drain()
}

func TestPool_RulesHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.Uint64()
		pick := func(n int) int {
			// Rapid prefers small numbers, so the number is hashed to draw all
			// steps equally often.
			return int(numbers.Draw(t, "pick") * 0x9e3779b97f4a7c15 >> 33 % uint64(n))
		}
		if err := runModel(pick, nil); err != nil {
			t.Fatal(err)
		}
	})
}

// mutant wraps a scheduler and falsifies its input.
type mutant struct {
	Scheduler
	view     func(View) View
	register func(Registration) Registration
	report   func(Report) bool
}

func (m *mutant) SetView(v View, now time.Duration) {
	if m.view != nil {
		v = m.view(v)
	}
	m.Scheduler.SetView(v, now)
}

func (m *mutant) Register(r Registration, now time.Duration) {
	if m.register != nil {
		r = m.register(r)
	}
	m.Scheduler.Register(r, now)
}

func (m *mutant) Report(r Report, now time.Duration) {
	if m.report == nil || m.report(r) {
		m.Scheduler.Report(r, now)
	}
}

// TestOracle_CatchesMutants shows that the oracle detects violations: each mutant
// breaks one rule, and some run of the model must fail.
func TestOracle_CatchesMutants(t *testing.T) {
	mutants := map[string]mutant{
		"tier order reversed": {view: func(v View) View {
			v.Tiers = append([]Tier(nil), v.Tiers...)
			for i := range v.Tiers {
				v.Tiers[i].Rank = -v.Tiers[i].Rank
			}
			return v
		}},
		"leaving upstreams not marked": {view: func(v View) View {
			v.Upstreams = append([]Upstream(nil), v.Upstreams...)
			for i := range v.Upstreams {
				v.Upstreams[i].Leaving = false
			}
			return v
		}},
		"share doubled": {view: func(v View) View {
			v.Shares = append([]VersionShare(nil), v.Shares...)
			for i := range v.Shares {
				v.Shares[i].Share = min(1, 2*v.Shares[i].Share)
			}
			return v
		}},
		"gateways not waited for":         {view: func(v View) View { v.Gateways = v.Gateways[:min(1, len(v.Gateways))]; return v }},
		"running requests not registered": {register: func(r Registration) Registration { r.Running = nil; return r }},
		"dispatch not reported":           {report: func(r Report) bool { return r.Kind != ReportDispatched }},
		"unknown outcome not reported": {report: func(r Report) bool {
			return r.Kind != ReportUnknown && r.Kind != ReportOverdue
		}},
	}
	for name, broken := range mutants {
		t.Run(name, func(t *testing.T) {
			caught := 0
			for seed := range uint64(mutantRuns) {
				rng := rand.New(rand.NewPCG(seed, 1))
				err := runModel(rng.IntN, func(s Scheduler) Scheduler {
					broken.Scheduler = s
					return &broken
				})
				if err != nil {
					caught++
				}
			}
			must.Positive(t, caught)
		})
	}
}
