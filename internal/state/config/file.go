package config

import (
	"cmp"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
)

// FileSuffix is the name suffix of configuration files.
const FileSuffix = ".yaml"

// File is one file of a configuration folder.
type File struct {
	// Name is the base name. Files are merged in the order of their names.
	Name string
	Data []byte
}

// Mistake is an error or a warning about a configuration folder.
type Mistake struct {
	// File and Line are the position. Line is zero if no line applies.
	File string
	Line int
	Text string
}

// String returns the mistake in the form "file:line: text".
func (m Mistake) String() string {
	if m.Line == 0 {
		return fmt.Sprintf("%s: %s", m.File, m.Text)
	}
	return fmt.Sprintf("%s:%d: %s", m.File, m.Line, m.Text)
}

// Report lists the errors and warnings about a configuration folder.
type Report struct {
	// Mistakes are errors: a folder that has any is rejected as a whole.
	Mistakes []Mistake
	// Warnings don't prevent the folder from being applied.
	Warnings []Mistake
}

func (r *Report) addMistake(file string, line int, format string, args ...any) {
	r.Mistakes = append(r.Mistakes, Mistake{File: file, Line: line, Text: fmt.Sprintf(format, args...)})
}

func (r *Report) addWarning(file string, line int, format string, args ...any) {
	r.Warnings = append(r.Warnings, Mistake{File: file, Line: line, Text: fmt.Sprintf(format, args...)})
}

func (r *Report) sort() {
	byPosition := func(a, b Mistake) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Text, b.Text))
	}
	slices.SortFunc(r.Mistakes, byPosition)
	slices.SortFunc(r.Warnings, byPosition)
}

// ReadFolder reads the configuration files of a folder: those directly in it whose
// name ends with FileSuffix, except hidden ones. It returns an error if a name ends
// with ".yml", since such a file would otherwise be ignored silently.
func ReadFolder(folder fs.FS) ([]File, error) {
	entries, err := fs.ReadDir(folder, ".")
	if err != nil {
		return nil, fmt.Errorf("config: read folder: %w", err)
	}
	var files []File
	for _, entry := range entries {
		name := entry.Name()
		if entry.IsDir() || strings.HasPrefix(name, ".") {
			continue
		}
		if path.Ext(name) == ".yml" {
			return nil, fmt.Errorf("config: %s: rename it to end with %s", name, FileSuffix)
		}
		if path.Ext(name) != FileSuffix {
			continue
		}
		data, err := fs.ReadFile(folder, name)
		if err != nil {
			return nil, fmt.Errorf("config: read %s: %w", name, err)
		}
		files = append(files, File{Name: name, Data: data})
	}
	return files, nil
}
