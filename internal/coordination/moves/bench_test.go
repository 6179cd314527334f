package moves_test

import (
	"sync"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/moves"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// faultDelay is the time from the start of a simulation until its delayed
// faults begin.
const faultDelay = 40 * time.Minute

type badCase struct {
	name  string
	fault fault
}

var badCases = []badCase{
	{"fails-at-once", fault{failRate: 0.9}},
	{"fails-a-fifth", fault{failRate: 0.2}},
	{"slow-at-once", fault{slow: 2.5}},
	{"fails-after-time", fault{after: faultDelay, failRate: 0.9}},
	{"slow-after-time", fault{after: faultDelay, slow: 2.5}},
	{"fails-under-load", fault{minLoad: 0.4, failRate: 0.9}},
	{"slow-under-load", fault{minLoad: 0.4, slow: 2.5}},
	{"fails-one-route", fault{route: "reviews", failRate: 0.9}},
	{"slow-one-route", fault{route: "summaries", slow: 2.5}},
	{"half-slower-one-route", fault{route: "summaries", slow: 1.5}},
	{"fails-non-idempotent-route", fault{route: "entries", failRate: 0.9}},
}

// fixedRamp is a baseline policy. It raises the share by 0.1 in each tenth of
// the time before the watch phase and takes the move back when the new
// version's recent failure rate exceeds fixedThreshold.
type fixedRamp struct {
	model  model
	rec    move.Record
	ready  bool
	recent float64
	n      int
}

const fixedThreshold = 0.05

func (c *fixedRamp) Observe(s moves.Sample, _ time.Time) {
	if s.Version != newVersion {
		return
	}
	c.n++
	value := 0.0
	if s.Failed {
		value = 1
	}
	c.recent += 0.01 * (value - c.recent)
}

func (c *fixedRamp) SetReadiness(rs []moves.Readiness, _ time.Time) { c.ready = len(rs) > 1 }

func (c *fixedRamp) Tick(now time.Time) *move.Record {
	if c.rec.State.Final() || !c.ready {
		return nil
	}
	r := c.rec
	left := c.model.deadline - c.model.watch
	share := 0.1 * float64(int(10*now.Sub(origin)/left)+1)
	switch {
	case c.recent > fixedThreshold && c.n >= 100:
		r.State, r.Share = move.StateTakenBack, 0
	case now.Sub(origin) >= c.model.deadline-time.Minute:
		r.State, r.Share = move.StateDone, 1
	case min(share, 1) > r.Share:
		r.State, r.Share = move.StateRamping, min(share, 1)
	default:
		return nil
	}
	r.NonIdempotentShare = r.Share
	return &r
}

func (c *fixedRamp) Committed(r move.Record, _ time.Time) { c.rec = r }
func (c *fixedRamp) Record() move.Record                  { return c.rec }
func (c *fixedRamp) Shares() (idempotent, nonIdempotent float64) {
	return c.rec.Share, c.rec.NonIdempotentShare
}

// immediate is a baseline policy. It moves all traffic as soon as the new
// version is ready.
type immediate struct{ fixedRamp }

func (c *immediate) Tick(time.Time) *move.Record {
	if c.rec.State.Final() || !c.ready {
		return nil
	}
	r := c.rec
	r.State, r.Share, r.NonIdempotentShare = move.StateDone, 1, 1
	return &r
}

func pendingRecord(m model) move.Record {
	return moves.Pending("m", m.spec(), 1, 1, origin)
}

type policy struct {
	name string
	new  func(model) moves.Controller
}

const evidencePolicy = "evidence"

var policies = []policy{
	{evidencePolicy, newController},
	{"fixed-ramp", func(m model) moves.Controller { return &fixedRamp{model: m, rec: pendingRecord(m)} }},
	{"immediate", func(m model) moves.Controller { return &immediate{fixedRamp{model: m, rec: pendingRecord(m)}} }},
}

// badRuns is the number of runs of the evidence policy on each bad version. The
// baseline policies run once.
const badRuns = 3

func runsOf(p policy) int {
	if p.name == evidencePolicy {
		return badRuns
	}
	return 1
}

// parallelRuns bounds the simulations that run at once.
const parallelRuns = 3

// runAll runs n independent simulations and returns their results in order.
func runAll(n int, simulate func(i int) result) []result {
	results := make([]result, n)
	next := make(chan int)
	var workers sync.WaitGroup
	for range parallelRuns {
		workers.Go(func() {
			for i := range next {
				results[i] = simulate(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}

// BenchmarkPolicyMoves_Bad runs each policy on every kind of bad version. The
// harm is the share of requests that met the fault, on the route where it is
// highest.
func BenchmarkPolicyMoves_Bad(b *testing.B) {
	for i, c := range badCases {
		for _, p := range policies {
			b.Run(c.name+"/"+p.name, func(b *testing.B) {
				benchBad(b, uint64(100*(i+1)), c, p)
			})
		}
	}
}

func benchBad(b *testing.B, stream uint64, c badCase, p policy) {
	var takenBack, harm, share float64
	var delay time.Duration
	for b.Loop() {
		takenBack, harm, share, delay = 0, 0, 0, 0
		for _, res := range runAll(runsOf(p), func(i int) result {
			m := defaultModel()
			m.fault = c.fault
			return m.simulate(newRand(stream+uint64(i)), p.new(m))
		}) {
			if res.record.State == move.StateTakenBack {
				takenBack++
				delay = max(delay, res.endedAt-res.firstFaultAt)
			}
			harm = max(harm, res.worstHarm())
			share = max(share, res.badShare)
			if testing.Verbose() {
				b.Logf("%s at %v, hit %v: %s", res.record.State, res.endedAt, res.firstFaultAt, res.record.Reason)
			}
		}
	}
	b.ReportMetric(takenBack/float64(runsOf(p)), "taken-back-ratio")
	b.ReportMetric(100*harm, "harmed-%")
	b.ReportMetric(100*share, "bad-share-max-%")
	b.ReportMetric(delay.Seconds(), "take-back-s")
	b.ReportMetric(0, "ns/op")
}

const goodRuns = 20

// goodModel returns the i-th model of a good version. Five kinds alternate:
// plain noise, a burst of requests, the outage of one new upstream, failures of
// both versions and slowness of both versions.
func goodModel(i int) model {
	m := defaultModel()
	at := time.Duration(3+i) * time.Minute
	switch i % 5 {
	case 1:
		m.burst, m.burstFrom, m.burstTo = 1.3, at, at+5*time.Minute
	case 2:
		m.outage = at
	case 3:
		m.failuresAt = at
	case 4:
		m.slowAt = at + 15*time.Minute
	}
	return m
}

// BenchmarkPolicyMoves_Good runs each policy on twenty good versions under
// noise.
func BenchmarkPolicyMoves_Good(b *testing.B) {
	for _, p := range policies {
		b.Run(p.name, func(b *testing.B) {
			var done, alarms float64
			var end time.Duration
			for b.Loop() {
				done, alarms, end = 0, 0, 0
				for i, res := range runAll(goodRuns, func(i int) result {
					m := goodModel(i)
					return m.simulate(newRand(uint64(i)), p.new(m))
				}) {
					if res.record.State == move.StateDone {
						done++
						end += res.endedAt
					} else if res.endedAt < defaultModel().deadline {
						alarms++
					}
					if testing.Verbose() {
						b.Logf("%d %s at %v: %s", i, res.record.State, res.endedAt, res.record.Reason)
					}
				}
			}
			b.ReportMetric(done, "done-of-20")
			b.ReportMetric(alarms, "false-alarms")
			b.ReportMetric(end.Seconds()/max(done, 1), "mean-done-s")
			b.ReportMetric(0, "ns/op")
		})
	}
}
