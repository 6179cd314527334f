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
		synopsis: "take a node out of service without breaking requests",
		usage: `drain NODE [flags]

Marks NODE as draining. It is removed from the list of addresses, keeps serving
until callers' copies of the list have expired and all accepted work is done,
and then stops.

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
				fmt.Fprintf(w, "%s is draining and will stop when it is done; see %s status\n", reply.Node, Name)
			})
			return ExitOK
		},
	}
}
