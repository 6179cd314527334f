package command

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/command/settings"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
)

const repoRoot = "../../"

func readPage(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(repoRoot + name)
	must.NoError(t, err)
	return string(content)
}

// stringConstants returns the string constants of type typeName that are declared
// in the package at folder, keyed by constant name.
func stringConstants(t *testing.T, folder, typeName string) map[string]string {
	t.Helper()
	paths, err := filepath.Glob(repoRoot + folder + "/*.go")
	must.NoError(t, err)
	values := map[string]string{}
	for _, path := range paths {
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		must.NoError(t, err)
		ast.Inspect(parsed, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok || len(spec.Values) != 1 {
				return true
			}
			name, typed := spec.Type.(*ast.Ident)
			literal, isLiteral := spec.Values[0].(*ast.BasicLit)
			if typed && isLiteral && name.Name == typeName {
				value, err := strconv.Unquote(literal.Value)
				must.NoError(t, err)
				values[spec.Names[0].Name] = value
			}
			return true
		})
	}
	must.Positive(t, len(values), must.Sprint(folder, typeName))
	return values
}

func TestDocs_InstallListsEverySetting(t *testing.T) {
	page := readPage(t, "docs/operations/install.md")
	for _, row := range settings.Table() {
		defaultValue := "none"
		if row.Default != "" {
			defaultValue = "`" + row.Default + "`"
		}
		line := fmt.Sprintf("| `-%s` | `%s` | %s | %s | %s |", row.Name, row.Env(), defaultValue, row.Unit, row.Help)
		must.StrContains(t, page, line)
	}
}

func TestDocs_RefusalsListEveryReason(t *testing.T) {
	page := readPage(t, "docs/operations/refusals.md")
	for _, folder := range []string{"internal/protocol/callerapi", "internal/coordination/scheduler", "internal/coordination/gateway"} {
		for _, reason := range stringConstants(t, folder, "Reason") {
			refusal := callerapi.RefusalError{Reason: callerapi.Reason(reason)}
			must.StrContains(t, page, fmt.Sprintf("| `%s` | %d |", reason, refusal.Status()))
		}
	}
}

func TestDocs_TimelineListsEveryKind(t *testing.T) {
	page := readPage(t, "docs/operations/timeline.md")
	_, unrecorded, _ := strings.Cut(page, "Not recorded yet: ")
	unrecorded, _, _ = strings.Cut(unrecorded, "\n")
	sources := readSources(t)
	for name, kind := range stringConstants(t, "internal/state/timeline", "Kind") {
		must.StrContains(t, page, "| `"+kind+"` |")
		recorded := strings.Contains(sources, "timeline."+name)
		must.Eq(t, !recorded, strings.Contains(unrecorded, "`"+kind+"`"), must.Sprint(kind))
	}
}

func TestDocs_ConfigurationListsEveryMoveState(t *testing.T) {
	page := readPage(t, "docs/operations/configuration.md")
	for _, state := range stringConstants(t, "internal/state/move", "State") {
		must.StrContains(t, page, "| `"+state+"` |")
	}
}

func TestDocs_MetricsListEveryMetric(t *testing.T) {
	page := readPage(t, "docs/operations/metrics.md")
	metric := regexp.MustCompile(`"(flamingohaven_[a-z_]+)"`)
	found := metric.FindAllStringSubmatch(readSources(t), -1)
	must.Positive(t, len(found))
	for _, match := range found {
		must.StrContains(t, page, "| `"+match[1]+"` |")
	}
}

// readSources returns the concatenated Go files under internal, without tests.
func readSources(t *testing.T) string {
	t.Helper()
	var sources strings.Builder
	err := filepath.WalkDir(repoRoot+"internal", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		sources.Write(content)
		return err
	})
	must.NoError(t, err)
	return sources.String()
}

func TestDocs_ExitCodes(t *testing.T) {
	page := readPage(t, "docs/operations/exit-codes.md")
	for code := ExitOK; code <= ExitUnauthorized; code++ {
		must.StrContains(t, page, fmt.Sprintf("| %d |", code))
	}
}

func TestDocs_ReadmeLinksResolve(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)]+)\)`)
	for _, match := range link.FindAllStringSubmatch(readPage(t, "README.md"), -1) {
		_, err := os.Stat(repoRoot + match[1])
		must.NoError(t, err)
	}
}
