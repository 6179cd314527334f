package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// zonedView returns a view with upstreams in the data centres a, b and c in turn.
func zonedView(upstreams int) View {
	v := sharedView(upstreams)
	for i := range v.Upstreams {
		v.Upstreams[i].Zone = []ident.Zone{"a", "b", "c"}[i%3]
	}
	return v
}

// evacuated returns the view with the given data centres evacuated.
func evacuated(v View, zones ...ident.Zone) View {
	ups := make([]Upstream, len(v.Upstreams))
	copy(ups, v.Upstreams)
	for i := range ups {
		for _, z := range zones {
			ups[i].Evacuated = ups[i].Evacuated || ups[i].Zone == z
		}
	}
	v.Upstreams = ups
	return v
}

func zoneOf(v View, name ident.UpstreamName) ident.Zone {
	for _, u := range v.Upstreams {
		if u.Name == name {
			return u.Zone
		}
	}
	return ""
}

// TestEvacuated_EachDataCentreInTurn guards against a grant of an upstream whose data centre is
// evacuated, and against one that stays without work after the end.
func TestEvacuated_EachDataCentreInTurn(t *testing.T) {
	v := zonedView(9)
	p := sharedPool(v, v.Gateways...)
	now, id := start, 0
	served := func() map[ident.Zone]int {
		zones := make(map[ident.Zone]int)
		for range 60 {
			id, now = id+1, now+20*time.Millisecond
			p.Submit(sharedTicket(id, "low"), now)
			for _, g := range grants(p.Decisions()) {
				zones[zoneOf(v, g.Upstream)]++
				serveRequest(p, g, ReportEnded, now, 10*time.Millisecond)
			}
		}
		return zones
	}
	for _, zone := range []ident.Zone{"a", "b", "c"} {
		p.SetView(evacuated(v, zone), now)
		zones := served()
		must.Zero(t, zones[zone])
		must.MapLen(t, 2, zones)
		p.SetView(v, now)
		must.MapLen(t, 3, served())
	}
}

// TestEvacuated_AllRefuseAtOnce guards against requests that wait until their deadlines although
// no upstream of the pool may get any, and against a reason that sends callers elsewhere: the
// excluded upstreams of a request that was about to be sent are not why it can't be served.
func TestEvacuated_AllRefuseAtOnce(t *testing.T) {
	v := zonedView(3)
	p := sharedPool(v, v.Gateways...)
	for i := range 6 {
		p.Submit(sharedTicket(i, "low"), start)
	}
	must.Len(t, 6, grants(p.Decisions()))
	for i := 10; i < 14; i++ {
		p.Submit(sharedTicket(i, []ident.TierName{"low", "high"}[i%2]), start)
	}
	must.SliceEmpty(t, p.Decisions())
	p.SetView(evacuated(v, "a", "b"), start)
	must.SliceEmpty(t, refusals(p.Decisions()))

	p.SetView(evacuated(v, "a", "b", "c"), start)
	got := refusals(p.Decisions())
	must.Len(t, 4, got)
	excluding := sharedTicket(20, "high")
	excluding.Excluded = []ident.UpstreamName{"u0"}
	p.Submit(excluding, start)
	got = append(got, refusals(p.Decisions())...)
	must.Len(t, 5, got)
	for _, r := range got {
		must.Eq(t, ReasonNoUpstream, r.Reason)
		must.Positive(t, r.RetryAfter)
	}
	must.Eq(t, 0, p.Stats().Waiting)
	must.Eq(t, 6, p.Stats().Running)
}

