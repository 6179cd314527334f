// Package command implements the subcommands of the flamingohaven binary, one
// file per subcommand.
package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/subcommands"
)

// Name is the name of the binary.
const Name = "flamingohaven"

// ui holds the output streams, the environment and the additional daemons that
// the subcommands use. Tests replace them.
type ui struct {
	out io.Writer
	err io.Writer
	// environ lists the environment variables as key=value, like os.Environ.
	environ []string
	daemons []Daemon
}

// Main runs the subcommand named by args, whose first element is the program
// name as in os.Args, and returns the exit code. Each of daemons is registered
// as a further subcommand.
func Main(args []string, daemons ...Daemon) int {
	u := &ui{out: os.Stdout, err: os.Stderr, environ: os.Environ(), daemons: daemons}
	return u.run(context.Background(), args[1:])
}

// Daemon describes a subcommand that runs a long-lived process. Run blocks until
// the process stops.
type Daemon struct {
	Name     string
	Synopsis string
	Usage    string
	Run      func(ctx context.Context) error
}

func (u *ui) daemonCommand(d Daemon) subcommands.Command {
	return &cmd{
		name: d.Name, synopsis: d.Synopsis, usage: d.Usage,
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			if _, err := arguments(f, 0); err != nil {
				return u.usageError(d.Name, err)
			}
			if err := d.Run(ctx); err != nil {
				fmt.Fprintf(u.err, "%s: %v\n", d.Name, err)
				return ExitFailed
			}
			return ExitOK
		},
	}
}

func (u *ui) run(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet(Name, flag.ContinueOnError)
	flags.SetOutput(u.err)
	commander := u.commander(flags, Name)
	const daemon, operators, trial, other = "daemon", "operators", "trying it out", "other"
	commander.Register(u.serveCommand(), daemon)
	for _, d := range u.daemons {
		commander.Register(u.daemonCommand(d), daemon)
	}
	commander.Register(u.configCommand(), operators)
	commander.Register(u.statusCommand(), operators)
	commander.Register(u.addressesCommand(), operators)
	commander.Register(u.movesCommand(), operators)
	commander.Register(u.timelineCommand(), operators)
	commander.Register(u.drainCommand(), operators)
	commander.Register(u.evacuateCommand(), operators)
	commander.Register(u.replicasCommand(), operators)
	commander.Register(u.demoCommand(), trial)
	commander.Register(u.loadCommand(), trial)
	commander.Register(u.fakesCommand(), trial)
	commander.Register(u.soakCommand(), trial)
	commander.Register(u.versionCommand(), other)
	commander.Register(commander.HelpCommand(), other)
	commander.Register(commander.FlagsCommand(), other)
	if err := flags.Parse(args); err != nil {
		return int(ExitUsage)
	}
	return int(commander.Execute(ctx))
}

func (u *ui) commander(flags *flag.FlagSet, name string) *subcommands.Commander {
	commander := subcommands.NewCommander(flags, name)
	commander.Output = u.out
	commander.Error = u.err
	return commander
}

// cmd implements subcommands.Command.
type cmd struct {
	name     string
	synopsis string
	// usage is the argument line, followed by a description and an example.
	usage    string
	setFlags func(f *flag.FlagSet)
	run      func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus
}

// Name implements subcommands.Command.
func (c *cmd) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *cmd) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *cmd) Usage() string { return c.usage + "\nFlags:\n" }

// SetFlags implements subcommands.Command.
func (c *cmd) SetFlags(f *flag.FlagSet) {
	if c.setFlags != nil {
		c.setFlags(f)
	}
}

// Execute implements subcommands.Command.
func (c *cmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.run(ctx, f)
}

// group returns a command with nested subcommands.
func (u *ui) group(name, synopsis string, commands ...subcommands.Command) subcommands.Command {
	usage := name + " <subcommand> [flags]\n\n" + synopsis + ".\n\nSubcommands:\n"
	for _, c := range commands {
		usage += fmt.Sprintf("  %-10s %s\n", c.Name(), c.Synopsis())
	}
	usage += fmt.Sprintf("\nExample:\n  %s %s help %s\n", Name, name, commands[0].Name())
	return &cmd{
		name:     name,
		synopsis: synopsis,
		usage:    usage,
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			commander := u.commander(f, Name+" "+name)
			for _, c := range commands {
				commander.Register(c, "")
			}
			commander.Register(commander.HelpCommand(), "")
			return commander.Execute(ctx)
		},
	}
}

// arguments returns the positional arguments, which flags may follow. It returns
// an error unless there are exactly want of them.
func arguments(f *flag.FlagSet, want int) ([]string, error) {
	var args []string
	for f.NArg() > 0 {
		args = append(args, f.Arg(0))
		if err := f.Parse(f.Args()[1:]); err != nil {
			return nil, err
		}
	}
	if len(args) != want {
		return nil, fmt.Errorf("%d arguments given, want %d", len(args), want)
	}
	return args, nil
}

// usageError prints err and the command that shows help for the subcommand, and
// returns ExitUsage.
func (u *ui) usageError(command string, err error) subcommands.ExitStatus {
	help := "help " + command
	if group, sub, grouped := strings.Cut(command, " "); grouped {
		help = group + " help " + sub
	}
	fmt.Fprintf(u.err, "%s: %v\nnext: see %s %s\n", command, err, Name, help)
	return ExitUsage
}

// format is an output format and implements flag.Value.
type format string

const (
	formatText format = "text"
	formatJSON format = "json"
)

// String implements flag.Value.
func (o *format) String() string {
	return string(*o)
}

// Set implements flag.Value.
func (o *format) Set(value string) error {
	*o = format(value)
	if *o != formatText && *o != formatJSON {
		return fmt.Errorf("want %s or %s", formatText, formatJSON)
	}
	return nil
}

// registerFormat adds the flag -o.
func registerFormat(f *flag.FlagSet, o *format) {
	*o = formatText
	f.Var(o, "o", "output `format`: text or json")
}

// print writes data as indented JSON, or calls text for human-readable output,
// depending on the format.
func (u *ui) print(o format, data any, text func(w io.Writer)) {
	if o == formatText {
		text(u.out)
		return
	}
	encoder := json.NewEncoder(u.out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(data)
}
