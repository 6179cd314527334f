package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"

	"golang.org/x/sys/unix"
)

// Permissions of created directories and files: only the user of the process
// has access.
const (
	dirMode  os.FileMode = 0o700
	fileMode os.FileMode = 0o600
)

// OS is a data directory in the operating system's file system.
type OS struct {
	root string
}

// NewOS returns the data directory at root. It does not create the directory;
// MkdirAll does.
func NewOS(root string) *OS {
	return &OS{root: root}
}

func (o *OS) path(name string) string {
	return filepath.Join(o.root, filepath.FromSlash(name))
}

// MkdirAll implements FS.
func (o *OS) MkdirAll(dir string) error {
	if err := os.MkdirAll(o.path(dir), dirMode); err != nil {
		return withErrFull(err)
	}
	if err := o.SyncDir(dir); err != nil {
		return err
	}
	return syncPath(filepath.Dir(o.path(dir)))
}

// Append implements FS.
func (o *OS) Append(name string) (File, error) {
	file, err := os.OpenFile(o.path(name), os.O_WRONLY|os.O_APPEND|os.O_CREATE, fileMode)
	if err != nil {
		return nil, withErrFull(err)
	}
	return osFile{file}, nil
}

// osFile is an os.File whose Write reports a full disk as ErrFull.
type osFile struct{ *os.File }

// Write implements io.Writer.
func (f osFile) Write(data []byte) (int, error) {
	n, err := f.File.Write(data)
	return n, withErrFull(err)
}

// Sync implements File.
func (f osFile) Sync() error { return f.File.Sync() }

// withErrFull wraps in ErrFull an error that means that the disk is full or that
// the user's quota is used up.
func withErrFull(err error) error {
	if errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return err
}

// Truncate implements FS.
func (o *OS) Truncate(name string, size int64) error {
	return withErrFull(os.Truncate(o.path(name), size))
}

// ReadFile implements FS.
func (o *OS) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(o.path(name))
}

// Rename implements FS.
func (o *OS) Rename(oldName, newName string) error {
	return withErrFull(os.Rename(o.path(oldName), o.path(newName)))
}

// Remove implements FS.
func (o *OS) Remove(name string) error {
	return withErrFull(os.Remove(o.path(name)))
}

// List implements FS.
func (o *OS) List(dir string) ([]string, error) {
	found, err := os.ReadDir(o.path(dir))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range found {
		if !entry.IsDir() {
			names = append(names, entry.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// SyncDir implements FS.
func (o *OS) SyncDir(dir string) error {
	return syncPath(o.path(dir))
}

// Lock implements FS.
func (o *OS) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(o.path(name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, withErrFull(err)
	}
	err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	if errors.Is(err, unix.EWOULDBLOCK) {
		err = ErrLocked
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("disk: lock %s: %w", o.path(name), err), file.Close())
	}
	return file, nil
}

// syncPath syncs a directory.
func syncPath(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
