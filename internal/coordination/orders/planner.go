package orders

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// inflight is an order that this leader issues or has issued.
type inflight struct {
	order Order
	// begun is when its writing began; it may be sent until begun+SendWindow.
	begun time.Duration
	sent  bool
	// failed tells that its writing may have failed.
	failed bool
}

// engineState is what the planner knows of one engine.
type engineState struct {
	engine Engine
	want   Want
	known  bool
	seen   ReadBack
	asked  time.Duration
	// notBefore is when every order of a predecessor must have ended.
	notBefore time.Duration
	// inherited are the predecessors' open orders; settledBy is when they must
	// have ended, whatever the engine checks.
	inherited []machine.Order
	settledBy time.Duration
	current   *inflight
	retryAt   time.Duration
}

// Planner plans the orders of one leader during one term. It is not safe for
// concurrent use. An engine has at most one order under way.
type Planner struct {
	opts    Options
	term    uint64
	serial  uint64
	store   *rate.Limiter
	engines map[string]*engineState
	ended   []machine.CompleteOrder
}

// NewPlanner returns the planner of a leader that has just begun. open holds
// all orders of former leaders that have not ended, read after the term's
// first entry was committed: none can be issued after that. An engine that
// ignores fencing numbers gets no order until each of them must have been sent
// and obeyed; one that checks needs no such wait, since its first order with a
// higher number shuts the others out.
func NewPlanner(term uint64, engines []Engine, open []machine.Order, o Options, now time.Duration) *Planner {
	p := &Planner{opts: o.withDefaults(), term: term, engines: make(map[string]*engineState)}
	p.store = p.opts.limiter()
	byName := make(map[ident.UpstreamName]*engineState)
	for _, e := range engines {
		s := &engineState{engine: e, asked: -p.opts.AskEvery}
		p.engines[e.Address] = s
		byName[e.Name] = s
	}
	for _, order := range open {
		s := byName[order.Upstream]
		if s == nil {
			p.complete(order.Number, "the upstream left the configuration")
			continue
		}
		s.inherited = append(s.inherited, order)
		s.settledBy = now + p.opts.SendWindow + p.opts.RunBound
		if s.engine.Fencing != config.FencingChecked {
			s.notBefore = s.settledBy
		}
	}
	return p
}

// SetWants replaces what the engines should run. Engines that are not known
// yet begin without orders of a predecessor.
func (p *Planner) SetWants(engines []Engine, wants []Want) {
	for _, e := range engines {
		if p.engines[e.Address] == nil {
			p.engines[e.Address] = &engineState{engine: e, asked: -p.opts.AskEvery}
		}
	}
	for _, s := range p.engines {
		s.want = Want{Address: s.engine.Address, Keep: s.seen.Versions}
	}
	for _, w := range wants {
		if s := p.engines[w.Address]; s != nil {
			s.want = w
		}
	}
}

// Ask returns the engines to read back now, sorted by address.
func (p *Planner) Ask(now time.Duration) []Engine {
	var due []Engine
	for _, s := range p.sorted() {
		if now-s.asked >= p.opts.AskEvery {
			s.asked = now
			due = append(due, s.engine)
		}
	}
	return due
}

// Observe takes in a read-back. Only one that was asked for after every former
// order must have ended settles what the engine runs.
func (p *Planner) Observe(r ReadBack, now time.Duration) {
	s := p.engines[r.Address]
	if s == nil || r.AskedAt < s.notBefore || r.AskedAt < s.seen.AskedAt {
		return
	}
	s.seen = r
	s.known = true
	if r.AskedAt >= s.settledBy {
		p.settleInherited(s, "ended before the read-back")
	}
	p.settleCurrent(s, now)
}

// settleInherited closes the predecessors' orders of an engine.
func (p *Planner) settleInherited(s *engineState, detail string) {
	for _, o := range s.inherited {
		p.complete(o.Number, detail)
	}
	s.inherited = nil
}

// settleCurrent closes the order under way when the engine runs what it asked
// for, or when it must have ended without effect.
func (p *Planner) settleCurrent(s *engineState, now time.Duration) {
	c := s.current
	if c == nil || c.order.Number == 0 || s.seen.AskedAt < c.begun {
		return
	}
	switch {
	case c.sent && s.fulfils(c.order):
		p.finish(s, "read back")
	case now >= c.begun+p.opts.SendWindow+p.opts.RunBound:
		p.finish(s, "had no effect in time")
		s.retryAt = now + p.opts.RetryAfter
	}
}

func (p *Planner) finish(s *engineState, detail string) {
	p.complete(s.current.order.Number, detail)
	s.current = nil
}

func (p *Planner) complete(n machine.FencingNumber, detail string) {
	p.ended = append(p.ended, machine.CompleteOrder{Number: n, Detail: detail})
}

func (s *engineState) fulfils(o Order) bool {
	switch o.Kind {
	case machine.OrderLoad:
		return slices.Contains(s.seen.Versions, ident.VersionName(o.Subject))
	case machine.OrderUnload:
		return !slices.Contains(s.seen.Versions, ident.VersionName(o.Subject))
	default:
		return s.seen.Role == o.Subject
	}
}