// TestEvacuated_TiersDecide guards against requests of a lower tier that take the capacity that an
// evacuation leaves from a higher one.
func TestEvacuated_TiersDecide(t *testing.T) {
	v := zonedView(3)
	v.QueueLimit = 3
	p := sharedPool(v, v.Gateways...)
	for i := range 6 {
		p.Submit(sharedTicket(i, "low"), start)
	}
	running := grants(p.Decisions())
	p.SetView(evacuated(v, "a", "b"), start)
	for i := 10; i < 12; i++ {
		p.Submit(sharedTicket(i, "low"), start)
		p.Submit(sharedTicket(i+10, "high"), start)
	}
	for _, r := range refusals(p.Decisions()) {
		must.Eq(t, ident.TierName("low"), p.entries[r.Ticket].ticket.Tier)
	}
	for _, g := range running {
		serveRequest(p, g, ReportEnded, start, 10*time.Millisecond)
	}
	got := grants(p.Decisions())
	must.Len(t, 2, got)
	for _, g := range got {
		must.Eq(t, ident.TierName("high"), p.entries[g.Ticket].ticket.Tier)
		must.Eq(t, ident.Zone("c"), zoneOf(v, g.Upstream))
	}
}

// TestEvacuated_EjectedGetsNoProbe guards against trial requests to an upstream that is out of
// rotation in an evacuated data centre, also when nothing else is left.
func TestEvacuated_EjectedGetsNoProbe(t *testing.T) {
	v := zonedView(3)
	p := sharedPool(v, v.Gateways...)
	p.engines["u0"].health.eject(start)
	p.refresh(p.engines["u0"], start)
	for _, zones := range [][]ident.Zone{{"a"}, {"a", "b", "c"}} {
		p.SetView(evacuated(v, zones...), start)
		for i := range 200 {
			now := start + time.Duration(i)*100*time.Millisecond
			p.Submit(sharedTicket(1000*len(zones)+i, "low"), now)
			for _, g := range grants(p.Decisions()) {
				must.NotEq(t, ident.UpstreamName("u0"), g.Upstream)
				serveRequest(p, g, ReportEnded, now, 10*time.Millisecond)
			}
		}
	}
}

// TestEvacuated_HolderOfHotPrefix guards against tickets that wait for the upstreams that hold their
// prompt, or are passed over for that, although those are all in the evacuated data centre.
func TestEvacuated_HolderOfHotPrefix(t *testing.T) {
	v := zonedView(30)
	p := sharedPool(v, v.Gateways...)
	hot := func() Ticket {
		ticket := sharedTicket(1, "low")
		ticket.Prefixes, ticket.PrefixTokens, ticket.PromptTokens = []uint64{1, 2, 3}, []int{500, 1000, 1500}, 1600
		return ticket
	}
	for _, g := range p.orderedEngines {
		if g.upstream.Zone == "a" {
			g.cache.store([]uint64{1, 2, 3}, start)
		}
	}
	p.SetView(evacuated(v, "a"), start)
	must.False(t, p.holders.has(3))
	p.Submit(hot(), start)
	first := grants(p.Decisions())
	must.Len(t, 1, first)
	must.NotEq(t, ident.Zone("a"), zoneOf(v, first[0].Upstream))
	must.True(t, p.holders.has(3))
	must.False(t, p.engines["u0"].cache.match([]uint64{1, 2, 3}) > 0)
}

// TestEvacuated_GrantFromBeforeIsReturned guards against a request whose grant the gateway drops
// because of an evacuation that its scheduler learns of later, and which is then lost, granted an
// upstream there again, or counted against the upstream.
func TestEvacuated_GrantFromBeforeIsReturned(t *testing.T) {
	v := zonedView(3)
	p := sharedPool(v, v.Gateways...)
	p.Submit(sharedTicket(1, "low"), start)
	g := grants(p.Decisions())
	must.Len(t, 1, g)
	zone := zoneOf(v, g[0].Upstream)
	p.Report(Report{Kind: ReportDropped, Ticket: "r0001", Gateway: "g1", Upstream: g[0].Upstream}, start)
	again := sharedTicket(1, "low")
	again.Excluded = []ident.UpstreamName{g[0].Upstream}
	p.Submit(again, start)
	g = grants(p.Decisions())
	must.Len(t, 1, g)
	must.NotEq(t, zone, zoneOf(v, g[0].Upstream))
	must.Eq(t, 1, p.Stats().Running)
}

