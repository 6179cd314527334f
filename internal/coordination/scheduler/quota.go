package scheduler

import (
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// quotaStart is the part of a bucket that a scheduler begins with: another
	// one may have given out a full bucket just before.
	quotaStart = 0.15
)

// QuotaLimit is one team's quota.
type QuotaLimit struct {
	Team ident.TeamName
	// PerSecond and Burst are in tokens.
	PerSecond float64
	Burst     float64
}

// Quotas keeps the token buckets of teams for all schedulers of a process. It
// is safe for concurrent use. Times are readings of one clock.
type Quotas struct {
	mu      sync.Mutex
	buckets map[ident.TeamName]*bucket
}

type bucket struct {
	limit  QuotaLimit
	tokens float64
	at     time.Time
}

// NewQuotas returns quotas without limits.
func NewQuotas() *Quotas {
	return &Quotas{buckets: make(map[ident.TeamName]*bucket)}
}

// SetLimits replaces the limits. Teams without one are not bounded.
func (q *Quotas) SetLimits(limits []QuotaLimit, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next := make(map[ident.TeamName]*bucket, len(limits))
	for _, limit := range limits {
		b := q.buckets[limit.Team]
		if b == nil {
			b = &bucket{tokens: limit.Burst * quotaStart, at: now}
		}
		b.limit = limit
		b.tokens = min(b.tokens, limit.Burst)
		next[limit.Team] = b
	}
	q.buckets = next
}

// Take charges a team with tokens if its bucket, of which the given portion
// counts here, holds them. Otherwise it returns how long the refill takes.
func (q *Quotas) Take(team ident.TeamName, tokens, portion float64, now time.Time) (ok bool, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[team]
	if b == nil || tokens <= 0 {
		return true, 0
	}
	perSecond := b.limit.PerSecond * portion
	b.tokens = min(b.limit.Burst*portion, b.tokens+perSecond*max(0, now.Sub(b.at).Seconds()))
	b.at = now
	if b.tokens >= min(tokens, b.limit.Burst*portion) {
		b.tokens -= tokens
		return true, 0
	}
	if perSecond <= 0 {
		return false, maxRetryAfter
	}
	return false, seconds((tokens - b.tokens) / perSecond)
}

// Refund returns tokens of a request that did not run.
func (q *Quotas) Refund(team ident.TeamName, tokens float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[team]; b != nil {
		b.tokens = min(b.limit.Burst, b.tokens+tokens)
	}
}
