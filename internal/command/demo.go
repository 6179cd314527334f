package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/command/demo"
)

// Default flag values of demo. load and soak use defaultSeed too.
const (
	defaultDemoDuration = 8 * time.Second
	defaultSeed         = 1
)

func (u *ui) demoCommand() subcommands.Command {
	o := demo.Options{}
	var out format
	var logs bool
	return &cmd{
		name:     "demo",
		synopsis: "run three nodes under load on this machine and count the outcomes of all requests",
		usage: `demo [flags]

Runs three nodes with real consensus and data folders in front of fake engines
of different speeds and puts mixed load on them. Meanwhile it drains a node,
makes an engine leave and moves traffic to a bad version. It stops when the load
is done and removes its files. The exit code is 8 if any request was lost,
executed twice, answered wrongly or falsely reported as "not run".

Example:
  flamingohaven demo -duration 8s -seed 1 -o json
`,
		setFlags: func(f *flag.FlagSet) {
			f.DurationVar(&o.Duration, "duration", defaultDemoDuration, "how long to send load")
			f.Uint64Var(&o.Seed, "seed", defaultSeed, "random `number` seed of arrivals and lengths")
			f.Float64Var(&o.Rate, "rate", demo.DefaultRate, "mean `arrivals` per second")
			f.BoolVar(&logs, "logs", false, "show the nodes' logs")
			registerFormat(f, &out)
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if _, err := arguments(f, 0); err != nil {
				return u.usageError("demo", err)
			}
			if !logs {
				klog.LogToStderr(false)
				klog.SetOutput(io.Discard)
			}
			if out == formatText {
				o.Log = func(line string) { fmt.Fprintln(u.out, line) }
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			report, err := demo.Run(ctx, o)
			if err != nil {
				return u.failed("demo", err)
			}
			u.print(out, report, func(w io.Writer) { printDemo(w, report) })
			if report.Failed() {
				return ExitViolation
			}
			return ExitOK
		},
	}
}

func printDemo(w io.Writer, r *demo.Report) {
	fmt.Fprintln(w)
	printLoadReport(w, r.Report)
	fmt.Fprintf(w, "node %s drained: stopped on its own %t, after %.1fs\n", r.Drained.Node, r.Drained.Ended, r.Drained.Seconds)
	fmt.Fprintf(w, "engine %s left: %d runs before, %d within %gs after it was listed as leaving, %d later\n",
		r.Leaving.Upstream, r.Leaving.RunsBefore, r.Leaving.RunsWithinGrace, r.Leaving.GraceSeconds, r.Leaving.RunsAfterGrace)
	fmt.Fprintf(w, "move %s to a bad version: %s after %.1fs; %d of the pool's %d runs were on it, %d of them more than %gs after it was taken back\n",
		r.Move.Name, r.Move.State, r.Move.Seconds, r.Move.BadRuns, r.Move.PoolRuns, r.Move.RunsAfterGrace, r.Move.GraceSeconds)
}
