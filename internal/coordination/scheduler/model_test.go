package scheduler

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// modelState is the actual state of a request, which the scheduler may not know.
type modelState uint8

const (
	modelWaiting modelState = iota + 1
	modelGranted
	modelRunning
	modelDone
)

// modelRequest is one request as its gateway and its upstream see it.
type modelRequest struct {
	ticket Ticket
	state  modelState
	// known reports whether the current scheduler has received the request.
	known bool
	// decision is the current scheduler's decision, even if it was lost in
	// transit.
	decision   *Decision
	grant      Grant
	grantUntil time.Duration
	deadline   time.Duration
	// lost is true once no gateway follows the running request any more; lostAt
	// is when the current scheduler learned that.
	lost   bool
	lostAt time.Duration
	// reportDelayed is true while the report of the dispatch is in transit.
	reportDelayed bool
}

func (r *modelRequest) key() shareKey {
	return shareKey{route: r.ticket.Route, idempotent: r.ticket.Idempotent}
}

func (r *modelRequest) excludes(name ident.UpstreamName) bool {
	return (&entry{ticket: r.ticket}).excludes(name)
}

// counts reports whether the scheduler must count the request on the upstream.
func (r *modelRequest) counts(name ident.UpstreamName, now time.Duration) bool {
	if !r.known || r.grant.Upstream != name {
		return false
	}
	switch r.state {
	case modelGranted:
		return now < r.grantUntil
	case modelRunning:
		return !r.lost || now < r.lostAt+orphanTimeout
	}
	return false
}

// model drives a scheduler with gateways, upstreams and faults. pick makes every
// random choice.
type model struct {
	pick          func(n int) int
	build         func(epoch ident.Epoch, v View, now time.Duration) Scheduler
	pool          Scheduler
	oracle        oracle
	now           time.Duration
	epoch         ident.Epoch
	epochStart    time.Duration
	placementOpen bool
	view          View
	registered    map[ident.NodeID]bool
	incarnations  map[ident.NodeID]ident.Incarnation
	requests      []*modelRequest
	violation     error
}

const modelSlots = 2

func newModel(pick func(n int) int, build func(ident.Epoch, View, time.Duration) Scheduler) *model {
	v := testView()
	v.QueueLimit = 6
	v.Tiers[0].Reserve = 0.2
	v.Upstreams = append(v.Upstreams, Upstream{Name: "u3", Version: "v2", MaxConcurrent: modelSlots})
	v.Gateways = []ident.NodeID{"g1", "g2"}
	m := &model{pick: pick, build: build, view: v, incarnations: map[ident.NodeID]ident.Incarnation{"g1": 1, "g2": 1}}
	m.failOver()
	return m
}

// actions returns the steps from which a run draws; repeated ones are drawn more
// often.
func (m *model) actions() []func() {
	return []func(){
		m.submit, m.submit, m.submit, m.dispatch, m.dispatch, m.finish, m.finish, m.advance, m.advance, m.register,
		m.dispatchReportDelayed, m.deliver, m.resubmit, m.unsent, m.loseConnection, m.cancel, m.load, m.changeView, m.killGateway, m.failOver,
	}
}

// collect checks the scheduler's decisions and delivers them to the gateways,
// except for some that are lost in transit.
func (m *model) collect() {
	m.placementOpen = m.placementOpen || m.allRegistered() || m.now >= m.epochStart+takeoverWait
	for _, d := range m.pool.Decisions() {
		if m.violation != nil {
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
				m.observeDecision(r, d)
			}
		}
	}
}

func (m *model) observeDecision(r *modelRequest, d Decision) {
	lost := m.pick(8) == 0
	if d.Grant != nil {
		repeated := r.decision != nil && r.decision.Grant != nil
		m.granted(r, *d.Grant, repeated, lost)
	} else {
		m.refused(r, *d.Refusal, lost)
	}
	r.decision = &d
}

// refused ends a request, unless the refusal was lost: then its gateway submits
// the request again.
func (m *model) refused(r *modelRequest, refusal Refusal, lost bool) {
	if r.decision == nil {
		m.violation = m.oracle.checkRefusal(r, refusal, m.requests, m.now)
	}
	r.known = false
	if !lost {
		r.state = modelDone
	}
}

func (m *model) granted(r *modelRequest, g Grant, repeated, lost bool) {
	if !m.placementOpen {
		m.violation = fmt.Errorf("%s granted before all gateways registered", g.Ticket)
		return
	}
	if repeated && (g.Upstream != r.grant.Upstream || m.now+g.TTL > r.grantUntil) {
		m.violation = fmt.Errorf("%s granted again on %s before its grant on %s expired", g.Ticket, g.Upstream, r.grant.Upstream)
		return
	}
	if !repeated {
		if m.violation = m.oracle.checkGrant(r, g, m.requests, m.now); m.violation != nil {
			return
		}
		r.grantUntil = m.now + g.TTL
	}
	r.grant = g
	r.state = modelGranted
	if lost {
		r.grant.Epoch = 0
	}
}

