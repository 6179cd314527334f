package consensus

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// action is one kind of fault or repair.
type action string

const (
	actWait        action = "wait"
	actStart       action = "start"
	actKill        action = "kill"
	actCrash       action = "crash"
	actCrashTwo    action = "crash two"
	actCrashLeader action = "crash leader"
	actCrashAll    action = "crash all and restart"
	actStop        action = "stop"
	actLoseDisk    action = "lose disk"
	actLoseNewer   action = "lose a disk while the others are behind or down"
	actIsolate     action = "isolate"
	actCutOneWay   action = "cut one way"
	actIsolateLead action = "isolate leader"
	actRestartPeer action = "cut a follower off the leader, then cut all and restart the others"
	actHandOver    action = "restart the leader gracefully"
	actHeal        action = "heal"
	actFailSync    action = "fail sync"
	actSlowDisk    action = "slow disk"
	actLossy       action = "lossy network"
)

var actions = []action{
	actWait, actStart, actStart, actKill, actCrash, actCrashTwo, actCrashAll, actCrashAll, actCrashLeader, actCrashLeader, actStop,
	actLoseDisk, actLoseDisk, actLoseNewer, actLoseNewer, actIsolate, actIsolateLead, actIsolateLead, actCutOneWay, actRestartPeer, actRestartPeer,
	actHandOver, actHandOver, actHeal, actHeal, actFailSync, actSlowDisk, actLossy,
}

// step is one action, then a pause.
type step struct {
	Act   action
	Node  int
	Other int
	Pause time.Duration
}

// script is a generated history.
type script struct {
	Seed     int64
	Replicas int
	// Rates are the speeds of the clocks in percent.
	Rates []int
	Steps []step
}

// rates of the clocks in percent stay within the margin of the lease.
var rates = []int{96, 104}

var stepGen = rapid.Custom(func(t *rapid.T) step {
	pause := rapid.OneOf(rapid.IntRange(0, 30), rapid.IntRange(100, 1500)).Draw(t, "pause")
	return step{
		Act:   rapid.SampledFrom(actions).Draw(t, "act"),
		Node:  rapid.IntRange(0, 4).Draw(t, "node"),
		Other: rapid.IntRange(1, 4).Draw(t, "other"),
		Pause: time.Duration(pause) * time.Millisecond,
	}
})

var scriptGen = rapid.Custom(func(t *rapid.T) script {
	return script{
		Seed:     rapid.Int64().Draw(t, "seed"),
		Replicas: rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "replicas"),
		Rates:    rapid.SliceOfN(rapid.SampledFrom(rates), 5, 5).Draw(t, "rates"),
		Steps:    rapid.SliceOfN(stepGen, 10, 40).Draw(t, "steps"),
	}
})

// soundDisk is a disk without faults but those of a loss of power.
var soundDisk = disk.Faults{Tear: true, SyncDelay: 3 * time.Millisecond}

// fuzzTiming makes elections follow closely on the end of a promise.
var fuzzTiming = Timing{ElectionMax: DefaultElectionMin + 50*time.Millisecond}

// run is one running history.
type run struct {
	*cluster
	script   script
	recorder recorder
	stopped  chan struct{}
	// quiet keeps the callers from calling.
	quiet atomic.Bool
	wg    sync.WaitGroup
}

// play runs a history in virtual time and returns its first violation. It must
// be called in a bubble.
func play(s script, injected faults) ([]porcupine.Operation, error) {
	options := Options{Timing: fuzzTiming, SnapshotEntries: 30, faults: injected}
	r := &run{cluster: newCluster(s.Seed, s.Replicas, options), script: s, stopped: make(chan struct{})}
	r.recorder.began = time.Now()
	for i, id := range r.ids {
		r.members[id].rate = float64(s.Rates[i]) / 100
		r.members[id].fs.Inject(soundDisk)
	}
	defer r.stopAll()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	if _, err := r.waitLeading(10 * time.Second); err != nil {
		return nil, err
	}
	r.background()
	for _, st := range s.Steps {
		r.act(st)
		time.Sleep(st.Pause)
		if r.oracle.violation() != nil {
			break
		}
	}
	close(r.stopped)
	r.wg.Wait()
	if r.oracle.violation() == nil {
		r.settle()
	}
	return r.recorder.ops, r.oracle.violation()
}

// node returns the i-th node, counted around.
func (r *run) node(i int) *member {
	return r.members[r.ids[i%len(r.ids)]]
}

