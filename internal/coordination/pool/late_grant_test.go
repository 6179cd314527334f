package pool

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// lateCaller connects a gateway to two schedulers that grant each ticket once. The first one's
// grant arrives when released is closed.
type lateCaller struct{ released chan struct{} }

// Call implements Caller.
func (c *lateCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	submit, isSubmit := args.(*SubmitArgs)
	if !isSubmit {
		<-ctx.Done()
		return ctx.Err()
	}
	tickets := submit.Tickets
	if submit.Register != nil && address == "second" {
		tickets = submit.Register.Waiting
	}
	for _, t := range tickets {
		if t.Arrived {
			continue
		}
		if address == "first" {
			<-c.released
		}
		grant := &scheduler.Grant{Ticket: t.ID, Upstream: ident.UpstreamName(address), TTL: time.Second}
		reply.(*Reply).Decisions = append(reply.(*Reply).Decisions, scheduler.Decision{Gateway: "g1", Grant: grant})
	}
	return nil
}

// TestClient_LateGrantOfFormerScheduler guards against a retry that takes nothing from the retry
// budget: a request is granted by two schedulers, fails under the grant of the second one and
// waits there for a retry when the grant of the first one arrives.
func TestClient_LateGrantOfFormerScheduler(t *testing.T) {
	caller := &lateCaller{released: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	c := NewClient(testPool, "g1", 1, caller, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	c.SetHolder(Holder{Lease: lease.Pool{Pool: testPool}, Address: "first"})
	for !c.isAccepted() {
		time.Sleep(time.Millisecond)
	}
	granted := make(chan scheduler.Decision, 1)
	go func() {
		d, _ := c.Place(ctx, scheduler.Ticket{ID: "r1"}, time.Now().Add(time.Minute))
		granted <- d
	}()
	// The ticket is on its way to the first scheduler.
	time.Sleep(50 * time.Millisecond)
	c.SetHolder(Holder{Lease: lease.Pool{Pool: testPool}, Address: "second"})
	d := <-granted
	must.Eq(t, "second", d.Grant.Upstream)
	must.Eq(t, scheduler.BeginSend, c.Begin("r1"))
	c.Finish("r1", scheduler.Ending{Kind: scheduler.ReportRetryable})
	waitCtx, stop := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	time.AfterFunc(50*time.Millisecond, func() { close(caller.released) })
	d, err := c.Place(waitCtx, scheduler.Ticket{ID: "r1", Sent: true, Arrived: true}, time.Now().Add(time.Minute))
	must.ErrorIs(t, err, context.DeadlineExceeded, must.Sprint(d))
}
