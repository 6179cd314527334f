package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/shard"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// The rule of the first platform, and the part of it that the product uses.
const (
	ruleRetryRatio  = 0.2
	ruleRetrySlack  = 52
	ruleRetryWindow = 10 * time.Second
	usedRetryShare  = 0.75
)

const (
	retryModelStep = 10 * time.Millisecond
	// sessionSilence is how long a scheduler serves a gateway that sends nothing, and
	// memberLag how long after its end a gateway is still a member.
	sessionSilence = 1450 * time.Millisecond
	memberLag      = 2 * time.Second
	// scheduleTimeout is how long a gateway waits for a scheduler that does not answer.
	scheduleTimeout = 450 * time.Millisecond
)

// retryModel drives the gateways and schedulers of a fleet before servers that fail. It counts
// at the servers.
type retryModel struct {
	random   *rand.Rand
	now      time.Duration
	shards   int
	nodes    map[ident.NodeID]*retryNode
	ids      []ident.NodeID
	requests map[ident.RequestID]*retryRequest
	next     int
	// failing is the fraction of requests that servers fail, and rejecting that of these
	// which they reject.
	failing, rejecting float64
	// favored gets half of all requests; nil if all gateways get as many.
	favored *retryNode
	// sent and repeats hold when callers sent requests and when servers got them again.
	sent, repeats []time.Duration
	served, ended int
	refused       map[Reason]int
	// retriesRefused counts the retries that the budget refused, by gateway.
	retriesRefused map[ident.NodeID]int
}

// retryNode is a gateway's process.
type retryNode struct {
	id          ident.NodeID
	alive       bool
	changedAt   time.Duration
	incarnation ident.Incarnation
	pool        *Pool
	log         *RetryLog
	// cut is true while the node reaches no other one.
	cut bool
	// scheduler is the node whose scheduler serves it, passed those that it passes over
	// until a time, and lost is when it loses the one that ended.
	scheduler *retryNode
	passed    map[ident.NodeID]time.Duration
	// sessions holds when the gateways that it serves were last heard.
	sessions map[ident.NodeID]time.Duration
	// double lets the gateway use a scheduler other than the first one of its shard.
	double bool
}

type retryRequest struct {
	ticket  Ticket
	node    *retryNode
	grant   *Grant
	arrived int
	// endAt is when the answer to the current sending arrives, and outcome its kind.
	endAt   time.Duration
	outcome ReportKind
}

func newRetryModel(seed uint64, gateways, shards int, perStart bool) *retryModel {
	m := &retryModel{
		random: rand.New(rand.NewPCG(seed, 7)), shards: shards, nodes: make(map[ident.NodeID]*retryNode),
		requests: make(map[ident.RequestID]*retryRequest), refused: make(map[Reason]int), retriesRefused: make(map[ident.NodeID]int),
	}
	for i := range gateways {
		n := &retryNode{id: ident.NodeID(fmt.Sprintf("10.%d.0.%d", 1+i%5, i/5))}
		m.nodes[n.id], m.ids = n, append(m.ids, n.id)
	}
	for _, id := range m.ids {
		m.nodes[id].alive = true
	}
	for _, id := range m.ids {
		m.start(m.nodes[id], perStart)
	}
	return m
}

// start starts the process of a gateway.
func (m *retryModel) start(n *retryNode, first bool) {
	n.alive, n.changedAt, n.scheduler, n.cut, n.double = true, m.now, nil, false, false
	n.incarnation++
	n.log = NewRetryLog(first, quotaStart.Add(m.now))
	n.passed, n.sessions = make(map[ident.NodeID]time.Duration), make(map[ident.NodeID]time.Duration)
	n.pool = New(0, m.view(n, first), m.now)
	n.pool.SetOrigin(quotaStart)
}

// kill ends the process of a gateway: its requests, its log and its scheduler are lost.
func (m *retryModel) kill(n *retryNode) {
	n.alive, n.changedAt = false, m.now
	maps.DeleteFunc(m.requests, func(_ ident.RequestID, r *retryRequest) bool { return r.node == n })
}

