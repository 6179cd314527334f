// Package wal is a segmented write-ahead log of entries and hard states. Every
// record carries its length and a CRC32C. One sync makes a whole batch durable.
package wal

import (
	"errors"
	"fmt"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// formatVersion is the version of the format on disk.
const formatVersion = 1

// DefaultSegmentBytes is the size at which a new segment begins.
const DefaultSegmentBytes = 8 << 20

// ErrClosed is returned after Close.
var ErrClosed = errors.New("wal: closed")

// EntryKind tells the owner of the log how to read an entry.
type EntryKind uint8

// Entry is one position of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is what a replica must remember besides its entries.
type HardState struct {
	Term   uint64
	Commit uint64
	// VoteID and VoteIncarnation name the replica voted for in Term; VoteID is
	// empty if there was no vote.
	VoteID          ident.NodeID
	VoteIncarnation ident.Incarnation
}

// Mark says that the log continues after a snapshot at Index and Term: every
// earlier entry is void.
type Mark struct {
	Index uint64
	Term  uint64
}

// Batch is made durable by one sync. Its parts take effect in the order of the
// fields. An entry supersedes every earlier entry at its index or above.
type Batch struct {
	Mark    *Mark
	Hard    *HardState
	Entries []Entry
}

// Recovered is what Open found.
type Recovered struct {
	// Hard is the last hard state; zero if there was none.
	Hard HardState
	// Base is the last mark; zero if there was none.
	Base Mark
	// Entries are in order without gaps. Compaction may have dropped those at
	// the front.
	Entries []Entry
	// TornBytes is the length of the torn tail that was cut off.
	TornBytes int
}

// DamageError means that durable data was changed: the log is not usable.
type DamageError struct {
	// File is relative to the data folder.
	File string
	// Offset is where the first damaged record begins, in bytes.
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
	failed       error
}

// segment is one file of the log.
type segment struct {
	number uint64
	size   int
	// maxIndex is the highest index of any entry or mark ever written to it.
	maxIndex uint64
}

// Options configures a log.
type Options struct {
	// SegmentBytes is the size at which a new segment begins;
	// DefaultSegmentBytes if 0.
	SegmentBytes int
}

// Append writes the batches and makes them durable with one sync. After an
// error the log accepts nothing more: unsynced pages may be gone. Only a write
// that found no space (disk.ErrFull) is taken back, and may be tried again.
func (l *Log) Append(batches ...Batch) error {
	if l.failed != nil {
		return l.failed
	}
	if err := l.append(batches); err != nil {
		if errors.Is(err, disk.ErrFull) && l.file != nil {
			truncateErr := l.fs.Truncate(l.path(l.current().number), int64(l.current().size))
			if truncateErr == nil {
				return fmt.Errorf("wal: append: %w", err)
			}
			err = errors.Join(err, truncateErr)
		}
		l.failed = fmt.Errorf("wal: append: %w", err)
		return l.failed
	}
	return nil
}

func (l *Log) append(batches []Batch) error {
	if l.current().size >= l.segmentBytes {
		if err := l.roll(); err != nil {
			return err
		}
	}
	buf := l.encode(batches)
	if len(buf) == 0 {
		return nil
	}
	if _, err := l.file.Write(buf); err != nil {
		return err
	}
	l.current().size += len(buf)
	return l.file.Sync()
}

// encode lays out the batches as one batch on disk.
func (l *Log) encode(batches []Batch) []byte {
	start := uint32(l.current().size)
	var buf []byte
	for _, batch := range batches {
		if batch.Mark != nil {
			buf = appendRecord(buf, start, markBody(*batch.Mark))
			l.raiseMaxIndex(batch.Mark.Index)
		}
		if batch.Hard != nil {
			buf = appendRecord(buf, start, hardStateBody(*batch.Hard))
			l.hardState = *batch.Hard
		}
		for _, entry := range batch.Entries {
			buf = appendRecord(buf, start, entryBody(entry))
			l.raiseMaxIndex(entry.Index)
		}
	}
	return buf
}

func (l *Log) current() *segment {
	return &l.segments[len(l.segments)-1]
}

func (l *Log) raiseMaxIndex(index uint64) {
	l.current().maxIndex = max(l.current().maxIndex, index)
}

// roll begins a new segment. Its first records repeat the hard state, so that
// earlier segments may be dropped.
func (l *Log) roll() error {
	var number uint64 = 1
	if len(l.segments) > 0 {
		number = l.current().number + 1
	}
	content := initialRecords(number, l.hardState)
	if err := disk.WriteFile(l.fs, l.dir, segmentName(number), content); err != nil {
		return err
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return err
		}
		l.file = nil
	}
	l.segments = append(l.segments, segment{number: number, size: len(content)})
	return l.openCurrent()
}

// initialRecords returns the first records of a segment.
func initialRecords(number uint64, hard HardState) []byte {
	buf := appendRecord(nil, 0, segmentHeaderBody(number))
	return appendRecord(buf, 0, hardStateBody(hard))
}

func (l *Log) openCurrent() error {
	file, err := l.fs.Append(l.path(l.current().number))
	if err != nil {
		return err
	}
	l.file = file
	return nil
}

// Compact drops whole segments that hold nothing above index. The caller has a
// durable snapshot at index or above.
func (l *Log) Compact(index uint64) error {
	if l.failed != nil {
		return l.failed
	}
	for len(l.segments) > 1 && l.segments[0].maxIndex <= index {
		if err := l.removeOldestSegment(); err != nil {
			l.failed = fmt.Errorf("wal: compact: %w", err)
			return l.failed
		}
	}
	return nil
}

// removeOldestSegment removes the oldest segment durably, so that segments disappear in
// order and no gap can arise.
func (l *Log) removeOldestSegment() error {
	if err := l.fs.Remove(l.path(l.segments[0].number)); err != nil {
		return err
	}
	l.segments = l.segments[1:]
	return l.fs.SyncDir(l.dir)
}

// Close releases the file. It makes nothing durable that Append did not.
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