// Due returns the orders to write down now: unloads and roles first, then
// loads by deadline within the weight store's rate. Moves of one deadline take
// turns, so that each has its first engine early.
func (p *Planner) Due(now time.Duration) []Order {
	var due []Order
	var loads []*engineState
	for _, s := range p.sorted() {
		if o, again := s.again(now); again {
			due = append(due, o)
			continue
		}
		kind, subject, ok := s.next(now)
		switch {
		case !ok:
		case kind == machine.OrderLoad:
			loads = append(loads, s)
		default:
			due = append(due, p.begin(s, kind, subject, now))
		}
	}
	loads = p.byDeadline(loads, now)
	for _, s := range loads {
		if p.loading() >= p.opts.MaxLoads || !p.store.AllowN(at(now), 1) {
			break
		}
		kind, subject, _ := s.next(now)
		due = append(due, p.begin(s, kind, subject, now))
	}
	return due
}

// again returns an order whose writing failed, once its pause is over. It has
// the same identity, so that it is written down once.
func (s *engineState) again(now time.Duration) (Order, bool) {
	if s.current == nil || !s.current.failed || now < s.retryAt {
		return Order{}, false
	}
	s.current.failed = false
	s.current.begun = now
	return s.current.order, true
}

// next returns the next order that an engine needs.
func (s *engineState) next(now time.Duration) (kind machine.OrderKind, subject string, ok bool) {
	if !s.known || s.current != nil || now < s.retryAt {
		return "", "", false
	}
	for _, v := range s.seen.Versions {
		if len(s.want.Versions) > 0 && !slices.Contains(s.want.Versions, v) && !slices.Contains(s.want.Keep, v) {
			return machine.OrderUnload, string(v), true
		}
	}
	if s.want.Role != "" && s.want.Role != s.seen.Role {
		return machine.OrderRole, s.want.Role, true
	}
	for _, v := range s.want.Versions {
		if !slices.Contains(s.seen.Versions, v) && !s.seen.Loading {
			return machine.OrderLoad, string(v), true
		}
	}
	return "", "", false
}

func (p *Planner) begin(s *engineState, kind machine.OrderKind, subject string, now time.Duration) Order {
	p.serial++
	id := machine.OrderID(fmt.Sprintf("%d-%d", p.term, p.serial))
	o := Order{
		ID:      id,
		Address: s.engine.Address,
		IssueOrder: machine.IssueOrder{
			ID: id, Upstream: s.engine.Name, Kind: kind, Subject: subject,
		},
	}
	s.current = &inflight{order: o, begun: now}
	return o
}

// byDeadline sorts engines that wait for a load by deadline; of one deadline,
// the version with the fewest engines loaded or loading goes first.
func (p *Planner) byDeadline(loads []*engineState, now time.Duration) []*engineState {
	count := make(map[string]int)
	for _, s := range p.engines {
		for _, v := range s.seen.Versions {
			count[string(v)]++
		}
		if s.current != nil && s.current.order.Kind == machine.OrderLoad {
			count[s.current.order.Subject]++
		}
	}
	turn := make(map[*engineState]int, len(loads))
	for _, s := range loads {
		_, subject, _ := s.next(now)
		turn[s] = count[subject]
		count[subject]++
	}
	slices.SortStableFunc(loads, func(a, b *engineState) int {
		return cmp.Or(
			compareDeadlines(a.want.Deadline, b.want.Deadline),
			cmp.Compare(turn[a], turn[b]),
			cmp.Compare(a.engine.Address, b.engine.Address),
		)
	})
	return loads
}

// compareDeadlines orders deadlines; none is last.
func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

func (p *Planner) loading() int {
	n := 0
	for _, s := range p.engines {
		if s.current != nil && s.current.order.Kind == machine.OrderLoad {
			n++
		}
	}
	return n
}

// Issued tells that an order is written down, under its number. It reports
// whether the order may still be sent: the send window bounds for how long a
// leader that was cut off can go on sending.
func (p *Planner) Issued(o Order, n machine.FencingNumber, now time.Duration) bool {
	s := p.engines[o.Address]
	if s == nil || s.current == nil || s.current.order.ID != o.ID {
		p.complete(n, "not sent")
		return false
	}
	s.current.order.Number = n
	if now >= s.current.begun+p.opts.SendWindow {
		p.finish(s, "not sent: written down too late")
		s.retryAt = now + p.opts.RetryAfter
		return false
	}
	s.current.sent = true
	return true
}

// IssueFailed tells that an order may not have been written down. It is not
// sent; the same order may be tried again.
func (p *Planner) IssueFailed(o Order, now time.Duration) {
	s := p.engines[o.Address]
	if s == nil || s.current == nil || s.current.order.ID != o.ID {
		return
	}
	s.current.failed = true
	s.retryAt = now + p.opts.RetryAfter
}

// Replied takes in an engine's answer. An order is over once the engine runs
// what it asked for; a refused one is over at once.
func (p *Planner) Replied(o Order, r Reply, now time.Duration) {
	s := p.engines[o.Address]
	if s == nil || s.current == nil || s.current.order.ID != o.ID {
		return
	}
	if !r.Accepted {
		p.finish(s, "refused: "+r.Detail)
		s.retryAt = now + p.opts.RetryAfter
		return
	}
	if s.engine.Fencing == config.FencingChecked {
		p.settleInherited(s, "shut out by a higher number")
	}
}

// Ended returns and clears the orders that are over, to be written down.
func (p *Planner) Ended() []machine.CompleteOrder {
	ended := p.ended
	p.ended = nil
	return ended
}

func (p *Planner) sorted() []*engineState {
	states := make([]*engineState, 0, len(p.engines))
	for _, s := range p.engines {
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b *engineState) int { return cmp.Compare(a.engine.Address, b.engine.Address) })
	return states
}
