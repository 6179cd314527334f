package scheduler

import (
	"time"

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
	ejected   []*engine
	nextCheck time.Duration
	nextTrial time.Duration
	speed     speed
	// highestTier is the most urgent tier; empty if there is none.
	highestTier ident.TierName
	// staleGrants counts the grants of upstreams with stale samples.
	staleGrants int
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
	leaving        map[ident.UpstreamName]time.Duration
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
	p.setTiers(v)
	p.learnPoison(v.Poison, now)
	p.learnEnds(v.Ends, now)
	p.step(now)
}

// Submit implements Scheduler.
func (p *Pool) Submit(t Ticket, now time.Duration) {
	p.submit(t, now)
	p.step(now)
}

// submit queues or refuses a new ticket. For a known ticket it repeats the
// decision.
func (p *Pool) submit(t Ticket, now time.Duration) {
	p.now = now
	if e, known := p.entries[t.ID]; known && e.state != stateEnded {
		p.repeatDecision(e, now)
		return
	}
	e := &entry{ticket: t, state: stateWaiting, deadline: now + t.Remaining, submittedAt: now}
	switch {
	case t.Objective == 0:
	case t.Returned:
		e.lateUntil = now + e.lateWait(now)
	default:
		e.objective = now + t.Objective
	}
	p.entries[t.ID] = e
	if p.isRetry(e) && !p.reserveRetry(e, now) {
		return
	}
	p.admitNew(e, now)
}

// admitNew queues or refuses a ticket that is new here.
func (p *Pool) admitNew(e *entry, now time.Duration) {
	defer p.observeService(e)
	e.admitted = true
	if reason := p.admit(e, now); reason != "" {
		p.refuse(e, reason, now)
		return
	}
	p.enqueue(e)
	e.queue.tier.arrivals.add(e.serviceTime.Seconds(), now)
}

func (p *Pool) enqueue(e *entry) {
	e.state = stateWaiting
	p.queueOf(e).add(e)
	p.waiting++
}

func (p *Pool) dequeue(e *entry) {
	e.queue.remove(e)
	p.waiting--
	p.lastWaiting = p.now
}

// repeatDecision emits the decision on a known ticket again, if there is one.
func (p *Pool) repeatDecision(e *entry, now time.Duration) {
	switch e.state {
	case stateGranted:
		p.emitGrant(e, now)
	case stateRefused:
		refusal := e.refusal
		p.emit(e, Decision{Refusal: &refusal})
	}
}

func (p *Pool) emit(e *entry, d Decision) {
	d.Gateway = e.ticket.Gateway
	d.Basis = Basis{
		Waited: p.now - e.submittedAt, Wait: e.waitAhead,
		Slots: p.slots, Running: p.running, Waiting: p.waiting, Ejected: len(p.ejected), Limited: len(p.limited), Brittle: p.brittle,
		Percent: int(100 * p.fraction),
	}
	p.decisions = append(p.decisions, d)
}

// emitGrant emits a grant whose TTL is the time left until it expires. The
// gateway counts the TTL from when it sent the call that the grant answers. That
// was before now, so the gateway stops using the grant in time.
func (p *Pool) emitGrant(e *entry, now time.Duration) {
	peer := e.engine.peerOf(e.ticket.Gateway, now)
	p.emit(e, Decision{Grant: &Grant{
		Ticket:   e.ticket.ID,
		Epoch:    p.epoch,
		Upstream: e.engine.upstream.Name,
		Version:  e.version,
		First:    e.expectedFirstToken,
		Limited:  e.engine.rate != nil || e.engine.brittle != nil,
		Trial:    p.isTrial(e),
		Choice:   e.choice,
		Peer:     peer.gateway,
		PeerAge:  now - peer.at,
		TTL:      e.grantExpires - now,
	}})
}

// refuse refuses a ticket that holds no slot and is in no queue.
func (p *Pool) refuse(e *entry, reason Reason, now time.Duration) {
	tier := p.tierOf(e)
	tier.shed = true
	tier.shedAt = now
	e.refusal = Refusal{Ticket: e.ticket.ID, Reason: reason, RetryAfter: p.retryAfter(e, reason, now)}
	e.state = stateRefused
	p.endTrial(e, false, false, now)
	p.releaseQuota(e)
	p.releaseRetry(e)
	refusal := e.refusal
	p.emit(e, Decision{Refusal: &refusal})
	p.forgetLater(e, now)
}

// forgetLater keeps a finished ticket for finishedRetention, to answer
// duplicates.
func (p *Pool) forgetLater(e *entry, now time.Duration) {
	e.ticket.Prefixes = nil
	p.timers.add(timer{at: now + finishedRetention, kind: timerForget, entry: e})
}

// Cancel implements Scheduler.
func (p *Pool) Cancel(id ident.RequestID, now time.Duration) {
	if e, known := p.entries[id]; known && e.state == stateWaiting {
		p.dequeue(e)
		p.end(e, now)
	} else if known && e.state == stateUndecided {
		p.end(e, now)
	}
	p.step(now)
}

// end marks a ticket that holds no slot and is in no queue as ended.
func (p *Pool) end(e *entry, now time.Duration) {
	p.endTrial(e, false, false, now)
	p.releaseQuota(e)
	p.releaseRetry(e)
	e.state = stateEnded
	p.forgetLater(e, now)
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
