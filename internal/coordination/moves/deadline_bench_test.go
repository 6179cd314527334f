package moves_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/orders"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

const (
	deadlinePools       = 8
	enginesPerPool      = 4
	storeInterval       = 30 * time.Second
	loadTime            = 45 * time.Second
	commonDeadline      = 20 * time.Minute
	commonWatch         = 4 * time.Minute
	plannerTickInterval = time.Second
)

// poolVersion returns the version that the engines of the i-th pool must load.
func poolVersion(i int) ident.VersionName { return ident.VersionName(fmt.Sprintf("pool%d-v2", i)) }

// plannedLoads returns, for each pool, when its engines are loaded in the
// planner's order.
func plannedLoads() [][]time.Duration {
	var engines []orders.Engine
	var wants []orders.Want
	pool := make(map[string]int)
	for i := range deadlinePools {
		for j := range enginesPerPool {
			address := fmt.Sprintf("10.0.%d.%d:80", i, j)
			pool[address] = i
			engines = append(engines, orders.Engine{Address: address, Name: ident.UpstreamName(address)})
			wants = append(wants, orders.Want{
				Address: address, Versions: []ident.VersionName{poolVersion(i)}, Deadline: origin.Add(commonDeadline),
			})
		}
	}
	p := orders.NewPlanner(1, engines, nil, orders.Options{StoreInterval: storeInterval}, 0)
	p.SetWants(engines, wants)
	for _, e := range engines {
		p.Observe(orders.ReadBack{Address: e.Address}, 0)
	}
	loads := make([][]time.Duration, deadlinePools)
	ending := make(map[time.Duration][]orders.Order)
	for now := time.Duration(0); now < commonDeadline; now += plannerTickInterval {
		for _, o := range ending[now] {
			loads[pool[o.Address]] = append(loads[pool[o.Address]], now)
			p.Observe(orders.ReadBack{Address: o.Address, Versions: []ident.VersionName{ident.VersionName(o.Subject)}, AskedAt: now}, now)
		}
		for _, o := range p.Due(now) {
			p.Issued(o, 1, now)
			ending[now+loadTime] = append(ending[now+loadTime], o)
		}
	}
	return loads
}

// loadsByPool returns the load times of the baseline order: one pool after the
// other, at the same rate.
func loadsByPool() [][]time.Duration {
	loads := make([][]time.Duration, deadlinePools)
	for i := range loads {
		for j := range enginesPerPool {
			loads[i] = append(loads[i], time.Duration(i*enginesPerPool+j)*storeInterval+loadTime)
		}
	}
	return loads
}

// BenchmarkPolicyMoves_OneDeadline moves several pools that share one deadline
// and one store of model weights, which starts a load every storeInterval.
func BenchmarkPolicyMoves_OneDeadline(b *testing.B) {
	plans := []struct {
		name  string
		loads func() [][]time.Duration
	}{{"planner", plannedLoads}, {"pool-by-pool", loadsByPool}}
	for _, plan := range plans {
		for _, p := range policies {
			b.Run(plan.name+"/"+p.name, func(b *testing.B) { benchDeadline(b, plan.loads(), p) })
		}
	}
}

func benchDeadline(b *testing.B, loads [][]time.Duration, p policy) {
	var done float64
	var last, first time.Duration
	for b.Loop() {
		done, last, first = 0, 0, 0
		for i, res := range runAll(deadlinePools, func(i int) result {
			m := defaultModel()
			m.deadline, m.watch, m.upstreamReadyAt = commonDeadline, commonWatch, loads[i]
			return m.simulate(newRand(uint64(5000+i)), p.new(m))
		}) {
			if res.record.State == move.StateDone {
				done++
			}
			last = max(last, res.endedAt)
			first = max(first, loads[i][0])
			if testing.Verbose() {
				b.Logf("pool %d ready %v to %v: %s at %v: %s", i, loads[i][0], loads[i][len(loads[i])-1], res.record.State, res.endedAt, res.record.Reason)
			}
		}
	}
	b.ReportMetric(done, "done-of-8")
	b.ReportMetric(first.Seconds(), "first-ready-s")
	b.ReportMetric(last.Seconds(), "last-end-s")
	b.ReportMetric(0, "ns/op")
}
