package moves_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/moves"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

const (
	oldVersion = ident.VersionName("v1")
	newVersion = ident.VersionName("v2")
)

var origin = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// seed returns the seed of a run; FLAMINGOHAVEN_SEED overrides the default.
func seed() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("FLAMINGOHAVEN_SEED"), 10, 64); err == nil {
		return n
	}
	return 1
}

func newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed(), stream))
}

// fault describes a fault of the new version: when, under which load and on
// which route it occurs, and its effect. An empty route means all routes.
type fault struct {
	after    time.Duration
	minLoad  float64
	route    ident.RouteName
	failRate float64
	slow     float64
}

func (f fault) applies(route ident.RouteName, load float64, age time.Duration) bool {
	if f.failRate == 0 && f.slow == 0 {
		return false
	}
	return age >= f.after && load >= f.minLoad && (f.route == "" || f.route == route)
}

type modelRoute struct {
	name       ident.RouteName
	idempotent bool
	rate       float64
	service    time.Duration
}

// model simulates the latencies and faults of one pool in virtual time.
type model struct {
	routes    []modelRoute
	fault     fault
	failRate  float64
	noise     float64
	upstreams int
	capacity  int
	deadline  time.Duration
	watch     time.Duration
	readyAt   time.Duration
	// upstreamReadyAt is when each new upstream becomes ready. If it is empty,
	// all of them become ready at readyAt.
	upstreamReadyAt []time.Duration
	commitLag       time.Duration
	// outage is when one new upstream fails for 20 seconds; zero means never.
	outage time.Duration
	// failuresAt is when both versions fail more often for a minute; zero means
	// never.
	failuresAt time.Duration
	// slowAt is when both versions slow down for five minutes; zero means
	// never.
	slowAt time.Duration
	// burst multiplies the request rate from burstFrom to burstTo.
	burst              float64
	burstFrom, burstTo time.Duration
	onTick             func(c moves.Controller, now time.Time)
	tickInterval       time.Duration
}

func defaultModel() model {
	return model{
		routes: []modelRoute{
			{"reviews", true, 2, 3 * time.Second},
			{"lookups", true, 12, 300 * time.Millisecond},
			{"summaries", true, 4, 2 * time.Second},
			{"entries", false, 3, 500 * time.Millisecond},
		},
		failRate: 0.01, noise: 0.5, upstreams: 4, capacity: 10,
		deadline: 90 * time.Minute, watch: 45 * time.Minute,
		commitLag: 50 * time.Millisecond, tickInterval: 250 * time.Millisecond,
		burst: 1,
	}
}

type completion struct {
	at     time.Duration
	sample moves.Sample
}

// completions is a binary heap ordered by completion time.
type completions []completion

func (c *completions) push(x completion) {
	h := append(*c, x)
	i := len(h) - 1
	for i > 0 && h[(i-1)/2].at > h[i].at {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
		i = (i - 1) / 2
	}
	*c = h
}

