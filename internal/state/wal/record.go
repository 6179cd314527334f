package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// A record on disk is, in little-endian order:
//
//	length   uint32  length of the body in bytes, never 0
//	checksum uint32  CRC32C of every later byte of the record
//	batch    uint32  offset in the segment at which the record's batch begins
//	body     kind uint8, then fields by kind
//
// A batch is written only after everything before it was synced. Therefore a
// valid record whose batch begins after a damaged one proves that the damaged
// one had been durable.
const recordHeaderSize = 12

// maxBody bounds the body of one record in bytes.
const maxBody = 64 << 20

// recordKind is the first byte of a body.
type recordKind uint8

const (
	recordSegmentHeader recordKind = iota + 1
	recordHardState
	recordMark
	recordEntry
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord encodes a record. The batch begins at offset batch.
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

// parseRecord decodes the record at the front of data. ok is false if it is
// incomplete or damaged.
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

// hardStateBody encodes a hard state.
func hardStateBody(h HardState) []byte {
	body := []byte{byte(recordHardState)}
	body = binary.LittleEndian.AppendUint64(body, h.Term)
	body = binary.LittleEndian.AppendUint64(body, h.Commit)
	body = binary.LittleEndian.AppendUint64(body, uint64(h.VoteIncarnation))
	return append(body, h.VoteID...)
}

// markBody encodes a mark.
func markBody(m Mark) []byte {
	body := []byte{byte(recordMark)}
	body = binary.LittleEndian.AppendUint64(body, m.Index)
	return binary.LittleEndian.AppendUint64(body, m.Term)
}

// entryBody encodes an entry.
func entryBody(e Entry) []byte {
	body := make([]byte, 0, 18+len(e.Data))
	body = append(body, byte(recordEntry), byte(e.Kind))
	body = binary.LittleEndian.AppendUint64(body, e.Index)
	body = binary.LittleEndian.AppendUint64(body, e.Term)
	return append(body, e.Data...)
}

// segmentHeaderBody encodes the record that opens a segment.
func segmentHeaderBody(number uint64) []byte {
	body := []byte{byte(recordSegmentHeader), formatVersion}
	return binary.LittleEndian.AppendUint64(body, number)
}

// decodeHardState decodes the fields of a hard state.
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

// decodeMark decodes the fields of a mark.
func decodeMark(fields []byte) (Mark, bool) {
	if len(fields) != 16 {
		return Mark{}, false
	}
	return Mark{
		Index: binary.LittleEndian.Uint64(fields),
		Term:  binary.LittleEndian.Uint64(fields[8:]),
	}, true
}

// decodeEntry decodes the fields of an entry.
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
