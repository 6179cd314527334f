package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	rejectionStep    = time.Millisecond
	rejectionService = 60 * time.Millisecond
	rejectionDelay   = 2 * time.Millisecond
)

// rejectionModel drives a scheduler with upstreams that reject some requests at once.
type rejectionModel struct {
	random    *rand.Rand
	now       time.Duration
	pool      *Pool
	upstreams map[ident.UpstreamName]*rejectingUpstream
	gateways  []ident.NodeID
	// answers holds the answers on their way by the time at which they arrive.
	answers map[time.Duration][]modelAnswer
	next    int
	// service is the time of a request at an upstream, and lowShare the share of the
	// requests that are of the lower tier.
	service  time.Duration
	lowShare float64

	sent, served, refused int
	// sentOf and servedOf count by tier. servedIn counts by second.
	sentOf, servedOf map[ident.TierName]int
	servedIn         map[int]int
	// granted, if set, is called for each grant before it counts as running.
	granted func(*rejectingUpstream)
	// retryAfter holds the times that refusals named.
	retryAfter []time.Duration
}

type rejectingUpstream struct {
	// above is the number of requests that it takes at once, and share that of the
	// requests that it rejects besides.
	above int
	share float64
	// fails makes it answer with an error at once.
	fails bool
	// service is its time for a request where it isn't the model's; 0 if it is.
	service time.Duration
	// pause is the pause that its rejections ask for; 0 if they ask for none.
	pause time.Duration

	running            int
	arrivals, rejected int
	// pausedUntil holds until when it asked gateways for a pause, and inPause counts what
	// reached it in one.
	pausedUntil map[ident.NodeID]time.Duration
	inPause     int
}

type modelAnswer struct {
	grant    Grant
	gateway  ident.NodeID
	tier     ident.TierName
	elapsed  time.Duration
	rejected bool
	failed   bool
}

// newRejectionModel returns a model of sound upstreams with six slots each.
func newRejectionModel(upstreams, gateways int) *rejectionModel {
	v := sharedView(upstreams)
	v.Gateways = nil
	for i := range gateways {
		v.Gateways = append(v.Gateways, ident.NodeID(fmt.Sprintf("g%d", i)))
	}
	m := &rejectionModel{
		random: rand.New(rand.NewPCG(3, 4)), upstreams: make(map[ident.UpstreamName]*rejectingUpstream),
		gateways: v.Gateways, answers: make(map[time.Duration][]modelAnswer), service: rejectionService,
	}
	for i := range v.Upstreams {
		v.Upstreams[i].MaxConcurrent = 6
		m.upstreams[v.Upstreams[i].Name] = &rejectingUpstream{above: 6, pausedUntil: make(map[ident.NodeID]time.Duration)}
	}
	m.pool = sharedPool(v, v.Gateways...)
	m.now = start
	return m
}

// run sends so many requests a second for a time.
func (m *rejectionModel) run(d time.Duration, perSecond float64) {
	m.sent, m.served, m.refused, m.retryAfter = 0, 0, 0, nil
	m.sentOf, m.servedOf, m.servedIn = make(map[ident.TierName]int), make(map[ident.TierName]int), make(map[int]int)
	for _, u := range m.upstreams {
		u.arrivals, u.rejected = 0, 0
	}
	for end := m.now + d; m.now < end; m.now += rejectionStep {
		for _, a := range m.answers[m.now] {
			m.deliver(a)
		}
		delete(m.answers, m.now)
		for range poisson(m.random, perSecond*rejectionStep.Seconds()) {
			m.submit()
		}
		m.pool.Tick(m.now)
		m.collect()
	}
}

func (m *rejectionModel) submit() {
	m.next++
	m.sent++
	tier := ident.TierName("high")
	if m.random.Float64() < m.lowShare {
		tier = "low"
	}
	m.sentOf[tier]++
	t := sharedTicket(0, tier)
	t.ID, t.Gateway = ident.RequestID(fmt.Sprintf("r%07d", m.next)), m.gateways[m.random.IntN(len(m.gateways))]
	t.Remaining, t.Objective = 600*time.Millisecond, 150*time.Millisecond
	m.pool.Submit(t, m.now)
}