// view returns the view of a node's scheduler: its members are those that live or ended a
// moment ago.
func (m *retryModel) view(n *retryNode, first bool) View {
	v := sharedView(6)
	for i := range v.Upstreams {
		v.Upstreams[i].MaxConcurrent = 50
	}
	v.Gateways = nil
	v.Shared = &Shared{
		RetryRatio: usedRetryShare * ruleRetryRatio, RetryBurst: usedRetryShare * ruleRetrySlack, RetryWindow: ruleRetryWindow,
		FirstStart: first, CutOffGrace: 5 * time.Second,
	}
	for _, id := range m.ids {
		other := m.nodes[id]
		if other.alive || m.now-other.changedAt < memberLag {
			v.Gateways = append(v.Gateways, id)
			if shard.Of(id, m.shards) == shard.Of(n.id, m.shards) {
				v.Shared.Neighbours = append(v.Shared.Neighbours, id)
			}
		}
	}
	return v
}

// choose returns the node that schedules for a gateway, as far as the gateway knows.
func (m *retryModel) choose(n *retryNode) *retryNode {
	order := shard.Order(m.ids, shard.Of(n.id, m.shards), m.shards)
	if n.double {
		slices.Reverse(order)
	}
	for _, id := range order {
		other := m.nodes[id]
		if known := other.alive || m.now-other.changedAt < memberLag; known && m.now >= n.passed[id] {
			return other
		}
	}
	return n
}

func (m *retryModel) reaches(a, b *retryNode) bool {
	return a == b || b.alive && !a.cut && !b.cut
}

// connect lets a gateway find its scheduler and register with it.
func (m *retryModel) connect(n *retryNode) {
	chosen := m.choose(n)
	if s := n.scheduler; s != nil && s == chosen && m.reaches(n, s) && !s.sessionsLost(n) {
		s.sessions[n.id] = m.now
		return
	}
	if !m.reaches(n, chosen) {
		// A connection that is refused is noticed at once, a cut later.
		if n.scheduler == chosen && chosen.alive && m.now < chosen.sessions[n.id]+scheduleTimeout {
			return
		}
		n.passed[chosen.id] = m.now + 2*time.Second
		n.scheduler = nil
		return
	}
	if former := n.scheduler; former != nil && former != chosen && m.reaches(n, former) {
		delete(former.sessions, n.id)
		former.pool.Depart(n.id, m.now)
	}
	n.scheduler = chosen
	chosen.sessions[n.id] = m.now
	r := Registration{Gateway: n.id, Incarnation: n.incarnation, Uptime: time.Hour}
	granted := 0
	for _, q := range m.requestsOf(n) {
		if q.grant == nil {
			r.Waiting = append(r.Waiting, q.ticket)
			continue
		}
		r.Running = append(r.Running, Running{Ticket: q.ticket, Upstream: q.grant.Upstream, Version: "v1"})
	}
	r.Retries = n.log.Usage(granted, quotaStart.Add(m.now))
	chosen.pool.Register(r, m.now)
	m.collect(chosen)
}

// sessionsLost reports whether the scheduler has ended the session of a gateway.
func (n *retryNode) sessionsLost(g *retryNode) bool {
	_, known := n.sessions[g.id]
	return !known
}

func (m *retryModel) requestsOf(n *retryNode) []*retryRequest {
	var list []*retryRequest
	for _, r := range m.requests {
		if r.node == n {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *retryRequest) int { return cmp.Compare(a.ticket.ID, b.ticket.ID) })
	return list
}

// request lets a caller send a request to a gateway.
func (m *retryModel) request() {
	m.sent = append(m.sent, m.now)
	n := m.nodes[m.ids[m.random.IntN(len(m.ids))]]
	if m.favored != nil && m.random.IntN(2) == 0 {
		n = m.favored
	}
	if !n.alive {
		return
	}
	m.next++
	m.ended++
	t := sharedTicket(m.next, "low")
	t.ID, t.Gateway, t.Remaining, t.Objective = ident.RequestID(fmt.Sprintf("r%07d", m.next)), n.id, 10*time.Second, 0
	r := &retryRequest{ticket: t, node: n}
	m.requests[t.ID] = r
	m.submit(r)
}

