package scheduler

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// modelPlace is where a request is in truth.
type modelPlace uint8

const (
	placeWaiting modelPlace = iota + 1
	placeGranted
	placeRunning
	placeDone
)

// modelRequest is one request as its gateway and its upstream know it.
type modelRequest struct {
	ticket Ticket
	place  modelPlace
	// known tells whether the present scheduler has been told.
	known bool
	// answered is the present scheduler's word, also if it was lost on its way.
	answered *Decision
	grant    Grant
	until    time.Duration
	deadline time.Duration
	// lost is true once nobody follows the running request any more; lostAt is
	// when the present scheduler learned that.
	lost   bool
	lostAt time.Duration
	// quiet is true while the report of the dispatch is under way.
	quiet bool
}

func (r *modelRequest) key() shareKey {
	return shareKey{route: r.ticket.Route, idempotent: r.ticket.Idempotent}
}

func (r *modelRequest) excludes(name ident.UpstreamName) bool {
	return (&entry{ticket: r.ticket}).excludes(name)
}

// counts tells whether the scheduler must count the request on the upstream.
func (r *modelRequest) counts(name ident.UpstreamName, now time.Duration) bool {
	if !r.known || r.grant.Upstream != name {
		return false
	}
	switch r.place {
	case placeGranted:
		return now < r.until
	case placeRunning:
		return !r.lost || now < r.lostAt+orphanBound
	}
	return false
}

// model drives a scheduler with gateways, upstreams and faults that pick draws.
type model struct {
	pick     func(n int) int
	build    func(epoch ident.Epoch, v View, now time.Duration) Scheduler
	pool     Scheduler
	oracle   oracle
	now      time.Duration
	epoch    ident.Epoch
	begun    time.Duration
	opened   bool
	view     View
	joined   map[ident.NodeID]bool
	lives    map[ident.NodeID]ident.Incarnation
	requests []*modelRequest
	fault    error
}

const modelSlots = 2

func newModel(pick func(n int) int, build func(ident.Epoch, View, time.Duration) Scheduler) *model {
	v := testView()
	v.QueueLimit = 6
	v.Tiers[0].Reserve = 0.2
	v.Upstreams = append(v.Upstreams, Upstream{Name: "u3", Version: "v2", MaxConcurrent: modelSlots})
	v.Gateways = []ident.NodeID{"g1", "g2"}
	m := &model{pick: pick, build: build, view: v, lives: map[ident.NodeID]ident.Incarnation{"g1": 1, "g2": 1}}
	m.failOver()
	return m
}

// actions are the steps that a run draws from.
func (m *model) actions() []func() {
	return []func(){
		m.submit, m.submit, m.submit, m.dispatch, m.dispatch, m.finish, m.finish, m.advance, m.advance, m.register,
		m.dispatchQuietly, m.deliver, m.resubmit, m.unsent, m.breakOff, m.cancel, m.load, m.changeView, m.killGateway, m.failOver,
	}
}

// collect judges the scheduler's decisions; some are lost on their way.
func (m *model) collect() {
	m.opened = m.opened || m.allRegistered() || m.now >= m.begun+takeoverWait
	for _, d := range m.pool.Decisions() {
		if m.fault != nil {
			return
		}
		id := ident.RequestID("")
		if d.Grant != nil {
			id = d.Grant.Ticket
		} else {
			id = d.Refusal.Ticket
		}
		for _, r := range m.requests {
			if r.ticket.ID == id {
				m.decide(r, d)
			}
		}
	}
}

func (m *model) decide(r *modelRequest, d Decision) {
	lost := m.pick(8) == 0
	if d.Grant != nil {
		repeated := r.answered != nil && r.answered.Grant != nil
		m.granted(r, *d.Grant, repeated, lost)
	} else {
		m.refused(r, *d.Refusal, lost)
	}
	r.answered = &d
}

// refused ends a request, unless the word was lost: then its gateway asks again.
func (m *model) refused(r *modelRequest, refusal Refusal, lost bool) {
	if r.answered == nil {
		m.fault = m.oracle.refusal(r, refusal, m.requests, m.now)
	}
	r.known = false
	if !lost {
		r.place = placeDone
	}
}

func (m *model) granted(r *modelRequest, g Grant, repeated, lost bool) {
	if !m.opened {
		m.fault = fmt.Errorf("%s granted before all gateways registered", g.Ticket)
		return
	}
	if repeated && (g.Upstream != r.grant.Upstream || m.now+g.TTL > r.until) {
		m.fault = fmt.Errorf("%s granted anew before its grant ended", g.Ticket)
		return
	}
	if !repeated {
		if m.fault = m.oracle.grant(r, g, m.requests, m.now); m.fault != nil {
			return
		}
		r.until = m.now + g.TTL
	}
	r.grant = g
	r.place = placeGranted
	if lost {
		r.grant.Epoch = 0
	}
}

func (m *model) allRegistered() bool {
	for _, g := range m.view.Gateways {
		if !m.joined[g] {
			return false
		}
	}
	return len(m.view.Gateways) > 0
}

