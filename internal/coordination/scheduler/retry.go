package scheduler

import (
	"fmt"
	"math"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// leaseRetryRatio and leaseRetryBurst bound the retries of a scheduler under a lease.
	leaseRetryRatio = 0.1
	leaseRetryBurst = 20
	// maxRetries bounds the retries of one ticket.
	maxRetries = 3
	// defaultRetryWindow is the window in which retries count if the view names none.
	defaultRetryWindow = 10 * time.Second
	// windowSteps is the number of steps into which the window is divided, minRetryStep the
	// least length of a step, and retrySteps bounds the steps that are kept.
	windowSteps  = 40
	minRetryStep = 50 * time.Millisecond
	retrySteps   = 64
	// A gateway gets at most gatewayShares times its share of the burst, at least
	// minGatewayRetries, beyond the ratio of its own requests. That bounds what a gateway
	// has sent that is lost together with its log.
	gatewayShares     = 2
	minGatewayRetries = 3
)

// retryBudget bounds the retries of a pool: in any window, all gateways together send at most
// ratio times their requests, and burst more.
//
// Each gateway brings an equal share of the burst to the scheduler that serves it, and what
// its own requests earn. A share that another scheduler may have used within the window is
// not available, unless it is known what all gateways of that scheduler have sent.
type retryBudget struct {
	ratio, burst float64
	// window is the length of a window and step that of its steps.
	window, step time.Duration
	// shared is true where other schedulers may serve the pool at the same time.
	shared bool
	// grace is how long a gateway that left the view may go on serving.
	grace time.Duration
	// createdAt is when the scheduler began, and knownFrom the time from which on its members
	// are known.
	createdAt, knownFrom time.Duration
	gateways             map[ident.NodeID]*retryGateway
	members              map[ident.NodeID]*retryMember
	counts               retryCounts
}

// retryCounts is the part of the account that takes all gateways and members to count. It
// holds within one step of the window until a member or a gateway ages out.
type retryCounts struct {
	valid       bool
	step        int64
	from, until time.Duration
	// sent and firsts follow what is counted in the meantime; the rest of account stays.
	account retryAccount
}

// retryGateway is what a gateway has sent within the window, as far as it is known.
type retryGateway struct {
	served bool
	// since is when the scheduler began to serve the gateway, leftAt when it stopped, and
	// knownFrom the time from which on it is known what the gateway has sent.
	since, leftAt, knownFrom time.Duration
	// firsts and retries hold what was granted, by step up to the current one, and sums
	// that of the window.
	firsts, retries       [retrySteps]int32
	at                    int64
	firstsSum, retriesSum int
	// reserved counts the retries that wait for their grants.
	reserved int
}

// retryMember is a gateway of the view. A near one may have shared a scheduler with the
// gateways that this one serves.
type retryMember struct {
	listed, near       bool
	listedTil, nearTil time.Duration
}

func newRetryBudget(now time.Duration) retryBudget {
	return retryBudget{
		ratio: leaseRetryRatio, burst: leaseRetryBurst, window: defaultRetryWindow, step: defaultRetryWindow / windowSteps,
		createdAt: now, knownFrom: now, gateways: make(map[ident.NodeID]*retryGateway), members: make(map[ident.NodeID]*retryMember),
	}
}

// configure applies the view of the scheduler. A changed window forgets what is known.
func (b *retryBudget) configure(v View, now time.Duration) {
	s := v.Shared
	if s == nil {
		return
	}
	b.counts.valid = false
	b.shared, b.ratio, b.burst, b.grace = true, s.RetryRatio, s.RetryBurst, s.CutOffGrace
	if s.FirstStart {
		b.knownFrom = math.MinInt64 / 2
	}
	if window := max(s.RetryWindow, 0); window != 0 && window != b.window {
		b.window, b.step = window, max(window/windowSteps, minRetryStep)
		for _, g := range b.gateways {
			*g = retryGateway{served: g.served, since: now, leftAt: g.leftAt, knownFrom: now, reserved: g.reserved}
		}
	}
	b.updateMembers(v.Gateways, s.Neighbours, now)
}

