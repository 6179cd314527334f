package command

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/google/subcommands"
)

// defaultHistory is the default number of changes that config history prints.
const defaultHistory = 20

func (u *ui) configHistoryCommand() subcommands.Command {
	var o operatorFlags
	var limit int
	return &cmd{
		name:     "history",
		synopsis: "list accepted configurations",
		usage: `history [flags]

Lists the most recently accepted configurations, oldest first.

Example:
  flamingohaven config history -limit 5
`,
		setFlags: func(f *flag.FlagSet) {
			o.register(u, f)
			f.IntVar(&limit, "limit", defaultHistory, "maximum number of changes to list")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if _, err := arguments(f, 0); err != nil {
				return u.usageError("config history", err)
			}
			client, err := o.client()
			if err != nil {
				return u.usageError("config history", err)
			}
			reply, err := client.History(ctx, limit)
			if err != nil {
				return u.failed("config history", err)
			}
			u.print(o.format, reply, func(w io.Writer) {
				t := newTable(w, "REVISION", "AT", "WHO", "DIGEST", "CHANGE")
				for _, c := range reply.Changes {
					t.row(c.Revision, c.At.Format(time.RFC3339), c.Who, c.Digest, c.Summary)
				}
				t.flush()
			})
			return ExitOK
		},
	}
}
