package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// defaultApplyWait is how long config apply waits until the revision is in force
// at every node.
const defaultApplyWait = 7 * time.Second

// baseNotSet is the default of -base; valid revisions start at 0.
const baseNotSet = -1

// applyFlags are the flags of config apply.
type applyFlags struct {
	operatorFlags
	base      int64
	operation string
	who       string
	wait      time.Duration
}

func (u *ui) configApplyCommand() subcommands.Command {
	var o applyFlags
	return &cmd{
		name:     "apply",
		synopsis: "replace the configuration with a folder of files",
		usage: `apply DIR -base REVISION [flags]

Replaces the configuration at revision REVISION with the files of DIR. If the
current revision differs, nothing changes and the exit code is 3. If the answer
was lost, run the same command again with the same -operation: this is safe and
returns the outcome of the first run.

Example:
  flamingohaven config apply /etc/flamingohaven/config -base 41
`,
		setFlags: func(f *flag.FlagSet) {
			o.register(u, f)
			f.Int64Var(&o.base, "base", baseNotSet, "`revision` that the files replace; see config show")
			f.StringVar(&o.operation, "operation", uuid.NewString(), "`id` of this change; repeat it when retrying")
			f.StringVar(&o.who, "who", u.env("USER", "unknown"), "`name` recorded in the history")
			f.DurationVar(&o.wait, "wait", defaultApplyWait, "how long to wait until it is in force at every node")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			args, err := arguments(f, 1)
			if err == nil && o.base < 0 {
				err = errors.New("-base is missing; config show prints the current revision")
			}
			if err != nil {
				return u.usageError("config apply", err)
			}
			return u.apply(ctx, args[0], &o)
		},
	}
}

func (u *ui) apply(ctx context.Context, folder string, o *applyFlags) subcommands.ExitStatus {
	files, report, err := checkFolder(folder)
	if err != nil {
		return u.usageError("config apply", err)
	}
	if len(report.Mistakes) > 0 {
		return u.printApplyResult(o, &opsapi.ApplyReply{Mistakes: toOpsMistakes(report.Mistakes), Warnings: toOpsMistakes(report.Warnings)})
	}
	client, err := o.client()
	if err != nil {
		return u.usageError("config apply", err)
	}
	request := &opsapi.ApplyRequest{
		ID:          o.operation,
		Base:        ident.Revision(o.base),
		Who:         o.who,
		WaitSeconds: o.wait.Seconds(),
	}
	for _, file := range files {
		request.Files = append(request.Files, opsapi.File{Name: file.Name, Data: string(file.Data)})
	}
	reply, err := client.Apply(ctx, request)
	if err != nil {
		exit := u.failed("config apply", err)
		if exit == ExitUncertain {
			fmt.Fprintf(u.err, "to resend the same change, add: -operation %s\n", o.operation)
		}
		return exit
	}
	return u.printApplyResult(o, reply)
}

// printApplyResult prints the outcome of an apply and returns its exit code.
func (u *ui) printApplyResult(o *applyFlags, reply *opsapi.ApplyReply) subcommands.ExitStatus {
	exit, line := ExitOK, fmt.Sprintf("revision %d is in force at every node", reply.Revision)
	switch {
	case len(reply.Mistakes) > 0:
		exit, line = ExitMistakes, "nothing was changed\nnext: fix the mistakes and apply again"
	case reply.Verdict == string(config.VerdictConflict):
		exit = ExitConflict
		line = fmt.Sprintf("nothing was changed: revision %d, made by %s, came first\n"+
			"next: compare with flamingohaven config show, then apply with -base %d", reply.Revision, reply.Who, reply.Revision)
	case reply.Verdict != string(config.VerdictAccepted):
		exit = ExitFailed
		line = fmt.Sprintf("nothing was changed: %s\nnext: apply without -operation", reply.Verdict)
	case !reply.InForce:
		exit = ExitTimeout
		line = fmt.Sprintf("revision %d is accepted and stays; not yet in force at: %v\nnext: see flamingohaven status", reply.Revision, reply.Waiting)
	}
	u.print(o.format, reply, func(w io.Writer) {
		printMistakes(w, "mistake", reply.Mistakes)
		printMistakes(w, "warning", reply.Warnings)
		fmt.Fprintln(w, line)
	})
	return exit
}
