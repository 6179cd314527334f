package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/orders"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/upstreamhttp"
)

const (
	// termCheckInterval is the interval at which orderLoop checks whether this
	// replica leads.
	termCheckInterval = 100 * time.Millisecond
	// versionRetention is how long an engine keeps a version after it was last
	// configured there: running requests may still need it.
	versionRetention = 10 * time.Minute
)

// orderLoop runs an order driver, a new one in each term, while this replica
// leads.
func (r *replica) orderLoop(a *Agent) {
	var term uint64
	stop := func() {}
	defer func() { stop() }()
	for a.ctx.Err() == nil {
		status := &control.StatusReply{}
		_ = r.service.Status(&control.StatusArgs{}, status)
		leading := status.OK() && status.Term != 0
		switch {
		case !leading && term != 0:
			stop()
			term = 0
		case leading && status.Term != term:
			stop()
			term = status.Term
			stop = r.startDriver(a, status)
		}
		sleep(a.ctx, termCheckInterval)
	}
}

// startDriver starts an order driver for the term in status. The returned
// function stops it and waits for its end.
func (r *replica) startDriver(a *Agent, status *control.StatusReply) func() {
	ctx, cancel := context.WithCancel(a.ctx)
	tracker := &versionTracker{lastConfigured: make(map[engineVersion]time.Time)}
	source := func() ([]orders.Engine, []orders.Want) {
		cfg, _, _ := r.machine.Config()
		engines, wants := orders.Wants(&cfg, r.machine.Moves(), nil)
		return engines, tracker.retainRecent(wants, time.Now())
	}
	driver := orders.NewDriver(status.Term, status.OpenOrders, &journal{service: r.service}, &orderSender{sender: a.sender, events: a.events}, source, orders.Options{})
	var done sync.WaitGroup
	done.Go(func() { driver.Run(ctx) })
	klog.InfoS("order driver started", "term", status.Term, "open", len(status.OpenOrders))
	return func() {
		cancel()
		done.Wait()
	}
}

// engineVersion identifies a version of the engine at an address.
type engineVersion struct {
	address string
	version ident.VersionName
}

// versionTracker records when each version was last configured at each engine.
// A new leader does not know its predecessor's records, so its engines unload
// every version that is neither configured nor named by a move.
type versionTracker struct {
	lastConfigured map[engineVersion]time.Time
}

// retainRecent records the versions in wants as configured now, and adds to
// each engine's Keep list the versions that were configured there within
// versionRetention.
func (t *versionTracker) retainRecent(wants []orders.Want, now time.Time) []orders.Want {
	for _, w := range wants {
		for _, v := range w.Versions {
			t.lastConfigured[engineVersion{address: w.Address, version: v}] = now
		}
	}
	for i := range wants {
		for ev, at := range t.lastConfigured {
			if ev.address == wants[i].Address && now.Sub(at) < versionRetention {
				wants[i].Keep = append(wants[i].Keep, ev.version)
			}
		}
	}
	return wants
}

// journal implements orders.Journal with the control service of the local
// replica, which must lead.
type journal struct{ service *control.Service }

// IssueOrder implements orders.Journal.
func (j *journal) IssueOrder(_ context.Context, o machine.IssueOrder) (machine.FencingNumber, error) {
	reply := &control.OrderReply{}
	if err := j.service.IssueOrder(&control.IssueOrderArgs{Order: o}, reply); err != nil {
		return 0, err
	}
	if !reply.OK() || reply.Order == nil {
		return 0, fmt.Errorf("order %s was not committed: %s %s", o.ID, reply.Detail, reply.Refusal)
	}
	return reply.Order.Number, nil
}

// CompleteOrder implements orders.Journal.
func (j *journal) CompleteOrder(_ context.Context, c machine.CompleteOrder) error {
	reply := &control.OrderReply{}
	if err := j.service.CompleteOrder(&control.CompleteOrderArgs{Order: c}, reply); err != nil {
		return err
	}
	if !reply.OK() {
		return fmt.Errorf("completion of order %d was not committed: %s", c.Number, reply.Detail)
	}
	return nil
}

// orderSender implements orders.Sender over HTTP.
type orderSender struct {
	sender *upstreamhttp.Sender
	events *timeline.Recorder
}

// Send implements orders.Sender.
func (s *orderSender) Send(ctx context.Context, o orders.Order) (orders.Reply, error) {
	detail := fmt.Sprintf("%s %s at %s under number %d", o.Kind, o.Subject, o.Address, o.Number)
	s.events.Record(timeline.Event{Kind: timeline.KindOrder, Detail: detail})
	reply, err := s.sender.Order(ctx, o.Address, orderMessage(o))
	if err != nil {
		return orders.Reply{}, err
	}
	return orders.Reply{
		Accepted: reply.Accepted,
		Highest:  machine.FencingNumber(reply.HighestFence),
		Detail:   reply.Error,
	}, nil
}

func orderMessage(o orders.Order) upstreamapi.Order {
	message := upstreamapi.Order{
		ID:    string(o.ID),
		Kind:  upstreamapi.OrderKind(o.Kind),
		Fence: uint64(o.Number),
	}
	if o.Kind == machine.OrderRole {
		message.Role = o.Subject
	} else {
		message.Version = ident.VersionName(o.Subject)
	}
	return message
}

// ReadBack implements orders.Sender.
func (s *orderSender) ReadBack(ctx context.Context, e orders.Engine) (orders.ReadBack, error) {
	load, err := s.sender.Load(ctx, e.Address)
	if err != nil {
		return orders.ReadBack{}, err
	}
	return orders.ReadBack{Address: e.Address, Versions: load.Versions}, nil
}
