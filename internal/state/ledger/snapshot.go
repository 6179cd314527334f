package ledger

import (
	"bytes"
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// State is the content of a ledger in a form that can be encoded. Entries are in a
// canonical order, so that equal ledgers have equal states.
type State struct {
	// Clock is the ledger's time in Unix milliseconds.
	Clock   int64
	Entries []EntryState
}

// EntryState is an entry of a State. It is encoded as a CBOR array, so the order
// of its fields is part of the format.
type EntryState struct {
	_           struct{} `cbor:",toarray"`
	Shard       Shard
	Team        ident.TeamName
	Route       ident.RouteName
	ID          [16]byte
	Digest      Digest
	Gateway     ident.NodeID
	Incarnation ident.Incarnation
	Request     ident.RequestID
	Attempt     uint32
	State       uint8
	// Expires is when the key leaves the retention window, in Unix milliseconds.
	Expires int64
	Answer  *Answer
}

// State returns the content of the ledger.
func (l *Ledger) State() State {
	s := State{Clock: l.clock, Entries: make([]EntryState, 0, len(l.entries))}
	for _, e := range l.entries {
		s.Entries = append(s.Entries, e.export())
	}
	slices.SortFunc(s.Entries, compareEntries)
	return s
}

// export returns the entry in its encodable form.
func (e *entry) export() EntryState {
	return EntryState{
		Shard: e.key.shard, Team: e.key.team, Route: e.key.route, ID: e.key.id,
		Digest: e.digest, Gateway: e.holder.node, Incarnation: e.holder.incarnation,
		Request: e.request, Attempt: e.attempt, State: uint8(e.state), Expires: e.expires, Answer: e.answer,
	}
}

// compareEntries orders entries by expiry, then by key.
func compareEntries(a, b EntryState) int {
	return cmp.Or(
		cmp.Compare(a.Expires, b.Expires),
		bytes.Compare(a.ID[:], b.ID[:]),
		cmp.Compare(a.Team, b.Team),
		cmp.Compare(a.Route, b.Route),
		cmp.Compare(a.Shard, b.Shard),
	)
}

// FromState returns a ledger with the content of s. It fails if an entry's state is
// invalid or does not match the presence of an answer.
func FromState(s State, limits Limits) (*Ledger, error) {
	l := New(limits)
	l.clock = s.Clock
	for i := range s.Entries {
		if err := l.load(&s.Entries[i]); err != nil {
			return nil, err
		}
	}
	heap.Init(&l.expiry)
	return l, nil
}

// load adds an entry to the ledger. The caller must initialize the expiry heap
// afterwards.
func (l *Ledger) load(s *EntryState) error {
	state := entryState(s.State)
	if state < stateRunning || state > stateReleased || (state == stateRecorded) != (s.Answer != nil) {
		return fmt.Errorf("ledger: entry %v has invalid state %d (answer present: %t)", uuid.UUID(s.ID), s.State, s.Answer != nil)
	}
	e := &entry{
		key:    l.intern(entryKey{shard: s.Shard, team: s.Team, route: s.Route, id: s.ID}),
		digest: s.Digest, holder: holder{s.Gateway, s.Incarnation}, request: s.Request,
		attempt: s.Attempt, state: state, expires: s.Expires, answer: s.Answer,
	}
	l.entries[e.key] = e
	l.bytes += e.cost()
	l.expiry = append(l.expiry, e)
	if state == stateRunning {
		l.startRunning(e, e.holder)
	}
	return nil
}

// Clock returns the ledger's current time.
func (l *Ledger) Clock() time.Time { return time.UnixMilli(l.clock) }
