package consensus

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Paths relative to the data folder.
const (
	rootDir      = "."
	identityFile = "identity"
	lockFile     = "lock"
	walDir       = "wal"
	snapDir      = "snap"
)

// ErrDataLost means that a part of the data folder is missing. The replica must
// not continue under its identity: its votes or acknowledged entries may be
// lost. With an emptied folder it joins as a new incarnation.
var ErrDataLost = errors.New("consensus: a part of the data folder is missing")

// identity is the identity that a data folder stores.
type identity struct {
	Replica Replica
	// Genesis is set once the replica belongs to a cluster.
	Genesis Genesis
	// RecoveredTip is set if the replica lost its disk and recovered its vote: the
	// end of the log that its votes rely on.
	RecoveredTip logTip `cbor:",omitzero"`
}

// formed reports whether the replica belongs to a cluster.
func (i identity) formed() bool {
	return i.Genesis.Cluster != ""
}

// loadIdentity reads the identity, or creates one if the folder is empty. A
// fixed incarnation other than 0 replaces the random one.
func loadIdentity(fsys disk.FS, id ident.NodeID, fixed ident.Incarnation) (identity, error) {
	hasLog, err := hasFiles(fsys, walDir)
	if err != nil {
		return identity{}, err
	}
	content, err := fsys.ReadFile(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		if hasLog {
			return identity{}, fmt.Errorf("%w: the log exists, but the identity file is missing", ErrDataLost)
		}
		return createIdentity(fsys, id, fixed)
	}
	if err != nil {
		return identity{}, fmt.Errorf("consensus: read identity: %w", err)
	}
	var own identity
	if err := cbor.Unmarshal(content, &own); err != nil {
		return identity{}, fmt.Errorf("consensus: the identity file is damaged: %w", err)
	}
	if own.Replica.ID != id {
		return identity{}, fmt.Errorf("consensus: the data folder belongs to %q, not to %q", own.Replica.ID, id)
	}
	if own.formed() && !hasLog {
		return identity{}, fmt.Errorf("%w: the identity file exists, but the log is missing", ErrDataLost)
	}
	return own, nil
}

// createIdentity creates and persists the identity of an empty folder.
func createIdentity(fsys disk.FS, id ident.NodeID, fixed ident.Incarnation) (identity, error) {
	own := identity{Replica: Replica{ID: id, Incarnation: fixed}}
	if fixed == 0 {
		own.Replica.Incarnation = ident.Incarnation(randomUint64())
	}
	return own, own.save(fsys)
}

// save writes the identity file and syncs it.
func (i identity) save(fsys disk.FS) error {
	content, err := cbor.Marshal(i)
	if err != nil {
		return fmt.Errorf("consensus: encode identity: %w", err)
	}
	if err := disk.WriteFile(fsys, rootDir, identityFile, content); err != nil {
		return fmt.Errorf("consensus: save identity: %w", err)
	}
	return nil
}

// hasFiles reports whether a folder contains any file that is not temporary.
func hasFiles(fsys disk.FS, dir string) (bool, error) {
	names, err := fsys.List(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("consensus: list %s: %w", dir, err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, ".tmp") {
			return true, nil
		}
	}
	return false, nil
}

// randomUint64 returns a random number other than 0.
func randomUint64() uint64 {
	var raw [8]byte
	for {
		// Read never returns an error: it ends the process when the system has
		// no entropy.
		_, _ = rand.Read(raw[:])
		if n := binary.LittleEndian.Uint64(raw[:]); n != 0 {
			return n
		}
	}
}