func (m *retryModel) submit(r *retryRequest) {
	if s := r.node.scheduler; s != nil && m.reaches(r.node, s) && !s.sessionsLost(r.node) {
		s.pool.Submit(r.ticket, m.now)
		m.collect(s)
	}
}

// collect passes on the decisions of a node's scheduler. A grant is sent at once.
func (m *retryModel) collect(s *retryNode) {
	for _, d := range s.pool.Decisions() {
		n := m.nodes[d.Gateway]
		lost := n.scheduler != s || !m.reaches(n, s)
		switch {
		case lost:
		case d.Refusal != nil:
			if r := m.requests[d.Refusal.Ticket]; r != nil {
				delete(m.requests, d.Refusal.Ticket)
				m.refused[d.Refusal.Reason]++
				if d.Refusal.Reason == ReasonRetryBudget {
					m.retriesRefused[n.id]++
				}
			}
		default:
			r := m.requests[d.Grant.Ticket]
			if r == nil || r.grant != nil {
				s.pool.Report(Report{Kind: ReportDropped, Ticket: d.Grant.Ticket, Gateway: d.Gateway, Upstream: d.Grant.Upstream}, m.now)
				continue
			}
			m.send(r, *d.Grant, s)
		}
	}
	s.pool.RetryChanges()
}

// send sends a request to its server.
func (m *retryModel) send(r *retryRequest, g Grant, s *retryNode) {
	r.grant = &g
	if retry := r.ticket.Arrived; retry || !r.ticket.Sent {
		r.node.log.Record(retry, quotaStart.Add(m.now))
	}
	s.pool.Report(Report{Kind: ReportDispatched, Ticket: g.Ticket, Gateway: r.node.id, Upstream: g.Upstream}, m.now)
	if r.arrived++; r.arrived > 1 {
		m.repeats = append(m.repeats, m.now)
	}
	r.outcome = ReportEnded
	if m.random.Float64() < m.failing {
		r.outcome = ReportRetryable
		if m.random.Float64() < m.rejecting {
			r.outcome = ReportRejected
		}
	}
	r.endAt = m.now + 10*time.Millisecond + time.Duration(m.random.IntN(50))*time.Millisecond
}

// end ends a sending: a request that failed is placed once more.
func (m *retryModel) end(r *retryRequest) {
	n, g, kind := r.node, r.grant, r.outcome
	r.ticket.Sent, r.ticket.Arrived, r.ticket.Resumes = true, true, kind == ReportRetryable
	again := kind != ReportEnded && r.arrived < 3
	if kind == ReportRetryable && !again {
		kind = ReportFailed
	}
	if s := n.scheduler; s != nil && m.reaches(n, s) {
		s.pool.Report(Report{Kind: kind, Ticket: g.Ticket, Gateway: n.id, Upstream: g.Upstream, Elapsed: 30 * time.Millisecond}, m.now)
	}
	r.grant = nil
	switch {
	case kind == ReportEnded:
		m.served++
		delete(m.requests, r.ticket.ID)
	case !again:
		delete(m.requests, r.ticket.ID)
	default:
		r.ticket.Excluded = append(slices.Clip(r.ticket.Excluded), g.Upstream)
		m.submit(r)
	}
	if n.scheduler != nil {
		m.collect(n.scheduler)
	}
}

// run lets perSecond requests arrive a second until the given time.
func (m *retryModel) run(until time.Duration, perSecond float64) {
	for ; m.now < until; m.now += retryModelStep {
		for _, id := range m.ids {
			if n := m.nodes[id]; n.alive {
				m.connect(n)
			}
		}
		for range poisson(m.random, perSecond*retryModelStep.Seconds()) {
			m.request()
		}
		var ended []*retryRequest
		for _, r := range m.requests {
			if r.grant != nil && r.endAt <= m.now {
				ended = append(ended, r)
			}
		}
		slices.SortFunc(ended, func(a, b *retryRequest) int { return cmp.Compare(a.ticket.ID, b.ticket.ID) })
		for _, r := range ended {
			m.end(r)
		}
		for _, id := range m.ids {
			n := m.nodes[id]
			if !n.alive {
				continue
			}
			if m.now%(100*time.Millisecond) == 0 {
				n.pool.SetView(m.view(n, n.pool.view.Shared.FirstStart), m.now)
			}
			for _, g := range m.ids {
				if at, known := n.sessions[g]; known && m.now-at > sessionSilence {
					delete(n.sessions, g)
					n.pool.Depart(g, m.now)
				}
			}
			n.pool.Tick(m.now)
			m.collect(n)
		}
	}
}

