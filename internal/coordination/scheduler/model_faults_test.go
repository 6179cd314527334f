package scheduler

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func (m *model) unsent() {
	r := m.pickRequest(modelRunning, func(r *modelRequest) bool { return r.known && !r.lost })
	if r == nil || !m.registered[r.ticket.Gateway] {
		return
	}
	m.oracle.refund(r.key(), r.grant.Version)
	r.state, r.decision = modelWaiting, nil
	r.ticket.Excluded = append(r.ticket.Excluded, r.grant.Upstream)
	m.report(r, ReportUnsent)
}

// loseConnection breaks the connection to a running request.
func (m *model) loseConnection() {
	r := m.pickRequest(modelRunning, func(r *modelRequest) bool { return r.known && !r.lost })
	if r == nil || !m.registered[r.ticket.Gateway] {
		return
	}
	r.lost, r.lostAt = true, m.now
	m.report(r, []ReportKind{ReportUnknown, ReportOverdue}[m.pick(2)])
}

func (m *model) cancel() {
	r := m.pickRequest(modelWaiting, func(r *modelRequest) bool { return r.known })
	if r == nil {
		return
	}
	r.state = modelDone
	m.pool.Cancel(r.ticket.ID, m.now)
	m.collect()
}

// load reports the actual number of running requests of an upstream.
func (m *model) load() {
	u := m.view.Upstreams[m.pick(len(m.view.Upstreams))]
	running := 0
	for _, r := range m.requests {
		if r.state == modelRunning && r.grant.Upstream == u.Name {
			running++
		}
	}
	m.pool.Load(LoadReport{Upstream: u.Name, Running: running}, m.now)
	m.collect()
}

// changeView draws new shares, leaving upstreams and listed gateways.
func (m *model) changeView() {
	v := m.view
	v.Upstreams = append([]Upstream(nil), v.Upstreams...)
	i := m.pick(len(v.Upstreams))
	v.Upstreams[i].Leaving = m.pick(3) == 0
	v.Gateways = []ident.NodeID{"g1", "g2"}
	if m.pick(4) > 0 {
		m.setView(v)
		return
	}
	share := []float64{0, 0.05, 0.3, 1}[m.pick(4)]
	nonIdempotent := []float64{0, share}[m.pick(2)]
	v.Shares = []VersionShare{{Version: "v1", Share: 1 - share, NonIdempotentShare: 1 - nonIdempotent}, {Version: "v2", Share: share, NonIdempotentShare: nonIdempotent}}
	m.setView(v)
}

func (m *model) setView(v View) {
	m.view = v
	m.oracle.setView(v)
	m.pool.SetView(v, m.now)
	m.collect()
}

// killGateway ends a gateway and removes it from the view, as when its lease
// ends.
func (m *model) killGateway() {
	dead := []ident.NodeID{"g1", "g2"}[m.pick(2)]
	m.incarnations[dead]++
	m.registered[dead] = false
	for _, r := range m.requests {
		if r.ticket.Gateway != dead || r.state == modelDone {
			continue
		}
		if r.state != modelRunning {
			r.state = modelDone
		} else if !r.lost {
			r.lost, r.lostAt = true, m.now
		}
	}
	v := m.view
	v.Gateways = nil
	for _, id := range m.view.Gateways {
		if id != dead {
			v.Gateways = append(v.Gateways, id)
		}
	}
	m.setView(v)
}

// failOver replaces the scheduler by one of the next epoch that has no state.
func (m *model) failOver() {
	m.epoch++
	m.epochStart = m.now
	m.placementOpen = false
	m.registered = make(map[ident.NodeID]bool)
	for _, r := range m.requests {
		r.known, r.decision = false, nil
	}
	m.oracle = oracle{ejected: m.oracle.ejected, shedAt: make(map[ident.TierName]time.Duration)}
	m.oracle.setView(m.view)
	m.pool = m.build(m.epoch, m.view, m.now)
	m.collect()
}

// drain lets all deadlines pass. Every ticket that the scheduler knows to be
// waiting must be decided by then.
func (m *model) drain() error {
	for range 60 {
		m.now += time.Second
		m.expire()
		m.pool.Tick(m.now)
		m.collect()
	}
	for _, r := range m.requests {
		if m.violation == nil && r.state == modelWaiting && r.known && m.listed(r.ticket.Gateway) {
			return fmt.Errorf("%s was never decided", r.ticket.ID)
		}
	}
	return m.violation
}
