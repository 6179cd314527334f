package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// limitWindow is the window over which arrivals under a limit are counted, and
	// limitFactor and limitSlack what is allowed in it beyond the limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNotice is the time after a limit was first named from which it binds.
	limitNotice = 3 * time.Second
	modelStep   = 5 * time.Millisecond
	// silentTimeout is the time after which callers of a silent upstream give up.
	silentTimeout = 2 * time.Second
)

// limitModel drives several schedulers of one pool with gateways, upstreams that
// name limits and callers that keep to no limit. It counts what reaches the
// upstreams.
type limitModel struct {
	random    *rand.Rand
	now       time.Duration
	view      View
	upstreams map[ident.UpstreamName]*limitedUpstream
	gateways  []*limitGateway
	pools     []*Pool
	// service is the time of a request at an upstream, and answerAt the part of it
	// after which the header of the answer arrives.
	service, answerAt time.Duration
	next              int
	events            []limitEvent
	// served and refused count the requests by tier and second.
	served, refused map[ident.TierName]map[int]int
	retryAfter      []time.Duration
}

type limitedUpstream struct {
	// perSecond is the limit that its answers name; 0 means none. since is when it
	// began to name one.
	perSecond float64
	since     time.Duration
	// silent makes it answer nothing.
	silent   bool
	arrivals []time.Duration
}

type limitGateway struct {
	id ident.NodeID
	// pool is the scheduler that the gateway uses.
	pool *Pool
	// limits holds what upstreams have named to it.
	limits map[ident.UpstreamName]RateLimitNotice
	named  map[ident.UpstreamName]time.Duration
	// waiting holds the tickets without a decision.
	waiting map[ident.RequestID]Ticket
}

// limitEvent is the header or the end of an answer.
type limitEvent struct {
	at, sent time.Duration
	grant    Grant
	tier     ident.TierName
	gateway  *limitGateway
	pool     *Pool
	end      bool
	// overdue is true for a request whose caller gave up.
	overdue bool
	notice  UpstreamNotice
}

func newLimitModel(gateways, upstreams, slots int) *limitModel {
	m := &limitModel{
		random: rand.New(rand.NewPCG(1, 2)), view: sharedView(0), service: 500 * time.Millisecond, answerAt: 150 * time.Millisecond,
		upstreams: make(map[ident.UpstreamName]*limitedUpstream),
		served:    make(map[ident.TierName]map[int]int), refused: make(map[ident.TierName]map[int]int),
	}
	m.view.Gateways = nil
	for i := range gateways {
		g := &limitGateway{
			id: ident.NodeID(fmt.Sprintf("g%d", i)), limits: make(map[ident.UpstreamName]RateLimitNotice),
			named: make(map[ident.UpstreamName]time.Duration), waiting: make(map[ident.RequestID]Ticket),
		}
		m.gateways = append(m.gateways, g)
		m.view.Gateways = append(m.view.Gateways, g.id)
	}
	for i := range upstreams {
		name := m.upstream(i)
		m.upstreams[name] = &limitedUpstream{}
		m.view.Upstreams = append(m.view.Upstreams, Upstream{Name: name, Version: "v1", MaxConcurrent: slots})
	}
	m.assign(func(int) int { return 0 })
	return m
}

func (m *limitModel) upstream(i int) ident.UpstreamName {
	return ident.UpstreamName(fmt.Sprintf("u%03d", i))
}

// assign starts new schedulers, to which the gateways register as home says. The
// former schedulers are gone.
func (m *limitModel) assign(home func(gateway int) int) {
	m.events = slices.DeleteFunc(m.events, func(e limitEvent) bool { return !e.end })
	started := make(map[int]*Pool)
	m.pools = nil
	for i, g := range m.gateways {
		p := started[home(i)]
		if p == nil {
			v := m.view
			shared := *m.view.Shared
			shared.Phase = m.random.Float64()
			v.Shared = &shared
			p = New(0, v, m.now)
			started[home(i)] = p
			m.pools = append(m.pools, p)
		}
		g.pool = p
	}
	for _, g := range m.gateways {
		g.pool.Register(g.registration(m.now), m.now)
	}
}

func (g *limitGateway) registration(now time.Duration) Registration {
	r := Registration{Gateway: g.id, Incarnation: 1}
	for name, l := range g.limits {
		l.Age = now - g.named[name]
		r.RateLimits = append(r.RateLimits, l)
	}
	for _, t := range g.waiting {
		r.Waiting = append(r.Waiting, t)
	}
	return r
}

// setLimit makes an upstream name a limit from now on.
func (m *limitModel) setLimit(i int, perSecond float64) {
	u := m.upstreams[m.upstream(i)]
	u.perSecond, u.since = perSecond, m.now
}

// run sends the given number of requests a second until the given time.
func (m *limitModel) run(until time.Duration, perSecond float64) {
	for ; m.now < until; m.now += modelStep {
		for range poisson(m.random, perSecond*modelStep.Seconds()) {
			m.submit()
		}
		m.deliverEvents()
		for _, p := range m.pools {
			p.Tick(m.now)
			m.collect(p)
			m.spread(p)
		}
	}
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for left := random.ExpFloat64(); left < mean; left += random.ExpFloat64() {
		n++
	}
	return n
}

