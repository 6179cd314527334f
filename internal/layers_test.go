package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const modulePrefix = "github.com/flamingohaven/flamingohaven/internal/"

// layerRank is the rank of each layer. A package may import only packages of its own
// or a lower rank.
var layerRank = map[string]int{
	"state":        1,
	"coordination": 2,
	"protocol":     3,
	"transport":    4,
	"fakes":        5,
	"command":      6,
}

// TestLayers_ImportsPointDown checks that no layer imports a higher one.
func TestLayers_ImportsPointDown(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		layer, _, _ := strings.Cut(filepath.ToSlash(path), "/")
		rank, known := layerRank[layer]
		must.True(t, known, must.Sprintf("%s belongs to no layer in layerRank", path))
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		must.NoError(t, err)
		for _, spec := range parsed.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			must.NoError(t, err)
			rest, own := strings.CutPrefix(name, modulePrefix)
			if !own {
				continue
			}
			imported, _, _ := strings.Cut(rest, "/")
			must.LessEq(t, rank, layerRank[imported], must.Sprintf("%s imports %s", path, name))
		}
		files++
		return nil
	})
	must.NoError(t, err)
	must.Positive(t, files)
}
