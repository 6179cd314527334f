package disk

import (
	"errors"
	"io/fs"
	"path"
)

// join appends a file name to a folder; the folder "." is the data folder.
func join(dir, name string) string {
	return path.Join(dir, name)
}

// removeIfPresent deletes a file and accepts that it is missing.
func removeIfPresent(fsys FS, name string) error {
	err := fsys.Remove(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}
