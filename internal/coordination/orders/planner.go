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
	// issueStarted is when its writing began; it may be sent until issueStarted+SendWindow.
	issueStarted time.Duration
	sent         bool
	// issueFailed tells that its writing may have issueFailed.
	issueFailed bool
}

// engineState is what the planner knows of one engine.
type engineState struct {
	engine       Engine
	want         Want
	hasReadBack  bool
	lastReadBack ReadBack
	lastAsked    time.Duration
	// minAskedAt is when every order of a predecessor must have ended.
	minAskedAt time.Duration
	// inherited are the predecessors' open orders; settledBy is when they must
	// have ended, whatever the engine checks.
	inherited      []machine.Order
	inheritedEndBy time.Duration
	current        *inflight
	retryAt        time.Duration
}

// Planner plans the orders of one leader during one term. It is not safe for
// concurrent use. An engine has at most one order under way.
type Planner struct {
	opts        Options
	term        uint64
	serial      uint64
	loadLimiter *rate.Limiter
	engines     map[string]*engineState
	ended       []machine.CompleteOrder
}

// NewPlanner returns the planner of a leader that has just begun. open holds
// all orders of former leaders that have not ended, read after the term's
// first entry was committed: none can be issued after that. An engine that
// ignores fencing numbers gets no order until each of them must have been sent
// and obeyed; one that checks needs no such wait, since its first order with a
// higher number shuts the others out.
func NewPlanner(term uint64, engines []Engine, open []machine.Order, o Options, now time.Duration) *Planner {
	p := &Planner{opts: o.withDefaults(), term: term, engines: make(map[string]*engineState)}
	p.loadLimiter = p.opts.newLoadLimiter()
	byName := make(map[ident.UpstreamName]*engineState)
	for _, e := range engines {
		s := &engineState{engine: e, lastAsked: -p.opts.ReadBackInterval}
		p.engines[e.Address] = s
		byName[e.Name] = s
	}
	for _, order := range open {
		s := byName[order.Upstream]
		if s == nil {
			p.addEnded(order.Number, "the upstream left the configuration")
			continue
		}
		s.inherited = append(s.inherited, order)
		s.inheritedEndBy = now + p.opts.SendWindow + p.opts.RunTimeout
		if s.engine.Fencing != config.FencingChecked {
			s.minAskedAt = s.inheritedEndBy
		}
	}
	return p
}

// SetWants replaces what the engines should run. Engines that are not known
// yet begin without orders of a predecessor.
func (p *Planner) SetWants(engines []Engine, wants []Want) {
	for _, e := range engines {
		if p.engines[e.Address] == nil {
			p.engines[e.Address] = &engineState{engine: e, lastAsked: -p.opts.ReadBackInterval}
		}
	}
	for _, s := range p.engines {
		s.want = Want{Address: s.engine.Address, Keep: s.lastReadBack.Versions}
	}
	for _, w := range wants {
		if s := p.engines[w.Address]; s != nil {
			s.want = w
		}
	}
}

// DueReadBacks returns the engines to read back now, sorted by address.
func (p *Planner) DueReadBacks(now time.Duration) []Engine {
	var due []Engine
	for _, s := range p.sortedEngines() {
		if now-s.lastAsked >= p.opts.ReadBackInterval {
			s.lastAsked = now
			due = append(due, s.engine)
		}
	}
	return due
}

// Observe takes in a read-back. Only one that was asked for after every former
// order must have ended settles what the engine runs.
func (p *Planner) Observe(r ReadBack, now time.Duration) {
	s := p.engines[r.Address]
	if s == nil || r.AskedAt < s.minAskedAt || r.AskedAt < s.lastReadBack.AskedAt {
		return
	}
	s.lastReadBack = r
	s.hasReadBack = true
	if r.AskedAt >= s.inheritedEndBy {
		p.settleInherited(s, "ended before the read-back")
	}
	p.settleCurrent(s, now)
}

// settleInherited closes the predecessors' orders of an engine.
func (p *Planner) settleInherited(s *engineState, detail string) {
	for _, o := range s.inherited {
		p.addEnded(o.Number, detail)
	}
	s.inherited = nil
}

// settleCurrent closes the order under way when the engine runs what it asked
// for, or when it must have ended without effect.
func (p *Planner) settleCurrent(s *engineState, now time.Duration) {
	c := s.current
	if c == nil || c.order.Number == 0 || s.lastReadBack.AskedAt < c.issueStarted {
		return
	}
	switch {
	case c.sent && s.fulfills(c.order):
		p.endCurrent(s, "read back")
	case now >= c.issueStarted+p.opts.SendWindow+p.opts.RunTimeout:
		p.endCurrent(s, "had no effect in time")
		s.retryAt = now + p.opts.RetryAfter
	}
}

func (p *Planner) endCurrent(s *engineState, detail string) {
	p.addEnded(s.current.order.Number, detail)
	s.current = nil
}