// some returns a drawn request in a place, or nil.
func (m *model) some(place modelPlace, more func(*modelRequest) bool) *modelRequest {
	var found []*modelRequest
	for _, r := range m.requests {
		if r.place == place && (more == nil || more(r)) {
			found = append(found, r)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[m.pick(len(found))]
}

func (m *model) listed(g ident.NodeID) bool {
	for _, id := range m.view.Gateways {
		if id == g {
			return true
		}
	}
	return false
}

func (m *model) submit() {
	gateway := []ident.NodeID{"g1", "g2"}[m.pick(2)]
	if !m.joined[gateway] || !m.listed(gateway) {
		return
	}
	tiers := []ident.TierName{"patient", "ordinary", "urgent"}
	r := &modelRequest{place: placeWaiting, known: true, ticket: Ticket{
		ID: ident.RequestID(fmt.Sprintf("r%04d", len(m.requests))), Gateway: gateway, Tier: tiers[m.pick(3)],
		Team: []ident.TeamName{"a", "b"}[m.pick(2)], Route: []ident.RouteName{"x", "y"}[m.pick(2)], Idempotent: m.pick(2) == 0,
		Remaining: time.Duration(1+m.pick(20)) * time.Second, PromptTokens: 100 * (1 + m.pick(20)), OutputTokens: 1 + m.pick(100),
	}}
	r.deadline = m.now + r.ticket.Remaining
	m.requests = append(m.requests, r)
	m.pool.Submit(r.ticket, m.now)
	m.collect()
}

// usable tells whether the gateway holds the grant and may still use it.
func (m *model) usable(r *modelRequest) bool {
	return r.known && r.grant.Epoch == m.epoch && m.now < r.until && r.answered != nil && r.answered.Grant != nil
}

func (m *model) dispatch() {
	if r := m.some(placeGranted, m.usable); r != nil {
		r.place = placeRunning
		m.report(r, ReportDispatched)
	}
}

// dispatchQuietly dispatches a request whose report takes its time.
func (m *model) dispatchQuietly() {
	if r := m.some(placeGranted, m.usable); r != nil {
		r.place = placeRunning
		r.quiet = true
	}
}

// deliver lets a late report arrive.
func (m *model) deliver() {
	r := m.some(placeRunning, func(r *modelRequest) bool { return r.quiet })
	if r == nil || !m.joined[r.ticket.Gateway] || r.lost || r.grant.Epoch != m.epoch {
		return
	}
	r.quiet = false
	r.known = r.known || m.now < r.until+confirmMargin+recentBound
	m.report(r, ReportDispatched)
}

func (m *model) report(r *modelRequest, kind ReportKind) {
	m.pool.Report(Report{
		Kind: kind, Ticket: r.ticket.ID, Gateway: r.ticket.Gateway, Upstream: r.grant.Upstream,
		Elapsed: time.Duration(1+m.pick(2000)) * time.Millisecond, OutputTokens: r.ticket.OutputTokens,
	}, m.now)
	m.collect()
}

func (m *model) finish() {
	r := m.some(placeRunning, nil)
	if r == nil {
		return
	}
	r.place = placeDone
	if !r.lost && m.joined[r.ticket.Gateway] {
		m.report(r, []ReportKind{ReportEnded, ReportEnded, ReportEnded, ReportFailed}[m.pick(4)])
	}
}

func (m *model) advance() {
	m.now += []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, time.Second, 4 * time.Second}[m.pick(4)]
	m.expire()
	m.pool.Tick(m.now)
	m.collect()
}

// expire notes the grants that the scheduler takes back unconfirmed.
func (m *model) expire() {
	for _, r := range m.requests {
		granted := r.place == placeGranted && r.known && r.answered != nil && r.answered.Grant != nil
		if r.place == placeRunning && r.quiet && m.now >= r.until+confirmMargin {
			r.known = false
		}
		if granted && m.now >= r.until+confirmMargin {
			r.place, r.known, r.answered = placeWaiting, false, nil
		}
	}
}

func (m *model) register() {
	gateway := []ident.NodeID{"g1", "g2"}[m.pick(2)]
	if !m.listed(gateway) {
		return
	}
	registration := Registration{Gateway: gateway, Incarnation: m.lives[gateway]}
	for _, r := range m.requests {
		if r.ticket.Gateway != gateway || r.lost || r.place == placeDone {
			continue
		}
		t := r.ticket
		t.Remaining = max(0, r.deadline-m.now)
		r.quiet = false
		if r.place == placeRunning {
			registration.Running = append(registration.Running, Running{Ticket: t, Upstream: r.grant.Upstream, Version: r.grant.Version})
		} else {
			if !r.known && r.place == placeGranted {
				r.place, r.answered = placeWaiting, nil
			}
			registration.Waiting = append(registration.Waiting, t)
		}
		r.known = true
	}
	m.joined[gateway] = true
	m.pool.Register(registration, m.now)
	m.collect()
}

// resubmit sends a ticket again whose answer the gateway lacks.
func (m *model) resubmit() {
	r := m.some(placeGranted, func(r *modelRequest) bool { return r.known && !m.usable(r) })
	if r == nil {
		r = m.some(placeWaiting, nil)
	}
	if r == nil || !m.joined[r.ticket.Gateway] || !m.listed(r.ticket.Gateway) {
		return
	}
	r.known = true
	t := r.ticket
	t.Remaining = max(0, r.deadline-m.now)
	m.pool.Submit(t, m.now)
	m.collect()
}
