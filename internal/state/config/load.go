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
	// maxFiles is the maximum number of files in a folder.
	maxFiles = 10_000
	// maxFolderBytes is the maximum total size of the files in a folder.
	maxFolderBytes = 16 << 20
)

// position is the place in the files where an object or field is defined.
type position struct {
	file string
	line int
}

// objectKey identifies an object by its kind, such as "tiers", and its name.
type objectKey struct {
	kind string
	name string
}

// objectPositions holds the positions of an object and of its fields by name.
type objectPositions struct {
	object position
	fields map[string]position
}

// loader merges files and remembers the position of each object and field.
type loader struct {
	config    Config
	report    Report
	positions map[objectKey]objectPositions
}

// Load merges files in the order of their names and validates the result. An object
// in a later file replaces the whole object of the same name in an earlier file.
// The configuration is usable only if the report lists no mistakes. The deadlines
// of moves are compared with now.
func Load(files []File, now time.Time) (Config, Report) {
	l := &loader{positions: make(map[objectKey]objectPositions)}
	if l.withinLimits(files) {
		ordered := slices.Clone(files)
		slices.SortStableFunc(ordered, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
		for i, f := range ordered {
			if i > 0 && ordered[i-1].Name == f.Name {
				l.report.addMistake(f.Name, 0, "duplicate file name")
			}
			l.loadFile(f)
		}
		l.check(now)
	}
	l.report.sort()
	return l.config.normalize(), l.report
}

func (l *loader) withinLimits(files []File) bool {
	total := 0
	for _, f := range files {
		total += len(f.Data)
	}
	if len(files) > maxFiles || total > maxFolderBytes {
		l.report.addMistake("folder", 0, "%d files with a total of %d bytes exceed the limits of %d files and %d bytes",
			len(files), total, maxFiles, maxFolderBytes)
		return false
	}
	return true
}

// yamlLinePattern matches the line number in an error of the YAML library.
var yamlLinePattern = regexp.MustCompile(`line (\d+): `)

// loadFile merges one file into the configuration.
func (l *loader) loadFile(f File) {
	decoder := yaml.NewDecoder(bytes.NewReader(f.Data))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return
	}
	if err != nil {
		l.syntaxMistake(f.Name, err)
		return
	}
	var second yaml.Node
	if err := decoder.Decode(&second); err == nil {
		l.report.addMistake(f.Name, second.Line, "a file must contain a single YAML document")
	} else if !errors.Is(err, io.EOF) {
		l.syntaxMistake(f.Name, err)
	}
	root := document.Content[0]
	if root.Kind == yaml.ScalarNode && root.Tag == "!!null" {
		return
	}
	l.loadSections(f.Name, root)
}

// syntaxMistake reports an error of the YAML library, with the line number taken
// from its message.
func (l *loader) syntaxMistake(file string, err error) {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 0
	if match := yamlLinePattern.FindStringSubmatch(text); match != nil {
		line, _ = strconv.Atoi(match[1])
		text = strings.Replace(text, match[0], "", 1)
	}
	l.report.addMistake(file, line, "%s", text)
}

// loadSections reads the top level of a file: one section for each kind of object.
func (l *loader) loadSections(file string, root *yaml.Node) {
	l.forEachPair(file, root, "file", func(key, value *yaml.Node) {
		switch key.Value {
		case "tiers":
			loadSection[ident.TierName](l, file, key, value, &l.config.Tiers)
		case "teams":
			loadSection[ident.TeamName](l, file, key, value, &l.config.Teams)
		case "pools":
			loadSection[ident.PoolName](l, file, key, value, &l.config.Pools)
		case "upstreams":
			loadSection[ident.UpstreamName](l, file, key, value, &l.config.Upstreams)
		case "routes":
			loadSection[ident.RouteName](l, file, key, value, &l.config.Routes)
		case "moves":
			loadSection[ident.MoveName](l, file, key, value, &l.config.Moves)
		default:
			l.report.addMistake(file, key.Line, "unknown section %q", key.Value)
		}
	})
}

// forEachPair calls each for every key of a mapping. It reports nodes that aren't
// mappings, keys that aren't scalars and duplicate keys; desc describes the node in
// these reports.
func (l *loader) forEachPair(file string, node *yaml.Node, desc string, each func(key, value *yaml.Node)) {
	if node.Kind != yaml.MappingNode {
		l.report.addMistake(file, node.Line, "%s must be a mapping", desc)
		return
	}
	seen := make(map[string]int, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if key.Kind != yaml.ScalarNode {
			l.report.addMistake(file, key.Line, "a key of %s must be a scalar", desc)
			continue
		}
		if first, duplicate := seen[key.Value]; duplicate {
			l.report.addMistake(file, key.Line, "duplicate key %q in %s, first defined on line %d", key.Value, desc, first)
			continue
		}
		seen[key.Value] = key.Line
		each(key, value)
	}
}

// objectNamePattern matches valid names of objects.
var objectNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,99}$`)

// loadSection reads the objects of one kind into *objects.
func loadSection[K ~string, V any](l *loader, file string, kind, node *yaml.Node, objects *map[K]V) {
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return
	}
	l.forEachPair(file, node, kind.Value, func(key, value *yaml.Node) {
		if !objectNamePattern.MatchString(key.Value) {
			l.report.addMistake(file, key.Line, "%q is not a valid name: use up to 100 letters, digits and . _ / -, with a letter or digit first", key.Value)
			return
		}
		positions := objectPositions{object: position{file, key.Line}, fields: make(map[string]position)}
		l.positions[objectKey{kind.Value, key.Value}] = positions
		var object V
		l.loadObject(file, kind.Value, key, value, reflect.ValueOf(&object).Elem())
		if *objects == nil {
			*objects = make(map[K]V)
		}
		(*objects)[K(key.Value)] = object
	})
}

// loadObject reads the fields of one object.
func (l *loader) loadObject(file, kind string, name, node *yaml.Node, object reflect.Value) {
	fields := fieldIndexes(object.Type())
	fieldPositions := l.positions[objectKey{kind, name.Value}].fields
	desc := kind + " " + strconv.Quote(name.Value)
	l.forEachPair(file, node, desc, func(key, value *yaml.Node) {
		index, known := fields[key.Value]
		if !known {
			l.report.addMistake(file, key.Line, "%s has no field %q", desc, key.Value)
			return
		}
		fieldPositions[key.Value] = position{file, key.Line}
		if problem := setScalar(object.Field(index), value); problem != "" {
			l.report.addMistake(file, value.Line, "%s: %s: %s", desc, key.Value, problem)
		}
	})
}

// fieldIndexes maps the YAML names of the fields of a struct type to their indexes.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		fields[name] = i
	}
	return fields
}
