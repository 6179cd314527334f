package orders

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

const (
	// stepInterval is the time between the driver's steps.
	stepInterval = time.Second
	// callTimeout bounds one call to the journal or an engine.
	callTimeout = 3 * time.Second
)

// Source returns the engines and what each of them should run now.
type Source func() ([]Engine, []Want)

// Driver carries out a planner's decisions during one term of leadership.
type Driver struct {
	journal Journal
	sender  Sender
	source  Source
	origin  time.Time

	mu           sync.Mutex
	planner      *Planner
	unsavedEnded []machine.CompleteOrder
	calls        sync.WaitGroup
}

// NewDriver returns a driver for a new leader; see NewPlanner.
func NewDriver(term uint64, open []machine.Order, j Journal, s Sender, source Source, o Options) *Driver {
	engines, _ := source()
	return &Driver{
		journal: j,
		sender:  s,
		source:  source,
		origin:  time.Now(),
		planner: NewPlanner(term, engines, open, o, 0),
	}
}

func (d *Driver) now() time.Duration { return time.Since(d.origin) }

// Run plans and sends orders until ctx ends. ctx must not outlive the
// leadership.
func (d *Driver) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	defer d.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.step(ctx)
		}
	}
}

func (d *Driver) step(ctx context.Context) {
	engines, wants := d.source()
	d.mu.Lock()
	d.planner.SetWants(engines, wants)
	readBacks := d.planner.DueReadBacks(d.now())
	due := d.planner.Due(d.now())
	d.unsavedEnded = append(d.unsavedEnded, d.planner.Ended()...)
	d.mu.Unlock()
	for _, e := range readBacks {
		d.calls.Go(func() { d.readBack(ctx, e) })
	}
	for _, o := range due {
		d.calls.Go(func() { d.issueAndSend(ctx, o) })
	}
	d.saveEnded(ctx)
}

func (d *Driver) readBack(ctx context.Context, e Engine) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := d.now()
	r, err := d.sender.ReadBack(ctx, e)
	if err != nil {
		return
	}
	r.Address = e.Address
	r.AskedAt = askedAt
	d.mu.Lock()
	defer d.mu.Unlock()
	d.planner.Observe(r, d.now())
}

// issueAndSend commits an order to the journal and then sends it.
func (d *Driver) issueAndSend(ctx context.Context, o Order) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	number, err := d.journal.IssueOrder(ctx, o.IssueOrder)
	d.mu.Lock()
	if err != nil {
		d.planner.IssueFailed(o, d.now())
		d.mu.Unlock()
		return
	}
	send := d.planner.Issued(o, number, d.now())
	d.mu.Unlock()
	if !send {
		return
	}
	o.Number = number
	reply, err := d.sender.Send(ctx, o)
	if err != nil {
		klog.InfoS("sending an order failed, the engine may have executed it", "order", o.ID, "engine", o.Address, "err", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.planner.Replied(o, reply, d.now())
}

// saveEnded records the ended orders in the journal. It stops at the first
// error; the next step retries the rest.
func (d *Driver) saveEnded(ctx context.Context) {
	for len(d.unsavedEnded) > 0 {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.journal.CompleteOrder(call, d.unsavedEnded[0])
		cancel()
		if err != nil {
			return
		}
		d.unsavedEnded = d.unsavedEnded[1:]
	}
}
