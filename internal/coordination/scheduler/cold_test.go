package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/shoenig/test/must"
)

// coldCase is a history of cold upstreams.
type coldCase struct {
	name string
	play func(m *coldModel)
	// alone is false for a history that is played under shared schedulers only.
	alone bool
}

// playCold plays a history and returns the most requests that a cold process got in a second.
func playCold(m *coldModel, play func(m *coldModel)) (most int) {
	play(m)
	for _, p := range m.all {
		most = max(most, p.mostWhileCold())
	}
	return most
}

const coldLoad = 200

var coldCases = []coldCase{
	{name: "new processes under new names", alone: true, play: func(m *coldModel) {
		m.run(2*time.Second, coldLoad)
		for i := range 4 {
			m.start(i, m.processes[i].id, m.processes[i].name+"b")
		}
		m.run(12*time.Second, coldLoad)
	}},
	{name: "new names beside the old ones", alone: true, play: func(m *coldModel) {
		m.listFormer = true
		m.run(2*time.Second, coldLoad)
		for i := range 4 {
			m.start(i, m.processes[i].id, m.processes[i].name+"b")
		}
		m.run(12*time.Second, coldLoad)
	}},
	{name: "back under the same name", alone: true, play: func(m *coldModel) {
		m.run(2*time.Second, coldLoad)
		for i := range 4 {
			m.crash(i)
		}
		m.run(3*time.Second, coldLoad)
		for i := range 4 {
			m.flap(i)
		}
		m.run(12*time.Second, coldLoad)
	}},
	{name: "down for a long time", alone: true, play: func(m *coldModel) {
		m.listDead = true
		m.run(2*time.Second, coldLoad)
		for i := range 4 {
			m.crash(i)
		}
		m.run(14*time.Second, coldLoad)
		for i := range 4 {
			m.flap(i)
		}
		m.run(20*time.Second, coldLoad)
	}},
	{name: "again and again, also while warming up", alone: true, play: func(m *coldModel) {
		for round := range 6 {
			m.run(time.Duration(round)*3*time.Second+2*time.Second, coldLoad)
			m.crash(round % 2)
			m.run(time.Duration(round)*3*time.Second+2300*time.Millisecond, coldLoad)
			m.flap(round % 2)
		}
		m.run(25*time.Second, coldLoad)
	}},
	{name: "requests arrive in bunches", alone: true, play: func(m *coldModel) {
		m.delay, m.bunch = 100*time.Millisecond, 300*time.Millisecond
		m.run(2*time.Second, coldLoad)
		for i := range 3 {
			m.start(i, m.processes[i].id, m.processes[i].name+"b")
		}
		m.run(12*time.Second, coldLoad)
	}},
	{name: "end of an evacuation", alone: true, play: func(m *coldModel) {
		m.run(time.Second, coldLoad)
		m.evacuate(0, 6, true)
		m.run(4*time.Second, 2*coldLoad)
		for i := range 6 {
			m.processes[i].coldEnd, m.processes[i].arrivals = m.now+coldDuration, nil
		}
		m.evacuate(0, 6, false)
		m.run(12*time.Second, 2*coldLoad)
	}},
	{name: "another upstream has the address", alone: true, play: func(m *coldModel) {
		m.run(2*time.Second, coldLoad)
		for i := range 3 {
			m.crash(i)
			m.start(i, fmt.Sprintf("n%03d", i), ident.UpstreamName(fmt.Sprintf("n%03d@1", i)))
		}
		m.run(12*time.Second, coldLoad)
	}},
	{name: "schedulers change again and again", play: func(m *coldModel) {
		m.run(2*time.Second, coldLoad)
		for i := range 4 {
			m.crash(i)
		}
		m.run(2500*time.Millisecond, coldLoad)
		for i := range 4 {
			m.flap(i)
		}
		for round := range 24 {
			m.assign(func(int) int { return (round + 1) % len(m.pools) })
			m.run(2500*time.Millisecond+time.Duration(round+1)*400*time.Millisecond, coldLoad)
		}
	}},
	{name: "schedulers that know nothing", play: func(m *coldModel) {
		m.run(2*time.Second, coldLoad)
		for i := range 4 {
			m.start(i, m.processes[i].id, m.processes[i].name+"b")
		}
		for round := range 24 {
			m.run(2*time.Second+time.Duration(round+1)*400*time.Millisecond, coldLoad)
			m.restart(0)
		}
	}},
}