// updateMembers records which gateways the view lists, and which of them are near; all if
// that is unknown.
func (b *retryBudget) updateMembers(gateways, near []ident.NodeID, now time.Duration) {
	listed, isNear := make(map[ident.NodeID]bool, len(gateways)), make(map[ident.NodeID]bool, len(near))
	for _, id := range near {
		isNear[id] = true
	}
	for _, id := range gateways {
		listed[id] = true
		if b.members[id] == nil {
			b.members[id] = &retryMember{}
		}
	}
	for id, m := range b.members {
		nearNow := listed[id] && (near == nil || isNear[id])
		if m.listed && !listed[id] {
			m.listedTil = now
		}
		if m.near && !nearNow {
			m.nearTil = now
		}
		m.listed, m.near = listed[id], nearNow
		if !m.listed && now-m.listedTil > max(b.grace, b.retention()) && now-m.nearTil > b.retention() {
			delete(b.members, id)
		}
	}
}

// retention is how long a granted retry counts: it may be sent as late as its grant expires,
// and the window may begin then.
func (b *retryBudget) retention() time.Duration { return b.window + GrantTTL }

// stepAt returns the number of the step at a time, which may lie before the origin.
func (b *retryBudget) stepAt(at time.Duration) int64 {
	return int64((at + 1<<20*b.step) / b.step)
}

// gateway returns the account of a gateway, advanced to now.
func (b *retryBudget) gateway(id ident.NodeID, now time.Duration) *retryGateway {
	g := b.gateways[id]
	if g == nil {
		g = &retryGateway{at: b.stepAt(now), since: now, leftAt: now, knownFrom: now}
		b.gateways[id] = g
	}
	b.slide(g, now)
	return g
}

// retrySpan and firstSpan return the numbers of steps in which retries and requests count.
func (b *retryBudget) retrySpan() int64 { return int64(b.retention()/b.step) + 1 }
func (b *retryBudget) firstSpan() int64 { return int64(b.window / b.step) }

// slide advances an account to now.
func (b *retryBudget) slide(g *retryGateway, now time.Duration) {
	at := b.stepAt(now)
	if at-g.at >= retrySteps {
		g.firsts, g.retries = [retrySteps]int32{}, [retrySteps]int32{}
		g.firstsSum, g.retriesSum, g.at = 0, 0, at
		return
	}
	for g.at < at {
		g.at++
		first, retry := (g.at-b.firstSpan())%retrySteps, (g.at-b.retrySpan())%retrySteps
		g.firstsSum -= int(g.firsts[first])
		g.retriesSum -= int(g.retries[retry])
		g.firsts[first], g.retries[retry] = 0, 0
	}
}

// add counts a request or a retry that was granted in a step.
func (b *retryBudget) add(g *retryGateway, at int64, firsts, retries int) {
	if at > g.at-b.firstSpan() && at <= g.at {
		g.firsts[at%retrySteps] += int32(firsts)
		g.firstsSum += firsts
		b.recount(g, 0, firsts)
	}
	if at > g.at-b.retrySpan() && at <= g.at {
		g.retries[at%retrySteps] += int32(retries)
		g.retriesSum += retries
		b.recount(g, retries, 0)
	}
}

// recount follows a change of a gateway's retries, reserved ones included, and requests.
func (b *retryBudget) recount(g *retryGateway, sent, firsts int) {
	if !g.served && b.shared {
		b.counts.valid = false
		return
	}
	b.counts.account.sent += sent
	b.counts.account.firsts += firsts
}