func (m *model) allRegistered() bool {
	for _, g := range m.view.Gateways {
		if !m.registered[g] {
			return false
		}
	}
	return len(m.view.Gateways) > 0
}

// pickRequest returns a random request in the given state for which more, if set,
// is true, or nil.
func (m *model) pickRequest(state modelState, more func(*modelRequest) bool) *modelRequest {
	var found []*modelRequest
	for _, r := range m.requests {
		if r.state == state && (more == nil || more(r)) {
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
	if !m.registered[gateway] || !m.listed(gateway) {
		return
	}
	tiers := []ident.TierName{"patient", "ordinary", "urgent"}
	r := &modelRequest{state: modelWaiting, known: true, ticket: Ticket{
		ID: ident.RequestID(fmt.Sprintf("r%04d", len(m.requests))), Gateway: gateway, Tier: tiers[m.pick(3)],
		Team: []ident.TeamName{"a", "b"}[m.pick(2)], Route: []ident.RouteName{"x", "y"}[m.pick(2)], Idempotent: m.pick(2) == 0,
		Remaining: time.Duration(1+m.pick(20)) * time.Second, PromptTokens: 100 * (1 + m.pick(20)), OutputTokens: 1 + m.pick(100),
	}}
	r.deadline = m.now + r.ticket.Remaining
	m.requests = append(m.requests, r)
	m.pool.Submit(r.ticket, m.now)
	m.collect()
}

// usable reports whether the gateway holds the grant and may still use it.
func (m *model) usable(r *modelRequest) bool {
	return r.known && r.grant.Epoch == m.epoch && m.now < r.grantUntil && r.decision != nil && r.decision.Grant != nil
}

func (m *model) dispatch() {
	if r := m.pickRequest(modelGranted, m.usable); r != nil {
		r.state = modelRunning
		m.report(r, ReportDispatched)
	}
}

// dispatchReportDelayed dispatches a request whose report arrives later.
func (m *model) dispatchReportDelayed() {
	if r := m.pickRequest(modelGranted, m.usable); r != nil {
		r.state = modelRunning
		r.reportDelayed = true
	}
}

// deliver delivers a delayed report.
func (m *model) deliver() {
	r := m.pickRequest(modelRunning, func(r *modelRequest) bool { return r.reportDelayed })
	if r == nil || !m.registered[r.ticket.Gateway] || r.lost || r.grant.Epoch != m.epoch {
		return
	}
	r.reportDelayed = false
	r.known = r.known || m.now < r.grantUntil+confirmMargin+finishedRetention
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
	r := m.pickRequest(modelRunning, nil)
	if r == nil {
		return
	}
	r.state = modelDone
	if !r.lost && m.registered[r.ticket.Gateway] {
		m.report(r, []ReportKind{ReportEnded, ReportEnded, ReportEnded, ReportFailed}[m.pick(4)])
	}
}

func (m *model) advance() {
	m.now += []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, time.Second, 4 * time.Second}[m.pick(4)]
	m.expire()
	m.pool.Tick(m.now)
	m.collect()
}

// expire updates the requests whose unconfirmed grants the scheduler takes back.
func (m *model) expire() {
	for _, r := range m.requests {
		granted := r.state == modelGranted && r.known && r.decision != nil && r.decision.Grant != nil
		if r.state == modelRunning && r.reportDelayed && m.now >= r.grantUntil+confirmMargin {
			r.known = false
		}
		if granted && m.now >= r.grantUntil+confirmMargin {
			r.state, r.known, r.decision = modelWaiting, false, nil
		}
	}
}

func (m *model) register() {
	gateway := []ident.NodeID{"g1", "g2"}[m.pick(2)]
	if !m.listed(gateway) {
		return
	}
	registration := Registration{Gateway: gateway, Incarnation: m.incarnations[gateway]}
	for _, r := range m.requests {
		if r.ticket.Gateway != gateway || r.lost || r.state == modelDone {
			continue
		}
		t := r.ticket
		t.Remaining = max(0, r.deadline-m.now)
		r.reportDelayed = false
		if r.state == modelRunning {
			registration.Running = append(registration.Running, Running{Ticket: t, Upstream: r.grant.Upstream, Version: r.grant.Version})
		} else {
			if !r.known && r.state == modelGranted {
				r.state, r.decision = modelWaiting, nil
			}
			registration.Waiting = append(registration.Waiting, t)
		}
		r.known = true
	}
	m.registered[gateway] = true
	m.pool.Register(registration, m.now)
	m.collect()
}

// resubmit submits a ticket again for which the gateway has no decision.
func (m *model) resubmit() {
	r := m.pickRequest(modelGranted, func(r *modelRequest) bool { return r.known && !m.usable(r) })
	if r == nil {
		r = m.pickRequest(modelWaiting, nil)
	}
	if r == nil || !m.registered[r.ticket.Gateway] || !m.listed(r.ticket.Gateway) {
		return
	}
	r.known = true
	t := r.ticket
	t.Remaining = max(0, r.deadline-m.now)
	m.pool.Submit(t, m.now)
	m.collect()
}
