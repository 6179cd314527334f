package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// electedProposer is a local proposer whose leadership is set by the test.
type electedProposer struct {
	*LocalProposer
	mu         sync.Mutex
	leadership consensus.Leadership
}

// Leadership implements consensus.Proposer.
func (p *electedProposer) Leadership() consensus.Leadership {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leadership
}

func (p *electedProposer) setLeadership(s *Service, l consensus.Leadership) {
	p.mu.Lock()
	p.leadership = l
	p.mu.Unlock()
	s.Tick()
}

// TestSync_WaitsForAnElection covers the start of all nodes at once: while no
// leader is known, a sync waits instead of sending its node from replica to
// replica.
func TestSync_WaitsForAnElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := machine.New(ledger.DefaultLimits())
		p := &electedProposer{LocalProposer: NewLocalProposer("r1", m)}
		s := NewService("r1", p, m)
		s.EnableFleet(func() FleetState { return FleetState{} })
		s.Tick()
		call := func() (<-chan SyncReply, time.Time) {
			done := make(chan SyncReply, 1)
			go func() {
				var reply SyncReply
				_ = s.Sync(&SyncArgs{Member: Member{ID: "g1", Incarnation: 1}}, &reply)
				done <- reply
			}()
			synctest.Wait()
			return done, time.Now()
		}

		done, start := call()
		time.Sleep(100 * time.Millisecond)
		p.setLeadership(s, consensus.Leadership{Term: 1, Leader: "r2"})
		reply := <-done
		must.Eq(t, ident.NodeID("r2"), reply.Redirect)
		must.Eq(t, 100*time.Millisecond, time.Since(start))

		p.setLeadership(s, consensus.Leadership{Term: 2})
		done, start = call()
		reply = <-done
		must.True(t, reply.NotLeader)
		must.Eq(t, maxLeaderWait, time.Since(start))

		done, _ = call()
		p.setLeadership(s, consensus.Leadership{Term: 3, Leader: "r1", Leading: true})
		reply = <-done
		must.True(t, reply.OK())
		var follower FleetFollower
		_, err := follower.HandleReply(time.Second, &reply)
		must.NoError(t, err)
		must.Eq(t, uint64(3), follower.State().Version.Term)
	})
}

// lateProposer is a proposer of which the first proposals in a term fail.
type lateProposer struct {
	electedProposer
	failures int
}

// Propose implements consensus.Proposer.
func (p *lateProposer) Propose(ctx context.Context, command []byte) (machine.Result, error) {
	if p.failures > 0 {
		p.failures--
		return machine.Result{}, consensus.ErrBusy
	}
	return p.electedProposer.Propose(ctx, command)
}

// TestSync_WaitsForATermWhoseBeginningFailed checks that a sync which waits at a new leader
// is answered as soon as the term has begun, also if that took more than one attempt.
func TestSync_WaitsForATermWhoseBeginningFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := machine.New(ledger.DefaultLimits())
		p := &lateProposer{electedProposer: electedProposer{LocalProposer: NewLocalProposer("r1", m)}, failures: 1}
		s := NewService("r1", p, m)
		s.EnableFleet(func() FleetState { return FleetState{} })
		s.Tick()
		start := time.Now()
		done := make(chan SyncReply, 1)
		go func() {
			var reply SyncReply
			_ = s.Sync(&SyncArgs{Member: Member{ID: "g1", Incarnation: 1}}, &reply)
			done <- reply
		}()
		synctest.Wait()
		p.setLeadership(s, consensus.Leadership{Term: 1, Leader: "r1", Leading: true})
		time.Sleep(TickInterval)
		s.Tick()
		reply := <-done
		must.True(t, reply.OK(), must.Sprint(reply.Status))
		must.Eq(t, TickInterval, time.Since(start))
	})
}

// TestSync_LastOfManyNodesIsAnswered covers a change in a fleet of 400 nodes: those whose turn came
// last got no reply for so long that they dropped the connection to the leader and began anew.
func TestSync_LastOfManyNodesIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 400
		service, _ := newLocalService()
		service.EnableFleet(func() FleetState { return FleetState{} })
		service.Tick()
		end := time.Now().Add(8 * time.Second)
		var loops sync.WaitGroup
		slowest, followers := make([]time.Duration, nodes), make([]FleetFollower, nodes)
		for i := range nodes {
			loops.Go(func() {
				for time.Now().Before(end) {
					var reply SyncReply
					sent := time.Now()
					_ = service.Sync(followers[i].Args(Member{ID: ident.NodeID(fmt.Sprint("g", i)), Incarnation: 1}, Known{}, MaxSyncHold), &reply)
					slowest[i] = max(slowest[i], time.Since(sent))
					_, err := followers[i].HandleReply(time.Second, &reply)
					must.NoError(t, err)
				}
			})
			time.Sleep(7 * time.Millisecond)
		}
		for i := range 4 {
			var reply ApplyNumberedReply
			numbered := config.Numbered{Number: uint64(i + 1), Config: manyRoutes(i + 1), Document: []byte("{}")}
			must.NoError(t, service.ApplyNumbered(&ApplyNumberedArgs{Numbered: numbered}, &reply))
			time.Sleep(1100 * time.Millisecond)
			for n := range followers {
				_, revision := followers[n].Config()
				must.Eq(t, ident.Revision(i+1), revision)
			}
		}
		loops.Wait()
		must.LessEq(t, MaxSyncHold+minTurnWait, slices.Max(slowest))
	})
}
