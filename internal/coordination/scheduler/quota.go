package scheduler

import (
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// quotaSteps is the number of steps in which a quota's window slides.
	quotaSteps = 64
	// lowUrgencyFraction is the part of a window that the least urgent requests of a
	// team may fill; the rest is left for its more urgent ones.
	lowUrgencyFraction = 0.9
	// lowUrgencyBurstFraction is the same for what may be used at once.
	lowUrgencyBurstFraction = 0.5
	// smallRequestFraction is the part of a window below which a request is too small to
	// use up a quota, and quotaSmallRoom the part of a window kept for such
	// requests. It is less than what the limits leave of the permitted overage.
	smallRequestFraction = 0.001
	smallRequestReserve  = 0.01
	// registrationOverlap is how long the former scheduler of a gateway may go on
	// counting it, if it can't be told that the gateway left: the silence after
	// which a session ends (1.45 s) and a tick. Until then a scheduler of a part of
	// the gateways lets a team near its quota use no more than they used before.
	registrationOverlap = 1500 * time.Millisecond
)

// QuotaLimit bounds what one team may use in any window of a fixed length.
type QuotaLimit struct {
	Team ident.TeamName
	// Tokens is the most that may be used within Window.
	Tokens float64
	Window time.Duration
	// PerSecond is the rate that the team may use without end, and AtOnce the tokens
	// that it may use at once beside it. A window's tokens are then given out evenly,
	// but for those and at least burstPart of them. With a rate of 0 all of a
	// window's tokens may be used at once.
	PerSecond float64
	AtOnce    float64
}

const (
	// burstFraction is the part of a window's tokens that any team may use at once: more
	// than a second's use, and many times a request.
	burstFraction = 0.15
	// minBurstFraction is the same where the rate leaves less of a window.
	minBurstFraction = 0.05
)

// burst is how many tokens may be used at once, and refill the rate at which they
// come anew: over any window both together are no more than its tokens.
func (l QuotaLimit) burst() (tokens, refill float64) {
	if l.PerSecond <= 0 {
		return l.Tokens, 0
	}
	window := l.Window.Seconds()
	refill = (l.Tokens - max(l.AtOnce, burstFraction*l.Tokens)) / window
	if refill < l.PerSecond {
		refill = min(l.PerSecond, (1-minBurstFraction)*l.Tokens/window)
	}
	return l.Tokens - refill*window, refill
}

// Quotas keeps what teams use through the gateways of all schedulers of a
// process. It is safe for concurrent use. Times are readings of one clock.
type Quotas struct {
	mu    sync.Mutex
	teams map[ident.TeamName]*teamQuota
	// hot teams were near their quotas lately, as far as all schedulers know.
	hot map[ident.TeamName]bool
	// gateways are those that are served here and those that were lately; departed
	// is the number of the latter.
	gateways map[ident.NodeID]*quotaGateway
	departed int
	// knownFrom is from when on it is known what every gateway served here has sent.
	knownFrom time.Time
	// overlapUntil is until when another scheduler may still count a gateway that
	// registered here.
	overlapUntil time.Time
}

// teamQuota is one team's quota and its use in the latest window.
type teamQuota struct {
	limit QuotaLimit
	// gateways holds the use by the gateway that sent the requests, and total that
	// through all of them.
	gateways map[ident.NodeID]*usage
	total    usage
	// baseline is the use that the latest new gateways baseline with them.
	baseline float64
	// pending is the cost of the requests that wait.
	pending float64
	// scheduledRetries are the tokens of requests that were told when to come back.
	scheduledRetries float64
	scheduledAt      time.Time
}

// usage is a sliding window of tokens.
type usage struct {
	steps [quotaSteps]float64
	// step is the number of the present step since the clock's origin.
	step int64
	sum  float64
}

// NewQuotas returns quotas without limits.
func NewQuotas() *Quotas {
	return &Quotas{teams: make(map[ident.TeamName]*teamQuota), gateways: make(map[ident.NodeID]*quotaGateway)}
}

