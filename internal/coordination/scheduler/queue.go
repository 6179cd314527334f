package scheduler

import (
	"container/heap"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// teamQueue holds one team's waiting tickets of one tier as a heap, least slack
// first.
type teamQueue struct {
	tier    *tierQueue
	weight  float64
	entries []*entry
	// virtualTime is the tokens granted to the team, divided by its weight.
	virtualTime float64
	// work is the sum of the waiting tickets' service estimates.
	work time.Duration
	// index is the position among the tier's active teams, -1 while the team has
	// no tickets.
	index int
}

func (q *teamQueue) Len() int { return len(q.entries) }
func (q *teamQueue) Less(i, j int) bool {
	return q.entries[i].latestStart() < q.entries[j].latestStart()
}

func (q *teamQueue) Swap(i, j int) {
	q.entries[i], q.entries[j] = q.entries[j], q.entries[i]
	q.entries[i].index = i
	q.entries[j].index = j
}

func (q *teamQueue) Push(x any) {
	e := x.(*entry)
	e.index = len(q.entries)
	q.entries = append(q.entries, e)
}

func (q *teamQueue) Pop() any {
	last := q.entries[len(q.entries)-1]
	q.entries[len(q.entries)-1] = nil
	q.entries = q.entries[:len(q.entries)-1]
	last.index = -1
	return last
}

// tierQueue holds the waiting tickets of one tier. Its active teams form a
// min-heap by virtual time.
type tierQueue struct {
	tier    Tier
	teams   map[ident.TeamName]*teamQueue
	active  []*teamQueue
	waiting int
	work    time.Duration
	// regional is the part of work that may not run everywhere.
	regional regionQueue
	arrivals rate
	// held counts the slots that the tier's tickets occupy.
	held int
	// margin is the minimum slack of the waiting tickets as a fraction of their
	// remaining time, as of the last sweep.
	margin float64
	// shed reports whether a ticket of the tier was ever refused, and shedAt when
	// it last was.
	shed   bool
	shedAt time.Duration
	// totalWeight is the sum of the weights of the active teams.
	totalWeight float64
	// virtualTime is the highest virtual time at which a team was served.
	virtualTime float64
}

func newTierQueue(tier Tier) *tierQueue {
	return &tierQueue{tier: tier, teams: make(map[ident.TeamName]*teamQueue), regional: make(regionQueue)}
}

func (q *tierQueue) Len() int           { return len(q.active) }
func (q *tierQueue) Less(i, j int) bool { return q.active[i].virtualTime < q.active[j].virtualTime }
func (q *tierQueue) Swap(i, j int) {
	q.active[i], q.active[j] = q.active[j], q.active[i]
	q.active[i].index = i
	q.active[j].index = j
}

func (q *tierQueue) Push(x any) {
	t := x.(*teamQueue)
	t.index = len(q.active)
	q.active = append(q.active, t)
	q.totalWeight += t.weight
}

func (q *tierQueue) Pop() any {
	last := q.active[len(q.active)-1]
	q.active = q.active[:len(q.active)-1]
	q.totalWeight -= last.weight
	last.index = -1
	return last
}

// team returns the queue of the named team and creates it if needed.
func (q *tierQueue) team(name ident.TeamName, weight float64) *teamQueue {
	t, known := q.teams[name]
	if !known {
		t = &teamQueue{tier: q, index: -1, weight: weight}
		q.teams[name] = t
	}
	return t
}

// add queues an entry. An idle team starts at the tier's virtual time, so that it
// cannot accumulate service.
func (t *teamQueue) add(e *entry) {
	e.queue = t
	heap.Push(t, e)
	t.work += e.serviceTime
	t.tier.work += e.serviceTime
	t.tier.regional.add(e)
	t.tier.waiting++
	if t.index < 0 {
		t.virtualTime = max(t.virtualTime, t.tier.virtualTime)
		heap.Push(t.tier, t)
	}
}

// remove takes an entry out of the queue.
func (t *teamQueue) remove(e *entry) {
	heap.Remove(t, e.index)
	e.queue = nil
	t.work -= e.serviceTime
	t.tier.work -= e.serviceTime
	t.tier.regional.remove(e)
	t.tier.waiting--
	if len(t.entries) == 0 {
		heap.Remove(t.tier, t.index)
	}
}

// charge adds a granted ticket's cost to the team's virtual time. A negative cost
// refunds it.
func (t *teamQueue) charge(tokens float64) {
	t.tier.virtualTime = max(t.tier.virtualTime, t.virtualTime)
	t.virtualTime += tokens / t.weight
	if t.index >= 0 {
		heap.Fix(t.tier, t.index)
	}
}

// next returns the entry to serve next: the one with the least slack, of the team
// furthest below its fair share. It returns nil if no ticket waits.
func (q *tierQueue) next() *entry {
	if len(q.active) == 0 {
		return nil
	}
	return q.active[0].entries[0]
}

// victim returns the entry to shed first: one of the least urgent of the team
// with the most waiting work relative to its weight. It returns nil if no ticket
// waits.
func (q *tierQueue) victim() *entry {
	var worst *teamQueue
	for _, t := range q.active {
		if worst == nil || float64(t.work+1)/t.weight > float64(worst.work+1)/worst.weight {
			worst = t
		}
	}
	if worst == nil {
		return nil
	}
	return worst.entries[len(worst.entries)-1]
}
