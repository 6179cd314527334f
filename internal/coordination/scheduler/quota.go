package scheduler

import (
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// lowUrgencyFraction is the fraction of a window that a team's least urgent
	// requests may fill. The rest is reserved for its more urgent ones.
	lowUrgencyFraction = 0.9
	// lowUrgencyBurstFraction is the fraction of a quota's burst that a team's
	// least urgent requests may use. The rest is reserved for its more urgent ones.
	lowUrgencyBurstFraction = 0.5
	// smallRequestFraction is the fraction of a window below which a request is
	// too small to use up a quota. smallRequestReserve is the fraction of a
	// window kept for such requests beyond the limit; it is less than the margin
	// between the limits and the permitted overage.
	smallRequestFraction = 0.001
	smallRequestReserve  = 0.01
	// registrationOverlap is how long the previous scheduler of a gateway may go
	// on counting it if it cannot detect that the gateway left: the silence after
	// which a session ends (1.45 s) plus a tick. Until then, a scheduler that
	// serves only some of the gateways leaves the part of such gateways in the quota
	// of a team near it unused, beyond the usage recorded when the latest registered.
	registrationOverlap = 1500 * time.Millisecond
)

// QuotaLimit bounds what one team may use in any window of a fixed length.
type QuotaLimit struct {
	Team ident.TeamName
	// Tokens is the most that may be used within Window.
	Tokens float64
	Window time.Duration
	// PerSecond is the rate that the team may sustain, and AtOnce the tokens that
	// it may use at once in addition. The tokens of a window are spread evenly
	// over it, except for a burst of AtOnce tokens or burstFraction of them,
	// whichever is more. If PerSecond is 0, all tokens of a window may be used at
	// once.
	PerSecond float64
	AtOnce    float64
}

const (
	// burstFraction is the fraction of a window's tokens that any team may use at
	// once, unless PerSecond leaves less. It is more than a second's use and many
	// times the cost of a request.
	burstFraction = 0.15
	// minBurstFraction is the smallest burst, as a fraction of a window's tokens.
	// The burst is reduced down to it where a larger one would leave too few tokens
	// to refill at PerSecond.
	minBurstFraction = 0.05
)

// burst returns how many tokens may be used at once, and the rate in tokens per
// second at which they are refilled. Over any window, both together do not exceed
// its tokens.
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

// Quotas tracks what teams use through the gateways of all schedulers of a
// process. It is safe for concurrent use. All times must be readings of one
// clock; if they have a monotonic one, steps of the wall clock make no difference.
type Quotas struct {
	mu sync.Mutex
	// origin is the time from which the steps of the windows are counted. It is before all
	// times that are passed in.
	origin time.Time
	teams  map[ident.TeamName]*teamQuota
	// fraction is the latest fraction of the quotas that applied here; 0 before any.
	fraction float64
	// hot holds the teams that were near their quotas recently, according to all
	// schedulers.
	hot map[ident.TeamName]bool
	// gateways holds the gateways that are served by this process or recently
	// were; departed is the number of the latter.
	gateways map[ident.NodeID]*quotaGateway
	departed int
	// knownFrom is the time from which on it is known what every gateway served
	// by this process has sent.
	knownFrom time.Time
	// overlapUntil is the time until which another scheduler may still count a
	// gateway that registered here.
	overlapUntil time.Time
}

