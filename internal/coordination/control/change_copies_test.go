package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// slowProposer is a local proposer whose commits take a time.
type slowProposer struct {
	*LocalProposer
	takes     time.Duration
	proposals atomic.Int64
}

// Propose implements consensus.Proposer.
func (p *slowProposer) Propose(ctx context.Context, command []byte) (machine.Result, error) {
	p.proposals.Add(1)
	time.Sleep(p.takes)
	return p.LocalProposer.Propose(ctx, command)
}

// TestApplyNumbered_CopiesAreProposedOnce guards against a log that gets each copy of a large change: an
// operator sends one that is not acknowledged in time to several nodes, and changes that a
// higher number overtakes have no effect.
func TestApplyNumbered_CopiesAreProposedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := machine.New(ledger.DefaultLimits())
		p := &slowProposer{LocalProposer: NewLocalProposer("r1", m)}
		s := NewService("r1", p, m)
		s.EnableFleet(func() FleetState { return FleetState{} })
		s.Tick()
		p.takes = 100 * time.Millisecond
		p.proposals.Store(0)
		var group sync.WaitGroup
		for _, number := range []uint64{5, 5, 5, 6, 7, 5, 7} {
			group.Go(func() {
				var reply ApplyNumberedReply
				args := &ApplyNumberedArgs{Numbered: config.Numbered{Number: number, Config: manyRoutes(int(number)), Document: []byte("{}")}, Patience: time.Second}
				must.NoError(t, s.ApplyNumbered(args, &reply))
				must.True(t, reply.OK(), must.Sprint(reply.Status))
				must.GreaterEq(t, number, reply.Number)
			})
			synctest.Wait()
		}
		group.Wait()
		must.Eq(t, 2, p.proposals.Load())
		_, number := m.Document()
		must.Eq(t, 7, number)
	})
}

// TestApplyNumbered_GivenUpWhileItWaits checks that a change whose caller no longer waits is not proposed.
func TestApplyNumbered_GivenUpWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := machine.New(ledger.DefaultLimits())
		p := &slowProposer{LocalProposer: NewLocalProposer("r1", m)}
		s := NewService("r1", p, m)
		s.EnableFleet(func() FleetState { return FleetState{} })
		s.Tick()
		p.takes = time.Second
		var group sync.WaitGroup
		group.Go(func() {
			var reply ApplyNumberedReply
			must.NoError(t, s.ApplyNumbered(&ApplyNumberedArgs{Numbered: config.Numbered{Number: 1, Config: manyRoutes(1), Document: []byte("{}")}}, &reply))
			must.True(t, reply.OK())
		})
		synctest.Wait()
		var reply ApplyNumberedReply
		must.NoError(t, s.ApplyNumbered(&ApplyNumberedArgs{
			Numbered: config.Numbered{Number: 2, Config: manyRoutes(2), Document: []byte("{}")}, Patience: 300 * time.Millisecond,
		}, &reply))
		must.False(t, reply.OK())
		group.Wait()
		_, number := m.Document()
		must.Eq(t, 1, number)
	})
}

// TestApplyNumbered_NumberWithoutText checks that a number without its text is acknowledged
// once it is committed, and never committed by itself.
func TestApplyNumbered_NumberWithoutText(t *testing.T) {
	service, m := newLocalService()
	service.EnableFleet(func() FleetState { return FleetState{} })
	service.Tick()
	apply := func(number uint64, text string) (reply ApplyNumberedReply) {
		must.NoError(t, service.ApplyNumbered(&ApplyNumberedArgs{Numbered: config.Numbered{Number: number, Config: manyRoutes(1), Document: []byte(text)}}, &reply))
		return reply
	}
	repeat, missing := apply(4, "{}"), apply(5, "")
	must.True(t, repeat.OK())
	must.False(t, missing.OK())
	repeat = apply(4, "")
	must.True(t, repeat.OK())
	_, number := m.Document()
	must.Eq(t, 4, number)
}
