package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// behaviour is what callers do after a refusal.
type behaviour uint8

const (
	// obedient callers retry once at Retry-After, or after a third of their remaining time
	// if that is sooner or there is none.
	obedient behaviour = iota
	// resigned callers are the same, but don't retry without Retry-After.
	resigned
	// ignorant callers retry at once, hasty ones at half the time, and copying ones send
	// their retries twice.
	ignorant
	hasty
	copying
)

// overloadModel is a pool under a burst, in virtual time.
type overloadModel struct {
	upstreams, slots int
	tiers            []modelTier
	// load returns the offered load as a multiple of the capacity.
	load func(at time.Duration) float64
	// others is the part of the callers that behaves differently.
	behaviour, others behaviour
	othersPart        float64
	reserve           bool
	seed              uint64
}

type modelTier struct {
	name                               ident.TierName
	mean, objective, timeout, patience time.Duration
	part                               float64
	// tokens is the mean length of streamed answers; 0 for a plain service.
	tokens int
}

// modelOutcome counts callers. Copies of the others don't count.
type modelOutcome struct {
	callers, inTime, late, refused, refusedTwice, overdue int
	waited                                                time.Duration
}

func (o modelOutcome) String() string {
	pc := func(n int) float64 { return 100 * float64(n) / float64(max(1, o.callers)) }
	return fmt.Sprintf("%5d callers: %4.1f%% in time %4.1f%% late %4.1f%% refused once, %4.1f%% twice, after %4d ms, %4.1f%% overdue",
		o.callers, pc(o.inTime), pc(o.late), pc(o.refused), pc(o.refusedTwice), o.waited.Milliseconds()/int64(max(1, o.refusedTwice)), pc(o.overdue))
}

type modelEvent struct {
	at    time.Duration
	order int
	run   func(now time.Duration)
}

type modelEvents []modelEvent

func (x modelEvents) Len() int { return len(x) }
func (x modelEvents) Less(i, j int) bool {
	return x[i].at < x[j].at || x[i].at == x[j].at && x[i].order < x[j].order
}
func (x modelEvents) Swap(i, j int) { x[i], x[j] = x[j], x[i] }
func (x *modelEvents) Push(v any)   { *x = append(*x, v.(modelEvent)) }
func (x *modelEvents) Pop() any {
	old := *x
	last := old[len(old)-1]
	*x = old[:len(old)-1]
	return last
}

type modelCaller struct {
	tier        int
	fingerprint uint64
	began       time.Duration
	service     time.Duration
	behaviour   behaviour
	// retried is true once the caller has retried, and open counts its attempts without an
	// end.
	retried bool
	open    int
	done    bool
}

type overloadRun struct {
	overloadModel
	pool     *Pool
	random   *rand.Rand
	events   modelEvents
	order    int
	next     int
	callers  map[ident.RequestID]*modelCaller
	outcomes []map[bool]*modelOutcome // by tier, and whether of the others
	// arrivals holds the sources of callers, which depend on nothing else.
	arrivals []*rand.Rand
}

const (
	modelWarmUp  = 30 * time.Second
	modelEnd     = modelWarmUp + 16*time.Second
	modelCooling = 4 * time.Second
	modelHop     = 2 * time.Millisecond
)

