package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// coldPerSecond and coldDuration are the limit of the model's cold upstreams, and
	// coldAllowed is what one may get in any second.
	coldPerSecond = 6.0
	coldDuration  = 5 * time.Second
	coldAllowed   = 14
	// listLag is how old the list is, listInterval the time between two reads, and
	// spreadDelay the time until gateways know what their scheduler learns.
	listLag      = 800 * time.Millisecond
	listInterval = 500 * time.Millisecond
	spreadDelay  = 200 * time.Millisecond
)

// coldModel drives the schedulers of several gateways with upstreams that are cold after a
// start, a list that lags, and requests that take time to arrive. It counts what reaches each
// process while it is cold.
type coldModel struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	view   View
	// processes holds what listens at each address, and all every process so far.
	processes, all []*coldProcess
	// current is the view that was distributed last, and evacuated holds the slots of
	// evacuated upstreams.
	current   View
	evacuated map[int]bool
	gateways  []*coldGateway
	pools     []*Pool
	// history holds the states of the list with their times.
	history []coldListing
	// numbers holds the end that was distributed last for each name.
	numbers map[ident.UpstreamName]coldNumber
	events  []coldEvent
	next    int
	// delay is the longest time from a grant to the arrival, and bunch the interval at whose
	// end requests arrive together; 0 for none.
	delay, bunch time.Duration
	// listCold and headerCold are false if the list, or the answers, don't name cold times.
	listCold, headerCold bool
	// listDead keeps processes that have ended in the list until others are at their
	// addresses, and listFormer also beside those.
	listDead, listFormer bool
	// apart is a deliberate error: names of one process don't share a bound.
	apart bool
	// ownBound and fullBuckets are deliberate errors.
	ownBound, fullBuckets bool
	served, refused       map[ident.TierName]map[int]int
	// tokensAtRefusal is the most that a cold upstream with free slots had at a refusal.
	tokensAtRefusal float64
}

type coldProcess struct {
	// slot is the place of the process: its address.
	slot             int
	id               string
	name             ident.UpstreamName
	started, coldEnd time.Duration
	dead             bool
	diedAt           time.Duration
	arrivals         []time.Duration
}

type coldListing struct {
	at      time.Duration
	slots   []int
	entries []Upstream
}

type coldNumber struct {
	end, left time.Duration
	number    uint64
}

type coldGateway struct {
	id      ident.NodeID
	pool    *Pool
	cold    map[ident.UpstreamName]ColdNotice
	toldAt  map[ident.UpstreamName]time.Duration
	waiting map[ident.RequestID]Ticket
	running map[ident.RequestID]Running
}

type coldEvent struct {
	at, sent time.Duration
	kind     string
	grant    Grant
	tier     ident.TierName
	gateway  *coldGateway
	process  *coldProcess
	change   ColdChange
	pool     *Pool
}

func newColdModel(t *testing.T, gateways, upstreams, slots int) *coldModel {
	m := &coldModel{
		t:      t,
		random: rand.New(rand.NewPCG(5, 6)), view: sharedView(0), numbers: make(map[ident.UpstreamName]coldNumber), listCold: true, headerCold: true,
		evacuated: make(map[int]bool),
		served:    make(map[ident.TierName]map[int]int), refused: make(map[ident.TierName]map[int]int), delay: 20 * time.Millisecond,
	}
	m.view.Gateways, m.view.Cold = nil, &config.ColdLimit{Duration: coldDuration, PerSecond: coldPerSecond}
	for i := range gateways {
		m.view.Gateways = append(m.view.Gateways, ident.NodeID(fmt.Sprintf("g%03d", i)))
	}
	for i := range upstreams {
		m.processes = append(m.processes, &coldProcess{slot: i, id: fmt.Sprintf("u%03d", i), name: ident.UpstreamName(fmt.Sprintf("u%03d@0", i)), started: -time.Hour, coldEnd: -time.Hour})
		m.view.Upstreams = append(m.view.Upstreams, Upstream{MaxConcurrent: slots, Version: "v1"})
	}
	m.all = slices.Clone(m.processes)
	m.record()
	m.readList()
	for _, id := range m.view.Gateways {
		g := &coldGateway{
			id: id, cold: make(map[ident.UpstreamName]ColdNotice), toldAt: make(map[ident.UpstreamName]time.Duration),
			waiting: make(map[ident.RequestID]Ticket), running: make(map[ident.RequestID]Running),
		}
		m.gateways = append(m.gateways, g)
		m.pools = append(m.pools, m.newPool())
	}
	m.assign(func(int) int { return 0 })
	return m
}

func (m *coldModel) newPool() *Pool {
	v, shared := m.current, *m.view.Shared
	shared.Phase = m.random.Float64()
	v.Shared = &shared
	return New(0, v, m.now)
}

// assign makes the gateways use other schedulers. Every gateway has one, used or not.
func (m *coldModel) assign(home func(gateway int) int) {
	for i, g := range m.gateways {
		if to := m.pools[home(i)]; to != g.pool {
			if g.pool != nil {
				g.pool.Depart(g.id, m.now)
			}
			g.pool = to
			to.Register(g.registration(m.now), m.now)
		}
	}
}

