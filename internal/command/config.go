package command

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
)

func (u *ui) configCommand() subcommands.Command {
	return u.group("config", "check, change and show the configuration",
		u.configCheckCommand(), u.configApplyCommand(), u.configShowCommand(), u.configHistoryCommand())
}

// checkFolder reads the configuration files of a folder and validates them with
// the same checks as a node.
func checkFolder(path string) ([]config.File, config.Report, error) {
	files, err := config.ReadFolder(os.DirFS(path))
	if err != nil {
		return nil, config.Report{}, fmt.Errorf("%s: %w", path, err)
	}
	if len(files) == 0 {
		return nil, config.Report{}, fmt.Errorf("%s: no file ends with %s", path, config.FileSuffix)
	}
	_, report := config.Load(files, time.Now())
	return files, report, nil
}

func toOpsMistakes(list []config.Mistake) []opsapi.Mistake {
	var out []opsapi.Mistake
	for _, m := range list {
		out = append(out, opsapi.Mistake{File: m.File, Line: m.Line, Text: m.Text})
	}
	return out
}

func printMistakes(w io.Writer, kind string, list []opsapi.Mistake) {
	for _, m := range list {
		location := m.File
		if m.Line > 0 {
			location = fmt.Sprintf("%s:%d", m.File, m.Line)
		}
		fmt.Fprintf(w, "%s: %s: %s\n", location, kind, m.Text)
	}
}