// TestCold_Bound checks that no cold upstream gets more than its limit permits in any second,
// with one scheduler, with two, and with one at each gateway.
func TestCold_Bound(t *testing.T) {
	for _, c := range coldCases {
		for shards, all := range map[int][]string{1: {"all", "list", "header"}, 2: {"all"}, 8: {"list", "header"}} {
			if shards > 1 && !c.alone {
				continue
			}
			for _, signals := range all {
				t.Run(fmt.Sprintf("%s, %d schedulers, %s", c.name, shards, signals), func(t *testing.T) {
					t.Parallel()
					m := newColdModel(t, 8, 8, 8)
					m.listCold, m.headerCold = signals != "header", signals != "list"
					m.assign(func(gateway int) int { return gateway % shards })
					most := playCold(m, c.play)
					t.Logf("at most %d, served %d %d refused %d %d", most, sumOf(m.served["high"]), sumOf(m.served["low"]), sumOf(m.refused["high"]), sumOf(m.refused["low"]))
					must.LessEq(t, coldAllowed, most)
				})
			}
		}
	}
}

// TestCold_ModelFindsErrors checks that the model finds each of these errors: no bound, a bound
// of each scheduler's own, names of one process without a common bound, and full buckets.
func TestCold_ModelFindsErrors(t *testing.T) {
	for name, spoil := range map[string]func(m *coldModel){
		"no bound":                       func(m *coldModel) { m.view.Cold = nil },
		"a bound for each scheduler":     func(m *coldModel) { m.ownBound = true },
		"names that don't share a bound": func(m *coldModel) { m.apart = true },
		"buckets that are always full":   func(m *coldModel) { m.fullBuckets = true },
	} {
		t.Run(name, func(t *testing.T) {
			most := 0
			for _, c := range coldCases[:3] {
				m := newColdModel(t, 8, 8, 8)
				m.assign(func(gateway int) int { return gateway })
				spoil(m)
				most = max(most, playCold(m, c.play))
			}
			must.Greater(t, coldAllowed, most)
		})
	}
}

// TestCold_ManySchedulers checks that the parts of the bound add up where each of 40 gateways
// schedules for itself, and upstreams are down for seconds before they are back under their
// names: each scheduler probes them, and none has had an answer when they are back. After half a
// second most of 20 and more schedulers have seen no failure yet, and nothing bounds them: an
// upstream got 17 requests in a second at 20 of them and 25 at 40.
func TestCold_ManySchedulers(t *testing.T) {
	for _, down := range []time.Duration{2 * time.Second, 6 * time.Second} {
		m := newColdModel(t, 40, 8, 8)
		m.listDead = true
		m.assign(func(gateway int) int { return gateway })
		must.LessEq(t, coldAllowed, playCold(m, func(m *coldModel) {
			m.run(2*time.Second, coldLoad)
			for i := range 3 {
				m.crash(i)
			}
			m.run(2*time.Second+down, coldLoad)
			for i := range 3 {
				m.flap(i)
			}
			m.run(8*time.Second+down, coldLoad)
		}))
	}
}

// TestCold_AllUpstreams checks that a pool of which all upstreams are cold serves what they
// tolerate, the urgent tier first, and refuses nothing while one of them might get a request.
func TestCold_AllUpstreams(t *testing.T) {
	m := newColdModel(t, 8, 8, 8)
	m.run(2*time.Second, 80)
	for i := range 8 {
		m.start(i, m.processes[i].id, m.processes[i].name+"b")
	}
	m.run(3500*time.Millisecond, 80)
	before, high, refused := sumOf(m.served["high"])+sumOf(m.served["low"]), sumOf(m.served["high"]), sumOf(m.refused["high"])
	m.tokensAtRefusal = 0
	m.run(6500*time.Millisecond, 80)
	must.Greater(t, 0.8*3*8*coldPerSecond, float64(sumOf(m.served["high"])+sumOf(m.served["low"])-before))
	must.Greater(t, 0.85*3*40, float64(sumOf(m.served["high"])-high))
	must.Zero(t, sumOf(m.refused["high"])-refused)
	must.Less(t, 1, m.tokensAtRefusal)
}

