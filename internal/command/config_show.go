package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

func (u *ui) configShowCommand() subcommands.Command {
	var o operatorFlags
	return &cmd{
		name:     "show",
		synopsis: "print the configuration in force",
		usage: `show [flags]

Prints the current revision and the whole configuration as one file.

Example:
  flamingohaven config show
`,
		setFlags: func(f *flag.FlagSet) { o.register(u, f) },
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if _, err := arguments(f, 0); err != nil {
				return u.usageError("config show", err)
			}
			client, err := o.client()
			if err != nil {
				return u.usageError("config show", err)
			}
			reply, err := client.Config(ctx)
			if err != nil {
				return u.failed("config show", err)
			}
			u.print(o.format, reply, func(w io.Writer) {
				fmt.Fprintf(w, "# revision %d, digest %s\n%s", reply.Revision, reply.Digest, reply.YAML)
			})
			return ExitOK
		},
	}
}