// collect sends the granted requests to their upstreams.
func (m *rejectionModel) collect() {
	for _, d := range m.pool.Decisions() {
		if d.Refusal != nil {
			m.refused++
			m.retryAfter = append(m.retryAfter, d.Refusal.RetryAfter)
			continue
		}
		g := *d.Grant
		u := m.upstreams[g.Upstream]
		u.arrivals++
		if m.granted != nil {
			m.granted(u)
		}
		if m.now < u.pausedUntil[d.Gateway] {
			u.inPause++
		}
		a := modelAnswer{grant: g, gateway: d.Gateway, tier: m.pool.entries[g.Ticket].ticket.Tier, elapsed: rejectionDelay + m.serviceTime(u)}
		if u.running >= u.above || m.random.Float64() < u.share {
			u.rejected++
			a.rejected, a.elapsed = true, rejectionDelay
		} else {
			u.running++
			if u.fails {
				a.failed, a.elapsed = true, rejectionDelay
			}
		}
		m.pool.Report(Report{Kind: ReportDispatched, Ticket: g.Ticket, Gateway: d.Gateway, Upstream: g.Upstream}, m.now)
		m.answers[m.now+a.elapsed] = append(m.answers[m.now+a.elapsed], a)
	}
}

// serviceTime returns the time of one request, which varies a little.
func (m *rejectionModel) serviceTime(u *rejectingUpstream) time.Duration {
	return scaleBy(cmp.Or(u.service, m.service), 0.9+0.2*m.random.Float64()).Truncate(rejectionStep)
}

func (m *rejectionModel) deliver(a modelAnswer) {
	u := m.upstreams[a.grant.Upstream]
	report := Report{Kind: ReportEnded, Ticket: a.grant.Ticket, Gateway: a.gateway, Upstream: a.grant.Upstream, Elapsed: a.elapsed}
	if a.failed {
		u.running--
		report.Kind = ReportFailed
		m.pool.Report(report, m.now)
		return
	}
	if !a.rejected {
		u.running--
		m.served++
		m.servedOf[a.tier]++
		m.servedIn[int((m.now-start)/time.Second)]++
		m.pool.Report(report, m.now)
		return
	}
	if u.pause > 0 {
		u.pausedUntil[a.gateway] = max(u.pausedUntil[a.gateway], m.now+u.pause)
		notice := report
		notice.Kind, notice.Notice = ReportNotice, &UpstreamNotice{Pause: NoticeNamed, PauseFor: u.pause}
		m.pool.Report(notice, m.now)
	}
	report.Kind = ReportRejected
	m.pool.Report(report, m.now)
}

// busiest returns the upstream that got the most requests.
func (m *rejectionModel) busiest() *rejectingUpstream {
	var most *rejectingUpstream
	for _, u := range m.upstreams {
		if most == nil || u.arrivals > most.arrivals {
			most = u
		}
	}
	return most
}

// TestPool_RejectingUpstreamAttractsRequests replays one of four upstreams that rejects
// all requests at once, while the others have room for twice the load.
func TestPool_RejectingUpstreamAttractsRequests(t *testing.T) {
	for _, pause := range []time.Duration{0, 3 * time.Second} {
		m := newRejectionModel(4, 3)
		m.run(2*time.Second, 90)
		u := m.busiest()
		u.above, u.pause = 0, pause
		m.run(10*time.Second, 90)
		t.Logf("pause %s: %d of %d requests served, %d refused, %d rejected", pause, m.served, m.sent, m.refused, u.rejected)
		must.GreaterEq(t, 0.98, float64(m.served)/float64(m.sent))
		must.LessEq(t, 0.02, float64(u.rejected)/float64(m.sent))
	}
}

