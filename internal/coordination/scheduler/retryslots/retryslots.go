// Package retryslots keeps reservations of capacity for callers that were refused and told
// when to retry. It decides when a retry fits and recognises it. It does no I/O and reads no
// clock; the same calls give the same results.
package retryslots

import (
	"container/heap"
	"time"
)

const (
	// maxEntries bounds the table; an entry takes about 200 bytes.
	maxEntries = 50_000
	// maxEqual bounds the entries of one fingerprint, which are searched one by one.
	maxEqual = 2000
	// TierShare is the part of a tier's capacity that its reservations may take, so that
	// its new requests are not starved.
	TierShare = 0.7
	// earlyTolerance and lateTolerance bound how far from its time a retry may come, besides
	// waitTolerance of its wait: callers' timers, new connections and bodies take time.
	earlyTolerance = 30 * time.Millisecond
	lateTolerance  = 150 * time.Millisecond
	waitTolerance  = 0.1
	// deadlineTolerance is how far the deadline of a retry may differ from that of its first
	// attempt, half of its wait at most: the deadline of another caller's first attempt with
	// an equal request, which arrives in its stead, differs by the whole wait.
	deadlineTolerance = 100 * time.Millisecond
	// maxLasts is the chance of a continued overload above which only what it leaves counts.
	maxLasts = 0.67
	// maxSpread bounds, as a multiple of the request's cost, the time over which its capacity
	// is reserved in a pool that is too small for one step.
	maxSpread = 2
)

// Request is a refused request that a retry is planned for.
type Request struct {
	Fingerprint uint64
	// Rank is that of the request's tier, higher for more urgent ones.
	Rank int
	// Cost is the slot time that the request takes.
	Cost time.Duration
	// Earliest and Latest bound the time of the retry, and Deadline is when its answer has to
	// be complete.
	Earliest, Latest, Deadline time.Duration
}

// Capacity is what is expected for the requests of a tier.
type Capacity struct {
	// Recent is the number of slots that is left to the reservations while the present
	// overload lasts, Usual the one that the usual demand of the tier and of higher ones
	// leaves, and Total that of all slots.
	Recent, Usual, Total float64
	// Age is how long refusals have gone on. An overload is expected to last as long again.
	Age time.Duration
	// Backlog is the slot time of the work that is served before.
	Backlog time.Duration
}

// slots returns the number of slots that are expected after a time. With the age a of an
// overload, the chance that it still lasts after h is taken as a/(a+h).
func (c Capacity) slots(after time.Duration) float64 {
	if c.Usual <= c.Recent || after <= 0 {
		return max(0, c.Recent)
	}
	lasts := float64(c.Age) / float64(c.Age+after)
	if lasts > maxLasts {
		return max(0, c.Recent)
	}
	return max(0, c.Usual+(c.Recent-c.Usual)*lasts)
}

// begin returns when the backlog will be done, not after latest.
func (c Capacity) begin(now, latest time.Duration) time.Duration {
	left, at := float64(c.Backlog), now
	for ; left > 0 && at <= latest; at += Step {
		left -= c.slots(at-now) * float64(Step)
	}
	return at
}

// Match is how an arriving request relates to the reservations.
type Match uint8

const (
	// Unknown means that there is no reservation for the request.
	Unknown Match = iota
	// Early means that there is one for a later time, which stays.
	Early
	// Honoured means that one was used up.
	Honoured
)

// Counts are numbers of reservations: those that are open, and all so far that were made,
// used up, missed by their callers, and given up for a higher tier.
type Counts struct {
	Open, Made, Honoured, Expired, Displaced int
}

// Plus returns the sum of the numbers of two schedulers.
func (c Counts) Plus(o Counts) Counts {
	return Counts{
		Open: c.Open + o.Open, Made: c.Made + o.Made, Honoured: c.Honoured + o.Honoured, Expired: c.Expired + o.Expired, Displaced: c.Displaced + o.Displaced,
	}
}

type entry struct {
	fingerprint           uint64
	rank                  int
	at, expires, deadline time.Duration
	// tolerance is how far the retry's deadline may differ.
	tolerance time.Duration
	spans     []span
	// index is the position in the heap of expiries.
	index int
}

// Table holds the reservations of one scheduler. The zero value is not ready; see New.
type Table struct {
	calendar calendar
	// open holds the reservations by fingerprint, in the order in which they were made:
	// several callers may have sent equal requests.
	open     map[uint64][]*entry
	expiries expiries
	counts   Counts
}

// New returns an empty table.
func New() *Table {
	return &Table{open: make(map[uint64][]*entry)}
}

// Counts returns the numbers of reservations.
func (t *Table) Counts() Counts {
	c := t.counts
	c.Open = len(t.expiries)
	return c
}

