package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

var (
	// ErrUnknownZone means that no data centre of that name is known here.
	ErrUnknownZone = errors.New("unknown data centre")
	// ErrEvacuationRefused means that the order can't be carried out now; nothing has changed.
	ErrEvacuationRefused = errors.New("the order was refused")
)

// Evacuate commits an operator's order that the upstreams of a data centre get no new
// requests, or that ends that. The order was sent at the time sentAfter of boottime.Now or later.
// The error wraps ErrUnknownZone, ErrEvacuationRefused or control.ErrOrderOutdated if nothing has
// changed; after any other, the outcome is unknown.
func (n *Node) Evacuate(ctx context.Context, o evacuation.Order, sentAfter time.Duration) error {
	err := n.evacuate(ctx, o, sentAfter)
	n.metrics.countOrder("evacuation", err)
	result := "acknowledged"
	if err != nil {
		result = err.Error()
	}
	n.events.Record(timeline.Event{Kind: timeline.KindEvacuation, Detail: fmt.Sprintf("data centre %.64q, end: %t, by %s: %.256s", o.Zone, o.End, o.By, result)})
	return err
}

func (n *Node) evacuate(ctx context.Context, o evacuation.Order, sentAfter time.Duration) error {
	if !n.knowsZone(o.Zone) {
		if !n.knowsAllZones() {
			return fmt.Errorf("this node doesn't know the data centres at present: it has no contact with the leader, or the list was not read yet")
		}
		return fmt.Errorf("%w %.64q", ErrUnknownZone, o.Zone)
	}
	args := control.EvacuateArgs{Order: o, Basis: evacuation.Basis{Known: true}}
	if n.replica != nil {
		args.Basis = n.replica.service.EvacuationBasis(o.Zone, sentAfter)
	}
	if end, bounded := ctx.Deadline(); bounded {
		args.Patience = max(1, time.Until(end))
	}
	reply, err := control.Evacuate(ctx, n.control, args, sentAfter)
	switch {
	case err != nil:
		return err
	case reply.Refusal == machine.RefusedFeatures:
		return fmt.Errorf("%w: some nodes run a build without evacuations, or have not been heard of yet", ErrEvacuationRefused)
	case reply.Refusal != "":
		return fmt.Errorf("%w: %s", ErrEvacuationRefused, reply.Refusal)
	}
	return nil
}

// knowsAllZones reports whether a data centre that the node doesn't know can be told to be
// unknown. A node that has just started or is cut off may lack upstreams and evacuations, and
// operators don't repeat an order after a 404.
func (n *Node) knowsAllZones() bool {
	age, known, _ := n.proof.age(boottime.Now())
	return known && age <= zonesMaxAge && n.follower.State().Listed
}

// zonesMaxAge is the age of the last contact up to which the node knows the listed data
// centres: some syncs of the longest hold.
const zonesMaxAge = 3 * time.Second

// knowsZone reports whether a data centre is named in the settings, has listed upstreams or
// is evacuated.
func (n *Node) knowsZone(zone ident.Zone) bool {
	if zone == "" {
		return false
	}
	if _, known := n.settings.Regions[zone]; known || zone == n.settings.Zone {
		return true
	}
	state := n.follower.State()
	_, evacuated := evacuation.Find(state.Evacuations, zone)
	return evacuated || slices.ContainsFunc(state.Upstreams, func(d control.Discovered) bool { return d.Upstream.Zone == zone })
}

// Evacuated implements gateway.Evacuations.
func (n *Node) Evacuated(name ident.PoolName) (names []ident.UpstreamName, all bool) {
	state := n.follower.State()
	if len(state.Evacuations) == 0 {
		return nil, false
	}
	all = true
	for _, d := range n.upstreams.Load().byPool[name] {
		if _, evacuated := evacuation.Find(state.Evacuations, d.Upstream.Zone); evacuated {
			names = append(names, d.Name)
		} else if !d.Leaving {
			all = false
		}
	}
	return names, all && len(names) > 0 && state.Listed
}

// evacuatedZones returns the number of evacuated data centres that this node knows, and
// inFlightThere that of its requests that still run on their upstreams.
func (n *Node) evacuatedZones() int { return len(n.follower.State().Evacuations) }

func (n *Node) inFlightThere() int {
	if n.evacuatedZones() == 0 {
		return 0
	}
	state, upstreams := n.follower.State(), n.upstreams.Load()
	there := func(name ident.UpstreamName) bool {
		_, evacuated := evacuation.Find(state.Evacuations, upstreams.byName[name].Upstream.Zone)
		return evacuated
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0
	for _, c := range n.clients {
		for name, requests := range c.InFlight() {
			if there(name) {
				sum += requests
			}
		}
	}
	return sum
}

// recordEvacuations records what has changed between two states of the fleet.
func (n *Node) recordEvacuations(before, after []evacuation.Record) {
	for _, r := range after {
		if known, found := evacuation.Find(before, r.Zone); !found || known.Number != r.Number {
			n.events.Record(timeline.Event{Kind: timeline.KindEvacuation, Detail: fmt.Sprintf("data centre %s is evacuated, ordered by %s at %s", r.Zone, r.By, r.At.UTC().Format("15:04:05.000"))})
		}
	}
	for _, r := range before {
		if _, kept := evacuation.Find(after, r.Zone); !kept {
			n.events.Record(timeline.Event{Kind: timeline.KindEvacuation, Detail: fmt.Sprintf("the evacuation of data centre %s has ended", r.Zone)})
		}
	}
}