// scheduler returns the node that schedules most gateways of the first shard.
func (m *retryModel) scheduler() *retryNode {
	return m.choose(m.nodes[shard.Order(m.ids, 0, m.shards)[0]])
}

// worst returns the window whose repeats exceed a share of what the rule allows by most: the
// repeats, and that share.
func (m *retryModel) worst(share float64) (at time.Duration, repeats int, allowed float64) {
	worst := -1.0 * ruleRetrySlack * 100
	sentIn := func(from time.Duration) int { return countIn(m.sent, from, from+ruleRetryWindow) }
	for _, from := range m.repeats {
		n := countIn(m.repeats, from, from+ruleRetryWindow)
		requests := max(sentIn(from), sentIn(from-ruleRetryWindow), sentIn(from-ruleRetryWindow/2))
		may := share * (ruleRetryRatio*float64(requests) + ruleRetrySlack)
		if over := float64(n) - may; over > worst {
			worst, at, repeats, allowed = over, from, n, may
		}
	}
	return at, repeats, allowed
}

// countIn returns how many of the sorted times lie in [from, to).
func countIn(times []time.Duration, from, to time.Duration) int {
	a, _ := slices.BinarySearch(times, from)
	b, _ := slices.BinarySearch(times, to)
	return b - a
}

// check fails the test if the servers got more repeats in some window than a share of what the
// rule allows. The product uses usedRetryShare, counted by first sendings: after a queue the
// retries of a window can exceed that share of the callers' requests by some.
func (m *retryModel) check(t *testing.T, share float64, name string) {
	t.Helper()
	at, repeats, allowed := m.worst(share)
	text := fmt.Sprintf("%s: at most %d repeats in a window from %v on, %.1f allowed; %d repeats in all, %d of %d requests served, refused %v",
		name, repeats, at, allowed, len(m.repeats), m.served, m.ended, m.refused)
	t.Log(text)
	must.LessEq(t, allowed, float64(repeats), must.Sprint(text))
}

// TestRetryModel_SchedulersInTurn guards against a successor that begins with a whole budget:
// the scheduler is killed every 1.8 s and starts again, when all requests are failed or rejected.
func TestRetryModel_SchedulersInTurn(t *testing.T) {
	for _, gateways := range []int{3, 5, 12} {
		m := newRetryModel(1, gateways, 1, true)
		m.run(15*time.Second, 30)
		m.failing, m.rejecting = 1, 0.5
		for range 8 {
			m.run(m.now+1200*time.Millisecond, 30)
			killed := m.scheduler()
			m.kill(killed)
			m.run(m.now+600*time.Millisecond, 30)
			m.start(killed, false)
		}
		m.run(m.now+3*time.Second, 30)
		m.check(t, usedRetryShare, fmt.Sprintf("%d gateways", gateways))
	}
}

// TestRetryModel_LogsLost guards against a successor that takes for unused what gateways used
// that died with their logs: each scheduler's own gateway gets half of the requests, and all
// fail.
func TestRetryModel_LogsLost(t *testing.T) {
	for _, perSecond := range []float64{4, 20} {
		m := newRetryModel(5, 8, 1, true)
		m.run(15*time.Second, perSecond)
		m.failing, m.rejecting = 1, 0.5
		for range 5 {
			m.favored = m.scheduler()
			m.run(m.now+2*time.Second, perSecond)
			m.kill(m.favored)
		}
		m.favored = nil
		m.run(m.now+5*time.Second, perSecond)
		m.check(t, usedRetryShare, fmt.Sprintf("%.0f requests a second", perSecond))
	}
}

