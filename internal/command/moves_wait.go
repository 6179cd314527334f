package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/transport/opshttp"
)

const (
	defaultMoveWait = time.Hour
	movePollPeriod  = 500 * time.Millisecond
)

var errNoMove = errors.New("no such move; moves list shows the names")

func (u *ui) movesWaitCommand() subcommands.Command {
	var o operatorFlags
	var timeout time.Duration
	return &cmd{
		name:     "wait",
		synopsis: "wait until a move is done or taken back",
		usage: `wait NAME [flags]

Waits until the move NAME is done (exit code 0) or taken back (exit code 7) and
prints each change until then. If -timeout passes first, the exit code is 6.

Example:
  flamingohaven moves wait text-2026-12 -timeout 30m
`,
		setFlags: func(f *flag.FlagSet) {
			o.register(u, f)
			f.DurationVar(&timeout, "timeout", defaultMoveWait, "maximum time to wait")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			args, err := arguments(f, 1)
			if err != nil {
				return u.usageError("moves wait", err)
			}
			client, err := o.client()
			if err != nil {
				return u.usageError("moves wait", err)
			}
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			return u.waitForMove(ctx, client, ident.MoveName(args[0]), o.format)
		},
	}
}

func (u *ui) waitForMove(ctx context.Context, client *opshttp.Client, name ident.MoveName, o format) subcommands.ExitStatus {
	var last opsapi.Move
	for {
		reply, err := client.Moves(ctx)
		if ctx.Err() != nil {
			fmt.Fprintf(u.err, "moves wait: %s is still %s\nnext: wait again, or see flamingohaven timeline -move %s\n", name, last.State, name)
			return ExitTimeout
		}
		if isFinal(err) {
			return u.failed("moves wait", err)
		}
		if err == nil {
			i := slices.IndexFunc(reply.Moves, func(m opsapi.Move) bool { return m.Name == name })
			if i < 0 {
				return u.failed("moves wait", errNoMove)
			}
			m := reply.Moves[i]
			if m.State != last.State || m.Share != last.Share {
				u.print(o, m, func(w io.Writer) { printMoveStep(w, m) })
			}
			last = m
		}
		switch last.State {
		case move.StateDone:
			return ExitOK
		case move.StateTakenBack:
			return ExitTakenBack
		}
		select {
		case <-ctx.Done():
		case <-time.After(movePollPeriod):
		}
	}
}

// isFinal reports whether a failed call would fail again: the system answered it and did
// not say that it is unavailable.
func isFinal(err error) bool {
	var known *opsapi.Error
	return errors.As(err, &known) && known.Code != opsapi.CodeUnavailable && known.Code != opsapi.CodeUncertain
}

func printMoveStep(w io.Writer, m opsapi.Move) {
	fmt.Fprintf(w, "%s  %s  %s of traffic on %s  %s\n", m.At.Format(time.RFC3339), m.State, percent(m.Share), m.To, m.Reason)
}
