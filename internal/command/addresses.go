package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
)

func (u *ui) addressesCommand() subcommands.Command {
	var o operatorFlags
	return &cmd{
		name:     "addresses",
		synopsis: "show the addresses that callers should use",
		usage: `addresses [flags]

Shows the list that callers get from GET /v1/addresses, best address first.
Draining nodes and nodes without a lease are not listed.

Example:
  flamingohaven addresses -o json
`,
		setFlags: func(f *flag.FlagSet) { o.register(u, f) },
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if _, err := arguments(f, 0); err != nil {
				return u.usageError("addresses", err)
			}
			client, err := o.client()
			if err != nil {
				return u.usageError("addresses", err)
			}
			reply, err := client.Addresses(ctx)
			if err != nil {
				return u.failed("addresses", err)
			}
			u.print(o.format, reply, func(w io.Writer) {
				t := newTable(w, "ADDRESS", "NODE", "ZONE")
				for _, a := range reply.Addresses {
					t.row(a.Address, a.Node, a.Zone)
				}
				t.flush()
				fmt.Fprintf(w, "callers keep this list for %gs\n", reply.TTLSeconds)
			})
			return ExitOK
		},
	}
}
