package scheduler

import (
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler/retryslots"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Pool is the scheduler of one pool during one lease epoch.
type Pool struct {
	epoch     ident.Epoch
	view      View
	startedAt time.Duration
	// placing is false until the requests of the previous epoch are known.
	placing    bool
	registered map[ident.NodeID]ident.Incarnation
	gateways   map[ident.NodeID]bool
	// rotations holds the changes of rotation since the last call of Rotations.
	rotations []Rotation
	// leftViewAt holds when gateways left the view. Such a gateway may go on
	// serving without a lease for a while.
	leftViewAt map[ident.NodeID]time.Duration

	entries map[ident.RequestID]*entry
	tiers   []*tierQueue // highest rank first
	weights map[ident.TeamName]float64
	waiting int
	running int

	engines map[ident.UpstreamName]*engine
	// orderedEngines holds the engines in the order in which they were added.
	orderedEngines []*engine
	holders        holders
	// readySets holds the engines that can take a ticket, by version.
	readySets    []*readySet
	readyEngines int
	// slots is the sum of the concurrency limits of the engines that accept new
	// work, and unsharedSlots that of the limits without other schedulers.
	slots, unsharedSlots int
	// ejected holds the engines that are out of rotation.
	ejected []*engine
	// barred counts the listed upstreams that get no new work for now.
	barred    int
	nextCheck time.Duration
	nextTrial time.Duration
	speed     speed
	// highestTier is the most urgent tier; empty if there is none.
	highestTier ident.TierName
	// staleGrants counts the grants of upstreams with stale samples.
	staleGrants int
	// grantsElsewhere counts the grants of upstreams outside their gateways' data centres.
	grantsElsewhere int
	// options is reused by choose.
	options []option
	// regions counts what the tickets that name regions need.
	regions regionCounts
	outputs outputs
	shares  shareTracker

	// limited holds the engines whose load a rate limit bounds, and unusableSlots is
	// the number of their slots that stay free because of it.
	limited       []*engine
	unusableSlots float64
	// brittle counts the engines whose requests in flight are bounded because they are
	// brittle.
	brittle int
	// pausedUntil is when the last pause that upstreams asked gateways for ends, and
	// pauseChanges holds those since the last call of PauseChanges.
	pausedUntil  time.Duration
	pauseChanges []PauseChange
	// leaving holds the upstreams that have said in an answer that they leave, with the
	// time at which the pool learnt it, and leavingChanges those since the last call of
	// LeavingChanges.
	leaving        map[ident.UpstreamName]leavingMark
	leavingChanges []ident.UpstreamName
	// meanService is the average service time of the latest tickets.
	meanService time.Duration
	// lastWaiting is when a ticket last left the queue.
	lastWaiting time.Duration
	// unlistedLimits holds the rate limits of upstreams that the view does not list.
	unlistedLimits map[ident.UpstreamName]rateLimit
	// cold holds the bounds of upstreams that have just started, by coldKey, coldEngines the
	// engines that they belong to, and coldChanges those since the last call of ColdChanges.
	cold        map[string]*coldUpstream
	coldEngines []*engine
	coldChanges []ColdChange
	// unlistedCold holds what is known of upstreams that the view does not list.
	unlistedCold map[ident.UpstreamName]unlistedCold
	// heldByCold counts the upstreams that only their bound keeps from taking a ticket, and
	// coldHolds the tickets so far that waited meanwhile.
	heldByCold, coldHolds int
	// viewWasComplete is true if the view before the present one listed all upstreams.
	viewWasComplete bool
	evidence        evidence
	// rateChanges holds the changes of rate limits since the last call of
	// RateLimitChanges.
	rateChanges []RateLimitChange

	tuning tuning
	// fraction is the fraction of the pool's capacity that this scheduler may
	// use, 0 to 1.
	fraction float64
	// informed is true once the scheduler knows what the upstreams say of themselves.
	// Before, those that have not answered get one request at a time until unheardUntil.
	informed     bool
	unheardUntil time.Duration
	// slotsAssigned is true while the scheduler keeps to slots of its own, and gatewayOrder
	// is the order in which the gateways of the view own them.
	slotsAssigned bool
	gatewayOrder  []ident.NodeID
	// origin is the wall-clock time at which the pool's time is 0, for shared
	// quotas.
	origin time.Time

	// now is the time of the latest step.
	now time.Duration

	timers    timers
	nextSweep time.Duration
	retries   retryBudget
	decisions []Decision
	// retryChanges holds the changes of the retry budget since the last call of
	// RetryChanges; retriesTaken and retriesRefused count the retries.
	retryChanges                 []RetryChange
	retriesTaken, retriesRefused int
	// settledAt is when the gateways have had time to register with a scheduler that begins;
	// 0 once its budget was reported. Undecided holds the retries that wait for that.
	settledAt time.Duration
	undecided []*entry
	// reservations holds those of refused callers; nil if there are none. Unplanned counts the
	// refusals for load for which there was none.
	reservations *retryslots.Table
	unplanned    int
	overload     overloadSpan
	// newUsage is true after a registration until these are looked at again.
	newUsage bool
}

var _ Scheduler = (*Pool)(nil)

// New returns the scheduler of a pool for one lease epoch. The leases of all
// previous epochs must have ended.
func New(epoch ident.Epoch, v View, now time.Duration) *Pool {
	p := &Pool{
		epoch:      epoch,
		startedAt:  now,
		registered: make(map[ident.NodeID]ident.Incarnation),
		leftViewAt: make(map[ident.NodeID]time.Duration),

		evidence:       newEvidence(),
		unlistedLimits: make(map[ident.UpstreamName]rateLimit),
		cold:           make(map[string]*coldUpstream),
		unlistedCold:   make(map[ident.UpstreamName]unlistedCold),
		entries:        make(map[ident.RequestID]*entry),
		engines:        make(map[ident.UpstreamName]*engine),
		speed:          newSpeed(nil),
		outputs:        make(outputs),
		holders:        make(holders),
		retries:        newRetryBudget(now),
		tuning:         tuningFor(v),
		fraction:       1,
	}
	p.SetView(v, now)
	return p
}

// SetOrigin sets the wall-clock time at which the pool's time is 0. Quotas that
// several pools share need it.
func (p *Pool) SetOrigin(at time.Time) { p.origin = at }

// SetView implements Scheduler.
func (p *Pool) SetView(v View, now time.Duration) {
	p.viewWasComplete = !p.view.Incomplete && len(p.view.Upstreams) > 0
	p.view = v
	p.now = now
	p.retries.configure(v, now)
	p.setGateways(v.Gateways, now)
	p.updateCapacityFraction(now)
	p.setUpstreams(v.Upstreams, now)
	p.speed.upstreams = len(v.Upstreams)
	if v.Shared != nil && p.assignSlots() {
		p.refreshAll(now)
	}
	p.shares.set(v.Shares)
	p.setReservations()
	p.setTiers(v)
	p.learnPoison(v.Poison, now)
	p.learnEnds(v.Ends, now)
	p.step(now)
}

// setUpstreams applies the view's upstreams. An upstream that the view no longer
// lists is kept while requests run on it.
func (p *Pool) setUpstreams(upstreams []Upstream, now time.Duration) {
	for _, g := range p.orderedEngines {
		g.listed = false
	}
	for _, u := range upstreams {
		_, known := p.engines[u.Name]
		g := p.engine(u)
		former := g.upstream
		g.cache.setMaxEntries(cacheEntriesTotal / len(upstreams))
		if g.upstream.Version != u.Version {
			g.versionNotLoaded = false
			g.cache.clear()
		}
		g.setUpstream(u)
		g.listed = true
		p.assignSlotsOf(g)
		p.learnColdFromView(g, former, !known, now)
	}
	p.countBarred()
	p.refreshAll(now)
	p.dropEngines()
	p.applyColdLimit(now)
}

// engine returns the model of an upstream and creates it if needed.
func (p *Pool) engine(u Upstream) *engine {
	g, known := p.engines[u.Name]
	if !known {
		g = newEngine(u, &p.speed, p.holders, &p.tuning)
		g.fraction = p.fraction
		g.limitTrusted = p.view.Shared != nil
		g.unheard = p.isUninformed(p.now)
		g.knownAt = p.now
		p.adoptLeaving(g)
		p.adoptLimit(g, p.now)
		p.adoptBrittle(g, p.now)
		p.adoptPauses(g)
		p.engines[u.Name] = g
		p.orderedEngines = append(p.orderedEngines, g)
	}
	return g
}

// dropEngines removes the idle engines that the view no longer lists.
func (p *Pool) dropEngines() {
	p.orderedEngines = slices.DeleteFunc(p.orderedEngines, func(g *engine) bool {
		gone := !g.listed && g.used() == 0
		if gone {
			p.keepLimit(g)
			p.forgetListedCold(g, p.now)
			p.removeEngine(g)
			delete(p.engines, g.upstream.Name)
		}
		return gone
	})
}

// removeEngine removes an engine from the pool's holders, ejected list and ready
// sets.
func (p *Pool) removeEngine(g *engine) {
	if g.brittle != nil {
		p.brittle--
	}
	g.cache.clear()
	g.health.ejected = false
	p.updateEjected(g)
	p.removeReady(g)
}

// Tick implements Scheduler.
func (p *Pool) Tick(now time.Duration) {
	p.step(now)
}

// step runs the timers and periodic work that are due, then places tickets and
// sheds those beyond the queue limit. Nothing is placed or shed during a
// takeover, while tickets of lower tiers may still be unknown.
func (p *Pool) step(now time.Duration) {
	p.now = now
	p.runTimers(now)
	p.openAfterTakeover(now)
	p.decideRetries(now)
	p.endUnheard(now)
	if now >= p.nextSweep {
		p.nextSweep = now + sweepInterval
		p.sweep(now)
	}
	if p.evidence.evaluateAt != 0 && now >= p.evidence.evaluateAt {
		p.evaluateEnds(now)
	}
	if now >= p.nextCheck {
		p.nextCheck = now + checkInterval
		p.checkUpstreams(now)
	}
	p.refuseUnservable()
	if p.placing {
		p.placeReserved(now)
		p.place(now)
		p.shedOverLimit(now)
	}
}

func (p *Pool) runTimers(now time.Duration) {
	for {
		t, due := p.timers.due(now)
		if !due {
			return
		}
		switch t.kind {
		case timerGrant:
			p.expireGrant(t.entry, now)
		case timerForget:
			p.forget(t.entry)
		case timerOrphan:
			t.engine.expireOrphans(now)
			p.refresh(t.engine, now)
		case timerRefresh:
			t.engine.refreshAt = 0
			p.refresh(t.engine, now)
		}
	}
}

// expireGrant frees the slot of a grant that no report has confirmed: either the
// gateway dropped the grant or its report is late. The request still counts as
// sent.
func (p *Pool) expireGrant(e *entry, now time.Duration) {
	if e.state != stateGranted || now < e.grantExpires+confirmMargin {
		return
	}
	p.release(e, now)
	e.lapsed = true
	p.end(e, now)
}

func (p *Pool) forget(e *entry) {
	finished := e.state == stateRefused || e.state == stateEnded
	if finished && p.entries[e.ticket.ID] == e {
		delete(p.entries, e.ticket.ID)
	}
}

// Decisions implements Scheduler.
func (p *Pool) Decisions() []Decision {
	out := p.decisions
	p.decisions = nil
	return out
}

// Rotations implements Scheduler.
func (p *Pool) Rotations() []Rotation {
	out := p.rotations
	p.rotations = nil
	return out
}

// Stats implements Scheduler.
func (p *Pool) Stats() Stats {
	s := Stats{
		Waiting: p.waiting + len(p.undecided), Running: p.running, Capacity: p.slots, WaitingByTier: make(map[ident.TierName]int, len(p.tiers)), Stale: p.staleGrants, Elsewhere: p.grantsElsewhere, BeyondShares: p.shares.beyond,
		Retries: p.retriesTaken, RetriesRefused: p.retriesRefused, RetriesLeft: p.retries.account(p.now).left,
		ColdHolds: p.coldHolds,
	}
	for _, g := range p.coldEngines {
		if g.isCold(p.now) {
			s.Cold++
		}
	}
	s.Reservations, s.Unplanned = p.reservationCounts(), p.unplanned
	for _, q := range p.tiers {
		s.WaitingByTier[q.tier.Name] += q.waiting
	}
	return s
}
