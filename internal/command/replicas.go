package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func (u *ui) replicasCommand() subcommands.Command {
	var o operatorFlags
	return &cmd{
		name:     "replicas",
		synopsis: "list the replicas of the log, or remove one permanently",
		usage: `replicas [flags]
replicas [flags] remove NODE

Lists the replicas of the log with their roles, or removes NODE's replica
permanently. The leader can't be removed: drain it first.
A replica is added by starting its node; see docs/operations/replicas.md.

Example:
  flamingohaven replicas remove n3
`,
		setFlags: func(f *flag.FlagSet) { o.register(u, f) },
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			client, err := o.client()
			if err != nil {
				return u.usageError("replicas", err)
			}
			switch {
			case f.NArg() == 0:
				reply, err := client.Status(ctx)
				if err != nil {
					return u.failed("replicas", err)
				}
				u.print(o.format, reply.Replicas, func(w io.Writer) { printReplicas(w, reply.Replicas) })
				return ExitOK
			case f.NArg() == 2 && f.Arg(0) == "remove":
				reply, err := client.RemoveReplica(ctx, ident.NodeID(f.Arg(1)))
				if err != nil {
					return u.failed("replicas", err)
				}
				u.print(o.format, reply, func(w io.Writer) {
					fmt.Fprintf(w, "%s is no longer a replica; stop it, and remove it from -replicas of all nodes\n", reply.Node)
				})
				return ExitOK
			default:
				return u.usageError("replicas", errors.New("want no arguments, or remove NODE"))
			}
		},
	}
}

func printReplicas(w io.Writer, replicas []opsapi.Replica) {
	t := newTable(w, "REPLICA", "INCARNATION", "ROLE")
	for _, r := range replicas {
		t.row(r.Node, r.Incarnation, r.Role)
	}
	t.flush()
}
