package consensus

import (
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// Kinds of log entries.
const (
	entryNoop wal.EntryKind = iota
	entryCommand
	entryMembers
)

// entryOverhead is the assumed size of an encoded entry without its data, in
// bytes.
const entryOverhead = 32

// raftLog is the part of the log that is held in memory: the entries after
// index base.
type raftLog struct {
	base     uint64
	baseTerm uint64
	entries  []wal.Entry
}

// last returns the index of the last entry.
func (l *raftLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// lastTerm returns the term of the last entry.
func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index. ok is false if the index is
// below base or above the last entry.
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

// slice returns the entries from lo to hi, both inclusive. The caller must not
// modify them.
func (l *raftLog) slice(lo, hi uint64) []wal.Entry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.base-1 : hi-l.base : hi-l.base]
}

// batch returns the entries from lo to hi that fit in maxBytes, and at least one
// entry if there is any.
func (l *raftLog) batch(lo, hi uint64, maxBytes int) []wal.Entry {
	all := l.slice(lo, hi)
	size := 0
	for i, entry := range all {
		size += len(entry.Data) + entryOverhead
		if size > maxBytes && i > 0 {
			return all[:i]
		}
	}
	return all
}

// tailStart returns the index before the longest run of entries that ends at
// index, has at most count entries and takes at most maxBytes.
func (l *raftLog) tailStart(index uint64, count, maxBytes int) uint64 {
	size := 0
	for ; index > l.base && count > 0; index, count = index-1, count-1 {
		size += len(l.entries[index-l.base-1].Data) + entryOverhead
		if size > maxBytes {
			break
		}
	}
	return index
}

// bytesAfter returns the size of the entries after index, in bytes.
func (l *raftLog) bytesAfter(index uint64) int {
	size := 0
	for _, entry := range l.slice(index+1, l.last()) {
		size += len(entry.Data) + entryOverhead
	}
	return size
}

// truncate drops every entry above index.
func (l *raftLog) truncate(index uint64) {
	l.entries = l.entries[: index-l.base : index-l.base]
}

// compact drops the entries up to and including index.
func (l *raftLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]wal.Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}

// reset drops all entries; the log continues after the given index and term,
// those of a snapshot.
func (l *raftLog) reset(index, term uint64) {
	l.base, l.baseTerm, l.entries = index, term, nil
}
