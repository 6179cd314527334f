package ledger

import (
	"container/heap"
	"time"

	"github.com/google/uuid"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// entryBytes is the accounted memory of an entry in bytes, without its answer and
// request ID.
const entryBytes = 400

// entryState is the state of a key.
type entryState uint8

const (
	// stateRunning means that a gateway holds a claim and may have sent the
	// request.
	stateRunning entryState = iota + 1
	// stateRecorded means that the request ran and its answer is recorded.
	stateRecorded
	// stateLost means that the holder's lease ended while it held the claim.
	stateLost
	// stateUnknown means that the holder reported that the answer was lost.
	stateUnknown
	// stateReleased means that the claim was released without sending the request.
	stateReleased
)

// entryKey is a Key with the Idempotency-Key in binary form.
type entryKey struct {
	shard Shard
	team  ident.TeamName
	route ident.RouteName
	id    uuid.UUID
}

// holder identifies an incarnation of a gateway.
type holder struct {
	node        ident.NodeID
	incarnation ident.Incarnation
}

// entry is the ledger's record of a key.
type entry struct {
	key     entryKey
	digest  Digest
	holder  holder
	request ident.RequestID
	attempt uint32
	state   entryState
	// expires is when the key leaves the retention window, in Unix milliseconds.
	expires int64
	answer  *Answer
}

// cost returns the accounted memory of the entry, in bytes.
func (e *entry) cost() int64 {
	total := int64(entryBytes + len(e.request))
	if e.answer != nil {
		total += int64(len(e.answer.Body) + len(e.answer.ContentType))
	}
	return total
}

// Ledger is the table of claims. It is not safe for concurrent use.
//
// Invariant: a key that was granted and not released is never granted to another
// request. This holds because an entry is removed only once its key is too old to
// be claimed, and the clock never goes back.
type Ledger struct {
	limits  Limits
	clock   int64 // Unix milliseconds
	bytes   int64 // accounted memory of all entries
	entries map[entryKey]*entry
	running map[holder]map[*entry]struct{}
	expiry  expiryHeap
	teams   map[ident.TeamName]ident.TeamName   // interned names
	routes  map[ident.RouteName]ident.RouteName // interned names
}

// New returns an empty ledger.
func New(limits Limits) *Ledger {
	return &Ledger{
		limits:  limits,
		entries: make(map[entryKey]*entry),
		running: make(map[holder]map[*entry]struct{}),
		teams:   make(map[ident.TeamName]ident.TeamName),
		routes:  make(map[ident.RouteName]ident.RouteName),
	}
}

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int { return len(l.entries) }

// Bytes returns the accounted memory of all entries, in bytes.
func (l *Ledger) Bytes() int64 { return l.bytes }

// Advance sets the clock to at unless that would turn it back, and removes expired
// entries.
func (l *Ledger) Advance(at time.Time) {
	l.clock = max(l.clock, at.UnixMilli())
	for len(l.expiry) > 0 && l.expiry[0].expires <= l.clock {
		l.forget(heap.Pop(&l.expiry).(*entry))
	}
	if len(l.entries) == 0 {
		clear(l.teams)
		clear(l.routes)
	}
}

// forget removes an entry whose key has left the retention window.
func (l *Ledger) forget(e *entry) {
	l.stopRunning(e)
	l.bytes -= e.cost()
	delete(l.entries, e.key)
}

// parse returns the entryKey of a key and its expiry in Unix milliseconds. The
// verdict is empty if the key is valid and inside the retention window.
func (l *Ledger) parse(k Key) (entryKey, int64, Verdict) {
	id, issued, ok := ParseKey(k.Idempotency)
	if !ok {
		return entryKey{}, 0, VerdictMalformed
	}
	if issued > l.clock+l.limits.MaxSkew.Milliseconds() {
		return entryKey{}, 0, VerdictMalformed
	}
	expires := issued + l.limits.Retention.Milliseconds()
	if expires <= l.clock {
		return entryKey{}, 0, VerdictExpired
	}
	return entryKey{shard: k.Shard, team: k.Team, route: k.Route, id: id}, expires, ""
}

// ParseKey parses an Idempotency-Key, which must be the 36-character text form of a
// UUIDv7. It also returns the key's time of issue in Unix milliseconds.
func ParseKey(text string) (id uuid.UUID, issued int64, ok bool) {
	const textLength = 36
	if len(text) != textLength {
		return id, 0, false
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return id, 0, false
	}
	for _, b := range id[:6] {
		issued = issued<<8 | int64(b)
	}
	return id, issued, true
}

// intern replaces the team and route names of a key with shared copies to save
// memory.
func (l *Ledger) intern(k entryKey) entryKey {
	if team, ok := l.teams[k.team]; ok {
		k.team = team
	} else {
		l.teams[k.team] = k.team
	}
	if route, ok := l.routes[k.route]; ok {
		k.route = route
	} else {
		l.routes[k.route] = k.route
	}
	return k
}

// insert adds an entry. It returns false if the ledger is full.
func (l *Ledger) insert(e *entry) bool {
	if len(l.entries) >= l.limits.MaxEntries || l.bytes+e.cost() > l.limits.MaxBytes {
		return false
	}
	e.key = l.intern(e.key)
	l.entries[e.key] = e
	l.bytes += e.cost()
	heap.Push(&l.expiry, e)
	return true
}

// startRunning marks e as running and makes h its holder.
func (l *Ledger) startRunning(e *entry, h holder) {
	e.state = stateRunning
	e.holder = h
	set := l.running[h]
	if set == nil {
		set = make(map[*entry]struct{})
		l.running[h] = set
	}
	set[e] = struct{}{}
}

// stopRunning removes e from its holder's running entries. It does nothing if e is
// not running.
func (l *Ledger) stopRunning(e *entry) {
	set := l.running[e.holder]
	delete(set, e)
	if len(set) == 0 {
		delete(l.running, e.holder)
	}
}

// expiryHeap is a min-heap of entries by expiry.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
