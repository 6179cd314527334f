package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	benchWaiting  = 10_000
	benchSlots    = 16
	benchTeams    = 50
	benchPrompts  = 500
	benchInterval = 50 * time.Microsecond
)

// decisionBench keeps all slots of a pool occupied, with a fixed number of
// tickets waiting.
type decisionBench struct {
	pool    *Pool
	rng     *rand.Rand
	next    int
	now     time.Duration
	running []Grant
	byID    map[ident.RequestID]Ticket
}

func newDecisionBench(engines int) *decisionBench {
	v := testView()
	v.QueueLimit = 2 * benchWaiting
	v.Teams, v.Upstreams = nil, nil
	for i := range benchTeams {
		v.Teams = append(v.Teams, Team{Name: ident.TeamName(fmt.Sprintf("team-%d", i)), Shares: 1 + i%4})
	}
	for i := range engines {
		v.Upstreams = append(v.Upstreams, Upstream{Name: ident.UpstreamName(fmt.Sprintf("engine-%03d", i)), Version: "v1", MaxConcurrent: benchSlots})
	}
	b := &decisionBench{pool: openPool(v), rng: rand.New(rand.NewPCG(1, 1)), byID: make(map[ident.RequestID]Ticket)}
	for i := 0; b.pool.Stats().Waiting < benchWaiting; i++ {
		b.submit()
		b.collect()
		if i%10 == 0 && len(b.running) > engines*initialLimit/2 {
			b.finish()
		}
	}
	return b
}

func (b *decisionBench) submit() {
	b.next++
	b.now += benchInterval
	template := b.rng.IntN(benchPrompts)
	prefixes := make([]uint64, 2+template%20)
	for i := range prefixes {
		prefixes[i] = uint64(template)<<32 | uint64(i)<<8 | 1
	}
	prefixes[len(prefixes)-1] = uint64(b.next) << 40
	t := Ticket{
		ID: ident.RequestID(fmt.Sprintf("r%09d", b.next)), Gateway: "g1", Tier: []ident.TierName{"urgent", "ordinary", "patient"}[b.rng.IntN(3)],
		Team: ident.TeamName(fmt.Sprintf("team-%d", b.rng.IntN(benchTeams))), Route: "r", Idempotent: true,
		Remaining: time.Hour, PromptTokens: 128 * len(prefixes), OutputTokens: 20 + b.rng.IntN(400), Prefixes: prefixes,
	}
	b.byID[t.ID] = t
	b.pool.Submit(t, b.now)
}

func (b *decisionBench) collect() {
	for _, d := range b.pool.Decisions() {
		if d.Grant != nil {
			b.running = append(b.running, *d.Grant)
			b.report(*d.Grant, ReportDispatched, 0, 0)
		}
	}
}

func (b *decisionBench) report(g Grant, kind ReportKind, elapsed time.Duration, output int) {
	b.pool.Report(Report{Kind: kind, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream, Elapsed: elapsed, OutputTokens: output}, b.now)
}

// finish ends a random running request and reports its first token just before.
func (b *decisionBench) finish() {
	i := b.rng.IntN(len(b.running))
	g := b.running[i]
	b.running[i] = b.running[len(b.running)-1]
	b.running = b.running[:len(b.running)-1]
	t := b.byID[g.Ticket]
	delete(b.byID, g.Ticket)
	first := time.Duration(t.PromptTokens) * 100 * time.Microsecond
	b.report(g, ReportFirstToken, first, 1)
	b.report(g, ReportEnded, first+time.Duration(t.OutputTokens)*30*time.Millisecond, t.OutputTokens)
}

// BenchmarkDecision measures one ticket from submission to its last report,
// with 10,000 others waiting.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{10, 100, 760} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			d := newDecisionBench(engines)
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				d.submit()
				d.finish()
				d.collect()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "µs/ticket")
			b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*4100*100, "core-%-at-4100/s")
		})
	}
}
