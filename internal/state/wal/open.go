package wal

import (
	"encoding/binary"
	"fmt"
	"path"
	"strconv"
	"strings"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
)

const segmentSuffix = ".wal"

func segmentName(number uint64) string {
	return fmt.Sprintf("%016x%s", number, segmentSuffix)
}

func (l *Log) path(number uint64) string {
	return path.Join(l.dir, segmentName(number))
}

// Open opens the log in a directory, removes a torn tail and returns the log and
// its content. It creates the log if the directory has none. It fails with
// *DamageError if durable data is corrupt or missing.
func Open(fsys disk.FS, dir string, opts Options) (*Log, Recovered, error) {
	l := &Log{fs: fsys, dir: dir, segmentBytes: opts.SegmentBytes}
	if l.segmentBytes == 0 {
		l.segmentBytes = DefaultSegmentBytes
	}
	if err := fsys.MkdirAll(dir); err != nil {
		return nil, Recovered{}, fmt.Errorf("wal: open: %w", err)
	}
	if err := disk.RemoveTemporary(fsys, dir); err != nil {
		return nil, Recovered{}, fmt.Errorf("wal: open: %w", err)
	}
	recovered, err := l.recover()
	if err != nil {
		return nil, Recovered{}, err
	}
	return l, recovered, nil
}

// recover reads all segments and opens the last one for appending. If there are
// none, it creates the first.
func (l *Log) recover() (Recovered, error) {
	var recovered Recovered
	numbers, err := l.listSegments()
	if err != nil {
		return recovered, err
	}
	for i, number := range numbers {
		if i > 0 && number != numbers[i-1]+1 {
			return recovered, &DamageError{File: l.path(numbers[i-1] + 1), Reason: "segment is missing"}
		}
		last := i == len(numbers)-1
		if err := l.readSegment(number, last, &recovered); err != nil {
			return recovered, err
		}
	}
	l.hardState = recovered.Hard
	if len(l.segments) == 0 {
		return recovered, l.roll()
	}
	return recovered, l.openCurrent()
}

// listSegments returns the numbers of the segments in ascending order.
func (l *Log) listSegments() ([]uint64, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return nil, fmt.Errorf("wal: list segments: %w", err)
	}
	var numbers []uint64
	for _, name := range names {
		digits, ok := strings.CutSuffix(name, segmentSuffix)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			return nil, &DamageError{File: path.Join(l.dir, name), Reason: "unexpected file name"}
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// readSegment replays a segment into recovered and appends it to l.segments. Only
// the last segment may end in a torn tail, which is removed.
func (l *Log) readSegment(number uint64, last bool, recovered *Recovered) error {
	name := l.path(number)
	data, err := l.fs.ReadFile(name)
	if err != nil {
		return fmt.Errorf("wal: read: %w", err)
	}
	seg := segment{number: number}
	for seg.size < len(data) {
		body, _, ok := parseRecord(data[seg.size:])
		if !ok {
			break
		}
		if reason := replay(body, &seg, recovered); reason != "" {
			return &DamageError{File: name, Offset: seg.size, Reason: reason}
		}
		seg.size += recordHeaderSize + len(body)
	}
	if reason := checkTail(data, seg.size, last); reason != "" {
		return &DamageError{File: name, Offset: seg.size, Reason: reason}
	}
	l.segments = append(l.segments, seg)
	if !last {
		return nil
	}
	recovered.TornBytes = len(data) - seg.size
	return l.rewrite(seg, data[:seg.size])
}

// rewrite durably replaces the last segment with its valid part. The data may not
// be durable although it can be read: an earlier process may have exited before
// syncing it, or its sync may have failed.
func (l *Log) rewrite(seg segment, valid []byte) error {
	if err := disk.WriteFile(l.fs, l.dir, segmentName(seg.number), valid); err != nil {
		return fmt.Errorf("wal: rewrite the last segment: %w", err)
	}
	return nil
}

// checkTail returns why the invalid bytes from offset on are damage, or "" if they
// are a torn tail or there are none. Segments are created atomically, so the first
// record can't be torn.
func checkTail(data []byte, offset int, last bool) string {
	switch {
	case offset == 0:
		return "the segment's first record is damaged"
	case offset == len(data):
		return ""
	case !last:
		return "a record before the last segment is damaged"
	case durableRecordFollows(data, offset):
		return "a record is damaged and later batches follow it"
	default:
		return ""
	}
}

// durableRecordFollows reports whether the invalid record at offset is followed by
// a valid record of a later batch, that is, a batch that begins after offset.
func durableRecordFollows(data []byte, offset int) bool {
	for at := offset + 1; at+recordHeaderSize <= len(data); at++ {
		batch := int(binary.LittleEndian.Uint32(data[at+8:]))
		if batch <= offset || batch > at {
			continue
		}
		if _, _, ok := parseRecord(data[at:]); ok {
			return true
		}
	}
	return false
}

// replay applies a record to seg and recovered. It returns why the record is
// invalid, or "" if it is valid.
func replay(body []byte, seg *segment, recovered *Recovered) string {
	kind, fields := recordKind(body[0]), body[1:]
	if seg.size == 0 && kind != recordSegmentHeader {
		return "the segment does not begin with its header"
	}
	switch kind {
	case recordSegmentHeader:
		return replaySegmentHeader(fields, seg)
	case recordHardState:
		hard, ok := decodeHardState(fields)
		recovered.Hard = hard
		return reasonUnless(ok, "invalid hard state")
	case recordMark:
		mark, ok := decodeMark(fields)
		recovered.Base, recovered.Entries = mark, nil
		seg.maxIndex = max(seg.maxIndex, mark.Index)
		return reasonUnless(ok, "invalid mark")
	case recordEntry:
		entry, ok := decodeEntry(fields)
		if !ok {
			return "invalid entry"
		}
		seg.maxIndex = max(seg.maxIndex, entry.Index)
		return recovered.add(entry)
	default:
		return fmt.Sprintf("unknown record kind %d", kind)
	}
}

// reasonUnless returns "" if ok is set, and reason otherwise.
func reasonUnless(ok bool, reason string) string {
	if ok {
		return ""
	}
	return reason
}

// replaySegmentHeader checks the first record of a segment. It returns why the
// record is invalid, or "" if it is valid.
func replaySegmentHeader(fields []byte, seg *segment) string {
	if len(fields) != 9 || fields[0] != formatVersion {
		return "unknown format version"
	}
	number := binary.LittleEndian.Uint64(fields[1:])
	return reasonUnless(number == seg.number, "the header names another segment")
}

// add appends an entry and drops the entries that it supersedes. It returns why
// the entry is invalid, or "" if it is valid.
func (r *Recovered) add(entry Entry) string {
	if len(r.Entries) == 0 {
		r.Entries = append(r.Entries, entry)
		return ""
	}
	first := r.Entries[0].Index
	next := first + uint64(len(r.Entries))
	if entry.Index > next {
		return fmt.Sprintf("entry %d follows entry %d", entry.Index, next-1)
	}
	if entry.Index < first {
		r.Entries = []Entry{entry}
		return ""
	}
	r.Entries = append(r.Entries[:entry.Index-first], entry)
	return ""
}
