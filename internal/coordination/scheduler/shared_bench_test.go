package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// BenchmarkSharedDecision measures one ticket from submission to its last report
// at a shared scheduler with quotas, with two thirds of the slots occupied.
func BenchmarkSharedDecision(b *testing.B) {
	for _, size := range []struct{ upstreams, gateways int }{{12, 6}, {60, 66}, {3000, 288}} {
		b.Run(fmt.Sprintf("upstreams=%d/gateways=%d", size.upstreams, size.gateways), func(b *testing.B) {
			v := sharedView(size.upstreams)
			v.Gateways = nil
			for i := range size.gateways {
				v.Gateways = append(v.Gateways, ident.NodeID(fmt.Sprintf("g%d", i)))
			}
			v.Shared.Quotas.SetLimits([]QuotaLimit{{Team: "a", Tokens: 1e12, Window: testWindow, PerSecond: 1e11}})
			p := New(0, v, 0)
			p.SetOrigin(quotaStart)
			for _, g := range v.Gateways {
				p.Register(Registration{Gateway: g, Incarnation: 1, Uptime: testWindow}, 0)
			}
			random := rand.New(rand.NewPCG(1, 2))
			now, next := start, 0
			var running []Grant
			tickets := make(map[ident.RequestID]Ticket)
			step := func() {
				now += 100 * time.Microsecond
				next++
				t := longTicket(next, 20+random.IntN(400))
				t.ID, t.Gateway = ident.RequestID(fmt.Sprintf("r%09d", next)), v.Gateways[next%len(v.Gateways)]
				t.Objective, t.Remaining, t.Cost, t.Fingerprint = 0, time.Hour, 1000, uint64(next)
				tickets[t.ID] = t
				p.Submit(t, now)
				for _, g := range grants(p.Decisions()) {
					running = append(running, g)
					p.Report(Report{Kind: ReportDispatched, Ticket: g.Ticket, Gateway: tickets[g.Ticket].Gateway, Upstream: g.Upstream}, now)
				}
			}
			finish := func() {
				i := random.IntN(len(running))
				g := running[i]
				running[i] = running[len(running)-1]
				running = running[:len(running)-1]
				t := tickets[g.Ticket]
				delete(tickets, g.Ticket)
				p.Report(Report{Kind: ReportFirstToken, Ticket: g.Ticket, Gateway: t.Gateway, Upstream: g.Upstream, Elapsed: 60 * time.Millisecond}, now)
				p.Report(Report{Kind: ReportEnded, Ticket: g.Ticket, Gateway: t.Gateway, Upstream: g.Upstream, Elapsed: time.Second, OutputTokens: t.OutputTokens}, now)
			}
			for len(running) < size.upstreams*2*2/3 {
				step()
			}
			b.ReportAllocs()
			for b.Loop() {
				step()
				finish()
			}
		})
	}
}

// BenchmarkSharedTakeover measures the registration of all gateways with a new
// scheduler, as after a restart of all nodes.
func BenchmarkSharedTakeover(b *testing.B) {
	v := sharedView(3000)
	v.Gateways = nil
	for i := range 288 {
		v.Gateways = append(v.Gateways, ident.NodeID(fmt.Sprintf("g%d", i)))
	}
	for b.Loop() {
		p := New(0, v, 0)
		p.SetOrigin(quotaStart)
		for _, g := range v.Gateways {
			p.Register(Registration{Gateway: g, Incarnation: 1}, 0)
		}
	}
}