// TestCold_LoadReturnsInSteps checks that the load of upstreams that are no longer cold grows
// from second to second, not at once, where much more waits than they took.
func TestCold_LoadReturnsInSteps(t *testing.T) {
	m := newColdModel(t, 8, 8, 8)
	m.run(2*time.Second, 400)
	for i := range 8 {
		m.start(i, m.processes[i].id, m.processes[i].name+"b")
	}
	m.run(14*time.Second, 400)
	perSecond := make([]int, 14)
	for _, p := range m.processes {
		for _, at := range p.arrivals {
			perSecond[at/time.Second]++
		}
	}
	must.LessEq(t, 62, perSecond[6])
	for second := 7; second < 14; second++ {
		must.LessEq(t, int(2.2*float64(perSecond[second-1])), perSecond[second], must.Sprintf("%v", perSecond))
	}
	must.Greater(t, 3*perSecond[6], perSecond[13], must.Sprintf("%v", perSecond))
}

// TestCold_ProbesObeyTheBound checks that the probes of an ejected cold upstream take tokens,
// also if they don't reach it, and that a refusal names the time of the next token.
func TestCold_ProbesObeyTheBound(t *testing.T) {
	v := sharedView(1)
	v.Cold = &config.ColdLimit{Duration: coldDuration, PerSecond: 0.5}
	p := sharedPool(v, "g1", "g2", "g3", "g4")
	p.markCold(p.engines["u0"], coldDuration, "test", start)
	p.engines["u0"].health.eject(start)
	p.refresh(p.engines["u0"], start)
	grants := 0
	var after time.Duration
	for now := start; now < 4*time.Second; now += 50 * time.Millisecond {
		p.Submit(sharedTicket(int(now/time.Millisecond), "high"), now)
		for _, d := range p.Decisions() {
			if d.Grant != nil {
				grants++
				p.Report(Report{Kind: ReportUnsent, Ticket: d.Grant.Ticket, Gateway: "g1", Upstream: "u0"}, now)
			} else if now < start+time.Second {
				after = max(after, d.Refusal.RetryAfter)
			}
		}
	}
	must.Between(t, 1, grants, 3)
	must.Greater(t, time.Second, after)
}

// TestCold_NothingWithoutLimit checks that signals of cold upstreams change nothing in a pool
// whose configuration doesn't limit them.
func TestCold_NothingWithoutLimit(t *testing.T) {
	v := sharedView(2)
	p := sharedPool(v, "g1", "g2", "g3", "g4")
	v.Upstreams = append([]Upstream{{Name: "new", Version: "v1", MaxConcurrent: 2, ColdFor: time.Second, ColdNumber: 3}}, v.Upstreams...)
	v.Upstreams[1].Evacuated = true
	p.SetView(v, start)
	v.Upstreams[1].Evacuated = false
	p.SetView(v, start)
	p.Report(Report{Kind: ReportNotice, Upstream: "u1", Notice: &UpstreamNotice{Cold: NoticeNamed, ColdFor: time.Minute}}, start)
	p.Register(Registration{Gateway: "g1", Incarnation: 1, Cold: []ColdNotice{{Upstream: "u1", For: time.Minute}, {Upstream: "u9", Ended: true}}}, start)
	for i := range 2 {
		p.Submit(sharedTicket(i, "high"), start)
	}
	for _, d := range p.Decisions() {
		must.NotNil(t, d.Grant)
		p.Report(Report{Kind: ReportUnsent, Ticket: d.Grant.Ticket, Gateway: "g1", Upstream: d.Grant.Upstream}, start)
	}
	must.MapEmpty(t, p.cold)
	must.MapEmpty(t, p.unlistedCold)
	must.SliceEmpty(t, p.ColdChanges())
	must.Zero(t, p.Stats().Cold)
}

