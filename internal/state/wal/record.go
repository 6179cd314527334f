package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// recordHeaderSize is the size in bytes of the fields before a record's body. The
// on-disk format of a record, in little-endian byte order, is:
//
//	length   uint32  length of the body in bytes, never 0
//	checksum uint32  CRC32C of all following bytes of the record
//	batch    uint32  offset in the segment at which the record's batch begins
//	body     kind uint8, then the fields of that kind
//
// A batch is written only after everything before it was synced. A valid record
// of a batch that begins after a damaged record therefore proves that the damaged
// record was durable.
const recordHeaderSize = 12

// maxBody is the maximum size of a record's body in bytes. Longer records are
// treated as invalid when read.
const maxBody = 64 << 20

// recordKind is the type of a record, stored in the first byte of its body.
type recordKind uint8

const (
	recordSegmentHeader recordKind = iota + 1
	recordHardState
	recordMark
	recordEntry
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends an encoded record to buf. batch is the offset in the
// segment at which the record's batch begins.
func appendRecord(buf []byte, batch uint32, body []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(body)))
	buf = binary.LittleEndian.AppendUint32(buf, 0)
	buf = binary.LittleEndian.AppendUint32(buf, batch)
	buf = append(buf, body...)
	sum := crc32.Checksum(buf[start+8:], castagnoli)
	binary.LittleEndian.PutUint32(buf[start+4:], sum)
	return buf
}

// parseRecord decodes the record at the start of data. ok is false if the record
// is incomplete or damaged.
func parseRecord(data []byte) (body []byte, batch uint32, ok bool) {
	if len(data) < recordHeaderSize {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data)
	if length == 0 || length > maxBody || int(length) > len(data)-recordHeaderSize {
		return nil, 0, false
	}
	end := recordHeaderSize + int(length)
	if crc32.Checksum(data[8:end], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	return data[recordHeaderSize:end], binary.LittleEndian.Uint32(data[8:]), true
}

// hardStateBody encodes the body of a hard state record.
func hardStateBody(h HardState) []byte {
	body := []byte{byte(recordHardState)}
	body = binary.LittleEndian.AppendUint64(body, h.Term)
	body = binary.LittleEndian.AppendUint64(body, h.Commit)
	body = binary.LittleEndian.AppendUint64(body, uint64(h.VoteIncarnation))
	return append(body, h.VoteID...)
}

// markBody encodes the body of a mark record.
func markBody(m Mark) []byte {
	body := []byte{byte(recordMark)}
	body = binary.LittleEndian.AppendUint64(body, m.Index)
	return binary.LittleEndian.AppendUint64(body, m.Term)
}

// entryBody encodes the body of an entry record.
func entryBody(e Entry) []byte {
	body := make([]byte, 0, 18+len(e.Data))
	body = append(body, byte(recordEntry), byte(e.Kind))
	body = binary.LittleEndian.AppendUint64(body, e.Index)
	body = binary.LittleEndian.AppendUint64(body, e.Term)
	return append(body, e.Data...)
}

// segmentHeaderBody encodes the body of a segment's first record.
func segmentHeaderBody(number uint64) []byte {
	body := []byte{byte(recordSegmentHeader), formatVersion}
	return binary.LittleEndian.AppendUint64(body, number)
}

// decodeHardState decodes the fields of a hard state record. It returns false if
// they have the wrong length.
func decodeHardState(fields []byte) (HardState, bool) {
	if len(fields) < 24 {
		return HardState{}, false
	}
	return HardState{
		Term:            binary.LittleEndian.Uint64(fields),
		Commit:          binary.LittleEndian.Uint64(fields[8:]),
		VoteIncarnation: ident.Incarnation(binary.LittleEndian.Uint64(fields[16:])),
		VoteID:          ident.NodeID(fields[24:]),
	}, true
}

// decodeMark decodes the fields of a mark record. It returns false if they have
// the wrong length.
func decodeMark(fields []byte) (Mark, bool) {
	if len(fields) != 16 {
		return Mark{}, false
	}
	return Mark{
		Index: binary.LittleEndian.Uint64(fields),
		Term:  binary.LittleEndian.Uint64(fields[8:]),
	}, true
}

// decodeEntry decodes the fields of an entry record. It returns false if they are
// too short.
func decodeEntry(fields []byte) (Entry, bool) {
	if len(fields) < 17 {
		return Entry{}, false
	}
	return Entry{
		Kind:  EntryKind(fields[0]),
		Index: binary.LittleEndian.Uint64(fields[1:]),
		Term:  binary.LittleEndian.Uint64(fields[9:]),
		Data:  append([]byte(nil), fields[17:]...),
	}, true
}