// teamQuota is one team's quota and its usage in the current window.
type teamQuota struct {
	limit QuotaLimit
	// gateways holds the usage by the gateway that sent the requests, and total
	// the sum over all gateways.
	gateways map[ident.NodeID]*usage
	total    usage
	// baseline is the team's usage when a new gateway last registered.
	baseline float64
	// pending is the cost of the waiting requests.
	pending float64
	// scheduledRetries is the cost of refused requests whose retry time, given in
	// the refusal, has not come by scheduledAt.
	scheduledRetries float64
	scheduledAt      time.Time
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

// stepLength returns the length of one step of the window, in nanoseconds.
func (l QuotaLimit) stepLength() int64 { return max(1, int64(l.Window)/quotaSteps) }

// originLead is how long before the first time that is passed in the windows' steps begin. A
// scheduler may pass in a time a little before one of another scheduler.
const originLead = time.Hour

// step returns the step of a team's window at a time. The caller holds the lock.
func (q *Quotas) step(t *teamQuota, now time.Time) int64 {
	if q.origin.IsZero() {
		q.origin = now.Add(-originLead)
	}
	return max(0, int64(now.Sub(q.origin))/t.limit.stepLength())
}

// usageOf returns the usage through a gateway, advanced to a step.
func (t *teamQuota) usageOf(gateway ident.NodeID, step int64) *usage {
	u := t.gateways[gateway]
	if u == nil {
		u = &usage{step: step}
		t.gateways[gateway] = u
	}
	u.slide(step)
	return u
}

// add counts tokens that a gateway sent the given number of steps ago.
func (t *teamQuota) add(u *usage, tokens float64, ago int64) {
	u.add(tokens, ago)
	t.total.slide(u.step)
	t.total.add(tokens, ago+t.total.step-u.step)
}

// used returns what a team has used in the window that ends now, as far as this
// process knows: here counts the gateways that it serves, and all also those that
// it served before. The caller holds the lock.
func (q *Quotas) used(t *teamQuota, now time.Time) (here, all float64) {
	step := q.step(t, now)
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

// usageHere returns the usage of the gateways that this process serves, slid to now like
// the total. The caller holds the lock.
func (q *Quotas) usageHere(t *teamQuota, now time.Time) *usage {
	step := q.step(t, now)
	t.total.slide(step)
	if q.departed == 0 {
		return &t.total
	}
	here := &usage{step: step}
	for gateway, u := range t.gateways {
		if g := q.gateways[gateway]; g != nil && g.isServed() {
			u.slide(step)
			here.sum += u.sum
			for i, tokens := range u.steps {
				here.steps[i] += tokens
			}
		}
	}
	return here
}

// Admit lets a request wait if its team's quota, of which the given fraction
// applies here, allows it in addition to the requests that already wait. Urgency
// runs from 0, for the team's least urgent requests, to 1. If the request is
// refused, Admit returns how long to wait before a retry may be admitted.
//
// Invariant: requests admitted here stay within the given fraction, of the window and of
// the burst and its refill, for the gateways that this process serves and, together with
// the last known usage of former gateways, within the whole quota.
func (q *Quotas) Admit(team ident.TeamName, tokens, fraction, urgency float64, now time.Time) (ok bool, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fraction = fraction
	t := q.teams[team]
	if t == nil || tokens <= 0 {
		return true, 0
	}
	limit := t.limit.Tokens * fraction
	allowed := allowedTokens(limit, tokens, urgency)
	if fraction < 1 && q.hot[team] && now.Before(q.overlapUntil) {
		allowed = min(allowed, max(t.baseline, allowed*(1-q.overlapFraction(now))))
	}
	here, all := q.usageHere(t, now), &t.total
	waiting := t.pending + q.unknownUsage(team, limit, t.limit.Window, now)
	burst, refill := t.limit.burst()
	deficit := max(
		here.sum+waiting+tokens-allowed,
		all.sum+waiting+tokens-allowedTokens(t.limit.Tokens, tokens, urgency),
		// One request may exceed a small fraction of the burst, or it could never be sent.
		here.excess(fraction*refill, t.limit.Window)+t.pending+tokens-max(tokens, allowedBurst(fraction*burst, limit, tokens, urgency)),
	)
	if here != all {
		deficit = max(deficit, all.excess(refill, t.limit.Window)+t.pending+tokens-allowedBurst(burst, t.limit.Tokens, tokens, urgency))
	}
	if deficit <= 0 || all.sum+waiting <= 0 {
		t.pending += tokens
		return true, 0
	}
	return false, t.scheduleRetry(tokens, deficit, limit/t.limit.Window.Seconds(), now)
}

// allowedTokens returns how much of a limit may be used once the request is
// included.
func allowedTokens(limit, tokens, urgency float64) float64 {
	if tokens < limit*smallRequestFraction {
		return limit * (1 + smallRequestReserve)
	}
	return limit * (lowUrgencyFraction + (1-lowUrgencyFraction)*urgency)
}

// allowedBurst returns how much of a burst may be used once the request is
// included.
func allowedBurst(burst, limit, tokens, urgency float64) float64 {
	if tokens < limit*smallRequestFraction {
		return burst + limit*smallRequestReserve
	}
	return burst * (lowUrgencyBurstFraction + (1-lowUrgencyBurstFraction)*urgency)
}

// unknownUsage estimates what a team used in the part of the window for which it
// is not known what the gateways sent. For a hot team it assumes as much as the
// least urgent requests may use, for others the usage at which a team becomes hot.
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

// scheduleRetry returns the time in which the deficit and all scheduled retries
// will have been worked off at the given rate, and adds the tokens to the
// scheduled retries.
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

// Release ends the wait of an admitted request.
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
		t.add(t.usageOf(gateway, q.step(t, now)), tokens, 0)
	}
}

const (
	// hotFraction is the fraction of a quota above which a team becomes hot, and
	// coolFraction the fraction below which it no longer is.
	hotFraction  = 0.65
	coolFraction = 0.55
)

// SetHot sets the teams that are hot according to all schedulers.
func (q *Quotas) SetHot(teams []ident.TeamName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.hot = make(map[ident.TeamName]bool, len(teams))
	for _, team := range teams {
		q.hot[team] = true
	}
}

// Hot returns the teams that are hot according to the usage known here and the fraction
// of the quotas that applies to it, sorted by name.
func (q *Quotas) Hot(now time.Time) []ident.TeamName {
	q.mu.Lock()
	defer q.mu.Unlock()
	var hot []ident.TeamName
	for name, t := range q.teams {
		_, all := q.used(t, now)
		fraction := all / (t.limit.Tokens * q.applies())
		if fraction > hotFraction || fraction > coolFraction && q.hot[name] {
			hot = append(hot, name)
		}
	}
	slices.Sort(hot)
	return hot
}

// minReportedUse is the part of this scheduler's fraction of a quota from which a team's
// use is reported.
const minReportedUse = 0.3

// Use returns the parts of their whole quotas that teams have used here; nil if the whole
// quotas apply here. Teams that have used little are left out.
func (q *Quotas) Use(now time.Time) map[ident.TeamName]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.applies() >= 1 {
		return nil
	}
	use := make(map[ident.TeamName]float64)
	for name, t := range q.teams {
		here, _ := q.used(t, now)
		if part := here / t.limit.Tokens; part > minReportedUse*q.applies() {
			use[name] = part
		}
	}
	return use
}

// applies returns the fraction of the quotas that applies here. The caller holds the lock.
func (q *Quotas) applies() float64 {
	if q.fraction <= 0 {
		return 1
	}
	return q.fraction
}