// TestPool_UpstreamsTakeLessThanListed replays that all upstreams take half of what the
// list says and reject what comes beyond, while half as much again is asked as they can do.
// What they can do must be used, also if each rejection asks for a pause.
func TestPool_UpstreamsTakeLessThanListed(t *testing.T) {
	for _, pause := range []time.Duration{0, 2 * time.Second} {
		m := newRejectionModel(4, 3)
		for _, u := range m.upstreams {
			u.above, u.pause = 3, pause
		}
		const capacity = 4 * 3 / 0.060
		m.run(2*time.Second, 1.5*capacity)
		m.run(10*time.Second, 1.5*capacity)
		rejected := 0
		for _, u := range m.upstreams {
			rejected += u.rejected
		}
		t.Logf("pause %s: %d of %d requests served, %d refused, %d rejected", pause, m.served, m.sent, m.refused, rejected)
		must.GreaterEq(t, 0.85*capacity*10, float64(m.served))
	}
}

// TestPool_RejectedShareIsNoSpeed replays an upstream that rejects half of the requests
// that it gets. The others have room, so that nothing may be refused.
func TestPool_RejectedShareIsNoSpeed(t *testing.T) {
	m := newRejectionModel(4, 3)
	m.run(2*time.Second, 90)
	u := m.busiest()
	u.share = 0.5
	m.run(10*time.Second, 90)
	t.Logf("%d of %d requests served, %d refused, %d of %d rejected", m.served, m.sent, m.refused, u.rejected, u.arrivals)
	must.GreaterEq(t, 0.98, float64(m.served)/float64(m.sent))
}

// TestPool_RejectingUpstreamReturns checks that an upstream which no longer rejects
// requests has its whole room back within five seconds, when it is needed.
func TestPool_RejectingUpstreamReturns(t *testing.T) {
	for _, above := range []int{0, 1, 3} {
		m := newRejectionModel(4, 3)
		m.upstreams["u1"].above = above
		m.run(10*time.Second, 250)
		m.upstreams["u1"].above = 6
		m.run(5*time.Second, 250)
		m.run(5*time.Second, 380)
		t.Logf("above %d: %d of %d requests served", above, m.served, m.sent)
		must.GreaterEq(t, 0.95, float64(m.served)/float64(m.sent))
	}
}

// TestPool_AllUpstreamsPauseWithinASecond replays 190 upstreams that all reject what 100
// gateways send for a second and ask for pauses. No request may reach an upstream in a
// pause, callers must learn when it ends, and the load must return without oscillation
// and the higher tier first.
func TestPool_AllUpstreamsPauseWithinASecond(t *testing.T) {
	m := newRejectionModel(190, 100)
	m.service, m.lowShare = 300*time.Millisecond, 0.7
	const load = 0.6 * 190 * 6 / 0.3
	const pause = 2 * time.Second
	m.run(3*time.Second, load)
	for _, u := range m.upstreams {
		u.above, u.pause = 0, pause
	}
	m.run(time.Second, load)
	for _, u := range m.upstreams {
		u.above = 6
	}
	arrivals := 0
	for _, u := range m.upstreams {
		arrivals += u.arrivals
	}
	must.SliceNotEmpty(t, m.retryAfter)
	for _, after := range m.retryAfter {
		must.LessEq(t, pause, after)
	}
	t.Logf("while they reject: %d of %d sent, %d arrivals, %d refused", m.servedOf["high"]+m.servedOf["low"], m.sent, arrivals, m.refused)
	must.LessEq(t, m.sent, arrivals)

	m.run(4*time.Second, load)
	t.Logf("4 s after: high %d of %d, low %d of %d served, by second %v", m.servedOf["high"], m.sentOf["high"], m.servedOf["low"], m.sentOf["low"], m.servedIn)
	must.GreaterEq(t, float64(m.servedOf["low"])/float64(m.sentOf["low"]), float64(m.servedOf["high"])/float64(m.sentOf["high"]))
	m.run(6*time.Second, load)
	t.Logf("later: %d of %d served, by second %v", m.served, m.sent, m.servedIn)
	must.GreaterEq(t, 0.98, float64(m.served)/float64(m.sent))
	for second, n := range m.servedIn {
		must.Between(t, 0.9*load, float64(n), 1.1*load, must.Sprintf("second %d", second))
	}
	for name, u := range m.upstreams {
		must.Zero(t, u.inPause, must.Sprint(name))
	}
}
