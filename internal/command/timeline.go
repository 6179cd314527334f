package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// defaultEvents is the default number of events that timeline prints.
const defaultEvents = 200

func (u *ui) timelineCommand() subcommands.Command {
	var o operatorFlags
	var request, move, node, pool string
	var limit int
	return &cmd{
		name:     "timeline",
		synopsis: "show the events of all nodes in order",
		usage: `timeline [flags]

Shows the latest events of all nodes, merged in order. The flags filter events.

Example, all events of one request:
  flamingohaven timeline -request 01940c3e-8f2b-7c11-9a41-6d1d2f5d7a10
`,
		setFlags: func(f *flag.FlagSet) {
			o.register(u, f)
			f.StringVar(&request, "request", "", "show only events of this request `id`")
			f.StringVar(&move, "move", "", "show only events of this `move`")
			f.StringVar(&node, "node", "", "show only events of this `node`")
			f.StringVar(&pool, "pool", "", "show only events of this `pool`")
			f.IntVar(&limit, "limit", defaultEvents, "maximum number of events to show")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if _, err := arguments(f, 0); err != nil {
				return u.usageError("timeline", err)
			}
			client, err := o.client()
			if err != nil {
				return u.usageError("timeline", err)
			}
			filter := timeline.Filter{
				Request: ident.RequestID(request),
				Move:    ident.MoveName(move),
				Node:    ident.NodeID(node),
				Pool:    ident.PoolName(pool),
			}
			reply, err := client.Timeline(ctx, filter, limit)
			if err != nil {
				return u.failed("timeline", err)
			}
			u.print(o.format, reply, func(w io.Writer) { printTimeline(w, reply) })
			return ExitOK
		},
	}
}

func printTimeline(w io.Writer, reply *opsapi.TimelineReply) {
	t := newTable(w, "TIME", "NODE", "EVENT", "REQUEST", "POOL", "MOVE", "REVISION", "DETAIL")
	for _, e := range reply.Events {
		at := time.Unix(0, e.Stamp.Wall).UTC().Format("15:04:05.000000")
		revision := ""
		if e.Revision > 0 {
			revision = fmt.Sprint(e.Revision)
		}
		t.row(at, e.Node, e.Kind, e.Request, e.Pool, e.Move, revision, e.Detail)
	}
	t.flush()
	if len(reply.Missing) > 0 {
		fmt.Fprintf(w, "no answer from: %v; their events are missing\n", reply.Missing)
	}
}