// register records that the scheduler serves a gateway from now on and what the gateway has
// sent; nil if it does not say so. Restarted is true for another process of a gateway that
// was known.
func (b *retryBudget) register(id ident.NodeID, restarted bool, sent *RetryUsage, now time.Duration) {
	g := b.gateway(id, now)
	b.counts.valid = false
	knownFrom := now
	if sent != nil {
		knownFrom = now - sent.Known
	}
	if g.served && !restarted {
		knownFrom = min(knownFrom, g.knownFrom)
	}
	g.knownFrom = knownFrom
	if !g.served {
		g.served, g.since = true, now
	}
	if sent == nil {
		return
	}
	// The gateway's own log replaces what was granted since the log began.
	for at := max(b.stepAt(now-sent.Known), g.at-retrySteps+1); at <= g.at; at++ {
		b.add(g, at, -int(g.firsts[at%retrySteps]), -int(g.retries[at%retrySteps]))
	}
	for _, s := range sent.Steps {
		b.add(g, b.stepAt(now-s.Age), s.Firsts, s.Retries)
	}
}

// depart records that the scheduler no longer serves a gateway.
func (b *retryBudget) depart(id ident.NodeID, now time.Duration) {
	if g := b.gateways[id]; g != nil && g.served {
		g.served, g.leftAt = false, now
		b.counts.valid = false
	}
}

// retryAccount is the state of a retry budget.
type retryAccount struct {
	// left is what is left, in retries, own what is left to the gateway that asks, and share
	// the share of one gateway in the burst.
	left, own, share float64
	// sent counts the retries of the window, reserved ones included, and firsts the requests.
	sent, firsts int
	// gateways are served here, of fleet in all. Of unknown ones it is not known what they
	// have sent in the window, fresh ones were served by another scheduler in it, and
	// strangers may have used the shares of these.
	gateways, fleet, unknown, fresh, strangers int
	// withheld is the part of the burst that another scheduler may have used.
	withheld float64
}

// String implements fmt.Stringer.
func (a retryAccount) String() string {
	return fmt.Sprintf("%d retries and %d requests in the window, %.1f of the burst for each of %d of %d gateways, %.1f of it withheld: %d gateways unknown, %d new here, %d elsewhere",
		a.sent, a.firsts, a.share, a.gateways, a.fleet, a.withheld, a.unknown, a.fresh, a.strangers)
}

// account returns the state of the budget.
func (b *retryBudget) account(now time.Duration) retryAccount {
	if c := &b.counts; !c.valid || now < c.from || now >= c.until || b.stepAt(now) != c.step {
		b.counts = b.count(now)
	}
	a := b.counts.account
	used := float64(a.sent) - b.ratio*float64(a.firsts)
	if !b.shared {
		a.unknown, a.fresh = 0, 0
		a.left = b.burst - used
		return a
	}
	begin := now - b.retention()
	lost := float64(a.strangers+a.unknown) * (b.limit(a.share) - a.share)
	if b.knownFrom > begin {
		// Gateways that have left before may have used the shares.
		lost = b.burst
	}
	a.withheld += float64(a.unknown)*a.share + min(lost, float64(a.fresh)*a.share)
	a.left = float64(a.gateways)*a.share - a.withheld - used
	if a.fleet == 1 && b.createdAt > begin {
		// A new process may not know of the other gateways yet.
		a.left = -used
	}
	return a
}

