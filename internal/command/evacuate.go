package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// evacuateFlags are the flags of evacuate.
type evacuateFlags struct {
	operatorFlags
	end bool
	who string
}

func (u *ui) evacuateCommand() subcommands.Command {
	var o evacuateFlags
	return &cmd{
		name:     "evacuate",
		synopsis: "send nothing more to the upstreams of a data centre",
		usage: `evacuate [-end] ZONE [flags]

Orders that the upstreams of data centre ZONE get no new requests, until an
operator ends the evacuation with -end. Requests in flight run to completion;
status shows how many are left. Running the same command again is safe.

Example:
  flamingohaven evacuate z1
  flamingohaven evacuate -end z1
`,
		setFlags: func(f *flag.FlagSet) {
			o.register(u, f)
			f.BoolVar(&o.end, "end", false, "end the evacuation")
			f.StringVar(&o.who, "who", u.env("USER", "unknown"), "`name` shown with the evacuation")
		},
		run: func(ctx context.Context, f *flag.FlagSet) subcommands.ExitStatus {
			args, err := arguments(f, 1)
			if err == nil {
				err = checkZoneName(args[0])
			}
			if err != nil {
				return u.usageError("evacuate", err)
			}
			return u.evacuate(ctx, ident.Zone(args[0]), &o)
		},
	}
}

func checkZoneName(name string) error {
	switch {
	case name == "":
		return errors.New("the name of the data centre is empty")
	case len(name) > evacuation.MaxNameBytes:
		return fmt.Errorf("the name of the data centre has %d bytes, at most %d are allowed", len(name), evacuation.MaxNameBytes)
	}
	return nil
}

func (u *ui) evacuate(ctx context.Context, zone ident.Zone, o *evacuateFlags) subcommands.ExitStatus {
	client, err := o.client()
	if err != nil {
		return u.usageError("evacuate", err)
	}
	reply, err := client.Evacuate(ctx, &opsapi.EvacuateRequest{Zone: zone, End: o.end, Who: o.who})
	if err != nil {
		return u.failed("evacuate", err)
	}
	u.print(o.format, reply, func(w io.Writer) {
		if reply.End {
			fmt.Fprintf(w, "the upstreams of data centre %s get requests again\n", reply.Zone)
			return
		}
		fmt.Fprintf(w, "the upstreams of data centre %s get no new requests; %s status shows those in flight\n", reply.Zone, Name)
	})
	return ExitOK
}

func printEvacuations(w io.Writer, evacuations []opsapi.Evacuation) {
	t := newTable(w, "EVACUATED", "BY", "SINCE", "IN FLIGHT", "NO ANSWER FROM")
	for _, e := range evacuations {
		missing := "-"
		if len(e.Missing) > 0 {
			missing = fmt.Sprint(e.Missing)
		}
		t.row(e.Zone, e.By, e.Since.Format(time.RFC3339), e.InFlight, missing)
	}
	t.flush()
}