func (m *limitModel) submit() {
	m.next++
	g := m.gateways[m.random.IntN(len(m.gateways))]
	t := sharedTicket(m.next, []ident.TierName{"low", "high"}[m.next%2])
	t.ID, t.Gateway = ident.RequestID(fmt.Sprintf("r%07d", m.next)), g.id
	t.Objective = 800 * time.Millisecond
	g.waiting[t.ID] = t
	g.pool.Submit(t, m.now)
}

func (m *limitModel) collect(p *Pool) {
	for _, d := range p.Decisions() {
		i := slices.IndexFunc(m.gateways, func(g *limitGateway) bool { return g.id == d.Gateway })
		g := m.gateways[i]
		if d.Refusal != nil {
			t := g.waiting[d.Refusal.Ticket]
			delete(g.waiting, d.Refusal.Ticket)
			m.count(m.refused, t.Tier)
			m.retryAfter = append(m.retryAfter, d.Refusal.RetryAfter)
			continue
		}
		t, waits := g.waiting[d.Grant.Ticket]
		if !waits {
			continue
		}
		delete(g.waiting, d.Grant.Ticket)
		m.send(g, p, *d.Grant, t.Tier)
	}
}

// spread tells the gateways of a scheduler which limits have changed, as its replies
// do.
func (m *limitModel) spread(p *Pool) {
	for _, c := range p.RateLimitChanges() {
		for _, g := range m.gateways {
			switch {
			case g.pool != p:
			case c.PerSecond == 0:
				delete(g.limits, c.Upstream)
			default:
				g.limits[c.Upstream], g.named[c.Upstream] = RateLimitNotice{Upstream: c.Upstream, PerSecond: c.PerSecond}, m.now
			}
		}
	}
}

func (m *limitModel) count(by map[ident.TierName]map[int]int, tier ident.TierName) {
	if by[tier] == nil {
		by[tier] = make(map[int]int)
	}
	by[tier][int(m.now/time.Second)]++
}

// send makes a request reach its upstream.
func (m *limitModel) send(g *limitGateway, p *Pool, grant Grant, tier ident.TierName) {
	u := m.upstreams[grant.Upstream]
	u.arrivals = append(u.arrivals, m.now)
	p.Report(Report{Kind: ReportDispatched, Ticket: grant.Ticket, Gateway: g.id, Upstream: grant.Upstream}, m.now)
	if u.silent {
		m.events = append(m.events, limitEvent{at: m.now + silentTimeout, sent: m.now, grant: grant, tier: tier, gateway: g, pool: p, end: true, overdue: true})
		return
	}
	notice := UpstreamNotice{}
	if u.perSecond > 0 {
		notice = UpstreamNotice{RateLimit: NoticeNamed, PerSecond: u.perSecond}
	}
	e := limitEvent{at: m.now + m.answerAt, sent: m.now, grant: grant, tier: tier, gateway: g, pool: p, notice: notice}
	last := e
	last.at, last.end = m.now+m.service, true
	m.events = append(m.events, e, last)
}

func (m *limitModel) deliverEvents() {
	due := m.events
	m.events = nil
	for _, e := range due {
		if e.at > m.now {
			m.events = append(m.events, e)
			continue
		}
		r := Report{Ticket: e.grant.Ticket, Gateway: e.gateway.id, Upstream: e.grant.Upstream, Elapsed: m.now - e.sent}
		if e.overdue {
			r.Kind = ReportOverdue
			e.pool.Report(r, m.now)
			continue
		}
		if e.end {
			m.count(m.served, e.tier)
			r.Kind = ReportEnded
			e.pool.Report(r, m.now)
			continue
		}
		m.answer(e, r)
	}
}

// answer passes on the header of an answer, as a gateway does.
func (m *limitModel) answer(e limitEvent, r Report) {
	g, name := e.gateway, e.grant.Upstream
	_, known := g.limits[name]
	if e.notice.RateLimit == NoticeNamed {
		g.limits[name], g.named[name] = RateLimitNotice{Upstream: name, PerSecond: e.notice.PerSecond}, m.now
	} else if known && e.sent > g.named[name] {
		delete(g.limits, name)
	}
	if e.notice.RateLimit == NoticeNamed || known || e.grant.Limited {
		r.Kind, r.Notice = ReportNotice, &e.notice
		e.pool.Report(r, m.now)
	}
	r.Kind = ReportFirstToken
	e.pool.Report(r, m.now)
}

// violations returns the upstreams that got more than their limits allow in some
// window, with the excess.
func (m *limitModel) violations() []string {
	var found []string
	for name, u := range m.upstreams {
		if u.perSecond == 0 {
			continue
		}
		allowed := int(limitFactor*u.perSecond*limitWindow.Seconds() + limitSlack)
		if most := mostInWindow(u.arrivals, u.since+limitNotice); most > allowed {
			found = append(found, fmt.Sprintf("%s got %d requests in %s, allowed %d", name, most, limitWindow, allowed))
		}
	}
	slices.Sort(found)
	return found
}

// mostInWindow returns the largest number of sorted times from a time on that lie
// in one limitWindow.
func mostInWindow(times []time.Duration, from time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] > limitWindow || times[first] < from && first < i {
			first++
		}
		if at >= from {
			most = max(most, i+1-first)
		}
	}
	return most
}
