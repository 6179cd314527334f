package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
)

func (u *ui) movesCommand() subcommands.Command {
	return u.group("moves", "show moves of traffic between versions and wait for them",
		u.movesListCommand(), u.movesWaitCommand())
}

func (u *ui) movesListCommand() subcommands.Command {
	var o operatorFlags
	return &cmd{
		name:     "list",
		synopsis: "list all moves with their progress",
		usage: `list [flags]

Lists every move with its state, the share of traffic on the new version and
the reason for its last change.

Example:
  flamingohaven moves list
`,
		setFlags: func(f *flag.FlagSet) { o.register(u, f) },
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if _, err := arguments(f, 0); err != nil {
				return u.usageError("moves list", err)
			}
			client, err := o.client()
			if err != nil {
				return u.usageError("moves list", err)
			}
			reply, err := client.Moves(ctx)
			if err != nil {
				return u.failed("moves list", err)
			}
			u.print(o.format, reply, func(w io.Writer) { printMoves(w, reply.Moves) })
			return ExitOK
		},
	}
}

func printMoves(w io.Writer, moves []opsapi.Move) {
	t := newTable(w, "MOVE", "POOL", "FROM", "TO", "STATE", "SHARE", "NON-IDEMPOTENT", "SINCE", "REASON")
	for _, m := range moves {
		t.row(m.Name, m.Pool, m.From, m.To, m.State, percent(m.Share), percent(m.NonIdempotentShare),
			m.At.Format(time.RFC3339), m.Reason)
	}
	t.flush()
}

func percent(share float64) string {
	return fmt.Sprintf("%.1f%%", share*100)
}