// SetLimits replaces the limits. Teams without one are not bounded.
func (q *Quotas) SetLimits(limits []QuotaLimit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := make(map[ident.TeamName]*teamQuota, len(limits))
	for _, limit := range limits {
		t := q.teams[limit.Team]
		if t == nil {
			t = &teamQuota{gateways: make(map[ident.NodeID]*usage)}
		}
		t.limit = limit
		next[limit.Team] = t
	}
	q.teams = next
}

// stepLength is the length of one step of the window, in nanoseconds.
func (l QuotaLimit) stepLength() int64 { return max(1, int64(l.Window)/quotaSteps) }

// usageOf returns the use through a gateway, slid to the present.
func (t *teamQuota) usageOf(gateway ident.NodeID, now time.Time) *usage {
	u := t.gateways[gateway]
	if u == nil {
		u = &usage{step: now.UnixNano() / t.limit.stepLength()}
		t.gateways[gateway] = u
	}
	u.slide(now.UnixNano() / t.limit.stepLength())
	return u
}

// slide forgets what was used before the window that ends with a step.
func (u *usage) slide(step int64) {
	u.step = max(u.step, step-quotaSteps)
	for u.step < step {
		u.step++
		u.sum -= u.steps[u.step%quotaSteps]
		u.steps[u.step%quotaSteps] = 0
	}
}

// add counts tokens a number of steps ago.
func (u *usage) add(tokens float64, ago int64) {
	if ago < 0 || ago >= quotaSteps || u.step < ago {
		return
	}
	u.steps[(u.step-ago)%quotaSteps] += tokens
	u.sum += tokens
}

// add counts tokens that a gateway sent a number of steps ago.
func (t *teamQuota) add(u *usage, tokens float64, ago int64) {
	u.add(tokens, ago)
	t.total.slide(u.step)
	t.total.add(tokens, ago+t.total.step-u.step)
}

// used is what a team has used in the window that ends now, as far as it is known
// here: through the gateways that are served here, and through all of them, those
// included that were served here before. The caller holds the lock.
func (q *Quotas) used(t *teamQuota, now time.Time) (here, all float64) {
	step := now.UnixNano() / t.limit.stepLength()
	t.total.slide(step)
	if q.departed == 0 {
		return t.total.sum, t.total.sum
	}
	for gateway, u := range t.gateways {
		if g := q.gateways[gateway]; g != nil && g.isServed() {
			u.slide(step)
			here += u.sum
		}
	}
	return here, t.total.sum
}

// Admit lets a request wait if its team's quota, of which the given portion
// counts here, allows it beside those that wait already. Urgency runs from 0,
// the team's least urgent requests, to 1. Otherwise it returns when a request
// that comes back may hope for room.
//
// Invariant: what is admitted here stays within the portion for the gateways that
// are served here, and within the whole quota together with what former gateways
// were last known to have used.
func (q *Quotas) Admit(team ident.TeamName, tokens, fraction, urgency float64, now time.Time) (ok bool, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.teams[team]
	if t == nil || tokens <= 0 {
		return true, 0
	}
	limit := t.limit.Tokens * fraction
	allowed := allowedTokens(limit, tokens, urgency)
	if fraction < 1 && q.hot[team] && now.Before(q.overlapUntil) {
		allowed = min(allowed, t.baseline)
	}
	here, all := q.used(t, now)
	waiting := t.pending + q.unknownUsage(team, limit, t.limit.Window, now)
	burst, refill := t.limit.burst()
	deficit := max(
		here+waiting+tokens-allowed,
		all+waiting+tokens-allowedTokens(t.limit.Tokens, tokens, urgency),
		t.excess(refill, now)+t.pending+tokens-allowedBurst(burst, t.limit.Tokens, tokens, urgency),
	)
	if deficit <= 0 || all+waiting <= 0 {
		t.pending += tokens
		return true, 0
	}
	return false, t.scheduleRetry(tokens, deficit, limit/t.limit.Window.Seconds(), now)
}