// act carries out one step.
func (r *run) act(st step) {
	m := r.node(st.Node)
	other := r.node(st.Node + st.Other)
	switch st.Act {
	case actStart:
		r.restart(m.id)
	case actKill:
		r.kill(m.id)
	case actCrash:
		r.crash(m.id)
	case actCrashTwo:
		r.crash(m.id)
		r.crash(other.id)
	case actCrashAll:
		for _, id := range r.ids {
			r.members[id].fs.Crash()
		}
		for _, id := range r.ids {
			r.kill(id)
			r.restart(id)
		}
	case actCrashLeader:
		r.crashLeader(st)
	case actStop:
		r.stop(m.id)
	case actLoseDisk:
		r.loseDisk(m)
	case actLoseNewer:
		r.loseNewer(m)
	case actIsolate:
		r.isolate(m)
	case actIsolateLead:
		r.isolateLeader()
	case actRestartPeer:
		r.restartPeers(m, time.Duration(st.Other)*50*time.Millisecond)
	case actHandOver:
		if l := r.leading(); l != nil {
			r.stop(l.id)
			r.restart(l.id)
		}
	case actCutOneWay:
		r.net.setCut(m.id, other.id, true)
	case actHeal:
		r.net.heal()
	case actFailSync:
		m.fs.Inject(disk.Faults{Tear: true, FailSyncs: true})
	case actSlowDisk:
		m.fs.Inject(disk.Faults{Tear: true, SyncDelay: 5 * time.Millisecond})
	case actLossy:
		r.net.mu.Lock()
		r.net.dropPercent, r.net.maxDelay = 10, 30*time.Millisecond
		r.net.mu.Unlock()
	}
}

// restart brings a node back with a sound disk.
func (r *run) restart(id ident.NodeID) {
	m := r.members[id]
	if m.node != nil && m.node.replica.ctx.Err() == nil {
		return
	}
	r.crash(id)
	m.fs.Inject(soundDisk)
	if err := r.start(id); err != nil {
		r.oracle.fail("start of %s: %v", id, err)
	}
}

// crashLeader waits for a new leadership and crashes it early in its term.
func (r *run) crashLeader(st step) {
	for range 1000 {
		time.Sleep(time.Millisecond)
		for _, id := range r.ids {
			m := r.members[id]
			if m.node != nil && m.node.replica.view.Load().leads {
				time.Sleep(time.Duration(st.Node) * time.Millisecond)
				r.crash(id)
				return
			}
		}
	}
}

// isolate cuts a node off from all others.
func (r *run) isolate(m *member) {
	for _, id := range r.ids {
		r.net.setCut(m.id, id, true)
		r.net.setCut(id, m.id, true)
	}
}

// isolateLeader cuts the leader off. It prefers one with a slow clock, whose
// lease seems to it to last longer.
func (r *run) isolateLeader() {
	for range len(r.ids) {
		l, err := r.waitLeading(2 * time.Second)
		if err != nil {
			return
		}
		if l.rate < 1 {
			r.isolate(l)
			time.Sleep(DefaultElectionMin + DefaultHeartbeat)
			return
		}
		r.stop(l.id)
		r.restart(l.id)
	}
}

// restartPeers cuts a follower off the leader until it is about to campaign,
// then cuts the leader off and restarts the others, which had promised it not
// to vote.
func (r *run) restartPeers(m *member, extra time.Duration) {
	l := r.leading()
	if l == nil || l == m {
		return
	}
	r.quiet.Store(true)
	defer r.quiet.Store(false)
	time.Sleep(DefaultHeartbeat)
	r.net.setCut(m.id, l.id, true)
	r.net.setCut(l.id, m.id, true)
	time.Sleep(DefaultElectionMin - 2*DefaultHeartbeat + extra)
	r.isolate(l)
	for _, id := range r.ids {
		if id != m.id && id != l.id {
			r.crash(id)
			r.restart(id)
		}
	}
	time.Sleep(DefaultElectionMin)
}

// sound reports whether the last repair is complete and committed.
func (r *run) sound() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	l := r.leading()
	if l == nil || !r.repaired() {
		return false
	}
	return r.put(ctx, l, command{ID: r.recorder.next(), Key: "repair"}) == nil && r.repaired()
}

// loseDisk replaces a disk by an empty one, once the last repair is complete.
func (r *run) loseDisk(m *member) {
	if !r.sound() {
		return
	}
	r.crash(m.id)
	m.fs.Wipe()
	r.restart(m.id)
}

// loseNewer lets one follower fall behind, then replaces the disk of another
// and takes the power from the leader, which alone holds the newest entries.
func (r *run) loseNewer(behind *member) {
	l := r.leading()
	if l == nil || l == behind || !r.sound() {
		return
	}
	r.isolate(behind)
	time.Sleep(DefaultHeartbeat)
	r.crash(l.id)
	for _, id := range r.ids {
		if id != l.id && id != behind.id {
			r.crash(id)
			r.members[id].fs.Wipe()
			r.restart(id)
			break
		}
	}
	r.net.heal()
	time.Sleep(2 * DefaultElectionMax)
}
