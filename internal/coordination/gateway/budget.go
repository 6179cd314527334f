package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// DefaultTeamShare is the part of a gateway's memory for bodies that one team
// may hold.
const DefaultTeamShare = 0.5

// RequestOverhead is the memory that a waiting request needs beside its body,
// in bytes.
const RequestOverhead = 4 << 10

// memoryRetryAfter is the advice to a caller that a memory limit refused.
const memoryRetryAfter = time.Second

// Budget bounds the memory of the requests that one gateway holds. At the limit
// it sheds waiting work of lower tiers before it refuses a request.
type Budget struct {
	limit     int64
	teamLimit int64

	mu     sync.Mutex
	used   int64
	byTeam map[ident.TeamName]int64
	held   map[*Hold]struct{}
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{
		limit:     limit,
		teamLimit: int64(float64(limit) * DefaultTeamShare),
		byTeam:    make(map[ident.TeamName]int64),
		held:      make(map[*Hold]struct{}),
	}
}

// Hold is one request's part of the budget.
type Hold struct {
	budget  *Budget
	team    ident.TeamName
	rank    int
	bytes   int64
	ctx     context.Context
	cancel  context.CancelCauseFunc
	waiting bool
}

// Acquire takes the request into the budget or says why not. The hold's
// context ends with ctx, or with a *Failure when the request is shed.
func (b *Budget) Acquire(ctx context.Context, r *Request) (*Hold, *Failure) {
	need := int64(len(r.Body)) + RequestOverhead
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byTeam[r.Team]+need > b.limitOf(r) {
		return nil, memoryFailure("the team's limit on waiting bytes is reached")
	}
	if !b.makeRoom(need, r.Rank) {
		return nil, memoryFailure("the node's limit on waiting bytes is reached by work of the same or higher tiers")
	}
	h := &Hold{budget: b, team: r.Team, rank: r.Rank, bytes: need, waiting: true}
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	b.used += need
	b.byTeam[r.Team] += need
	b.held[h] = struct{}{}
	return h, nil
}

func (b *Budget) limitOf(r *Request) int64 {
	if r.TeamWaitingBytes > 0 {
		return r.TeamWaitingBytes
	}
	return b.teamLimit
}

// makeRoom sheds waiting holds of lower ranks, lowest rank first, until need
// bytes fit. It sheds nothing when that would not be enough.
func (b *Budget) makeRoom(need int64, rank int) bool {
	var shed []*Hold
	free := b.limit - b.used
	for free < need {
		h := b.lowest(rank, shed)
		if h == nil {
			return false
		}
		shed = append(shed, h)
		free += h.bytes
	}
	for _, h := range shed {
		h.cancel(memoryFailure("shed for work of a higher tier at the node's limit on waiting bytes"))
		b.release(h)
	}
	return true
}

// lowest returns the waiting hold of the lowest rank below rank that is not in
// except.
func (b *Budget) lowest(rank int, except []*Hold) *Hold {
	var found *Hold
	for h := range b.held {
		if !h.waiting || h.rank >= rank || slices.Contains(except, h) {
			continue
		}
		if found == nil || h.rank < found.rank {
			found = h
		}
	}
	return found
}

func (b *Budget) release(h *Hold) {
	if _, ok := b.held[h]; !ok {
		return
	}
	delete(b.held, h)
	b.used -= h.bytes
	b.byTeam[h.team] -= h.bytes
	if b.byTeam[h.team] == 0 {
		delete(b.byTeam, h.team)
	}
}

// Used returns the bytes held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Context ends when the caller leaves or the request is shed.
func (h *Hold) Context() context.Context { return h.ctx }

// Dispatching protects the request from being shed.
func (h *Hold) Dispatching() { h.setWaiting(false) }

// Waiting makes the request sheddable again.
func (h *Hold) Waiting() { h.setWaiting(true) }

func (h *Hold) setWaiting(waiting bool) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.waiting = waiting
}

// Release gives the memory back.
func (h *Hold) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.release(h)
	h.cancel(nil)
}

func memoryFailure(message string) *Failure {
	return &Failure{Reason: Reason(scheduler.ReasonMemory), NotRun: true, Message: message, RetryAfter: memoryRetryAfter}
}
