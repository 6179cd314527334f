package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"
)

// buildVersion is the JSON output of version.
type buildVersion struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (u *ui) versionCommand() subcommands.Command {
	var o format
	return &cmd{
		name:     "version",
		synopsis: "print the version of this binary",
		usage: `version [flags]

Prints the version of this binary and the Go version that built it.

Example:
  flamingohaven version -o json
`,
		setFlags: func(f *flag.FlagSet) { registerFormat(f, &o) },
		run: func(_ context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if _, err := arguments(f, 0); err != nil {
				return u.usageError("version", err)
			}
			v := readVersion()
			u.print(o, v, func(w io.Writer) { fmt.Fprintf(w, "%s %s %s (%s)\n", Name, v.Version, v.Revision, v.Go) })
			return ExitOK
		},
	}
}

func readVersion() buildVersion {
	v := buildVersion{Version: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Version = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Revision = s.Value
		}
	}
	return v
}
