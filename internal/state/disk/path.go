package disk

import (
	"errors"
	"io/fs"
	"path"
)

// join returns the path of a file in a directory. The directory "." is the data
// directory itself.
func join(dir, name string) string {
	return path.Join(dir, name)
}

// removeIfPresent deletes a file. It is not an error if the file is missing.
func removeIfPresent(fsys FS, name string) error {
	err := fsys.Remove(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}
