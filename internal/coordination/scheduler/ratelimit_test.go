package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// limited returns a model whose first upstreams name a limit, after it has run for
// a second.
func limited(gateways, upstreams, naming int, perSecond, load float64) *limitModel {
	m := newLimitModel(gateways, upstreams, 5)
	m.run(time.Second, load)
	for i := range naming {
		m.setLimit(i, perSecond)
	}
	return m
}

// TestRateLimit_OneScheduler checks that upstreams get no more than the limits that
// they name, and most of what they name when it is asked for.
func TestRateLimit_OneScheduler(t *testing.T) {
	for _, perSecond := range []float64{0.25, 1, 2.7, 8} {
		m := limited(6, 12, 12, perSecond, 90)
		m.run(20*time.Second, 90)
		must.SliceEmpty(t, m.violations())
		for _, u := range m.upstreams {
			got := 0
			for _, at := range u.arrivals {
				if at >= 8*time.Second {
					got++
				}
			}
			must.Greater(t, 0.75*12*perSecond-2, float64(got), must.Sprintf("limit %g", perSecond))
		}
	}
}

// TestRateLimit_SchedulerChangesAgainAndAgain checks that each new scheduler knows
// the limits before it grants, and that its buckets add no burst.
func TestRateLimit_SchedulerChangesAgainAndAgain(t *testing.T) {
	m := limited(6, 12, 12, 2, 90)
	m.run(5*time.Second, 90)
	for i := range 30 {
		m.assign(func(int) int { return 0 })
		m.run(5*time.Second+time.Duration(i+1)*400*time.Millisecond, 90)
	}
	must.SliceEmpty(t, m.violations())
}

// TestRateLimit_ManySchedulers checks that the shares of a limit add up when each
// gateway schedules for itself, after a pause and under load.
func TestRateLimit_ManySchedulers(t *testing.T) {
	for _, gateways := range []int{2, 6, 100} {
		for _, perSecond := range []float64{0.5, 2, 10} {
			load := 60 + 2*float64(gateways)
			m := limited(gateways, 12, 12, perSecond, load)
			m.run(5*time.Second, load)
			m.assign(func(gateway int) int { return gateway })
			m.run(15*time.Second, load)
			m.run(40*time.Second, 0)
			m.run(50*time.Second, load)
			must.SliceEmpty(t, m.violations(), must.Sprintf("%d gateways, limit %g: %v", gateways, perSecond, m.violations()))
		}
	}
}

// TestRateLimit_OracleFindsLimitPerGateway checks that the model finds the error of
// a limit that each gateway applies to itself instead of to the sum.
func TestRateLimit_OracleFindsLimitPerGateway(t *testing.T) {
	m := limited(6, 12, 12, 2, 90)
	m.run(5*time.Second, 90)
	m.assign(func(gateway int) int { return gateway })
	for i, p := range m.pools {
		v := m.view
		v.Gateways = []ident.NodeID{m.gateways[i].id}
		p.SetView(v, m.now)
	}
	m.run(15*time.Second, 90)
	must.Positive(t, len(m.violations()))
}

// TestRateLimit_OlderAnswerDoesNotLift checks that an answer whose request was sent
// before the limit was named does not end it, and that a newer one does.
func TestRateLimit_OlderAnswerDoesNotLift(t *testing.T) {
	p := sharedPool(sharedView(1), "g1", "g2", "g3", "g4")
	p.Report(Report{Kind: ReportNotice, Upstream: "u0", Notice: &UpstreamNotice{RateLimit: NoticeNamed, PerSecond: 2}}, time.Second)
	must.NotNil(t, p.engines["u0"].rate)
	p.Report(Report{Kind: ReportNotice, Upstream: "u0", Elapsed: 700 * time.Millisecond, Notice: &UpstreamNotice{}}, 1500*time.Millisecond)
	must.Zero(t, p.engines["u0"].rate.liftedAt)
	p.Report(Report{Kind: ReportNotice, Upstream: "u0", Notice: &UpstreamNotice{RateLimit: NoticeUnreadable}}, 1600*time.Millisecond)
	must.Eq(t, 2.0, p.engines["u0"].rate.perSecond)
	must.Zero(t, p.engines["u0"].rate.liftedAt)
	p.Report(Report{Kind: ReportNotice, Upstream: "u0", Elapsed: 300 * time.Millisecond, Notice: &UpstreamNotice{}}, 1700*time.Millisecond)
	must.Eq(t, 1700*time.Millisecond, p.engines["u0"].rate.liftedAt)
	must.Len(t, 2, p.RateLimitChanges())
}

// TestRateLimit_SilenceNeitherLiftsNorStarves checks that an upstream that names a
// limit and then answers nothing stays limited, and is asked again.
func TestRateLimit_SilenceNeitherLiftsNorStarves(t *testing.T) {
	m := limited(6, 2, 1, 2, 30)
	m.run(4*time.Second, 30)
	m.upstreams["u000"].silent = true
	m.run(20*time.Second, 30)
	must.SliceEmpty(t, m.violations())
	m.upstreams["u000"].silent = false
	before := len(m.upstreams["u000"].arrivals)
	m.run(35*time.Second, 30)
	must.Greater(t, before, len(m.upstreams["u000"].arrivals))
	must.SliceEmpty(t, m.violations())
}

