package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// choiceRegret compares the choices of a scheduler with those of one that knows the true
// speeds and which upstreams fail.
type choiceRegret struct {
	// order holds the upstreams, the fastest first.
	order                  []*rejectingUpstream
	choices, wrong, failed int
	extra                  time.Duration
}

// record records a choice of u before the request occupies a slot. A choice is wrong if a
// sound upstream with a free slot takes less by more than what callers notice.
func (r *choiceRegret) record(u *rejectingUpstream) {
	r.choices++
	if u.fails {
		r.wrong++
		r.failed++
		return
	}
	for _, best := range r.order {
		if best.fails || best.running >= best.above {
			continue
		}
		if extra := u.service - best.service; extra > 0 {
			r.extra += extra
			if extra > scaleBy(best.service, negligible) {
				r.wrong++
			}
		}
		return
	}
}

// regretServices are the services of BenchmarkChoiceRegret.
var regretServices = []struct {
	name string
	// service is the time of the upstream at a rank, 0 for the first and 1 for the last.
	service func(rank float64) time.Duration
	fails   bool
}{
	{"equal", func(float64) time.Duration { return rejectionService }, false},
	{"three-orders", func(rank float64) time.Duration { return scaleBy(5*time.Millisecond, math.Pow(1000, rank)) }, false},
	{"fails-fast", func(float64) time.Duration { return rejectionService }, true},
}

// newRegretModel returns a model of plain upstreams, in random order of speed, and the
// requests a second that they can serve.
func newRegretModel(servers, slots int, service func(rank float64) time.Duration, seed uint64) (*rejectionModel, *choiceRegret, float64) {
	m, r := newRejectionModel(servers, 5), &choiceRegret{}
	m.random = rand.New(rand.NewPCG(seed, 4))
	ranks := m.random.Perm(servers)
	v, capacity := m.pool.view, 0.0
	v.Upstreams = slices.Clone(v.Upstreams)
	for i := range v.Upstreams {
		v.Upstreams[i].MaxConcurrent = slots
		u := m.upstreams[v.Upstreams[i].Name]
		u.above, u.service = slots, service(float64(ranks[i])/float64(servers-1))
		r.order = append(r.order, u)
		capacity += float64(slots) / (u.service + rejectionDelay).Seconds()
	}
	slices.SortStableFunc(r.order, func(a, b *rejectingUpstream) int { return cmp.Compare(a.service, b.service) })
	m.pool.SetView(v, m.now)
	return m, r, capacity
}

// BenchmarkChoiceRegret measures what the choice among plain upstreams costs in comparison
// with one that knows their true speeds, for 3 s after 5 s. The upstreams' answers vary by a
// tenth. Each iteration has its own seed, from 1 on. A failed request counts as wrong and
// not in regret_ms.
func BenchmarkChoiceRegret(b *testing.B) {
	for _, size := range []struct{ servers, slots int }{{3, 6}, {30, 6}, {760, 2}} {
		for _, load := range []float64{0.1, 0.75} {
			for _, c := range regretServices {
				b.Run(fmt.Sprintf("servers=%d/load=%g/%s", size.servers, load, c.name), func(b *testing.B) {
					total, sent, refused, busiest := choiceRegret{}, 0, 0, 0.0
					for seed := uint64(1); b.Loop(); seed++ {
						m, r, capacity := newRegretModel(size.servers, size.slots, c.service, seed)
						m.run(5*time.Second, load*capacity)
						failing := m.upstreams[ident.UpstreamName("u0")]
						failing.fails = c.fails
						m.granted = r.record
						m.run(3*time.Second, load*capacity)
						total.choices, total.wrong, total.failed = total.choices+r.choices, total.wrong+r.wrong, total.failed+r.failed
						total.extra += r.extra
						sent, refused = sent+m.sent, refused+m.refused
						busiest += float64(m.busiest().arrivals) / float64(r.choices) * float64(size.servers)
					}
					choices := float64(max(1, total.choices))
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(total.extra.Seconds()*1000/choices, "regret_ms")
					b.ReportMetric(float64(total.wrong)/choices*100, "wrong_%")
					b.ReportMetric(float64(total.failed)/choices*100, "failed_%")
					b.ReportMetric(float64(refused)/float64(sent)*100, "refused_%")
					b.ReportMetric(busiest/float64(b.N), "busiest/mean")
				})
			}
		}
	}
}
