package consensus

import (
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// Kinds of entries in the log.
const (
	entryNoop wal.EntryKind = iota
	entryCommand
	entryMembers
)

// entryOverhead is what an entry costs beside its data in bytes.
const entryOverhead = 32

// raftLog is the part of the log after base, in memory.
type raftLog struct {
	base     uint64
	baseTerm uint64
	entries  []wal.Entry
}

// last returns the highest index.
func (l *raftLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// lastTerm returns the term of the last entry.
func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term at index. ok is false outside the log.
func (l *raftLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.base-1].Term, true
	}
}

// slice returns the entries from lo to hi inclusive. The result must not be
// changed.
func (l *raftLog) slice(lo, hi uint64) []wal.Entry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.base-1 : hi-l.base : hi-l.base]
}

// batch returns entries from lo on, at most maxBytes but at least one.
func (l *raftLog) batch(lo uint64, maxBytes int) []wal.Entry {
	all := l.slice(lo, l.last())
	size := 0
	for i, entry := range all {
		size += len(entry.Data) + entryOverhead
		if size > maxBytes && i > 0 {
			return all[:i]
		}
	}
	return all
}

// truncate drops every entry above index.
func (l *raftLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.base : index-l.base]
}

// compact drops the entries up to index.
func (l *raftLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]wal.Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// reset empties the log so that it continues after a snapshot.
func (l *raftLog) reset(index, term uint64) {
	l.base, l.baseTerm, l.entries = index, term, nil
}