// TestRetryModel_DoubledSchedulers guards against gateways that take the budget along: half of
// them change to another scheduler and back, while all requests are rejected.
func TestRetryModel_DoubledSchedulers(t *testing.T) {
	m := newRetryModel(2, 6, 1, true)
	m.run(15*time.Second, 20)
	m.failing, m.rejecting = 1, 1
	for i := range 12 {
		for j, id := range m.ids {
			m.nodes[id].double = (i+j/3)%2 == 0
		}
		m.run(m.now+1500*time.Millisecond, 20)
	}
	m.check(t, usedRetryShare, "doubled")
}

// TestRetryModel_ShardsSplit guards against a budget that grows with the number of shards: the
// fleet splits into four shards while all requests fail, and into one again.
func TestRetryModel_ShardsSplit(t *testing.T) {
	m := newRetryModel(3, 16, 1, true)
	m.run(15*time.Second, 40)
	m.failing, m.rejecting = 1, 0.5
	for i := range 6 {
		m.shards = []int{1, 4, 2}[i%3]
		m.run(m.now+2500*time.Millisecond, 40)
	}
	m.check(t, usedRetryShare, "split")
}

// TestRetryModel_CalmTakeover guards against a successor that refuses retries of a calm system:
// one request in 25 fails when the scheduler is killed and starts again, and no retry is refused to the other gateways.
func TestRetryModel_CalmTakeover(t *testing.T) {
	for _, perSecond := range []float64{5, 40} {
		m := newRetryModel(4, 5, 1, true)
		m.failing, m.rejecting = 0.04, 0.5
		m.run(20*time.Second, perSecond)
		killed := m.scheduler()
		m.kill(killed)
		m.run(m.now+5*time.Second, perSecond)
		m.start(killed, false)
		m.run(m.now+10*time.Second, perSecond)
		m.check(t, usedRetryShare, fmt.Sprintf("%.0f requests a second", perSecond))
		// What the gateway itself sent before is not known for a window.
		must.Eq(t, m.refused[ReasonRetryBudget], m.retriesRefused[killed.id])
		must.LessEq(t, 1, m.refused[ReasonRetryBudget])
		must.Positive(t, countIn(m.repeats, 20*time.Second, 30*time.Second))
	}
}

// TestRetryModel_AnySchedule lets gateways die with their logs, start, be cut off and use
// several schedulers at random, in one to four shards.
func TestRetryModel_AnySchedule(t *testing.T) {
	for seed := range uint64(6) {
		shards := []int{1, 2, 4}[seed%3]
		gateways := []int{2, 3, 12, 4, 3, 8}[seed]
		m := newRetryModel(seed, gateways, shards, seed%2 == 0)
		rate := []float64{15, 20, 10, 40, 30, 15}[seed]
		m.run(12*time.Second, rate)
		m.failing, m.rejecting = 1, 0.5
		for range 25 {
			n := m.nodes[m.ids[m.random.IntN(len(m.ids))]]
			switch m.random.IntN(9) {
			case 8:
				m.favored = []*retryNode{n, m.scheduler(), nil}[m.random.IntN(3)]
			case 0:
				m.kill(m.scheduler())
			case 1:
				m.kill(n)
			case 2, 3:
				for _, id := range m.ids {
					if other := m.nodes[id]; !other.alive && m.random.IntN(2) == 0 {
						m.start(other, false)
					}
				}
			case 4:
				n.cut = !n.cut
			case 5:
				for _, id := range m.ids {
					m.nodes[id].double = m.random.IntN(2) == 0
				}
			case 6:
				m.failing, m.rejecting = []float64{0.1, 1, 1, 1}[m.random.IntN(4)], m.random.Float64()
			case 7:
				m.shards = []int{1, 2, 4}[m.random.IntN(3)]
			}
			m.run(m.now+time.Duration(300+m.random.IntN(1500))*time.Millisecond, rate)
		}
		m.check(t, 1, fmt.Sprintf("seed %d, %d gateways, %d shards, %.0f requests a second", seed, gateways, shards, rate))
	}
}
