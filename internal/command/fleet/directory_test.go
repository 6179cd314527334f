package fleet

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// maxNamedDead is how long a gateway may be named after its end under the platform's rules.
const maxNamedDead = 7 * time.Second

// switchedProposer leads while the test says so.
type switchedProposer struct {
	*control.LocalProposer
	mu         sync.Mutex
	leadership consensus.Leadership
}

// Leadership implements consensus.Proposer.
func (p *switchedProposer) Leadership() consensus.Leadership {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leadership
}

func (p *switchedProposer) set(l consensus.Leadership) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leadership = l
}

// directoryFleet is two replicas, one of which leads, gateways and a node that only answers
// lookups, in virtual time.
type directoryFleet struct {
	*syncFleet
	gateways  []*Node
	directory *Node
	first     *switchedProposer
	next      *switchedProposer
	// inherited is what the next leader begins its term with.
	inherited control.FleetState
	// named is the longest time after its end that a gateway was named beside a running one.
	named time.Duration
}

func newDirectoryFleet(t *testing.T, gateways int) *directoryFleet {
	f := &directoryFleet{syncFleet: &syncFleet{t: t, listeners: make(map[string]*pipeListener)}}
	f.ctx, f.cancel = context.WithCancel(t.Context())
	replica := func(id ident.NodeID, l consensus.Leadership) (*control.Service, *switchedProposer) {
		m := machine.New(ledger.DefaultLimits())
		p := &switchedProposer{LocalProposer: control.NewLocalProposer(id, m), leadership: l}
		s := control.NewService(id, p, m)
		s.EnableFleet(func() control.FleetState { return f.inherited })
		s.ObserveSyncs(func(m control.Member) {
			if f.directory != nil {
				f.directory.heard.record(m, boottime.Now())
			}
		})
		f.loops.Go(func() { s.Run(f.ctx) })
		return s, p
	}
	var next *control.Service
	f.leader, f.first = replica(leaderIP, consensus.Leadership{Term: 1, Leader: leaderIP, Leading: true})
	next, f.next = replica(followerIP, consensus.Leadership{Term: 1, Leader: leaderIP})
	time.Sleep(time.Second)
	for i := range gateways {
		n := f.newNode(i)
		n.settings.CallerAddress = n.settings.IP + ":80"
		n.clients, n.masters = make(map[ident.PoolName]*poolClient), make(map[ident.PoolName]*pool.Master)
		n.suspects, n.watches = make(map[string]time.Time), make(map[ident.PoolName]*rolloutWatch)
		n.pools, n.usage = pool.NewService(n.clock), scheduler.NewUsageLog(time.Now())
		f.gateways = append(f.gateways, n)
	}
	f.directory = f.newNode(gateways)
	f.serve(leaderIP, f.leader)
	f.serve(followerIP, next)
	f.leader.SetUpstreams(nil, true)
	f.apply(1)
	for _, n := range append(f.gateways, f.directory) {
		f.loops.Go(n.syncLoop)
	}
	time.Sleep(3 * time.Second)
	must.Len(t, gateways, f.gateways[0].CallerAddresses(Lookup{}, 64))
	must.Len(t, gateways, f.directory.CallerAddresses(Lookup{}, 64))
	return f
}

func (f *directoryFleet) stopAll() {
	f.cancel()
	for _, n := range f.gateways {
		for name := range n.masters {
			n.pools.Remove(name)
		}
	}
	f.stop(append(f.gateways, f.directory)...)
	for _, n := range f.gateways {
		n.loops.Wait()
	}
}

// kill ends the last gateway.
func (f *directoryFleet) kill() *Node {
	dead := f.gateways[len(f.gateways)-1]
	dead.cancel()
	dead.calls.Close()
	return dead
}

// lead makes the next replica lead in a new term with the members that a node of the former
// term knew, or none.
func (f *directoryFleet) lead(members []control.Member) {
	f.first.set(consensus.Leadership{Term: 2})
	f.inherited = control.FleetState{Members: members}
	f.next.set(consensus.Leadership{Term: 2, Leader: followerIP, Leading: true})
}

