// Package wal is a segmented write-ahead log of entries and hard states. Every
// record has its length and a CRC32C checksum. One sync makes a whole batch
// durable.
package wal

import (
	"errors"
	"fmt"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// formatVersion is the version of the on-disk format.
const formatVersion = 1

// DefaultSegmentBytes is the default size in bytes at which a segment is closed
// and a new one begins.
const DefaultSegmentBytes = 8 << 20

// ErrClosed is returned by operations on a log that was closed.
var ErrClosed = errors.New("wal: closed")

// EntryKind is the type of an entry's data. The log stores it without
// interpreting it.
type EntryKind uint8

// Entry is an entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is the consensus state that a replica must persist besides its
// entries.
type HardState struct {
	Term   uint64
	Commit uint64
	// VoteID and VoteIncarnation identify the replica voted for in Term. VoteID
	// is empty if no vote was cast.
	VoteID          ident.NodeID
	VoteIncarnation ident.Incarnation
}

// Mark records that the log restarts after a snapshot whose last entry has Index
// and Term. It invalidates every entry written before it.
type Mark struct {
	Index uint64
	Term  uint64
}

// Batch is a group of changes that one sync makes durable. They take effect in the
// order of the fields. An entry supersedes every earlier entry with the same or a
// higher index.
type Batch struct {
	Mark    *Mark
	Hard    *HardState
	Entries []Entry
}

// Recovered is the content of a log that Open read.
type Recovered struct {
	// Hard is the last hard state, or zero if there is none.
	Hard HardState
	// Base is the last mark, or zero if there is none.
	Base Mark
	// Entries are in index order without gaps. Compact may have removed the
	// first ones.
	Entries []Entry
	// TornBytes is the length of the torn tail that was removed, in bytes.
	TornBytes int
}

// DamageError means that durable data of the log is corrupt or missing. The log
// can't be opened.
type DamageError struct {
	// File is the damaged file, relative to the data directory.
	File string
	// Offset is the byte offset of the first damaged record in File.
	Offset int
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("wal: %s is damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs           disk.FS
	dir          string
	segmentBytes int
	segments     []segment
	file         disk.File
	hardState    HardState
	// partialWrite is true while the current segment may be longer than its size, and
	// removalUnsynced while the removal of a segment is not durable. A full disk causes both.
	partialWrite, removalUnsynced bool
	// failed is returned by every later Append and Compact once it is set.
	failed error
}

// segment is a file of the log.
type segment struct {
	number uint64
	size   int
	// maxIndex is the highest index of any entry or mark in the segment.
	maxIndex uint64
}

// Options configures a log.
type Options struct {
	// SegmentBytes is the size in bytes at which a new segment begins. 0 selects
	// DefaultSegmentBytes.
	SegmentBytes int
}

// Append writes the batches and makes them durable with one sync. After an error
// every later Append and Compact fails with it, because unsynced data may be lost.
// The exception is a full disk (disk.ErrFull): nothing was appended, and the caller may
// retry.
func (l *Log) Append(batches ...Batch) error {
	if l.failed != nil {
		return l.failed
	}
	err := l.append(batches)
	if err == nil {
		return nil
	}
	err = fmt.Errorf("wal: append: %w", err)
	if !errors.Is(err, disk.ErrFull) {
		l.failed = err
	}
	return err
}

func (l *Log) append(batches []Batch) error {
	if err := l.removePartialWrite(); err != nil {
		return err
	}
	if l.current().size >= l.segmentBytes {
		if err := l.roll(); err != nil {
			return err
		}
	}
	buf, hard := l.encode(batches)
	if len(buf) == 0 {
		return nil
	}
	if _, err := l.file.Write(buf); err != nil {
		l.partialWrite = true
		if errors.Is(err, disk.ErrFull) {
			// If this fails, the next append tries again.
			_ = l.removePartialWrite()
		}
		return err
	}
	l.current().size += len(buf)
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.hardState = hard
	return nil
}

// removePartialWrite removes what an append left behind that found the disk full.
func (l *Log) removePartialWrite() error {
	if !l.partialWrite {
		return nil
	}
	if err := l.fs.Truncate(l.path(l.current().number), int64(l.current().size)); err != nil {
		return fmt.Errorf("remove a partial write: %w", err)
	}
	l.partialWrite = false
	return nil
}

// encode encodes the batches as a single on-disk batch. It also returns the hard state
// that holds once that is durable.
func (l *Log) encode(batches []Batch) (buf []byte, hard HardState) {
	start := uint32(l.current().size)
	hard = l.hardState
	for _, batch := range batches {
		if batch.Mark != nil {
			buf = appendRecord(buf, start, markBody(*batch.Mark))
			l.raiseMaxIndex(batch.Mark.Index)
		}
		if batch.Hard != nil {
			buf = appendRecord(buf, start, hardStateBody(*batch.Hard))
			hard = *batch.Hard
		}
		for _, entry := range batch.Entries {
			buf = appendRecord(buf, start, entryBody(entry))
			l.raiseMaxIndex(entry.Index)
		}
	}
	return buf, hard
}

// current returns the segment that is written to.
func (l *Log) current() *segment {
	return &l.segments[len(l.segments)-1]
}

func (l *Log) raiseMaxIndex(index uint64) {
	l.current().maxIndex = max(l.current().maxIndex, index)
}

// roll begins a new segment. The segment starts with a copy of the hard state, so
// that Compact can remove earlier segments.
func (l *Log) roll() error {
	var number uint64 = 1
	if len(l.segments) > 0 {
		number = l.current().number + 1
	}
	content := initialRecords(number, l.hardState)
	if err := disk.WriteFile(l.fs, l.dir, segmentName(number), content); err != nil {
		return err
	}
	file, err := l.fs.Append(l.path(number))
	if err != nil {
		return err
	}
	former := l.file
	l.segments = append(l.segments, segment{number: number, size: len(content)})
	l.file = file
	if former != nil {
		return former.Close()
	}
	return nil
}

// initialRecords encodes the records with which a segment begins: its header and
// the hard state.
func initialRecords(number uint64, hard HardState) []byte {
	buf := appendRecord(nil, 0, segmentHeaderBody(number))
	return appendRecord(buf, 0, hardStateBody(hard))
}

// openCurrent opens the file of the current segment for appending.
func (l *Log) openCurrent() error {
	file, err := l.fs.Append(l.path(l.current().number))
	if err != nil {
		return err
	}
	l.file = file
	return nil
}

// Compact removes the oldest segments that contain no index above the given one.
// The caller must have a durable snapshot at index or above. If it fails because the disk
// is full (disk.ErrFull), a later call goes on with it.
func (l *Log) Compact(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	err := l.compact(index)
	if err == nil {
		return nil
	}
	err = fmt.Errorf("wal: compact: %w", err)
	if !errors.Is(err, disk.ErrFull) {
		l.failed = err
	}
	return err
}

func (l *Log) compact(index uint64) error {
	if err := l.syncRemoval(); err != nil {
		return err
	}
	for len(l.segments) > 1 && l.segments[0].maxIndex <= index {
		if err := l.removeOldestSegment(); err != nil {
			return err
		}
	}
	return nil
}

// removeOldestSegment removes the oldest segment and syncs the directory. Syncing
// after each removal keeps a crash from leaving a gap between segments.
func (l *Log) removeOldestSegment() error {
	if err := l.fs.Remove(l.path(l.segments[0].number)); err != nil {
		return err
	}
	l.segments = l.segments[1:]
	l.removalUnsynced = true
	return l.syncRemoval()
}

// syncRemoval makes the removal of a segment durable.
func (l *Log) syncRemoval() error {
	if !l.removalUnsynced {
		return nil
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return err
	}
	l.removalUnsynced = false
	return nil
}

// Close closes the file of the current segment. It does not sync; Append already
// did.
func (l *Log) Close() error {
	if errors.Is(l.failed, ErrClosed) {
		return nil
	}
	l.failed = ErrClosed
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