func (m overloadModel) run() *overloadRun {
	v := View{Pool: "p", Gateways: []ident.NodeID{"g1"}, Shared: &Shared{RetryRatio: 0.2, RetryBurst: 20, Quotas: NewQuotas(), RetryReservations: m.reserve}}
	for i, t := range m.tiers {
		v.Tiers = append(v.Tiers, Tier{Name: t.name, Rank: len(m.tiers) - i})
	}
	for i := range m.upstreams {
		v.Upstreams = append(v.Upstreams, Upstream{Name: ident.UpstreamName(fmt.Sprintf("u%d", i)), Version: "v1", MaxConcurrent: m.slots})
	}
	r := &overloadRun{overloadModel: m, pool: sharedPool(v, "g1"), random: rand.New(rand.NewPCG(m.seed, 1)), callers: make(map[ident.RequestID]*modelCaller)}
	for i := range m.tiers {
		r.outcomes = append(r.outcomes, map[bool]*modelOutcome{false: {}, true: {}})
		r.arrivals = append(r.arrivals, rand.New(rand.NewPCG(m.seed, uint64(i+2))))
		r.arriveNext(i, start)
	}
	for at := start; at < modelEnd+12*time.Second; at += 10 * time.Millisecond {
		r.at(at, func(now time.Duration) { r.pool.Tick(now) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(modelEvent)
		e.run(e.at)
		for _, d := range r.pool.Decisions() {
			r.decide(d, e.at)
		}
	}
	return r
}

func (r *overloadRun) at(at time.Duration, run func(now time.Duration)) {
	r.order++
	heap.Push(&r.events, modelEvent{at: at, order: r.order, run: run})
}

// arriveNext plans the next new caller of a tier.
func (r *overloadRun) arriveNext(tier int, now time.Duration) {
	t := r.tiers[tier]
	perSecond := r.load(now) * t.part * float64(r.upstreams*r.slots) / t.mean.Seconds()
	at := now + seconds(r.arrivals[tier].ExpFloat64()/perSecond)
	if at > modelEnd {
		return
	}
	r.at(at, func(now time.Duration) {
		c := &modelCaller{tier: tier, open: 1, began: now, fingerprint: r.arrivals[tier].Uint64() | 1, behaviour: r.behaviour}
		// Service times are log-normal with a deviation of 0.5.
		c.service = seconds(t.mean.Seconds() * math.Exp(0.5*r.arrivals[tier].NormFloat64()-0.125))
		if r.arrivals[tier].Float64() < r.othersPart {
			c.behaviour = r.others
		}
		if t.tokens == 0 {
			c.fingerprint = uint64(tier + 1)
		}
		r.submit(c, now)
		r.arriveNext(tier, now)
	})
}

func (r *overloadRun) submit(c *modelCaller, now time.Duration) {
	t := r.tiers[c.tier]
	r.next++
	left := c.began + t.timeout - now
	ticket := Ticket{
		ID: ident.RequestID(fmt.Sprintf("r%07d", r.next)), Gateway: "g1", Tier: t.name, Team: "a", Route: ident.RouteName(t.name), Idempotent: true,
		Remaining: left, Objective: t.objective, Fingerprint: c.fingerprint, Content: c.fingerprint,
		Returned: float64(left) < 0.8*float64(t.timeout), Patience: t.patience,
	}
	if t.tokens > 0 {
		ticket.PromptTokens, ticket.OutputTokens = 100, max(2, int(float64(t.tokens)*float64(c.service)/float64(t.mean)))
	}
	r.callers[ticket.ID] = c
	r.pool.Submit(ticket, now)
}

func (r *overloadRun) decide(d Decision, now time.Duration) {
	if d.Refusal != nil {
		c := r.callers[d.Refusal.Ticket]
		delete(r.callers, d.Refusal.Ticket)
		r.refused(c, *d.Refusal, now)
		return
	}
	g := *d.Grant
	c := r.callers[g.Ticket]
	t := r.tiers[c.tier]
	report := func(kind ReportKind, elapsed time.Duration) Report {
		return Report{Kind: kind, Ticket: g.Ticket, Gateway: "g1", Upstream: g.Upstream, Elapsed: elapsed, OutputTokens: max(2, int(float64(t.tokens)*float64(c.service)/float64(t.mean)))}
	}
	first := c.service
	if t.tokens > 0 {
		first = t.mean / 5
	}
	end := max(first, c.service)
	r.at(now+modelHop, func(now time.Duration) { r.pool.Report(report(ReportDispatched, 0), now) })
	if t.tokens > 0 {
		r.at(now+modelHop+first, func(now time.Duration) { r.pool.Report(report(ReportFirstToken, first), now) })
	}
	r.at(now+modelHop+end, func(now time.Duration) {
		r.pool.Report(report(ReportEnded, end), now)
		delete(r.callers, g.Ticket)
		c.open--
		o := r.outcome(c)
		switch {
		case o == nil:
		case now > c.began+t.timeout:
			o.overdue++
		case now-end+first <= c.began+t.objective:
			o.inTime++
		default:
			o.late++
		}
	})
}

// outcome returns where the end of a caller counts, nil if it counted already.
func (r *overloadRun) outcome(c *modelCaller) *modelOutcome {
	if c.done || c.began < modelWarmUp || c.began > modelEnd-modelCooling {
		return nil
	}
	c.done = true
	o := r.outcomes[c.tier][r.othersPart > 0 && c.behaviour == r.others]
	o.callers++
	return o
}

func (r *overloadRun) refused(c *modelCaller, refusal Refusal, now time.Duration) {
	third := (c.began + r.tiers[c.tier].timeout - now) / 3
	wait := min(third, refusal.RetryAfter)
	if refusal.RetryAfter == 0 {
		wait = third
	}
	if c.open--; c.open > 0 {
		return
	}
	if c.retried {
		if o := r.outcome(c); o != nil {
			o.refusedTwice++
			o.waited += now - c.began
		}
		return
	}
	copies := 1
	switch c.behaviour {
	case ignorant:
		wait = 10 * time.Millisecond
	case hasty:
		wait /= 2
	case copying:
		copies = 2
	}
	if c.behaviour == resigned && refusal.RetryAfter == 0 || third <= 0 {
		if o := r.outcome(c); o != nil {
			o.refused++
		}
		return
	}
	// Timers and new connections take some time.
	wait += modelHop + seconds(0.02*r.random.Float64())
	c.retried, c.open = true, copies
	for range copies {
		r.at(now+wait, func(now time.Duration) { r.submit(c, now) })
	}
}

func burst(times float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= modelWarmUp && at < modelWarmUp+3*time.Second {
			return times
		}
		return 0.5
	}
}

func engineModel(times float64) overloadModel {
	return overloadModel{upstreams: 140, slots: 4, seed: 7, load: burst(times), tiers: []modelTier{
		{name: "high", mean: 200 * time.Millisecond, objective: 300 * time.Millisecond, timeout: 4 * time.Second, patience: 2 * time.Second, part: 0.3, tokens: 40},
		{name: "middle", mean: 400 * time.Millisecond, objective: 800 * time.Millisecond, timeout: 8 * time.Second, patience: 4 * time.Second, part: 0.4, tokens: 80},
		{name: "low", mean: 600 * time.Millisecond, objective: 2 * time.Second, timeout: 12 * time.Second, patience: 6 * time.Second, part: 0.3, tokens: 120},
	}}
}

func serviceModel() overloadModel {
	return overloadModel{upstreams: 4, slots: 6, seed: 8, load: func(at time.Duration) float64 { return map[bool]float64{false: 0.5, true: 1.5}[at >= modelWarmUp] }, tiers: []modelTier{
		{name: "high", mean: 30 * time.Millisecond, objective: 150 * time.Millisecond, timeout: 2 * time.Second, part: 0.5},
		{name: "low", mean: 30 * time.Millisecond, objective: 300 * time.Millisecond, timeout: 3 * time.Second, part: 0.5},
	}}
}

// modelRuns returns the outcomes by tier without and with reservations.
func modelRuns(m overloadModel) (runs [2]*overloadRun) {
	for i := range runs {
		m.reserve = i == 1
		runs[i] = m.run()
	}
	return runs
}

// TestReservations_FewerRefusedTwice replays a burst and a lasting overload, in which today
// most refused callers come back in vain. With reservations far fewer do so, and each tier
// serves about as many callers as before.
func TestReservations_FewerRefusedTwice(t *testing.T) {
	for _, m := range []overloadModel{engineModel(3), serviceModel()} {
		m.behaviour = resigned
		runs := modelRuns(m)
		for tier := range m.tiers {
			before, after := runs[0].outcomes[tier][false], runs[1].outcomes[tier][false]
			name := must.Sprintf("%s: %s, with reservations %s", m.tiers[tier].name, before, after)
			must.LessEq(t, before.refusedTwice*6/10, after.refusedTwice, name)
			must.GreaterEq(t, (before.inTime+before.late)*97/100, after.inTime+after.late, name)
			must.GreaterEq(t, before.inTime*97/100, after.inTime, name)
		}
		must.Greater(t, 100, runs[1].pool.Stats().Reservations.Honoured)
	}
}

// TestReservations_NoGainFromDisobedience has a part of the callers ignore Retry-After, come
// early or send copies: they are not served more often than those that obey, and these lose
// little by them.
func TestReservations_NoGainFromDisobedience(t *testing.T) {
	for _, others := range []behaviour{ignorant, hasty, copying} {
		m := engineModel(3)
		m.others, m.othersPart, m.reserve = others, 0.2, true
		r := m.run()
		for tier := 1; tier < len(m.tiers); tier++ {
			obedient, other := r.outcomes[tier][false], r.outcomes[tier][true]
			served := func(o *modelOutcome) float64 { return float64(o.inTime+o.late) / float64(o.callers) }
			must.LessEq(t, served(obedient)+0.02, served(other), must.Sprintf("%d: %s: %s, others %s", others, m.tiers[tier].name, obedient, other))
		}
	}
}

// BenchmarkReservations reports the outcomes of callers with several seeds, in the log.
func BenchmarkReservations(b *testing.B) {
	for b.Loop() {
		for name, m := range map[string]overloadModel{"engines, twice": engineModel(2), "engines, three times": engineModel(3), "service": serviceModel()} {
			for _, own := range []behaviour{obedient, resigned} {
				for _, others := range []behaviour{obedient, ignorant, hasty, copying} {
					m.behaviour, m.others, m.othersPart = own, others, 0.2
					if others == obedient {
						m.othersPart = 0
					}
					logModel(b, fmt.Sprintf("%s, behaviour %d, a fifth %d", name, own, others), m)
				}
			}
		}
	}
}

func logModel(b *testing.B, name string, m overloadModel) {
	sums := make([][2][2]modelOutcome, len(m.tiers))
	for seed := range uint64(3) {
		m.seed = seed + 20
		for k, r := range modelRuns(m) {
			for i := range m.tiers {
				sums[i][0][k].add(*r.outcomes[i][false])
				sums[i][1][k].add(*r.outcomes[i][true])
			}
		}
	}
	for i, tier := range m.tiers {
		for other, s := range sums[i] {
			if s[0].callers > 0 {
				b.Logf("%s, %s, others %d\n  before %s\n  after  %s", name, tier.name, other, s[0], s[1])
			}
		}
	}
}

func (o *modelOutcome) add(x modelOutcome) {
	o.callers, o.inTime, o.late, o.refused = o.callers+x.callers, o.inTime+x.inTime, o.late+x.late, o.refused+x.refused
	o.refusedTwice, o.overdue, o.waited = o.refusedTwice+x.refusedTwice, o.overdue+x.overdue, o.waited+x.waited
}
