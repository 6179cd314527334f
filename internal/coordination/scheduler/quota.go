package scheduler

import (
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// quotaSteps is the number of steps in which a quota's window slides.
	quotaSteps = 64
	// quotaLowest is the part of a window that the least urgent requests of a
	// team may fill; the rest is left for its more urgent ones. What is agreed,
	// without overage, slack and burst, stays below it.
	quotaLowest = 0.9
	// quotaSmall is the part of a window below which a request is too small to
	// use up a quota, and quotaSmallRoom the part of a window kept for such
	// requests. It is less than what the limits leave of the permitted overage.
	quotaSmall     = 0.001
	quotaSmallRoom = 0.01
)

// QuotaLimit bounds what one team may use in any window of a fixed length.
type QuotaLimit struct {
	Team ident.TeamName
	// Tokens is the most that may be used within Window.
	Tokens float64
	Window time.Duration
}

// Quotas keeps what teams have used, for all schedulers of a process. It is
// safe for concurrent use. Times are readings of one clock.
type Quotas struct {
	mu   sync.Mutex
	used map[ident.TeamName]*usage
	// takenAt is when a quota was last asked for.
	takenAt time.Time
}

// usage is what one team used in the latest window.
type usage struct {
	limit QuotaLimit
	steps [quotaSteps]float64
	// step is the number of the present step since the clock's origin.
	step int64
	sum  float64
	// promised are the tokens of requests that were told when to come back.
	promised   float64
	promisedAt time.Time
}

// NewQuotas returns quotas without limits.
func NewQuotas() *Quotas {
	return &Quotas{used: make(map[ident.TeamName]*usage)}
}

// quotaIdle is how long quotas may go unused before another scheduler must be
// thought to have granted from them.
const quotaIdle = time.Second

// Presume is called when a scheduler begins to serve. Unless these quotas were
// in use just now, every team is taken to have used its whole quota evenly:
// another scheduler may have granted that.
func (q *Quotas) Presume(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.takenAt) < quotaIdle {
		return
	}
	q.takenAt = now
	for _, u := range q.used {
		u.presume(now)
	}
}

func (u *usage) presume(now time.Time) {
	u.step = now.UnixNano() / stepOf(u.limit)
	for i := range u.steps {
		u.steps[i] = u.limit.Tokens / quotaSteps
	}
	u.sum = u.limit.Tokens
}

// SetLimits replaces the limits. Teams without one are not bounded. A team that
// is new here begins as if it had used its whole quota evenly.
func (q *Quotas) SetLimits(limits []QuotaLimit, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := make(map[ident.TeamName]*usage, len(limits))
	for _, limit := range limits {
		u := q.used[limit.Team]
		if u == nil {
			u = &usage{limit: limit}
			u.presume(now)
		}
		u.limit = limit
		next[limit.Team] = u
	}
	q.used = next
}

func stepOf(l QuotaLimit) int64 { return max(1, int64(l.Window)/quotaSteps) }

// slide forgets what was used before the window that ends now.
func (u *usage) slide(now time.Time) {
	step := now.UnixNano() / stepOf(u.limit)
	for ; u.step < step; u.step++ {
		if step-u.step > quotaSteps {
			u.step = step - quotaSteps
		}
		at := (u.step + 1) % quotaSteps
		u.sum -= u.steps[at]
		u.steps[at] = 0
	}
}

func (u *usage) add(tokens float64) {
	u.steps[u.step%quotaSteps] += tokens
	u.sum += tokens
}

// Take charges a team with tokens if its quota, of which the given portion
// counts here, allows. Urgency runs from 0, the team's least urgent requests, to
// 1. Otherwise it returns when a request that comes back may hope for room.
func (q *Quotas) Take(team ident.TeamName, tokens, portion, urgency float64, now time.Time) (ok bool, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.takenAt = now
	u := q.used[team]
	if u == nil || tokens <= 0 {
		return true, 0
	}
	u.slide(now)
	limit := u.limit.Tokens * portion
	allowed := limit * (quotaLowest + (1-quotaLowest)*urgency)
	if tokens < limit*quotaSmall {
		allowed = limit * (1 + quotaSmallRoom)
	}
	if u.sum+tokens <= allowed || u.sum <= 0 {
		u.add(tokens)
		return true, 0
	}
	return false, u.promise(tokens, u.sum+tokens-allowed, limit/u.limit.Window.Seconds(), now)
}

// promise returns when the deficit and all that was promised before will have
// been worked off at the given rate, and adds the tokens to the promises.
func (u *usage) promise(tokens, deficit, perSecond float64, now time.Time) time.Duration {
	if perSecond <= 0 {
		return maxRetryAfter
	}
	passed := max(0, now.Sub(u.promisedAt).Seconds())
	u.promised = max(0, u.promised-passed*perSecond)
	u.promisedAt = now
	wait := seconds((deficit + u.promised) / perSecond)
	u.promised += tokens
	return wait
}

// Force charges a team for a request that runs once more.
func (q *Quotas) Force(team ident.TeamName, tokens float64, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if u := q.used[team]; u != nil {
		u.slide(now)
		u.add(tokens)
	}
}

// Refund returns tokens that were taken at the given time, of a request that
// did not run.
func (q *Quotas) Refund(team ident.TeamName, tokens float64, taken, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	u := q.used[team]
	if u == nil {
		return
	}
	u.slide(now)
	step := taken.UnixNano() / stepOf(u.limit)
	if u.step-step >= quotaSteps || step > u.step {
		return
	}
	u.steps[step%quotaSteps] -= tokens
	u.sum -= tokens
}

// Postpone moves the charge of a request that was taken at the given time to
// the moment at which it is sent.
func (q *Quotas) Postpone(team ident.TeamName, tokens float64, taken, now time.Time) {
	q.Refund(team, tokens, taken, now)
	q.Force(team, tokens, now)
}