// TestCold_Signals checks each way in which an upstream becomes cold, and that older or shorter
// notices don't end a cold time.
func TestCold_Signals(t *testing.T) {
	v := sharedView(4)
	v.Cold = &config.ColdLimit{Duration: coldDuration, PerSecond: coldPerSecond}
	v.Upstreams[1].Evacuated = true
	p := sharedPool(v, "g1", "g2", "g3", "g4")
	must.MapEmpty(t, p.cold)
	until := func(name ident.UpstreamName) time.Duration {
		if c := p.engines[name].cold; c != nil {
			return c.until
		}
		return 0
	}
	set := func(now time.Duration, change func(u []Upstream) []Upstream) {
		v.Upstreams = change(append([]Upstream(nil), v.Upstreams...))
		p.SetView(v, now)
	}
	set(time.Second, func(u []Upstream) []Upstream {
		u[0].ColdFor, u[0].ColdNumber, u[1].Evacuated = 2*time.Second, 1, false
		return append(u, Upstream{Name: "new", Version: "v1", MaxConcurrent: 2})
	})
	must.Eq(t, 3*time.Second, until("u0"))
	must.Eq(t, 6*time.Second, until("u1"))
	must.Eq(t, 6*time.Second, until("new"))
	must.Zero(t, until("u2"))
	p.Report(Report{Kind: ReportNotice, Upstream: "u0", Notice: &UpstreamNotice{Cold: NoticeNamed, ColdFor: 100 * time.Millisecond}}, 2*time.Second)
	p.Report(Report{Kind: ReportNotice, Upstream: "u0", Notice: &UpstreamNotice{}}, 2*time.Second)
	must.Eq(t, 3*time.Second, until("u0"))
	p.Report(Report{Kind: ReportNotice, Upstream: "u0", Notice: &UpstreamNotice{Cold: NoticeNamed, ColdFor: 4 * time.Second}}, 2*time.Second)
	must.Eq(t, 6*time.Second, until("u0"))
	// A list that leaves the upstream out for one read doesn't make it new, and a second cold
	// time under the same name counts.
	all := v.Upstreams
	set(3*time.Second, func(u []Upstream) []Upstream { return u[1:] })
	set(4*time.Second, func([]Upstream) []Upstream { return all })
	must.Eq(t, 6*time.Second, until("u0"))
	set(5*time.Second, func(u []Upstream) []Upstream {
		u[0].ColdFor, u[0].ColdNumber = 3*time.Second, 2
		return u
	})
	must.Eq(t, 8*time.Second, until("u0"))
	// A gateway knows of an upstream that the list names later, and of one that has ended.
	p.Register(Registration{Gateway: "g1", Incarnation: 1, Cold: []ColdNotice{{Upstream: "late", For: 10 * time.Second}, {Upstream: "u2", Ended: true}}}, 5*time.Second)
	set(6*time.Second, func(u []Upstream) []Upstream {
		return append(u, Upstream{Name: "late", Version: "v1", MaxConcurrent: 2})
	})
	must.Eq(t, 15*time.Second, until("late"))
	must.True(t, p.engines["u2"].cold.ended)
	p.observeColdAnswer(p.engines["u2"], 7*time.Second, 7*time.Second)
	must.Eq(t, 12*time.Second, until("u2"))
	v.Cold = &config.ColdLimit{Duration: coldDuration, PerSecond: 1}
	p.SetView(v, 7*time.Second)
	must.Eq(t, 1, p.engines["u2"].cold.bucket.perSecond)
	// Two requests in a row without an answer are an end, one between answers isn't.
	unsent := Report{Kind: ReportUnsent}
	p.observeColdEnd(p.engines["u3"], unsent, 8*time.Second)
	p.observeColdAnswer(p.engines["u3"], 8*time.Second, 8*time.Second)
	p.observeColdEnd(p.engines["u3"], unsent, 8*time.Second)
	must.Nil(t, p.engines["u3"].cold)
	p.checkUpstreams(60 * time.Second)
	p.observeColdEnd(p.engines["u3"], Report{Kind: ReportFailed, Broken: BrokenUnbegun}, 60*time.Second)
	must.True(t, p.engines["u3"].isCold(10*time.Minute))
	p.checkUpstreams(10 * time.Minute)
	p.observeColdAnswer(p.engines["u3"], 59*time.Second, 10*time.Minute)
	must.True(t, p.engines["u3"].cold.ended)
	p.observeColdAnswer(p.engines["u3"], 10*time.Minute, 10*time.Minute)
	must.Eq(t, 10*time.Minute+coldDuration, until("u3"))
}

func sumOf(by map[int]int) (sum int) {
	for _, n := range by {
		sum += n
	}
	return sum
}
