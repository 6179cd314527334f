package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// DefaultTeamShare is the fraction of the memory budget of a gateway that one
// team may use by default.
const DefaultTeamShare = 0.5

// RequestOverhead is the memory that a waiting request needs in addition to its
// body, in bytes.
const RequestOverhead = 4 << 10

// memoryRetryAfter is the retry delay advised to a caller whose request was
// refused at a memory limit.
const memoryRetryAfter = time.Second

// Budget bounds the memory of the requests that one gateway holds, and of the answers that it
// holds for callers. At the limit it sheds waiting requests of lower tiers, and gives up
// callers that don't read, before it refuses a new request.
type Budget struct {
	limit     int64
	teamLimit int64
	// answerLimit bounds the answers within limit.
	answerLimit int64

	mu   sync.Mutex
	used int64
	// answers is the part of used that answers take, and slowEnded counts the callers that
	// were given up.
	answers      int64
	slowEnded    uint64
	byTeam       map[ident.TeamName]int64
	reservations map[*Reservation]struct{}
	// exit is when the gateway will be gone; zero unless it refuses what would outlast it.
	exit time.Time
}

// NewBudget returns a budget of limit bytes, of which one team may use the given
// share.
func NewBudget(limit int64, teamShare float64) *Budget {
	return &Budget{
		limit:        limit,
		teamLimit:    int64(float64(limit) * teamShare),
		answerLimit:  int64(float64(limit) * answerShare),
		byTeam:       make(map[ident.TeamName]int64),
		reservations: make(map[*Reservation]struct{}),
	}
}

// Reservation is one request's part of the budget.
type Reservation struct {
	budget   *Budget
	team     ident.TeamName
	rank     int
	bytes    int64
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	phase    phase
	// answer is the size of the answer that is held, writing ends the writes to its caller,
	// nil while there are none, and progress is when the caller has taken a piece of it.
	// givenUp is true once the caller was given up.
	answer   int64
	writing  Aborter
	progress time.Time
	givenUp  bool
}

// phase says how far a request has come.
type phase uint8

const (
	// phaseWaiting is that of a request that no upstream has got: its body is still arriving,
	// or it waits for a grant. Only in this phase may it be shed.
	phaseWaiting phase = iota
	// phaseRetrying is that of a request that was sent before, has no answer yet and waits to
	// be sent once more.
	phaseRetrying
	// phaseDispatched is that of a request that is sent, or whose answer has begun.
	phaseDispatched
)

// isQueued reports whether the request waits to be sent, for the first time or once more.
func (p phase) isQueued() bool { return p != phaseDispatched }

// Acquire reserves memory for the request, whose body is or will be of the given size
// in bytes, or returns a failure if there is not enough. The reservation's context
// ends with ctx, or with a *Failure as its cause when the request is shed.
func (b *Budget) Acquire(ctx context.Context, r *Request, bodyBytes int64) (*Reservation, *Failure) {
	need := bodyBytes + RequestOverhead
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.outlasts(r.Deadline) {
		return nil, stoppingFailure()
	}
	if b.byTeam[r.Team]+need > b.teamLimitFor(r) {
		return nil, memoryFailure("the team's limit on waiting bytes is reached")
	}
	if !b.makeRoom(need, r.Rank) {
		return nil, memoryFailure("the node's limit on waiting bytes is reached by work of the same or higher tiers")
	}
	res := &Reservation{budget: b, team: r.Team, rank: r.Rank, bytes: need, deadline: r.Deadline}
	res.ctx, res.cancel = context.WithCancelCause(ctx)
	b.used += need
	b.byTeam[r.Team] += need
	b.reservations[res] = struct{}{}
	return res, nil
}

// Grow reserves more bytes for a request whose body turned out to be larger.
func (res *Reservation) Grow(r *Request, more int64) *Failure {
	b := res.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, held := b.reservations[res]; !held {
		return memoryFailure("the request was shed")
	}
	if b.byTeam[res.team]+more > b.teamLimitFor(r) {
		return memoryFailure("the team's limit on waiting bytes is reached")
	}
	if !b.makeRoom(more, res.rank) {
		return memoryFailure("the node's limit on waiting bytes is reached by work of the same or higher tiers")
	}
	res.bytes += more
	b.used += more
	b.byTeam[res.team] += more
	return nil
}

func (b *Budget) teamLimitFor(r *Request) int64 {
	if r.TeamWaitingBytes > 0 {
		return r.TeamWaitingBytes
	}
	return b.teamLimit
}

// makeRoom gives up slow callers or, if these don't make up need bytes, sheds waiting requests
// of lower ranks, lowest rank first, and gives up slow callers too, until need bytes are free.
// It does nothing if that would not free enough.
func (b *Budget) makeRoom(need int64, rank int) bool {
	var shed []*Reservation
	free := b.limit - b.used
	if free < need && b.endSlow(need-free, time.Now()) {
		return true
	}
	for free < need {
		res := b.lowestWaiting(rank, shed)
		if res == nil {
			if !b.endSlow(need-free, time.Now()) {
				return false
			}
			break
		}
		shed = append(shed, res)
		free += res.bytes
	}
	for _, res := range shed {
		res.cancel(memoryFailure("shed for work of a higher tier at the node's limit on waiting bytes"))
		b.release(res)
	}
	return true
}

// lowestWaiting returns the waiting reservation of the lowest rank below rank
// that is not in except.
func (b *Budget) lowestWaiting(rank int, except []*Reservation) *Reservation {
	var found *Reservation
	for res := range b.reservations {
		if res.phase != phaseWaiting || res.rank >= rank || slices.Contains(except, res) {
			continue
		}
		if found == nil || res.rank < found.rank {
			found = res
		}
	}
	return found
}

func (b *Budget) release(res *Reservation) {
	if _, ok := b.reservations[res]; !ok {
		return
	}
	b.addAnswer(res, -res.answer)
	delete(b.reservations, res)
	b.used -= res.bytes
	b.byTeam[res.team] -= res.bytes
	if b.byTeam[res.team] == 0 {
		delete(b.byTeam, res.team)
	}
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Context returns a context that ends when the caller disconnects or the request
// is shed.
func (res *Reservation) Context() context.Context { return res.ctx }

// MarkDispatched protects the request from being shed.
func (res *Reservation) MarkDispatched() { res.setPhase(phaseDispatched) }

// MarkWaiting permits the request to be shed again.
func (res *Reservation) MarkWaiting() { res.setPhase(phaseWaiting) }

// MarkRetrying notes that the request was sent, has no answer and waits to be sent once more.
func (res *Reservation) MarkRetrying() { res.setPhase(phaseRetrying) }

func (res *Reservation) setPhase(p phase) {
	res.budget.mu.Lock()
	defer res.budget.mu.Unlock()
	res.phase = p
	res.budget.endIfStopping(res)
}

// Release returns the memory to the budget.
func (res *Reservation) Release() {
	res.budget.mu.Lock()
	defer res.budget.mu.Unlock()
	res.budget.release(res)
	res.cancel(nil)
}

func memoryFailure(message string) *Failure {
	return &Failure{Reason: Reason(scheduler.ReasonMemory), NotRun: true, Message: message, RetryAfter: memoryRetryAfter}
}
