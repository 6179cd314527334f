package config

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// maxFiles bounds the files of one folder.
	maxFiles = 10_000
	// maxFolderBytes bounds the files of one folder together, in bytes.
	maxFolderBytes = 16 << 20
)

// place is where an object or one of its fields stands.
type place struct {
	file string
	line int
}

// objectKey names an object.
type objectKey struct {
	kind string
	name string
}

// objectPlaces is where an object and its fields stand.
type objectPlaces struct {
	object place
	fields map[string]place
}

// loader merges files and keeps where each value came from.
type loader struct {
	config Config
	report Report
	places map[objectKey]objectPlaces
}

// Load merges files in the order of their names, a later object replacing an
// earlier one of the same name whole, and checks the result strictly. The
// configuration is usable only when the report lists no mistake. Deadlines are
// compared with now.
func Load(files []File, now time.Time) (Config, Report) {
	l := &loader{places: make(map[objectKey]objectPlaces)}
	if l.bounded(files) {
		ordered := slices.Clone(files)
		slices.SortStableFunc(ordered, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
		for i, f := range ordered {
			if i > 0 && ordered[i-1].Name == f.Name {
				l.report.mistake(f.Name, 0, "the file is given twice")
			}
			l.file(f)
		}
		l.check(now)
	}
	l.report.sort()
	return l.config.normalize(), l.report
}

func (l *loader) bounded(files []File) bool {
	total := 0
	for _, f := range files {
		total += len(f.Data)
	}
	if len(files) > maxFiles || total > maxFolderBytes {
		l.report.mistake("folder", 0, "%d files of %d bytes exceed the limits of %d files and %d bytes",
			len(files), total, maxFiles, maxFolderBytes)
		return false
	}
	return true
}

// yamlLine finds the line number in a message of the YAML library.
var yamlLine = regexp.MustCompile(`line (\d+): `)

// file reads one file.
func (l *loader) file(f File) {
	decoder := yaml.NewDecoder(bytes.NewReader(f.Data))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return
	}
	if err != nil {
		l.syntax(f.Name, err)
		return
	}
	var second yaml.Node
	if err := decoder.Decode(&second); err == nil {
		l.report.mistake(f.Name, second.Line, "a file holds one document only")
	} else if !errors.Is(err, io.EOF) {
		l.syntax(f.Name, err)
	}
	root := document.Content[0]
	if root.Kind == yaml.ScalarNode && root.Tag == "!!null" {
		return
	}
	l.sections(f.Name, root)
}

// syntax reports an error of the YAML library with the line that it names.
func (l *loader) syntax(file string, err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 0
	if match := yamlLine.FindStringSubmatch(text); match != nil {
		line, _ = strconv.Atoi(match[1])
		text = strings.Replace(text, match[0], "", 1)
	}
	l.report.mistake(file, line, "%s", text)
}

// sections reads the top level: one section for each kind of object.
func (l *loader) sections(file string, root *yaml.Node) {
	l.pairs(file, root, "file", func(key, value *yaml.Node) {
		switch key.Value {
		case "tiers":
			section[ident.TierName](l, file, key, value, &l.config.Tiers)
		case "teams":
			section[ident.TeamName](l, file, key, value, &l.config.Teams)
		case "pools":
			section[ident.PoolName](l, file, key, value, &l.config.Pools)
		case "upstreams":
			section[ident.UpstreamName](l, file, key, value, &l.config.Upstreams)
		case "routes":
			section[ident.RouteName](l, file, key, value, &l.config.Routes)
		case "moves":
			section[ident.MoveName](l, file, key, value, &l.config.Moves)
		default:
			l.report.mistake(file, key.Line, "unknown section %q", key.Value)
		}
	})
}

// pairs calls each for every key of a mapping, and reports duplicate keys and
// nodes that aren't plain mappings.
func (l *loader) pairs(file string, node *yaml.Node, what string, each func(key, value *yaml.Node)) {
	if node.Kind != yaml.MappingNode {
		l.report.mistake(file, node.Line, "%s must be a mapping", what)
		return
	}
	seen := make(map[string]int, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if key.Kind != yaml.ScalarNode {
			l.report.mistake(file, key.Line, "a key of %s must be a plain name", what)
			continue
		}
		if first, twice := seen[key.Value]; twice {
			l.report.mistake(file, key.Line, "%q stands twice in %s, first on line %d", key.Value, what, first)
			continue
		}
		seen[key.Value] = key.Line
		each(key, value)
	}
}

// objectName is the form of names of objects.
var objectName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,99}$`)

// section reads the objects of one kind.
func section[K ~string, V any](l *loader, file string, kind, node *yaml.Node, objects *map[K]V) {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return
	}
	l.pairs(file, node, kind.Value, func(key, value *yaml.Node) {
		if !objectName.MatchString(key.Value) {
			l.report.mistake(file, key.Line, "%q is no valid name: use letters, digits and . _ / -", key.Value)
			return
		}
		places := objectPlaces{object: place{file, key.Line}, fields: make(map[string]place)}
		l.places[objectKey{kind.Value, key.Value}] = places
		var object V
		l.object(file, kind.Value, key, value, reflect.ValueOf(&object).Elem())
		if *objects == nil {
			*objects = make(map[K]V)
		}
		(*objects)[K(key.Value)] = object
	})
}

// object reads the fields of one object.
func (l *loader) object(file, kind string, name, node *yaml.Node, object reflect.Value) {
	fields := fieldsOf(object.Type())
	places := l.places[objectKey{kind, name.Value}].fields
	what := kind + " " + strconv.Quote(name.Value)
	l.pairs(file, node, what, func(key, value *yaml.Node) {
		index, known := fields[key.Value]
		if !known {
			l.report.mistake(file, key.Line, "%s has no field %q", what, key.Value)
			return
		}
		places[key.Value] = place{file, key.Line}
		if problem := setScalar(object.Field(index), value); problem != "" {
			l.report.mistake(file, value.Line, "%s: %s: %s", what, key.Value, problem)
		}
	})
}

// fieldsOf maps the names in files to the fields of a type.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		fields[name] = i
	}
	return fields
}