func (c *completions) pop() completion {
	h := *c
	first := h[0]
	last := len(h) - 1
	h[0] = h[last]
	h = h[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && h[child+1].at < h[child].at {
			child++
		}
		if h[i].at <= h[child].at {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	*c = h
	return first
}

// result is the outcome of one simulation.
type result struct {
	record       move.Record
	endedAt      time.Duration
	harmed       map[ident.RouteName]int
	total        map[ident.RouteName]int
	firstFaultAt time.Duration
	maxShare     float64
	// badShare is the highest share of the new version after the first request
	// that met the fault.
	badShare float64
}

func (r result) worstHarm() float64 {
	worst := 0.0
	for route, n := range r.harmed {
		worst = max(worst, float64(n)/float64(r.total[route]))
	}
	return worst
}

// ready returns how many new upstreams are ready.
func (m model) ready(now time.Duration) int {
	if len(m.upstreamReadyAt) == 0 {
		if now >= m.readyAt {
			return m.upstreams
		}
		return 0
	}
	n := 0
	for _, at := range m.upstreamReadyAt {
		if now >= at {
			n++
		}
	}
	return n
}

func (m model) spec() config.Move {
	return config.Move{
		Pool: "model", From: oldVersion, To: newVersion,
		Deadline: origin.Add(m.deadline), Watch: m.watch,
	}
}

// run is one simulation in progress.
type run struct {
	model      model
	rng        *rand.Rand
	controller moves.Controller
	now        time.Duration
	pending    completions
	running    map[ident.VersionName]int
	upstreams  map[ident.VersionName][]ident.UpstreamName
	commits    []pendingCommit
	res        result
}

type pendingCommit struct {
	at     time.Duration
	record move.Record
}

// simulate drives a controller until the deadline. Requests continue until then
// even if the move ends earlier, so that harm is always a share of the same
// traffic.
func (m model) simulate(rng *rand.Rand, c moves.Controller) result {
	r := &run{
		model: m, rng: rng, controller: c,
		running: make(map[ident.VersionName]int),
		res: result{
			harmed: make(map[ident.RouteName]int), total: make(map[ident.RouteName]int),
			firstFaultAt: -1,
		},
	}
	r.upstreams = make(map[ident.VersionName][]ident.UpstreamName)
	for _, v := range []ident.VersionName{oldVersion, newVersion} {
		for i := range m.upstreams {
			r.upstreams[v] = append(r.upstreams[v], ident.UpstreamName(fmt.Sprint(v, "-", i)))
		}
	}
	next := make([]time.Duration, len(m.routes))
	for i := range next {
		next[i] = r.interarrival(i)
	}
	end := m.deadline + time.Second
	for tick := time.Duration(0); tick < end; tick += m.tickInterval {
		for i := range m.routes {
			for next[i] < tick {
				r.advance(next[i])
				r.arrive(m.routes[i])
				next[i] += r.interarrival(i)
			}
		}
		r.advance(tick)
		r.tick()
	}
	r.res.record = c.Record()
	return r.res
}

func (r *run) interarrival(i int) time.Duration {
	rate := r.model.routes[i].rate
	if r.now >= r.model.burstFrom && r.now < r.model.burstTo {
		rate *= r.model.burst
	}
	return time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
}

func (r *run) wallTime() time.Time { return origin.Add(r.now) }

func (r *run) advance(to time.Duration) {
	for len(r.pending) > 0 && r.pending[0].at <= to {
		done := r.pending.pop()
		r.now = max(r.now, done.at)
		r.running[done.sample.Version]--
		r.controller.Observe(done.sample, r.wallTime())
	}
	r.now = max(r.now, to)
}

func (r *run) arrive(route modelRoute) {
	idempotent, non := r.controller.Shares()
	share := idempotent
	if !route.idempotent {
		share = non
	}
	version := oldVersion
	if r.rng.Float64() < share {
		version = newVersion
	}
	upstreams := r.model.upstreams
	if version == newVersion {
		upstreams = max(r.model.ready(r.now), 1)
	}
	limit := upstreams * r.model.capacity
	load := min(float64(r.running[version])/float64(limit), 1)
	prompt := int(math.Exp(4 + 1.2*r.rng.NormFloat64()))
	factor := math.Exp(r.model.noise*r.rng.NormFloat64()) * (1 + 2*load*load)
	first := float64(route.service) / 4 * factor * (1 + float64(prompt)/500)
	total := float64(route.service) * factor
	perToken := float64(20*time.Millisecond) * math.Exp(0.3*r.rng.NormFloat64()) * (1 + load*load)
	if r.model.slowAt > 0 && r.now >= r.model.slowAt && r.now < r.model.slowAt+5*time.Minute {
		first, total, perToken = 1.8*first, 1.8*total, 1.8*perToken
	}
	failed := r.rng.Float64() < r.model.failRate
	if r.now >= r.model.failuresAt && r.now < r.model.failuresAt+time.Minute && r.model.failuresAt > 0 {
		failed = failed || r.rng.Float64() < 0.3
	}
	upstream := r.rng.IntN(upstreams)
	harmed := false
	if version == newVersion {
		if r.model.outage > 0 && upstream == 0 && r.now >= r.model.outage && r.now < r.model.outage+20*time.Second {
			failed = true
		}
		if r.model.fault.applies(route.name, load, r.now) {
			if r.res.firstFaultAt < 0 {
				r.res.firstFaultAt = r.now
			}
			if r.rng.Float64() < r.model.fault.failRate {
				failed, harmed = true, true
			}
			if f := r.model.fault.slow; f > 0 {
				first, perToken, total = first*f, perToken*f, total*f
				harmed = true
			}
		}
	}
	if failed {
		total /= 10
	}
	r.res.total[route.name]++
	if harmed {
		r.res.harmed[route.name]++
	}
	r.running[version]++
	r.pending.push(completion{at: r.now + time.Duration(total), sample: moves.Sample{
		Route: route.name, Version: version,
		Upstream:   r.upstreams[version][upstream],
		Idempotent: route.idempotent, Failed: failed,
		FirstToken: time.Duration(first), PerToken: time.Duration(perToken),
		PromptTokens: prompt, Load: load,
	}})
}

func (r *run) tick() {
	readiness := []moves.Readiness{{Version: oldVersion, Ready: r.model.upstreams, Capacity: r.model.upstreams * r.model.capacity}}
	if n := r.model.ready(r.now); n > 0 {
		readiness = append(readiness, moves.Readiness{Version: newVersion, Ready: n, Capacity: n * r.model.capacity})
	}
	r.controller.SetReadiness(readiness, r.wallTime())
	for len(r.commits) > 0 && r.commits[0].at <= r.now {
		r.commit(r.commits[0].record)
		r.commits = r.commits[1:]
	}
	if rec := r.controller.Tick(r.wallTime()); rec != nil && len(r.commits) == 0 {
		r.commits = append(r.commits, pendingCommit{at: r.now + r.model.commitLag, record: *rec})
	}
	share, _ := r.controller.Shares()
	r.res.maxShare = max(r.res.maxShare, share)
	if r.res.firstFaultAt >= 0 {
		r.res.badShare = max(r.res.badShare, share)
	}
	if r.model.onTick != nil {
		r.model.onTick(r.controller, r.wallTime())
	}
}

func (r *run) commit(rec move.Record) {
	if r.controller.Record().State.Final() {
		return
	}
	r.controller.Committed(rec, r.wallTime())
	if rec.State.Final() {
		r.res.endedAt = r.now
	}
}

func newController(m model) moves.Controller {
	spec := m.spec()
	first := moves.Pending("m", spec, 1, 1, origin)
	return moves.New(spec, first, moves.Options{Routes: len(m.routes), Epoch: 1})
}