func (p *Planner) addEnded(n machine.FencingNumber, detail string) {
	p.ended = append(p.ended, machine.CompleteOrder{Number: n, Detail: detail})
}

func (s *engineState) fulfills(o Order) bool {
	switch o.Kind {
	case machine.OrderLoad:
		return slices.Contains(s.lastReadBack.Versions, ident.VersionName(o.Subject))
	case machine.OrderUnload:
		return !slices.Contains(s.lastReadBack.Versions, ident.VersionName(o.Subject))
	default:
		return s.lastReadBack.Role == o.Subject
	}
}

// Due returns the orders to write down now: unloads and roles first, then
// loads by deadline within the weight store's rate. Moves of one deadline take
// turns, so that each has its first engine early.
func (p *Planner) Due(now time.Duration) []Order {
	var due []Order
	var loads []*engineState
	for _, s := range p.sortedEngines() {
		if o, retry := s.takeRetry(now); retry {
			due = append(due, o)
			continue
		}
		kind, subject, ok := s.nextOrder(now)
		switch {
		case !ok:
		case kind == machine.OrderLoad:
			loads = append(loads, s)
		default:
			due = append(due, p.startOrder(s, kind, subject, now))
		}
	}
	loads = p.sortByDeadline(loads, now)
	for _, s := range loads {
		if p.loadsInProgress() >= p.opts.MaxLoads || !p.loadLimiter.AllowN(limiterTime(now), 1) {
			break
		}
		kind, subject, _ := s.nextOrder(now)
		due = append(due, p.startOrder(s, kind, subject, now))
	}
	return due
}

// takeRetry returns an order whose writing failed, once its pause is over. It has
// the same identity, so that it is written down once.
func (s *engineState) takeRetry(now time.Duration) (Order, bool) {
	if s.current == nil || !s.current.issueFailed || now < s.retryAt {
		return Order{}, false
	}
	s.current.issueFailed = false
	s.current.issueStarted = now
	return s.current.order, true
}

// nextOrder returns the nextOrder order that an engine needs.
func (s *engineState) nextOrder(now time.Duration) (kind machine.OrderKind, subject string, ok bool) {
	if !s.hasReadBack || s.current != nil || now < s.retryAt {
		return "", "", false
	}
	for _, v := range s.lastReadBack.Versions {
		if len(s.want.Versions) > 0 && !slices.Contains(s.want.Versions, v) && !slices.Contains(s.want.Keep, v) {
			return machine.OrderUnload, string(v), true
		}
	}
	if s.want.Role != "" && s.want.Role != s.lastReadBack.Role {
		return machine.OrderRole, s.want.Role, true
	}
	for _, v := range s.want.Versions {
		if !slices.Contains(s.lastReadBack.Versions, v) && !s.lastReadBack.Loading {
			return machine.OrderLoad, string(v), true
		}
	}
	return "", "", false
}

func (p *Planner) startOrder(s *engineState, kind machine.OrderKind, subject string, now time.Duration) Order {
	p.serial++
	id := machine.OrderID(fmt.Sprintf("%d-%d", p.term, p.serial))
	o := Order{
		ID:      id,
		Address: s.engine.Address,
		IssueOrder: machine.IssueOrder{
			ID: id, Upstream: s.engine.Name, Kind: kind, Subject: subject,
		},
	}
	s.current = &inflight{order: o, issueStarted: now}
	return o
}

// sortByDeadline sorts engines that wait for a load by deadline; of one deadline,
// the version with the fewest engines loaded or loading goes first.
func (p *Planner) sortByDeadline(loads []*engineState, now time.Duration) []*engineState {
	count := make(map[string]int)
	for _, s := range p.engines {
		for _, v := range s.lastReadBack.Versions {
			count[string(v)]++
		}
		if s.current != nil && s.current.order.Kind == machine.OrderLoad {
			count[s.current.order.Subject]++
		}
	}
	position := make(map[*engineState]int, len(loads))
	for _, s := range loads {
		_, subject, _ := s.nextOrder(now)
		position[s] = count[subject]
		count[subject]++
	}
	slices.SortStableFunc(loads, func(a, b *engineState) int {
		return cmp.Or(
			compareDeadlines(a.want.Deadline, b.want.Deadline),
			cmp.Compare(position[a], position[b]),
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

func (p *Planner) loadsInProgress() int {
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
		p.addEnded(n, "not sent")
		return false
	}
	s.current.order.Number = n
	if now >= s.current.issueStarted+p.opts.SendWindow {
		p.endCurrent(s, "not sent: written down too late")
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
	s.current.issueFailed = true
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
		p.endCurrent(s, "refused: "+r.Detail)
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

func (p *Planner) sortedEngines() []*engineState {
	states := make([]*engineState, 0, len(p.engines))
	for _, s := range p.engines {
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b *engineState) int { return cmp.Compare(a.engine.Address, b.engine.Address) })
	return states
}