// TestEvacuated_SlotsOfShards guards against shards that keep to slots which all lie in the evacuated
// data centre, so that some gateways have none, and against shards that together exceed the rest.
func TestEvacuated_SlotsOfShards(t *testing.T) {
	v := zonedView(90)
	v.Gateways = nil
	for i := range 12 {
		v.Gateways = append(v.Gateways, ident.NodeID(fmt.Sprintf("g%d", i)))
	}
	total := 0
	for first := 0; first < len(v.Gateways); first += 3 {
		p := sharedPool(v, v.Gateways[first:first+3]...)
		p.SetView(evacuated(v, "a", "b"), start)
		must.True(t, p.slotsAssigned)
		must.Positive(t, p.slots)
		for _, g := range p.orderedEngines {
			must.True(t, g.upstream.Zone == "c" || g.slots == 0)
		}
		total += p.slots
	}
	must.Eq(t, 60, total)
}

// TestEvacuated_RestIsNotEjected guards against silent requests that take the whole rest of a version
// out of rotation, because the upstreams of the evacuated data centres count as its healthy half.
func TestEvacuated_RestIsNotEjected(t *testing.T) {
	v := zonedView(6)
	p := sharedPool(v, v.Gateways...)
	p.SetView(evacuated(v, "a", "b"), start)
	for _, name := range []ident.UpstreamName{"u2", "u5"} {
		p.ejectUnlessHalfOut(p.engines[name], start)
	}
	must.Len(t, 1, p.ejected)
}

// TestEvacuated_TakenOverByNextScheduler guards against requests that were waiting at a former
// scheduler and wait at the next one, which learns of the evacuation before they are registered.
func TestEvacuated_TakenOverByNextScheduler(t *testing.T) {
	v := evacuated(zonedView(3), "a", "b", "c")
	p := New(0, v, 0)
	p.Register(Registration{Gateway: "g1", Incarnation: 1, Uptime: time.Minute, Waiting: []Ticket{sharedTicket(1, "low")}}, 0)
	got := refusals(p.Decisions())
	must.Len(t, 1, got)
	must.Eq(t, ReasonNoUpstream, got[0].Reason)
}

// TestEvacuated_VersionShares guards against requests that wait although upstreams are free, because all
// upstreams of one version are evacuated: of the one that a rollout moves traffic to, or of the former
// one, which the view then gives no share.
func TestEvacuated_VersionShares(t *testing.T) {
	v := zonedView(2)
	v.Upstreams[0].Version, v.Upstreams[1].Version = "v1", "v2"
	both := []VersionShare{{Version: "v1", Share: 0.9, NonIdempotentShare: 0.9}, {Version: "v2", Share: 0.1, NonIdempotentShare: 0.1}}
	for zone, shares := range map[ident.Zone][]VersionShare{"a": both[1:], "b": both} {
		p := sharedPool(v, v.Gateways...)
		next := evacuated(v, zone)
		next.Shares = shares
		p.SetView(next, start)
		for i := range 50 {
			now := start + time.Duration(i)*20*time.Millisecond
			p.Submit(sharedTicket(i, "low"), now)
			got := grants(p.Decisions())
			must.Len(t, 1, got, must.Sprintf("request %d, %s evacuated", i, zone))
			must.NotEq(t, zone, zoneOf(v, got[0].Upstream))
			serveRequest(p, got[0], ReportEnded, now, 5*time.Millisecond)
		}
	}
}

// TestEvacuated_RetriesWithoutABudgetYet guards against retries that wait for the budget of a scheduler
// that begins, while no upstream may get them.
func TestEvacuated_RetriesWithoutABudgetYet(t *testing.T) {
	v := zonedView(3)
	p := New(0, v, 0)
	p.Register(Registration{Gateway: "g1", Incarnation: 1, Uptime: time.Minute}, 0)
	retry := sharedTicket(1, "low")
	retry.Resumes, retry.Sent = true, true
	p.undecided = append(p.undecided, &entry{ticket: retry, state: stateUndecided, deadline: 10 * time.Second})
	p.entries[retry.ID] = p.undecided[0]
	p.settledAt = time.Second
	p.SetView(evacuated(v, "a", "b", "c"), 10*time.Millisecond)
	got := refusals(p.Decisions())
	must.Len(t, 1, got)
	must.Eq(t, ReasonNoUpstream, got[0].Reason)
	must.Eq(t, 0, p.Stats().Waiting)
}