// count counts what all gateways have sent and the members. Withheld is set to what gateways
// that are no longer served have used beyond their shares.
func (b *retryBudget) count(now time.Duration) retryCounts {
	c := retryCounts{valid: true, step: b.stepAt(now), from: now, until: math.MaxInt64}
	a := &c.account
	retention := b.retention()
	begin := now - retention
	a.fleet = b.fleet(now)
	a.share = b.burst / float64(a.fleet)
	// mixed is true if a gateway came that is not near: the view is older than the shards.
	mixed := false
	for id, g := range b.gateways {
		b.slide(g, now)
		if !g.served && b.shared {
			if g.leftAt <= begin {
				delete(b.gateways, id)
				continue
			}
			c.endAt(g.leftAt + retention)
			// It may have used the shares of others that are served here.
			a.withheld += max(0, float64(g.retriesSum+g.reserved)-b.ratio*float64(g.firstsSum)-a.share)
			continue
		}
		if g.served {
			a.gateways++
		}
		a.sent += g.retriesSum + g.reserved
		a.firsts += g.firstsSum
		switch {
		case g.knownFrom > begin:
			a.unknown++
		case g.since > begin:
			a.fresh++
			mixed = mixed || b.members[id] == nil || !b.members[id].near
		}
		c.endAt(g.knownFrom + retention)
		c.endAt(g.since + retention)
	}
	for id, m := range b.members {
		if !m.listed {
			c.endAt(m.listedTil + max(b.grace, retention))
		}
		c.endAt(m.nearTil + retention)
		if g := b.gateways[id]; b.shared && (m.near || m.nearTil > begin || mixed) && (g == nil || !g.served) {
			a.strangers++
		}
	}
	return c
}

// endAt ends the validity of counts at a time unless that has passed.
func (c *retryCounts) endAt(at time.Duration) {
	if at > c.from {
		c.until = min(c.until, at)
	}
}

// fleet returns the number of gateways that may use a share of the burst.
func (b *retryBudget) fleet(now time.Duration) int {
	n := 0
	for _, m := range b.members {
		if m.listed || now-m.listedTil < max(b.grace, b.retention()) {
			n++
		}
	}
	for id, g := range b.gateways {
		if g.served && b.members[id] == nil {
			n++
		}
	}
	return max(1, n)
}

// limit returns what one gateway may use of the burst, given the share of one.
func (b *retryBudget) limit(share float64) float64 {
	return min(b.burst, max(gatewayShares*share, minGatewayRetries))
}

// reserve reserves a retry of a gateway's request if the budget allows one. The retry counts
// until it is released, or counted when it is granted.
func (b *retryBudget) reserve(id ident.NodeID, now time.Duration) (a retryAccount, ok bool) {
	g := b.gateway(id, now)
	a = b.account(now)
	ok = a.left >= 1
	if b.shared {
		own := b.ratio*float64(g.firstsSum) - float64(g.retriesSum+g.reserved)
		if g.knownFrom <= now-b.retention() {
			own += b.limit(a.share)
		}
		ok = ok && own >= 1
		a.own = own
	} else {
		a.own = a.left
	}
	if ok {
		b.hold(g, 1)
		a.left, a.own, a.sent = a.left-1, a.own-1, a.sent+1
	}
	return a, ok
}

// release returns a reserved retry.
func (b *retryBudget) release(id ident.NodeID) {
	if g := b.gateways[id]; g != nil && g.reserved > 0 {
		b.hold(g, -1)
	}
}

// hold adds to the reserved retries of a gateway.
func (b *retryBudget) hold(g *retryGateway, retries int) {
	g.reserved += retries
	b.recount(g, retries, 0)
}

// countFirst counts the first grant of a request, and returns its step.
func (b *retryBudget) countFirst(id ident.NodeID, now time.Duration) int64 {
	g := b.gateway(id, now)
	b.add(g, g.at, 1, 0)
	return g.at
}

// countRetry counts the grant of a reserved retry, and returns its step.
func (b *retryBudget) countRetry(id ident.NodeID, now time.Duration) int64 {
	g := b.gateway(id, now)
	if g.reserved > 0 {
		b.hold(g, -1)
	}
	b.add(g, g.at, 0, 1)
	return g.at
}

// uncount takes back requests or retries that were granted in a step and not sent.
func (b *retryBudget) uncount(id ident.NodeID, at int64, firsts, retries int) {
	if g := b.gateways[id]; g != nil {
		b.add(g, at, -firsts, -retries)
	}
}
