package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/command/soak"
)

// Default flag values of soak.
const (
	defaultSoakDuration = 30 * time.Second
	defaultSoakNodes    = 5
)

func (u *ui) soakCommand() subcommands.Command {
	o := soak.Options{}
	var out format
	var runs uint64
	var pageFile string
	return &cmd{
		name:     "soak",
		synopsis: "run nodes as separate processes, inject faults and check every guarantee",
		usage: `soak [flags]

Runs nodes as separate processes on loopback in front of fake upstreams, under
load. A fault schedule drawn from the seed stops, pauses, kills and restarts
nodes, empties their disks, and delays, blackholes and resets the links between
nodes and to upstreams, while two operators change the configuration. Each run
uses the next seed. The exit code is 8 if a guarantee to callers, operators or
upstreams was violated.

Example:
  flamingohaven soak -seed 1 -runs 3 -duration 30s -page soak.html
`,
		setFlags: func(f *flag.FlagSet) {
			f.Uint64Var(&o.Seed, "seed", defaultSeed, "random `number` seed of faults and arrivals")
			f.Uint64Var(&runs, "runs", 1, "`number` of runs")
			f.DurationVar(&o.Duration, "duration", defaultSoakDuration, "how long to send load in each run")
			f.IntVar(&o.Nodes, "nodes", defaultSoakNodes, "`number` of processes; the first three are replicas of the log")
			f.Float64Var(&o.Rate, "rate", soak.DefaultRate, "mean `arrivals` per second")
			f.StringVar(&pageFile, "page", "", "`file` to write an HTML page to, with plots of goodput by tier over time")
			registerFormat(f, &out)
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if _, err := arguments(f, 0); err != nil {
				return u.usageError("soak", err)
			}
			binary, err := os.Executable()
			if err != nil {
				return u.failed("soak", err)
			}
			o.Command = []string{binary}
			if out == formatText {
				o.Log = func(line string) { fmt.Fprintln(u.out, line) }
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			reports, err := u.soak(ctx, o, runs, out)
			if pageFile != "" {
				err = errors.Join(err, writeSoakPage(pageFile, reports))
			}
			if err != nil {
				return u.failed("soak", err)
			}
			for _, r := range reports {
				if r.Failed() {
					return ExitViolation
				}
			}
			return ExitOK
		},
	}
}

// soak runs the given number of soaks, each with the next seed, and prints each
// report. On an error it returns the reports of the completed runs.
func (u *ui) soak(ctx context.Context, o soak.Options, runs uint64, out format) ([]*soak.Report, error) {
	var reports []*soak.Report
	for range runs {
		report, err := soak.Run(ctx, o)
		if err != nil {
			return reports, fmt.Errorf("seed %d: %w", o.Seed, err)
		}
		u.print(out, report, func(w io.Writer) { printSoak(w, report) })
		reports = append(reports, report)
		o.Seed++
	}
	return reports, nil
}

func writeSoakPage(path string, reports []*soak.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(soak.WritePage(file, reports), file.Close())
}

func printSoak(w io.Writer, r *soak.Report) {
	fmt.Fprintln(w)
	printLoadReport(w, r.Report)
	fmt.Fprintf(w, "seed %d: %d faults, %d configuration changes, %d requests unanswered by a node with a fault\n",
		r.Seed, len(r.Faults), r.Changes, r.Disturbed)
	for _, v := range r.Violations {
		fmt.Fprintf(w, "broken promise: %s\n", v)
	}
	if r.Folder != "" {
		fmt.Fprintf(w, "the nodes' logs are in %s\n", r.Folder)
	}
}
