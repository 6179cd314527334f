package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/command/agent"
	"github.com/flamingohaven/flamingohaven/internal/command/operator"
	"github.com/flamingohaven/flamingohaven/internal/command/settings"
)

func (u *ui) serveCommand() subcommands.Command {
	var loader *settings.Loader
	return &cmd{
		name:     "serve",
		synopsis: "run the daemon of one node",
		usage: `serve [flags]

Runs the daemon of one node until SIGTERM or SIGINT, which drain it: callers
are sent to other nodes, accepted work is finished, and the process exits. A
second signal stops it immediately. Every flag has an environment variable; see
docs/operations/install.md.

Example, a node that is not a replica of the log:
  flamingohaven serve -node n4 -zone z1 -operator-token-file token \
    -replicas n1=10.0.1.1:8081,n2=10.0.2.1:8081,n3=10.0.3.1:8081 \
    -caller-listen 10.0.1.4:8080 -internal-listen 10.0.1.4:8081 -operator-listen 10.0.1.4:8082
`,
		setFlags: func(f *flag.FlagSet) { loader = settings.Register(f) },
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if _, err := arguments(f, 0); err != nil {
				return u.usageError("serve", err)
			}
			s, err := loader.Load(u.environ)
			if err != nil {
				return u.usageError("serve", err)
			}
			if err := serve(ctx, s); err != nil {
				fmt.Fprintf(u.err, "serve: %v\nnext: fix the cause and start again; the data folder was left as it is\n", err)
				return ExitFailed
			}
			return ExitOK
		},
	}
}

// serve runs a node and its operator server until SIGTERM or SIGINT and the drain
// that it starts are complete. After the first signal the default handling is
// restored, so a second one kills the process.
func serve(ctx context.Context, s *settings.Settings) error {
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := agent.New(s, agent.Overrides{})
	if err != nil {
		return err
	}
	operatorServer, err := operator.New(s, node, nil)
	if err != nil {
		node.Kill()
		return err
	}
	go func() {
		if err := operatorServer.Serve(); err != nil {
			klog.ErrorS(err, "operator server stopped")
		}
	}()
	go func() {
		<-ctx.Done()
		stop()
	}()
	return errors.Join(node.Run(ctx), operatorServer.Close())
}
