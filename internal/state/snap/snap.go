// Package snap stores snapshots of the replicated state. A snapshot becomes
// visible only once it is complete and durable.
package snap

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"path"
	"strings"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
)

const suffix = ".snap"

// magic is the first bytes of every snapshot file. It includes the version of the
// file format.
const magic = "FHSNAP01"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Meta describes a snapshot.
type Meta struct {
	// Index and Term are those of the last log entry included in the snapshot.
	Index uint64
	Term  uint64
	// Members is the encoded membership at Index.
	Members []byte
}

// Snapshot is the encoded state after applying the log entry Meta.Index.
type Snapshot struct {
	Meta Meta
	Data []byte
}

// Store is a directory of snapshots.
type Store struct {
	fs  disk.FS
	dir string
}

// Open returns the store in a directory, which it creates if it is missing.
func Open(fsys disk.FS, dir string) (*Store, error) {
	if err := fsys.MkdirAll(dir); err != nil {
		return nil, fmt.Errorf("snap: open: %w", err)
	}
	if err := disk.RemoveTemporary(fsys, dir); err != nil {
		return nil, fmt.Errorf("snap: open: %w", err)
	}
	return &Store{fs: fsys, dir: dir}, nil
}

// Save stores a snapshot durably.
func (s *Store) Save(snapshot Snapshot) error {
	name := fmt.Sprintf("%016x%s", snapshot.Meta.Index, suffix)
	if err := disk.WriteFile(s.fs, s.dir, name, encode(snapshot)); err != nil {
		return fmt.Errorf("snap: save %s: %w", name, err)
	}
	return nil
}

// DamageError means that a snapshot file is corrupt.
type DamageError struct {
	// File is the path of the file relative to the data directory.
	File string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("snap: %s is damaged", e.File)
}

// Latest returns the newest valid snapshot. found is false if there is no
// snapshot. If all snapshots are damaged, it fails with *DamageError. Because
// damaged snapshots are skipped, the caller must check that its log continues from
// the returned one.
func (s *Store) Latest() (latest Snapshot, found bool, err error) {
	names, err := s.names()
	if err != nil {
		return Snapshot{}, false, err
	}
	for i := len(names) - 1; i >= 0; i-- {
		latest, err = s.load(names[i])
		if err == nil {
			return latest, true, nil
		}
		var damaged *DamageError
		if !errors.As(err, &damaged) {
			return Snapshot{}, false, err
		}
	}
	return Snapshot{}, false, err
}

// Prune removes all snapshots but the newest ones. keep is the number of snapshots
// that remain.
func (s *Store) Prune(keep int) error {
	names, err := s.names()
	if err != nil {
		return err
	}
	for len(names) > keep {
		if err := s.fs.Remove(path.Join(s.dir, names[0])); err != nil {
			return fmt.Errorf("snap: prune: %w", err)
		}
		names = names[1:]
	}
	return s.fs.SyncDir(s.dir)
}

// names returns the names of the snapshot files, oldest first.
func (s *Store) names() ([]string, error) {
	all, err := s.fs.List(s.dir)
	if err != nil {
		return nil, fmt.Errorf("snap: list: %w", err)
	}
	var names []string
	for _, name := range all {
		if strings.HasSuffix(name, suffix) {
			names = append(names, name)
		}
	}
	return names, nil
}

func (s *Store) load(name string) (Snapshot, error) {
	file := path.Join(s.dir, name)
	content, err := s.fs.ReadFile(file)
	if err != nil {
		return Snapshot{}, fmt.Errorf("snap: read: %w", err)
	}
	snapshot, ok := decode(content)
	if !ok {
		return Snapshot{}, &DamageError{File: file}
	}
	return snapshot, nil
}

// encode returns the content of a snapshot file, in little-endian byte order: magic,
// CRC32C of the following bytes (uint32), index (uint64), term (uint64), length of
// the membership (uint32), membership, data.
func encode(s Snapshot) []byte {
	body := binary.LittleEndian.AppendUint64(nil, s.Meta.Index)
	body = binary.LittleEndian.AppendUint64(body, s.Meta.Term)
	body = binary.LittleEndian.AppendUint32(body, uint32(len(s.Meta.Members)))
	body = append(body, s.Meta.Members...)
	body = append(body, s.Data...)
	out := append([]byte(nil), magic...)
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(body, castagnoli))
	return append(out, body...)
}

// decode is the inverse of encode. ok is false if the content is damaged.
func decode(content []byte) (s Snapshot, ok bool) {
	const headerSize = len(magic) + 4
	const fixedSize = 20
	if len(content) < headerSize+fixedSize || string(content[:len(magic)]) != magic {
		return Snapshot{}, false
	}
	body := content[headerSize:]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(content[len(magic):]) {
		return Snapshot{}, false
	}
	members := int(binary.LittleEndian.Uint32(body[16:]))
	if members > len(body)-fixedSize {
		return Snapshot{}, false
	}
	s.Meta.Index = binary.LittleEndian.Uint64(body)
	s.Meta.Term = binary.LittleEndian.Uint64(body[8:])
	s.Meta.Members = body[fixedSize : fixedSize+members]
	s.Data = body[fixedSize+members:]
	return s, true
}