// loseLeader leaves the replicas without a leader.
func (f *directoryFleet) loseLeader() {
	f.first.set(consensus.Leadership{Term: 1})
	f.next.set(consensus.Leadership{Term: 1})
}

// watch asks all running nodes for addresses for a time after the end of a gateway at the given
// time. It returns how many answers were empty, or lacked a running gateway.
func (f *directoryFleet) watch(dead *Node, ended time.Time, limit time.Duration) (empty, partial int) {
	running := slices.DeleteFunc(slices.Clone(f.gateways), func(n *Node) bool { return n == dead })
	for time.Since(ended) < limit {
		for _, n := range append(slices.Clone(running), f.directory) {
			named := n.CallerAddresses(Lookup{}, 64)
			if slices.Contains(named, dead.settings.CallerAddress) && len(named) > 1 {
				f.named = max(f.named, time.Since(ended))
			}
			if n.settings.Gateway() && n.outdated.Load() {
				must.SliceContains(f.t, named, n.settings.CallerAddress, must.Sprint("a gateway names itself"))
			}
			switch {
			case len(named) == 0:
				empty++
			case len(named) < len(running):
				partial++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return empty, partial
}

// Guards against a directory that names a gateway long after its end, whatever keeps the update
// from it, and against one that goes on without the running ones afterwards.
func TestDirectory_DeadGatewayIsNotNamed(t *testing.T) {
	for name, c := range map[string]struct {
		// begin happens as the gateway ends, and after some time later.
		begin func(f *directoryFleet)
		later func(f *directoryFleet)
		after time.Duration
		// always is true if all running gateways are named all the time, and atMost a closer
		// bound on the time for which the dead one is.
		always bool
		atMost time.Duration
	}{
		"removed for good":  {always: true, atMost: leaderDelay},
		"update lost":       {begin: func(f *directoryFleet) { f.silence() }},
		"leader lost, 1 s":  {begin: (*directoryFleet).loseLeader, after: time.Second, later: func(f *directoryFleet) { f.lead(f.gateways[0].Members()) }, always: true},
		"leader lost, 5 s":  {begin: (*directoryFleet).loseLeader, after: 5 * time.Second, later: func(f *directoryFleet) { f.lead(f.gateways[0].Members()) }},
		"leader lost, 20 s": {begin: (*directoryFleet).loseLeader, after: 20 * time.Second, later: func(f *directoryFleet) { f.lead(f.gateways[0].Members()) }},
		"replicas restart":  {begin: (*directoryFleet).loseLeader, after: 10 * time.Second, later: func(f *directoryFleet) { f.lead(nil) }},
		"all cut off, 3 s":  {begin: func(f *directoryFleet) { f.cut(true) }, after: 3 * time.Second, later: func(f *directoryFleet) { f.cut(false) }},
		"all cut off, 20 s": {begin: func(f *directoryFleet) { f.cut(true) }, after: 20 * time.Second, later: func(f *directoryFleet) { f.cut(false) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newDirectoryFleet(t, 6)
				defer f.stopAll()
				if c.begin != nil {
					c.begin(f)
				}
				dead, ended := f.kill(), time.Now()
				empty, partial := f.watch(dead, ended, c.after)
				if c.later != nil {
					c.later(f)
				}
				e, p := f.watch(dead, ended, c.after+10*time.Second)
				empty, partial = empty+e, partial+p
				t.Logf("named for %s after its end, %d answers empty, %d without all running gateways", f.named, empty, partial)
				must.LessEq(t, maxNamedDead, f.named)
				if c.always {
					must.Zero(t, empty+partial)
				}
				if c.atMost > 0 {
					must.LessEq(t, c.atMost, f.named)
				}
				for _, n := range append(f.gateways[:5:5], f.directory) {
					must.Len(t, 5, n.CallerAddresses(Lookup{}, 64))
				}
			})
		})
	}
}
