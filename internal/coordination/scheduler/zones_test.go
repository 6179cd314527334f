package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// zoneModel plays requests of gateways in several data centres, each with its share of the
// upstreams. Each request needs the service time of its upstream.
type zoneModel struct {
	pool    *Pool
	now     time.Duration
	service map[ident.UpstreamName]time.Duration
	zones   map[ident.UpstreamName]ident.Zone
	running map[time.Duration][]Grant
	next    int
	// granted and crossed count the requests, and those sent to another data centre.
	granted, crossed int
}

const zoneStep = 10 * time.Millisecond

func newZoneModel(perGB time.Duration, upstreamsPerZone int) *zoneModel {
	v := sharedView(0)
	v.Zones = &ZonePolicy{PerGB: perGB, Gateways: make(map[ident.NodeID]ident.Zone)}
	m := &zoneModel{now: start, service: make(map[ident.UpstreamName]time.Duration), zones: make(map[ident.UpstreamName]ident.Zone), running: make(map[time.Duration][]Grant)}
	for i, g := range v.Gateways {
		zone := ident.Zone(fmt.Sprintf("z%d", i))
		v.Zones.Gateways[g] = zone
		for j := range upstreamsPerZone {
			name := ident.UpstreamName(fmt.Sprintf("u%d-%d", i, j))
			v.Upstreams = append(v.Upstreams, Upstream{Name: name, Version: "v1", Zone: zone, MaxConcurrent: 4})
			m.service[name], m.zones[name] = 100*time.Millisecond, zone
		}
	}
	m.pool = sharedPool(v, v.Gateways...)
	return m
}

// run submits requests of each gateway per step for a time, and ends those that are due.
func (m *zoneModel) run(d time.Duration, perStep map[ident.NodeID]int) {
	for end := m.now + d; m.now < end; m.now += zoneStep {
		for _, g := range m.running[m.now] {
			m.pool.Report(Report{Kind: ReportEnded, Ticket: g.Ticket, Gateway: m.gatewayOf(g.Ticket), Upstream: g.Upstream, Elapsed: m.service[g.Upstream]}, m.now)
		}
		delete(m.running, m.now)
		for _, gateway := range m.pool.view.Gateways {
			for range perStep[gateway] {
				m.next++
				t := sharedTicket(m.next, "high")
				t.ID, t.Gateway, t.BodyBytes = ident.RequestID(fmt.Sprintf("%s/%d", gateway, m.next)), gateway, 17000
				m.pool.Submit(t, m.now)
			}
		}
		m.collect()
	}
}

func (m *zoneModel) gatewayOf(id ident.RequestID) ident.NodeID { return ident.NodeID(id[:2]) }

func (m *zoneModel) collect() {
	for _, d := range m.pool.Decisions() {
		if d.Grant == nil {
			continue
		}
		m.granted++
		if m.zones[d.Grant.Upstream] != m.pool.view.Zones.Gateways[d.Gateway] {
			m.crossed++
		}
		m.pool.Report(Report{Kind: ReportDispatched, Ticket: d.Grant.Ticket, Gateway: d.Gateway, Upstream: d.Grant.Upstream}, m.now)
		due := m.now + m.service[d.Grant.Upstream]
		m.running[due] = append(m.running[due], *d.Grant)
	}
}

func (m *zoneModel) crossedShare() float64 { return float64(m.crossed) / float64(m.granted) }

var evenDemand = map[ident.NodeID]int{"g1": 1, "g2": 1, "g3": 1, "g4": 1}

// TestZones_CalmDemandStays guards against bytes that cross between data centres although the
// own one has room, and against a preference that nobody has set.
func TestZones_CalmDemandStays(t *testing.T) {
	m := newZoneModel(5000*time.Second, 6)
	m.run(5*time.Second, evenDemand)
	must.Less(t, 0.05, m.crossedShare())

	m = newZoneModel(0, 6)
	m.run(5*time.Second, evenDemand)
	must.Greater(t, 0.5, m.crossedShare())
}

// TestZones_OneDataCentreIsFlooded guards against callers that wait for the upstreams of their
// own data centre while others are free: all demand comes to one, four times what it can do.
func TestZones_OneDataCentreIsFlooded(t *testing.T) {
	m := newZoneModel(5000*time.Second, 2)
	m.run(5*time.Second, map[ident.NodeID]int{"g1": 3})
	must.Eq(t, m.next, m.granted)
	must.Eq(t, 0, m.pool.waiting)
	must.Greater(t, 0.5, m.crossedShare())
	must.Less(t, 0.85, m.crossedShare())
}

// TestZones_SlowDataCentreIsLeft guards against requests that stay with slow upstreams: those of
// one data centre take four times as long as the others.
func TestZones_SlowDataCentreIsLeft(t *testing.T) {
	m := newZoneModel(5000*time.Second, 6)
	m.run(2*time.Second, evenDemand)
	for name, zone := range m.zones {
		if zone == "z0" {
			m.service[name] = 400 * time.Millisecond
		}
	}
	m.run(3*time.Second, evenDemand)
	m.granted, m.crossed = 0, 0
	m.run(5*time.Second, map[ident.NodeID]int{"g1": 1})
	must.Greater(t, 0.6, m.crossedShare())
}

// TestZones_CrossingByNeed checks when a ticket prefers its own data centre, and by how much.
func TestZones_CrossingByNeed(t *testing.T) {
	z := &ZonePolicy{PerGB: 1000 * time.Second, Gateways: map[ident.NodeID]ident.Zone{"g1": "a"}}
	elsewhere, here := &Upstream{Zone: "b"}, &Upstream{Zone: "a"}
	ticket := Ticket{Gateway: "g1", BodyBytes: 1e6 - requestOverheadBytes}
	must.Eq(t, time.Second, z.crossing(&ticket, elsewhere, 1))
	must.Eq(t, 500*time.Millisecond, z.crossing(&ticket, elsewhere, 0.5))
	must.Eq(t, 0, z.crossing(&ticket, here, 1))
	must.Eq(t, 0, z.crossing(&ticket, elsewhere, 0), must.Sprint("the pool is full"))
	must.Eq(t, 0, z.crossing(&ticket, &Upstream{}, 1), must.Sprint("the upstream's data centre is unknown"))
	must.Eq(t, 0, z.crossing(&Ticket{Gateway: "g9", BodyBytes: 1e6}, elsewhere, 1), must.Sprint("the gateway's data centre is unknown"))
	ticket.Objective = 800 * time.Millisecond
	must.Eq(t, 100*time.Millisecond, z.crossing(&ticket, elsewhere, 1))
	ticket.Objective = -time.Millisecond
	must.Eq(t, 0, z.crossing(&ticket, elsewhere, 1), must.Sprint("the objective has passed"))
	var none *ZonePolicy
	must.Eq(t, 0, none.crossing(&ticket, elsewhere, 1))
}
