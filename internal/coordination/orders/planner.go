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

// inflight is an order that this leader is issuing or has issued.
type inflight struct {
	order Order
	// issueStarted is when the order's commit to the journal began. The order
	// may be sent until issueStarted+SendWindow.
	issueStarted time.Duration
	sent         bool
	// issueFailed is true if the commit returned an error. The order may have
	// been committed nevertheless.
	issueFailed bool
}

// engineState is what the planner knows about one engine.
type engineState struct {
	engine       Engine
	want         Want
	hasReadBack  bool
	lastReadBack ReadBack
	lastAsked    time.Duration
	// minAskedAt is the earliest request time of a read-back that is used. On
	// an engine that ignores fencing numbers, all orders of former leaders must
	// have ended by then.
	minAskedAt time.Duration
	// inherited are the open orders of former leaders. inheritedEndBy is when
	// they must have ended, whether or not the engine checks fencing numbers.
	inherited      []machine.Order
	inheritedEndBy time.Duration
	current        *inflight
	retryAt        time.Duration
}

// Planner plans the orders of one leader during one term. It is not safe for
// concurrent use. An engine has at most one order in flight.
type Planner struct {
	opts        Options
	term        uint64
	serial      uint64
	loadLimiter *rate.Limiter
	engines     map[string]*engineState
	ended       []machine.CompleteOrder
}

// NewPlanner returns the planner of a new leader. open holds all orders of
// former leaders that have not ended. It must be read after the term's first
// entry was committed, since no former leader can issue an order after that. An
// engine that ignores fencing numbers gets no order until each of the open
// orders must have been sent and executed. An engine that checks them needs no
// such wait, because after its first order with a higher number it rejects the
// open ones.
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

// SetWants replaces what the engines should run. New engines start without
// orders of former leaders.
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

// DueReadBacks returns the engines to read back now, sorted by address, and
// records that they were asked.
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

// Observe records a read-back. It ignores one that was requested before the
// last one or, on an engine that ignores fencing numbers, before every order of
// former leaders must have ended.
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

// settleInherited marks the inherited orders of an engine as ended.
func (p *Planner) settleInherited(s *engineState, detail string) {
	for _, o := range s.inherited {
		p.addEnded(o.Number, detail)
	}
	s.inherited = nil
}

// settleCurrent marks the current order as ended when the engine runs what the
// order asked for, or when its time is up without that effect.
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

// Due returns the orders to commit now: unloads and role changes first, then
// loads by deadline, within MaxLoads and the rate that the store of the model
// weights allows. Versions with the same deadline alternate, so that each of
// them gets its first engine early.
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

// takeRetry returns an order whose commit failed, once its retry delay has
// passed. The order keeps its ID, so that it is committed only once.
func (s *engineState) takeRetry(now time.Duration) (Order, bool) {
	if s.current == nil || !s.current.issueFailed || now < s.retryAt {
		return Order{}, false
	}
	s.current.issueFailed = false
	s.current.issueStarted = now
	return s.current.order, true
}

// nextOrder returns the next order that an engine needs. ok is false if it
// needs none now.
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

// sortByDeadline sorts engines that wait for a load by deadline. Within one
// deadline, the version with the fewest engines loaded or loading comes first.
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

// compareDeadlines compares two deadlines. Zero means no deadline and sorts
// last.
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

// Issued records that an order was committed under the given number. It reports
// whether the order may still be sent. The send window limits how long a
// partitioned leader can go on sending.
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

// IssueFailed records that the commit of an order failed. The order may have
// been committed nevertheless. It is not sent, and the commit is retried with
// the same ID.
func (p *Planner) IssueFailed(o Order, now time.Duration) {
	s := p.engines[o.Address]
	if s == nil || s.current == nil || s.current.order.ID != o.ID {
		return
	}
	s.current.issueFailed = true
	s.retryAt = now + p.opts.RetryAfter
}

// Replied records an engine's answer. A refused order ends at once, an accepted
// one when a read-back shows its effect.
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

// Ended returns the orders that have ended since the last call, which must be
// recorded in the journal, and clears them.
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
