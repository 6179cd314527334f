package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/region"
	"github.com/shoenig/test/must"
)

// twoRegions returns the view of a pool with upstreams in eu and then in us.
func twoRegions(eu, us int) View {
	v := sharedView(eu + us)
	for i := range v.Upstreams {
		v.Upstreams[i].Region = "us"
		if i < eu {
			v.Upstreams[i].Region = "eu"
		}
	}
	return v
}

func regionalTicket(id int, regions ...ident.Region) Ticket {
	t := sharedTicket(id, "low")
	t.Regions = regions
	return t
}

// twoRegionsPool returns a pool with all gateways registered.
func twoRegionsPool(v View) *Pool { return sharedPool(v, "g1", "g2", "g3", "g4") }

// onlyRefusal returns the only decision, which must be a refusal.
func onlyRefusal(t *testing.T, p *Pool) Refusal {
	t.Helper()
	decisions := p.Decisions()
	must.Len(t, 1, decisions)
	must.NotNil(t, decisions[0].Refusal)
	return *decisions[0].Refusal
}

// Guards against a grant outside the regions of a request while upstreams outside are free and
// those inside are beyond the head of the ready set.
func TestRegions_GrantsInsideOnly(t *testing.T) {
	v := twoRegions(2, 3*headCandidates)
	p := twoRegionsPool(v)
	for i := range 20 {
		p.Submit(regionalTicket(i, "eu"), start)
	}
	granted := grants(p.Decisions())
	must.Len(t, 4, granted)
	for _, g := range granted {
		must.Eq(t, "eu", p.engines[g.Upstream].upstream.Region)
	}
}

// Guards against tickets that wait for a full region and keep others from free upstreams, or
// make them look late. There are more than placement passes over or holds otherwise.
func TestRegions_FullRegionBlocksNoOther(t *testing.T) {
	p := twoRegionsPool(twoRegions(1, 4))
	const waiting = 2 * maxHeld
	for i := range waiting {
		ticket := regionalTicket(i, "eu")
		ticket.Objective, ticket.Patience = 0, 0
		p.Submit(ticket, start)
	}
	must.Len(t, 2, grants(p.Decisions()))
	for i := range 8 {
		ticket := sharedTicket(waiting+i, "low")
		if i%2 == 0 {
			ticket.Regions = []ident.Region{"us"}
		}
		p.Submit(ticket, start)
	}
	granted := grants(p.Decisions())
	must.Len(t, 8, granted)
	for _, g := range granted {
		must.Eq(t, "us", p.engines[g.Upstream].upstream.Region)
	}
	must.Eq(t, waiting-2, p.waiting)
	must.Eq(t, 0, p.expectedWait(&entry{ticket: regionalTicket(9999, "us"), deadline: start + time.Second}, start))
}

// Guards against a request that waits for a region without upstreams, a Retry-After that
// promises one, and a missing one where upstreams are only out of service.
func TestRegions_RefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		regions []ident.Region
		change  func(v *View)
		retry   bool
	}{
		"none listed":        {regions: []ident.Region{"as"}},
		"nowhere":            {regions: region.Nowhere()},
		"nowhere at a start": {regions: region.Nowhere(), change: func(v *View) { v.Incomplete = true }},
		"empty list":         {regions: []ident.Region{}},
		"unknown region":     {regions: []ident.Region{""}, change: func(v *View) { v.Upstreams[0].Region = "" }},
		"evacuated":          {regions: []ident.Region{"eu"}, change: func(v *View) { v.Upstreams[0].Evacuated = true }, retry: true},
		"leaving":            {regions: []ident.Region{"eu"}, change: func(v *View) { v.Upstreams[0].Leaving = true }, retry: true},
	} {
		t.Run(name, func(t *testing.T) {
			v := twoRegions(1, 3)
			if c.change != nil {
				c.change(&v)
			}
			p := twoRegionsPool(v)
			ticket := regionalTicket(1)
			ticket.Regions = c.regions
			p.Submit(ticket, start)
			refusal := onlyRefusal(t, p)
			must.Eq(t, ReasonRegion, refusal.Reason)
			must.Eq(t, c.retry, refusal.RetryAfter > 0, must.Sprintf("Retry-After is %s", refusal.RetryAfter))
		})
	}
}

// Guards against a refusal before the list is complete after a start.
func TestRegions_IncompleteListWaits(t *testing.T) {
	v := twoRegions(0, 1)
	v.Incomplete = true
	p := twoRegionsPool(v)
	p.Submit(regionalTicket(1, "eu"), start)
	must.Len(t, 0, p.Decisions())
	v = twoRegions(1, 1)
	p.SetView(v, start+sweepInterval)
	must.Len(t, 1, grants(p.Decisions()))
}

// Guards against tickets that wait until their deadlines after their region was evacuated.
func TestRegions_EvacuatedWhileWaiting(t *testing.T) {
	v := twoRegions(1, 3)
	p := twoRegionsPool(v)
	for i := range 3 {
		p.Submit(regionalTicket(i, "eu"), start)
	}
	must.Len(t, 2, grants(p.Decisions()))
	v.Upstreams = append([]Upstream(nil), v.Upstreams...)
	v.Upstreams[0].Evacuated = true
	p.SetView(v, start+sweepInterval)
	refusal := onlyRefusal(t, p)
	must.Eq(t, ReasonRegion, refusal.Reason)
	must.Positive(t, refusal.RetryAfter)
}