// Reserve reserves capacity at the earliest time at which the request fits and returns that
// time; ok is false if there is none.
func (t *Table) Reserve(r Request, c Capacity, now time.Duration) (at time.Duration, ok bool) {
	t.Expire(now)
	if len(t.expiries) >= maxEntries || len(t.open[r.Fingerprint]) >= maxEqual {
		return 0, false
	}
	latest := min(r.Latest, r.Deadline-r.Cost, now+(steps-2)*Step)
	from := max(now, r.Earliest, c.begin(now, latest))
	var spans []span
	for number := numberOf(from); time.Duration(number)*Step <= latest; number++ {
		spans, at = t.fit(number, r, c, now, spans[:0])
		if at = max(at, from); len(spans) > 0 && at <= latest {
			e := &entry{
				fingerprint: r.Fingerprint, rank: r.Rank, at: at, deadline: r.Deadline,
				tolerance: min(deadlineTolerance, (at-now)/2),
				expires:   at + lateTolerance + time.Duration(waitTolerance*float64(at-now)),
			}
			t.calendar.hold(e, spans)
			t.displace(e, c)
			t.open[r.Fingerprint] = append(t.open[r.Fingerprint], e)
			heap.Push(&t.expiries, e)
			t.counts.Made++
			return at, true
		}
	}
	return 0, false
}

// fit returns the work that the request would hold from the step on, and when in the step
// it would begin; nothing if it doesn't fit. Requests of one step follow each other, so that
// retries don't arrive at once.
func (t *Table) fit(number int64, r Request, c Capacity, now time.Duration, spans []span) (fitted []span, at time.Duration) {
	last := numberOf(min(time.Duration(number)*Step+maxSpread*r.Cost+Step, r.Deadline))
	left := r.Cost
	for n := number; n <= last && left > 0; n++ {
		free, used := t.free(n, r.Rank, c.slots(time.Duration(n)*Step-now))
		if free <= 0 {
			if n == number {
				return nil, 0
			}
			continue
		}
		if n == number {
			at = time.Duration(n)*Step + time.Duration(used*float64(Step))
		}
		work := min(free, left)
		left -= work
		spans = append(spans, span{number: n, work: work})
	}
	if left > 0 {
		return nil, 0
	}
	return spans, at
}

// free returns the work that a tier may still reserve in a step, and the part of what it may
// reserve that is used.
func (t *Table) free(number int64, rank int, slots float64) (work time.Duration, used float64) {
	all, own := t.calendar.at(number).work(rank)
	higher := all - own
	limit := time.Duration(TierShare * (slots*float64(Step) - float64(higher)))
	if limit <= 0 {
		return 0, 1
	}
	return limit - own, min(1, float64(own)/float64(limit))
}

// displace gives up reservations of lower tiers where the capacity of the new one was
// reserved for them: no capacity is reserved twice, and higher tiers come first.
func (t *Table) displace(e *entry, c Capacity) {
	limit := time.Duration(c.Total * float64(Step))
	for _, sp := range e.spans {
		s := t.calendar.at(sp.number)
		for s.total() > limit {
			lower := s.lowest(e.rank)
			if lower == nil {
				break
			}
			t.drop(lower)
			t.counts.Displaced++
		}
	}
}

// Take uses up the reservation of an arriving request, if there is one that it may have: one
// of its tier, whose time has come, and whose caller has the same deadline. The deadline
// does not matter if the request is known to be a retry.
func (t *Table) Take(r Request, isRetry bool, now time.Duration) Match {
	t.Expire(now)
	match := Unknown
	for _, e := range t.open[r.Fingerprint] {
		if e.rank != r.Rank || !isRetry && (e.deadline-r.Deadline).Abs() > e.tolerance {
			continue
		}
		if now >= e.at-earlyTolerance {
			t.drop(e)
			t.counts.Honoured++
			return Honoured
		}
		match = Early
	}
	return match
}

// Due returns the work that the tiers of a rank of at least lowest have reserved up to a
// time.
func (t *Table) Due(lowest int, now, until time.Duration) time.Duration {
	sum := time.Duration(0)
	for n := numberOf(now); n <= min(numberOf(until), numberOf(now)+steps-1); n++ {
		work, _ := t.calendar.at(n).work(lowest)
		sum += work
	}
	return sum
}

// Expire gives up the reservations whose callers did not come.
func (t *Table) Expire(now time.Duration) {
	for len(t.expiries) > 0 && t.expiries[0].expires < now {
		t.drop(t.expiries[0])
		t.counts.Expired++
	}
}

// drop removes a reservation and returns its capacity.
func (t *Table) drop(e *entry) {
	t.calendar.release(e)
	heap.Remove(&t.expiries, e.index)
	list := t.open[e.fingerprint]
	for i, other := range list {
		if other == e {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(t.open, e.fingerprint)
		return
	}
	t.open[e.fingerprint] = list
}

// expiries is a min-heap by time of expiry.
type expiries []*entry

func (x expiries) Len() int           { return len(x) }
func (x expiries) Less(i, j int) bool { return x[i].expires < x[j].expires }
func (x expiries) Swap(i, j int) {
	x[i], x[j] = x[j], x[i]
	x[i].index, x[j].index = i, j
}

func (x *expiries) Push(v any) {
	e := v.(*entry)
	e.index = len(*x)
	*x = append(*x, e)
}

func (x *expiries) Pop() any {
	old := *x
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*x = old[:len(old)-1]
	return last
}
