package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func (u *ui) fakesCommand() subcommands.Command {
	var step time.Duration
	return &cmd{
		name:     "fakes",
		synopsis: "run fakes of the upstreams of a configuration on this machine",
		usage: `fakes DIR [flags]

Runs a fake engine or plain service at every upstream address of the
configuration in DIR until SIGTERM or SIGINT. All addresses must be loopback
addresses. The second engine is half as fast as the first, and all further ones
a quarter as fast.

Example:
  flamingohaven fakes examples/quickstart
`,
		setFlags: func(f *flag.FlagSet) {
			f.DurationVar(&step, "step", fakes.DefaultStepBase, "time between two tokens of the fastest engine")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			args, err := arguments(f, 1)
			if err != nil {
				return u.usageError("fakes", err)
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			if err := u.runFakes(ctx, args[0], step); err != nil {
				return u.failed("fakes", err)
			}
			return ExitOK
		},
	}
}

// maxStepFactor is the decoding step time of the slowest fake engine, as a
// multiple of that of the fastest.
const maxStepFactor = 4

func (u *ui) runFakes(ctx context.Context, folder string, step time.Duration) (err error) {
	files, report, err := checkFolder(folder)
	if err != nil {
		return err
	}
	if len(report.Mistakes) > 0 {
		return fmt.Errorf("%d mistakes; see config check %s", len(report.Mistakes), folder)
	}
	cfg, _ := config.Load(files, time.Now())
	var started []io.Closer
	defer func() {
		for _, c := range started {
			err = errors.Join(err, c.Close())
		}
	}()
	factor := 1
	for _, name := range slices.Sorted(maps.Keys(cfg.Upstreams)) {
		upstream := cfg.Upstreams[name]
		engine := cfg.Pools[upstream.Pool].Kind == config.KindEngine
		c, err := startFake(&cfg, name, step*time.Duration(factor))
		if err != nil {
			return err
		}
		started = append(started, c)
		if engine {
			factor = min(2*factor, maxStepFactor)
		}
		fmt.Fprintf(u.out, "%s: %s, version %s, at %s\n", name, cfg.Pools[upstream.Pool].Kind, upstream.Version, upstream.Address)
	}
	<-ctx.Done()
	return nil
}

// startFake starts a fake of one upstream at the upstream's address. Step is the
// time per token of a fake engine. A fake service gets the status path of a route
// to its pool.
func startFake(cfg *config.Config, name ident.UpstreamName, step time.Duration) (io.Closer, error) {
	upstream := cfg.Upstreams[name]
	address, err := netip.ParseAddrPort(upstream.Address)
	if err != nil || !address.Addr().IsLoopback() {
		return nil, fmt.Errorf("upstream %s: %s is not a loopback address", name, upstream.Address)
	}
	if cfg.Pools[upstream.Pool].Kind == config.KindEngine {
		return fakes.StartEngine(fakes.EngineOptions{
			Listen: upstream.Address, Version: upstream.Version, StepBase: step,
			IgnoreFence: upstream.Fencing == config.FencingIgnored,
		})
	}
	options := fakes.ServiceOptions{Listen: upstream.Address, Version: upstream.Version}
	for _, r := range cfg.Routes {
		if r.Pool == upstream.Pool && r.StatusPath != "" {
			options.StatusPath = r.StatusPath
		}
	}
	return fakes.StartService(options)
}