// Guards against a probe of an upstream outside the regions of its request, and against a
// region out of rotation whose upstreams are probed as rarely as if others could serve.
func TestRegions_ProbesInsideOnly(t *testing.T) {
	p := twoRegionsPool(twoRegions(1, 3))
	p.engines["u0"].health.eject(start)
	p.refresh(p.engines["u0"], start)
	p.engines["u0"].health.probeAt = start + time.Hour
	due := p.engines["u0"].health.earliestProbeAt
	p.Submit(regionalTicket(1, "eu"), start)
	refusal := onlyRefusal(t, p)
	must.Eq(t, ReasonRegion, refusal.Reason)
	must.Eq(t, due-start, refusal.RetryAfter)
	p.Submit(regionalTicket(2, "us"), due)
	p.Submit(regionalTicket(3, "eu"), due)
	granted := grants(p.Decisions())
	must.Len(t, 2, granted)
	must.Eq(t, "us", p.engines[granted[0].Upstream].upstream.Region)
	must.Eq(t, "u0", granted[1].Upstream)
}

// Guards against a grant outside the regions of a request, and a ticket that is neither
// granted nor refused, under any order of arrivals, ends, evacuations and regions.
func TestRegions_RandomLoad(t *testing.T) {
	sets := [][]ident.Region{nil, {"eu"}, {"us"}, {"eu", "us"}, {"as"}, region.Nowhere()}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		v := twoRegions(2, 2)
		p := twoRegionsPool(v)
		tickets := make(map[ident.RequestID]Ticket)
		decided := make(map[ident.RequestID]bool)
		regions := make(map[ident.UpstreamName]ident.Region)
		for _, u := range v.Upstreams {
			regions[u.Name] = u.Region
		}
		now := start
		settle := func() {
			for _, d := range p.Decisions() {
				if d.Refusal != nil {
					decided[d.Refusal.Ticket] = true
					continue
				}
				decided[d.Grant.Ticket] = true
				set := tickets[d.Grant.Ticket].Regions
				must.True(t, region.Contains(set, regions[d.Grant.Upstream]), must.Sprintf("seed %d: %s with regions %q", seed, d.Grant.Upstream, set))
				kind := ReportEnded
				if random.IntN(4) == 0 {
					kind = ReportFailed
				}
				serveRequest(p, *d.Grant, kind, now, time.Duration(random.IntN(300))*time.Millisecond)
			}
		}
		for i := range 400 {
			now += time.Duration(random.IntN(20)) * time.Millisecond
			if random.IntN(10) == 0 {
				v.Upstreams = append([]Upstream(nil), v.Upstreams...)
				u := &v.Upstreams[random.IntN(len(v.Upstreams))]
				u.Evacuated = !u.Evacuated
				p.SetView(v, now)
			}
			ticket := sharedTicket(i, []ident.TierName{"low", "high"}[random.IntN(2)])
			ticket.Regions = sets[random.IntN(len(sets))]
			tickets[ticket.ID] = ticket
			p.Submit(ticket, now)
			settle()
		}
		for range 300 {
			now += sweepInterval
			p.Tick(now)
			settle()
		}
		for id := range tickets {
			must.True(t, decided[id], must.Sprintf("seed %d: %s is undecided", seed, id))
		}
		must.Eq(t, 0, p.waiting)
		for _, q := range p.tiers {
			must.MapEmpty(t, q.regional)
		}
	}
}

// Guards against an estimate that counts one region's backlog as a wait in another.
func TestRegionLoad_Wait(t *testing.T) {
	type set = []ident.Region
	for name, c := range map[string]struct {
		anywhere, eu, both float64
		expected           map[string]float64
	}{
		"anywhere only":     {anywhere: 12, expected: map[string]float64{"all": 3, "eu": 3, "us": 3}},
		"small pinned part": {anywhere: 10, eu: 2, expected: map[string]float64{"all": 3, "eu": 3, "us": 3}},
		"full region":       {anywhere: 6, eu: 100, expected: map[string]float64{"all": 2, "eu": 100, "us": 2}},
		"pinned only":       {eu: 5, expected: map[string]float64{"all": 0, "eu": 5, "us": 0}},
		"both regions":      {both: 4, expected: map[string]float64{"all": 1, "eu": 1, "us": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			l := &regionLoad{names: set{"eu", "us"}, slots: []float64{1, 3}, pinned: make([]float64, 2)}
			l.add(nil, c.anywhere)
			l.add(set{"eu"}, c.eu)
			l.add(set{"us", "eu"}, c.both)
			for key, tickets := range map[string]set{"all": nil, "eu": {"eu"}, "us": {"us"}} {
				must.Eq(t, seconds(c.expected[key]), l.wait(tickets), must.Sprint(key))
			}
		})
	}
}

// BenchmarkRegions_FullRegion measures the decision on one ticket while others wait for a
// region that is full.
func BenchmarkRegions_FullRegion(b *testing.B) {
	for _, waiting := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			p := twoRegionsPool(twoRegions(1, 100))
			for i := range waiting + 2 {
				ticket := regionalTicket(i, "eu")
				ticket.Objective, ticket.Patience, ticket.Remaining = 0, 0, time.Hour
				p.Submit(ticket, start)
			}
			p.Decisions()
			now := start
			for i := range b.N {
				now += time.Microsecond
				p.Submit(sharedTicket(1e6+i, "low"), now)
				for _, g := range grants(p.Decisions()) {
					serveRequest(p, g, ReportEnded, now, time.Microsecond)
				}
			}
		})
	}
}
