// Package disk is the file system interface through which the log, the snapshots
// and the identity file are stored. Names are slash-separated and relative to
// the data directory.
package disk

import (
	"errors"
	"io"
	"strings"
)

// ErrLocked means that another process has locked the data directory.
var ErrLocked = errors.New("disk: the data directory is in use by another process")

// ErrFull means that the disk has no space for a write. Durable content is
// unchanged, and the write may succeed later.
var ErrFull = errors.New("disk: no space left")

// File is a file that was opened for appending.
type File interface {
	io.Writer
	io.Closer
	// Sync returns once every byte written before the call is durable. After
	// an error, unsynced bytes may or may not be durable, even if a later Sync
	// succeeds.
	Sync() error
}

// FS is a data directory. A name is durable only after SyncDir of its directory;
// content is durable only after File.Sync. Operations on a missing file fail
// with fs.ErrNotExist.
type FS interface {
	// MkdirAll creates a directory and its parents and makes them durable.
	MkdirAll(dir string) error
	// Append opens a file for appending and creates it if it is missing.
	Append(name string) (File, error)
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// Rename renames oldName to newName atomically, replacing any file there.
	Rename(oldName, newName string) error
	// Truncate shortens a file to size bytes. The change is durable after the
	// file's next Sync.
	Truncate(name string, size int64) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the sorted names of the files in a directory, without
	// subdirectories.
	List(dir string) ([]string, error)
	// SyncDir makes creations, renames and removals in a directory durable.
	SyncDir(dir string) error
	// Lock locks the named file for this process until the result is closed. It
	// fails with ErrLocked if the file is already locked.
	Lock(name string) (io.Closer, error)
}

// tempSuffix marks an incomplete file, which readers ignore.
const tempSuffix = ".tmp"

// WriteFile replaces a file atomically and durably: it writes a temporary
// file, syncs it, renames it and syncs the directory.
//
// If the disk is full, nothing has changed, and the temporary file is removed if possible:
// what was written of it would keep others from writing.
func WriteFile(fsys FS, dir, name string, content []byte) error {
	path := join(dir, name)
	temp := path + tempSuffix
	if err := removeIfPresent(fsys, temp); err != nil {
		return err
	}
	if err := writeNew(fsys, temp, content); err != nil {
		if errors.Is(err, ErrFull) {
			_ = removeIfPresent(fsys, temp)
		}
		return err
	}
	if err := fsys.Rename(temp, path); err != nil {
		return err
	}
	return fsys.SyncDir(dir)
}

// writeNew writes and syncs a file that does not exist yet.
func writeNew(fsys FS, name string, content []byte) error {
	file, err := fsys.Append(name)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		// Space may be allocated only now. The file is not in use yet, so that it may be
		// written again.
		err = withErrFull(file.Sync())
	}
	return errors.Join(err, file.Close())
}

// RemoveTemporary removes the incomplete files that an earlier process left in a directory.
func RemoveTemporary(fsys FS, dir string) error {
	names, err := fsys.List(dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := fsys.Remove(join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}