// restart replaces a gateway's scheduler by one that knows nothing.
func (m *coldModel) restart(i int) {
	old := m.pools[i]
	m.pools[i] = m.newPool()
	m.events = slices.DeleteFunc(m.events, func(e coldEvent) bool { return e.kind == "told" && e.pool == old })
	for _, g := range m.gateways {
		if g.pool == old {
			g.pool = m.pools[i]
			g.pool.Register(g.registration(m.now), m.now)
		}
	}
}

func (g *coldGateway) registration(now time.Duration) Registration {
	r := Registration{Gateway: g.id, Incarnation: 1, Uptime: time.Minute}
	for name, n := range g.cold {
		n.For -= now - g.toldAt[name]
		r.Cold = append(r.Cold, n)
	}
	for _, t := range g.waiting {
		r.Waiting = append(r.Waiting, t)
	}
	for _, run := range g.running {
		r.Running = append(r.Running, run)
	}
	return r
}

// tell records at a gateway that an upstream is cold.
func (g *coldGateway) tell(n ColdNotice, now time.Duration) {
	if known := g.cold[n.Upstream]; now+n.For >= g.toldAt[n.Upstream]+known.For || n.Ended {
		g.cold[n.Upstream], g.toldAt[n.Upstream] = n, now
	}
}

// crash ends a process, and start begins one at its address. A new id or birth gives it a new
// name.
func (m *coldModel) crash(slot int) {
	p := m.processes[slot]
	p.dead, p.diedAt = true, m.now
	for i := range m.events {
		e := &m.events[i]
		if e.process == p && (e.kind == "answer" || e.kind == "end") {
			if e.kind == "answer" {
				e.kind = "broken"
			} else {
				e.kind = "lost"
			}
			e.at = m.now + 5*time.Millisecond
		}
	}
	m.record()
}

func (m *coldModel) start(slot int, id string, name ident.UpstreamName) {
	m.processes[slot] = &coldProcess{slot: slot, id: id, name: name, started: m.now, coldEnd: m.now + coldDuration}
	m.all = append(m.all, m.processes[slot])
	m.record()
}

// flap restarts a process under the same name.
func (m *coldModel) flap(slot int) {
	p := m.processes[slot]
	m.start(slot, p.id, p.name)
}

// record adds the present state to the history of the list.
func (m *coldModel) record() {
	l := coldListing{at: m.now}
	listed := slices.Clone(m.processes)
	if m.listFormer {
		listed = m.all
	}
	for _, p := range listed {
		i := p.slot
		u := m.view.Upstreams[i]
		u.Name, u.Process = p.name, fmt.Sprintf("10.0.0.%d/%s", p.slot, p.id)
		u.ColdFor, u.ColdNumber = p.coldEnd, 0
		if m.apart {
			u.Process = ""
		}
		if !p.dead || m.listDead || m.listFormer {
			l.slots, l.entries = append(l.slots, i), append(l.entries, u)
		}
	}
	m.history = append(m.history, l)
}

// readList distributes the list as it was before, as the leader does.
func (m *coldModel) readList() {
	var listed coldListing
	for _, l := range m.history {
		if l.at <= max(0, m.now-listLag) {
			listed = l
		}
	}
	v := m.view
	v.Upstreams = nil
	for i, u := range listed.entries {
		left, n := u.ColdFor-max(0, m.now-listLag), m.numbers[u.Name]
		u.ColdFor = 0
		if m.listCold {
			if left > 0 && m.now+left > n.end+time.Second {
				n = coldNumber{end: m.now + left, left: left, number: n.number + 1}
			} else if left <= 0 && m.now >= n.end {
				n.left = 0
			}
			m.numbers[u.Name] = n
			u.ColdFor, u.ColdNumber = n.left, n.number
		}
		u.Evacuated = m.evacuated[listed.slots[i]]
		v.Upstreams = append(v.Upstreams, u)
	}
	m.current = v
	for i, p := range m.pools {
		pv, shared := v, *p.view.Shared
		pv.Shared = &shared
		if m.ownBound {
			pv.Gateways = []ident.NodeID{m.gateways[i].id}
		}
		p.SetView(pv, m.now)
	}
}

// evacuate sets whether the upstreams of a range are evacuated.
func (m *coldModel) evacuate(from, to int, evacuated bool) {
	for i := from; i < to; i++ {
		m.evacuated[i] = evacuated
	}
	m.readList()
}

// run sends the given number of requests a second until the given time.
func (m *coldModel) run(until time.Duration, perSecond float64) {
	for ; m.now < until; m.now += modelStep {
		if m.now%listInterval == 0 {
			m.readList()
		}
		for range poisson(m.random, perSecond*modelStep.Seconds()) {
			m.submit()
		}
		m.deliver()
		for _, p := range m.pools {
			p.Tick(m.now)
			for _, c := range p.cold {
				if m.fullBuckets {
					c.bucket.tokens = rateBurst
				}
			}
			m.collect(p)
		}
	}
}
