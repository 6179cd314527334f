package scheduler

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/shoenig/test/must"
)

func (m *coldModel) submit() {
	m.next++
	g := m.gateways[m.random.IntN(len(m.gateways))]
	t := sharedTicket(m.next, []ident.TierName{"low", "high"}[m.next%2])
	t.ID, t.Gateway, t.Resumes = ident.RequestID(fmt.Sprintf("r%07d", m.next)), g.id, m.next%10 == 0
	t.Objective = 800 * time.Millisecond
	g.waiting[t.ID] = t
	g.pool.Submit(t, m.now)
}

func (m *coldModel) collect(p *Pool) {
	for _, c := range p.ColdChanges() {
		m.events = append(m.events, coldEvent{at: m.now + spreadDelay, kind: "told", change: c, pool: p})
	}
	for _, d := range p.Decisions() {
		g := m.gateways[slices.IndexFunc(m.gateways, func(g *coldGateway) bool { return g.id == d.Gateway })]
		if d.Refusal != nil {
			if t, waits := g.waiting[d.Refusal.Ticket]; waits {
				delete(g.waiting, t.ID)
				m.count(m.refused, t.Tier)
				m.tokensAtRefusal = max(m.tokensAtRefusal, mostColdTokens(p, m.now))
			}
			continue
		}
		t, waits := g.waiting[d.Grant.Ticket]
		if !waits || g.pool != p {
			continue
		}
		delete(g.waiting, t.ID)
		at := m.now + time.Duration(m.random.Float64()*float64(m.delay))
		if m.bunch > 0 {
			at = (at/m.bunch + 1) * m.bunch
		}
		g.running[t.ID] = Running{Ticket: t, Upstream: d.Grant.Upstream, Version: "v1"}
		m.events = append(m.events, coldEvent{at: at, kind: "arrival", grant: *d.Grant, tier: t.Tier, gateway: g})
	}
}

// mostColdTokens returns the most whole tokens that a cold upstream with free slots has.
func mostColdTokens(p *Pool, now time.Duration) (most float64) {
	for _, g := range p.coldEngines {
		if g.free() > 0 && g.cold.isBounded(g.upstream.MaxConcurrent, now) {
			most = max(most, g.cold.bucket.tokens)
		}
	}
	return most
}

func (m *coldModel) count(by map[ident.TierName]map[int]int, tier ident.TierName) {
	if by[tier] == nil {
		by[tier] = make(map[int]int)
	}
	by[tier][int(m.now/time.Second)]++
}

func (m *coldModel) deliver() {
	due := m.events
	m.events = nil
	for _, e := range due {
		if e.at > m.now {
			m.events = append(m.events, e)
			continue
		}
		if e.kind == "told" {
			for _, g := range m.gateways {
				if g.pool == e.pool {
					g.tell(ColdNotice{Upstream: e.change.Upstream, For: e.change.For, Ended: e.change.Ended}, m.now)
				}
			}
			continue
		}
		m.deliverRequest(e)
	}
}

func (m *coldModel) deliverRequest(e coldEvent) {
	g := e.gateway
	r := Report{Ticket: e.grant.Ticket, Gateway: g.id, Upstream: e.grant.Upstream, Elapsed: m.now - e.sent}
	again := func(kind ReportKind) {
		r.Kind = kind
		if t, runs := g.running[e.grant.Ticket]; runs {
			delete(g.running, e.grant.Ticket)
			g.waiting[e.grant.Ticket] = t.Ticket
		}
		g.pool.Report(r, m.now)
	}
	switch e.kind {
	case "arrival":
		m.arrive(e, again)
	case "broken":
		r.Broken = BrokenUnbegun
		again(ReportRetryable)
	case "lost":
		delete(g.running, e.grant.Ticket)
	case "answer":
		if e.process.coldEnd > m.now && m.headerCold {
			left := e.process.coldEnd - m.now
			g.tell(ColdNotice{Upstream: r.Upstream, For: left}, m.now)
			r.Kind, r.Notice = ReportNotice, &UpstreamNotice{Cold: NoticeNamed, ColdFor: left}
			g.pool.Report(r, m.now)
		}
		r.Kind, r.Notice = ReportFirstToken, nil
		g.pool.Report(r, m.now)
	case "end":
		delete(g.running, e.grant.Ticket)
		m.count(m.served, e.tier)
		r.Kind = ReportEnded
		g.pool.Report(r, m.now)
	}
}

// arrive makes a request reach what listens at the address of its upstream.
func (m *coldModel) arrive(e coldEvent, again func(ReportKind)) {
	id := string(e.grant.Upstream[:4])
	slot, err := strconv.Atoi(id[1:])
	must.NoError(m.t, err)
	p := m.processes[slot]
	g := e.gateway
	g.pool.Report(Report{Kind: ReportDispatched, Ticket: e.grant.Ticket, Gateway: g.id, Upstream: e.grant.Upstream}, m.now)
	switch {
	case p.dead:
		again(ReportUnsent)
		return
	case p.id != id:
		again(ReportMisdirected)
		return
	}
	p.arrivals = append(p.arrivals, m.now)
	answer, end := 60*time.Millisecond, 200*time.Millisecond
	if p.coldEnd > m.now {
		answer, end = 400*time.Millisecond, 900*time.Millisecond
	}
	e.sent, e.process = m.now, p
	e.at, e.kind = m.now+answer, "answer"
	m.events = append(m.events, e)
	e.at, e.kind = m.now+end, "end"
	m.events = append(m.events, e)
}

// mostWhileCold returns the most arrivals that a process got in one second of its cold time.
func (p *coldProcess) mostWhileCold() int {
	most, first := 0, 0
	for i, at := range p.arrivals {
		for at-p.arrivals[first] >= time.Second {
			first++
		}
		if at < p.coldEnd {
			most = max(most, i+1-first)
		}
	}
	return most
}
