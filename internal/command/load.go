package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/command/load"
)

// Default flag values of load.
const (
	defaultLoadRate     = 50
	defaultLoadDuration = 30 * time.Second
	// defaultLostAfter is the longest time a caller waits before it drops an
	// answer that -lost-answers selects.
	defaultLostAfter = 50 * time.Millisecond
)

func (u *ui) loadCommand() subcommands.Command {
	o := load.Options{LostAfter: defaultLostAfter}
	var addresses, workload string
	var out format
	return &cmd{
		name:     "load",
		synopsis: "send a workload to a running system and report the results by tier",
		usage: `load -addresses IP:port,... -workload FILE [flags]

Sends requests as callers would: at random times, without waiting for earlier
answers, to the nodes on the list of addresses. After refusals and lost answers
it sends the request again with the same Idempotency-Key. The exit code is 8 if
a request was lost or answered wrongly. Requests that were executed twice can
only be counted at the upstreams; see demo.

Example:
  flamingohaven load -addresses 10.0.1.1:8080 -workload examples/quickstart/load/workload.yaml -rate 100
`,
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&addresses, "addresses", "", "caller addresses of the nodes to contact first (`IP:port, comma-separated`)")
			f.StringVar(&workload, "workload", "", "YAML `file` with classes and teams")
			f.Float64Var(&o.Rate, "rate", defaultLoadRate, "mean `arrivals` per second")
			f.DurationVar(&o.Duration, "duration", defaultLoadDuration, "how long to send")
			f.Uint64Var(&o.Seed, "seed", defaultSeed, "random `number` seed of arrivals and lengths")
			f.Float64Var(&o.LostAnswers, "lost-answers", 0, "`fraction` of non-idempotent requests whose first answer the caller drops")
			f.BoolVar(&o.VerifyEcho, "verify", false, "check answers of fake upstreams against their requests")
			registerFormat(f, &out)
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			_, err := arguments(f, 0)
			if err == nil && (addresses == "" || workload == "") {
				err = errors.New("-addresses and -workload are required")
			}
			if err == nil {
				o.Addresses = strings.Split(addresses, ",")
				o.Workload, err = load.ReadWorkload(workload)
			}
			if err != nil {
				return u.usageError("load", err)
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return u.load(ctx, o, out)
		},
	}
}

func (u *ui) load(ctx context.Context, o load.Options, out format) subcommands.ExitStatus {
	if out == formatText {
		o.Progress = func(p load.Progress) {
			fmt.Fprintf(u.out, "%5.1fs  sent %d, ended %d\n", p.Elapsed.Seconds(), p.Sent, p.Ended)
		}
	}
	result, err := load.Run(ctx, o)
	if err != nil {
		return u.failed("load", err)
	}
	report := result.Report(nil)
	u.print(out, report, func(w io.Writer) { printLoadReport(w, report) })
	if report.Failed() {
		return ExitViolation
	}
	return ExitOK
}

// printLoadReport prints one row per tier and one for the totals, followed by
// refusals by reason and the violated guarantees.
func printLoadReport(w io.Writer, r *load.Report) {
	t := newTable(w, "TIER", "SENT", "ANSWERED", "IN TIME", "REFUSED NOT RUN", "MAY HAVE RUN", "LOST", "DOUBLED",
		"GOODPUT/S", "FIRST P50", "FIRST P95", "TOTAL P50", "TOTAL P95")
	for _, tier := range r.Tiers {
		c := tier.Counts
		t.row(tier.Tier, c.Sent, c.Answered, c.InTime, c.RefusedNotRun, c.MayHaveRun, c.Lost, c.Doubled,
			fmt.Sprintf("%.1f", tier.Goodput), ms(tier.FirstToken.P50), ms(tier.FirstToken.P95), ms(tier.Total.P50), ms(tier.Total.P95))
	}
	c := r.Counts
	t.row("all", c.Sent, c.Answered, c.InTime, c.RefusedNotRun, c.MayHaveRun, c.Lost, c.Doubled,
		fmt.Sprintf("%.1f", r.Goodput), "", "", "", "")
	t.flush()
	fmt.Fprintf(w, "\nwrong answers %d, false \"not run\" %d, dispatched again %d, never reached %d, resent %d, replayed %d\n",
		c.Wrong, c.FalseNotRun, r.Redispatched, c.Unreached, c.Resent, c.Replayed)
	for _, reason := range r.Refused {
		fmt.Fprintf(w, "refusals: %s %d\n", reason.Reason, reason.Count)
	}
	for _, b := range r.Broken {
		fmt.Fprintf(w, "broken promise: %+v\n", b)
	}
}

func ms(v float64) string {
	return fmt.Sprintf("%.0fms", v)
}
