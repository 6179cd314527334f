package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
)

// checkResult is the JSON output of config check.
type checkResult struct {
	Files    int              `json:"files"`
	Mistakes []opsapi.Mistake `json:"mistakes"`
	Warnings []opsapi.Mistake `json:"warnings"`
}

func (u *ui) configCheckCommand() subcommands.Command {
	var o format
	return &cmd{
		name:     "check",
		synopsis: "check a folder of configuration files on this machine",
		usage: `check DIR [flags]

Reads the .yaml files of DIR, merges them in the order of their names and
checks the result strictly. Does not need a running system. The exit code is 4
if there are mistakes.

Example:
  flamingohaven config check examples/quickstart
`,
		setFlags: func(f *flag.FlagSet) { registerFormat(f, &o) },
		run: func(_ context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			args, err := arguments(f, 1)
			if err != nil {
				return u.usageError("config check", err)
			}
			files, report, err := checkFolder(args[0])
			if err != nil {
				return u.usageError("config check", err)
			}
			result := checkResult{len(files), toOpsMistakes(report.Mistakes), toOpsMistakes(report.Warnings)}
			u.print(o, result, func(w io.Writer) {
				printMistakes(w, "mistake", result.Mistakes)
				printMistakes(w, "warning", result.Warnings)
				fmt.Fprintf(w, "%d files, %d mistakes, %d warnings\n", result.Files, len(result.Mistakes), len(result.Warnings))
			})
			if len(result.Mistakes) > 0 {
				return ExitMistakes
			}
			return ExitOK
		},
	}
}
