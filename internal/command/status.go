package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
)

func (u *ui) statusCommand() subcommands.Command {
	var o operatorFlags
	return &cmd{
		name:     "status",
		synopsis: "show nodes, evacuations, schedulers, moves and open orders",
		usage: `status [flags]

Shows the state of the system as known to the leader.

Example:
  flamingohaven status -operator 10.0.1.1:8082,10.0.2.1:8082
`,
		setFlags: func(f *flag.FlagSet) { o.register(u, f) },
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if _, err := arguments(f, 0); err != nil {
				return u.usageError("status", err)
			}
			client, err := o.client()
			if err != nil {
				return u.usageError("status", err)
			}
			reply, err := client.Status(ctx)
			if err != nil {
				return u.failed("status", err)
			}
			u.print(o.format, reply, func(w io.Writer) { printStatus(w, reply) })
			return ExitOK
		},
	}
}

func printStatus(w io.Writer, s *opsapi.StatusReply) {
	fmt.Fprintf(w, "leader %s, term %d, log index %d, revision %d, ledger %d keys (%d bytes)\n\n",
		s.Leader, s.Term, s.Index, s.Revision, s.LedgerEntries, s.LedgerBytes)
	nodes := newTable(w, "NODE", "ZONE", "CALLERS", "STATE", "REVISION", "LOAD", "SILENT")
	for _, n := range s.Nodes {
		state := "live"
		if n.Draining {
			state = "draining"
		}
		nodes.row(n.Node, n.Zone, n.CallerAddress, state, n.Revision, n.Load, fmt.Sprintf("%.1fs", n.SilentSeconds))
	}
	nodes.flush()
	if len(s.Evacuations) > 0 {
		fmt.Fprintln(w)
		printEvacuations(w, s.Evacuations)
	}
	if len(s.Pools) > 0 {
		fmt.Fprintln(w)
		pools := newTable(w, "POOL", "SCHEDULER", "EPOCH")
		for _, p := range s.Pools {
			pools.row(p.Pool, p.Scheduler, p.Epoch)
		}
		pools.flush()
	}
	if len(s.Moves) > 0 {
		fmt.Fprintln(w)
		printMoves(w, s.Moves)
	}
	if len(s.Orders) > 0 {
		fmt.Fprintln(w)
		orders := newTable(w, "OPEN ORDER TO", "KIND", "SUBJECT", "FENCE")
		for _, o := range s.Orders {
			orders.row(o.Upstream, o.Kind, o.Subject, o.Fence)
		}
		orders.flush()
	}
}
