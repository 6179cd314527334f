package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func (u *ui) drainCommand() subcommands.Command {
	var o operatorFlags
	return &cmd{
		name:     "drain",
		synopsis: "make a node leave without cutting a request",
		usage: `drain NODE [flags]

Marks NODE as draining. It leaves the list of addresses, serves on until
callers' lists have run out and all accepted work is done, and then ends.

Example:
  flamingohaven drain n2
`,
		setFlags: func(f *flag.FlagSet) { o.register(u, f) },
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			args, err := arguments(f, 1)
			if err != nil {
				return u.usageError("drain", err)
			}
			client, err := o.client()
			if err != nil {
				return u.usageError("drain", err)
			}
			reply, err := client.Drain(ctx, ident.NodeID(args[0]))
			if err != nil {
				return u.failed("drain", err)
			}
			u.print(o.format, reply, func(w io.Writer) {
				fmt.Fprintf(w, "%s is draining and will end by itself; see %s status\n", reply.Node, Name)
			})
			return ExitOK
		},
	}
}