// allowedTokens is how much of a limit may be used after a request is admitted.
func allowedTokens(limit, tokens, urgency float64) float64 {
	if tokens < limit*smallRequestFraction {
		return limit * (1 + smallRequestReserve)
	}
	return limit * (lowUrgencyFraction + (1-lowUrgencyFraction)*urgency)
}

// allowedBurst is how much of a burst may be used after a request is admitted.
func allowedBurst(burst, limit, tokens, urgency float64) float64 {
	if tokens < limit*smallRequestFraction {
		return burst + limit*smallRequestReserve
	}
	return burst * (lowUrgencyBurstFraction + (1-lowUrgencyBurstFraction)*urgency)
}

// excess is the most that a team has used beyond the refill since any moment of
// the window that ends now. A team that sends many times its quota gets its rate at
// every moment, not all of a window's tokens at once and then nothing.
func (t *teamQuota) excess(refill float64, now time.Time) float64 {
	step := now.UnixNano() / t.limit.stepLength()
	t.total.slide(step)
	perStep := refill * t.limit.Window.Seconds() / quotaSteps
	most, sum := 0.0, 0.0
	for ago := range min(quotaSteps, step+1) {
		if ago > 0 {
			// Nothing came anew for certain in the present step.
			sum -= perStep
		}
		sum += t.total.steps[(step-ago)%quotaSteps]
		most = max(most, sum)
	}
	return most
}

// unknownUsage estimates what a team used in the window before it is known what the
// gateways have sent: a hot team up to what the least urgent requests may use,
// others as much as makes a team hot.
func (q *Quotas) unknownUsage(team ident.TeamName, limit float64, window time.Duration, now time.Time) float64 {
	if now.Sub(q.knownFrom) >= window {
		return 0
	}
	fraction := hotFraction
	if q.hot[team] {
		fraction = lowUrgencyFraction
	}
	missing, served := 0.0, 0
	for _, g := range q.gateways {
		if g.isServed() {
			served++
			missing += g.unknownFraction(window, now)
		}
	}
	if missing == 0 {
		return 0
	}
	return limit * fraction * missing / float64(served)
}

// scheduleRetry returns when the deficit and all that was promised before will have
// been worked off at the given rate, and adds the tokens to the promises.
func (t *teamQuota) scheduleRetry(tokens, deficit, perSecond float64, now time.Time) time.Duration {
	if perSecond <= 0 {
		return maxRetryAfter
	}
	passed := max(0, now.Sub(t.scheduledAt).Seconds())
	t.scheduledRetries = max(0, t.scheduledRetries-passed*perSecond)
	t.scheduledAt = now
	wait := seconds((deficit + t.scheduledRetries) / perSecond)
	t.scheduledRetries += tokens
	return wait
}

// Release ends the waiting of an admitted request.
func (q *Quotas) Release(team ident.TeamName, tokens float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t := q.teams[team]; t != nil {
		t.pending = max(0, t.pending-tokens)
	}
}

// Spend counts a request that a gateway sends now.
func (q *Quotas) Spend(team ident.TeamName, gateway ident.NodeID, tokens float64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t := q.teams[team]; t != nil {
		t.add(t.usageOf(gateway, now), tokens, 0)
	}
}

const (
	// hotFraction is the part of a quota above which a team is hot, and coolPart the
	// part below which it no longer is.
	hotFraction  = 0.65
	coolFraction = 0.55
)

// SetHot tells the teams that are hot as far as all schedulers know.
func (q *Quotas) SetHot(teams []ident.TeamName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hot = make(map[ident.TeamName]bool, len(teams))
	for _, team := range teams {
		q.hot[team] = true
	}
}

// Hot returns the teams that are hot by what is known here, in order.
func (q *Quotas) Hot(now time.Time) []ident.TeamName {
	q.mu.Lock()
	defer q.mu.Unlock()
	var hot []ident.TeamName
	for name, t := range q.teams {
		_, all := q.used(t, now)
		fraction := all / t.limit.Tokens
		if fraction > hotFraction || fraction > coolFraction && q.hot[name] {
			hot = append(hot, name)
		}
	}
	slices.Sort(hot)
	return hot
}
