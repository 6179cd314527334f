// Package disk is the narrow view of a file system that the log, the snapshots
// and the identity file are written through. Names are slash-separated and
// relative to the data folder.
package disk

import (
	"errors"
	"io"
)

// ErrLocked means that another process holds the data folder.
var ErrLocked = errors.New("disk: the data folder is in use by another process")

// ErrFull means that the disk has no room for a write. Nothing that was durable
// is touched, and the write may succeed later.
var ErrFull = errors.New("disk: no space left")

// File is an open file that only grows.
type File interface {
	io.Writer
	io.Closer
	// Sync returns once every byte written before the call is durable. After
	// an error nothing may be assumed about any unsynced byte, also if a later
	// Sync succeeds.
	Sync() error
}

// FS is one data folder. A name is durable only after SyncDir of its folder;
// content is durable only after File.Sync. Missing names yield fs.ErrNotExist.
type FS interface {
	// MkdirAll creates a folder and its parents and makes them durable.
	MkdirAll(dir string) error
	// Append opens a file at its end and creates it if it is missing.
	Append(name string) (File, error)
	// ReadFile returns the content of a file.
	ReadFile(name string) ([]byte, error)
	// Rename replaces newName by oldName atomically.
	Rename(oldName, newName string) error
	// Truncate cuts a file to a length, in bytes. The cut is durable with the
	// file's next sync.
	Truncate(name string, size int64) error
	// Remove deletes a file.
	Remove(name string) error
	// List returns the names of the files in a folder, sorted, without folders.
	List(dir string) ([]string, error)
	// SyncDir makes creations, renames and removals in a folder durable.
	SyncDir(dir string) error
	// Lock takes the named lock file for this process, or fails with ErrLocked.
	Lock(name string) (io.Closer, error)
}

// tempSuffix marks a file that is not complete; readers ignore it.
const tempSuffix = ".tmp"

// WriteFile replaces a file atomically and durably: it writes a temporary
// file, syncs it, renames it and syncs the folder.
func WriteFile(fsys FS, dir, name string, content []byte) error {
	path := join(dir, name)
	temp := path + tempSuffix
	if err := removeIfPresent(fsys, temp); err != nil {
		return err
	}
	if err := writeNew(fsys, temp, content); err != nil {
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
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}