// TestRateLimit_UnlistedForAMoment checks that an upstream that the list leaves out
// for a moment keeps its limit, and that another instance has none.
func TestRateLimit_UnlistedForAMoment(t *testing.T) {
	v := sharedView(2)
	p := sharedPool(v, "g1", "g2", "g3", "g4")
	p.Report(Report{Kind: ReportNotice, Upstream: "u0", Notice: &UpstreamNotice{RateLimit: NoticeNamed, PerSecond: 2}}, time.Second)
	without := v
	without.Upstreams = []Upstream{v.Upstreams[1], {Name: "u0-restarted", Version: "v1", MaxConcurrent: 2}}
	p.SetView(without, 2*time.Second)
	must.Nil(t, p.engines["u0-restarted"].rate)
	must.SliceEmpty(t, p.limited)
	p.SetView(v, 3*time.Second)
	must.NotNil(t, p.engines["u0"].rate)
	must.Len(t, 1, p.limited)
	p.SetView(without, 4*time.Second)
	p.Tick(5*time.Second + unlistedRetention)
	must.MapEmpty(t, p.unlistedLimits)
	changes := p.RateLimitChanges()
	must.True(t, changes[len(changes)-1].Gone)
}

// TestRateLimit_NamedBeforeTheScheduler checks that a scheduler applies a limit that a
// gateway was told before it started, also to an upstream that it learns of later.
func TestRateLimit_NamedBeforeTheScheduler(t *testing.T) {
	v := sharedView(2)
	early := v
	early.Upstreams = v.Upstreams[:1]
	p := New(0, early, 0)
	p.Register(Registration{Gateway: "g1", Incarnation: 1, RateLimits: []RateLimitNotice{
		{Upstream: "u0", PerSecond: 2, Age: 5 * time.Second}, {Upstream: "u1", PerSecond: 3, Age: 5 * time.Second},
	}}, 0)
	p.SetView(v, time.Second)
	must.Eq(t, 2.0, p.engines["u0"].rate.perSecond)
	must.Eq(t, 3.0, p.engines["u1"].rate.perSecond)
}

// TestRateLimit_LoadReturnsGradually checks that the load of an upstream whose limit
// has ended grows step by step, over several seconds.
func TestRateLimit_LoadReturnsGradually(t *testing.T) {
	m := limited(6, 4, 2, 1, 60)
	m.run(10*time.Second, 60)
	m.setLimit(0, 0)
	m.run(20*time.Second, 60)
	u := m.upstreams["u000"]
	perSecond := make(map[int]int)
	for _, at := range u.arrivals {
		perSecond[int(at/time.Second)]++
	}
	must.LessEq(t, 8, perSecond[10]+perSecond[11])
	must.Greater(t, 2*(perSecond[10]+perSecond[11]), perSecond[16]+perSecond[17])
	must.Len(t, 1, m.pools[0].limited)
}

// TestRateLimit_HigherTierServedFirst checks that a pool whose upstreams all name
// limits serves its higher tier first, and tells the others when to come back.
func TestRateLimit_HigherTierServedFirst(t *testing.T) {
	m := limited(6, 12, 12, 2, 40)
	m.run(20*time.Second, 40)
	must.SliceEmpty(t, m.violations())
	served := func(tier ident.TierName) (n int) {
		for second := 8; second < 20; second++ {
			n += m.served[tier][second]
		}
		return n
	}
	must.Greater(t, 0.95*20*12, float64(served("high")))
	must.Greater(t, served("low"), served("high"))
	must.Positive(t, served("low"))
	for _, after := range m.retryAfter {
		must.Between(t, sharedTuning.minRetryAfter, after, maxRetryAfter)
	}
}

// BenchmarkRateLimit_Model runs 100 gateways and 190 upstreams at 70% load, of which
// half name a limit of 2 requests a second for 15 s, with the notices passed on and
// ignored. It reports the most requests that an upstream got in 4 s, the refusals by
// tier under the limits, and the requests a second that the upstreams get right
// before, under and after the limits.
func BenchmarkRateLimit_Model(b *testing.B) {
	for _, ignored := range []bool{true, false} {
		b.Run(fmt.Sprintf("ignored=%t", ignored), func(b *testing.B) {
			for b.Loop() {
				const load = 0.7 * 190 * 5 / 0.5
				m := newLimitModel(100, 190, 5)
				m.run(5*time.Second, load)
				limit := 2.0
				for i := 0; i < 190; i += 2 {
					m.upstreams[m.upstream(i)].since = m.now
					if !ignored {
						m.setLimit(i, limit)
					}
				}
				m.run(20*time.Second, load)
				most := 0
				for i := 0; i < 190; i += 2 {
					most = max(most, mostInWindow(m.upstreams[m.upstream(i)].arrivals, 8*time.Second))
					m.setLimit(i, 0)
				}
				m.run(32*time.Second, load)
				b.ReportMetric(float64(most), "most-in-4s")
				sum := func(by map[int]int, from, to int) (n float64) {
					for s := from; s < to; s++ {
						n += float64(by[s])
					}
					return n / float64(to-from)
				}
				for _, tier := range []ident.TierName{"high", "low"} {
					b.ReportMetric(sum(m.refused[tier], 8, 20), string(tier)+"-refused/s-under")
					b.ReportMetric(sum(m.served[tier], 8, 20), string(tier)+"-served/s-under")
					b.ReportMetric(sum(m.refused[tier], 26, 32), string(tier)+"-refused/s-after")
				}
				for _, at := range []int{4, 18, 20, 21, 22, 23, 24, 26, 30} {
					n := 0
					for i := 0; i < 190; i += 2 {
						for _, arrival := range m.upstreams[m.upstream(i)].arrivals {
							if int(arrival/time.Second) == at {
								n++
							}
						}
					}
					b.ReportMetric(float64(n)/95, fmt.Sprintf("rate-at-%ds", at))
				}
			}
		})
	}
}
