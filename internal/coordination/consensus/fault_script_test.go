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

// action is a kind of fault or repair.
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
	actLoseNewest  action = "crash the leader and lose a disk while a follower is behind"
	actIsolate     action = "isolate"
	actCutOneWay   action = "cut one way"
	actIsolateLead action = "isolate leader"
	actRestartPeer action = "disconnect a follower from the leader, then isolate the leader and restart the others"
	actRestartLead action = "restart the leader gracefully"
	actHeal        action = "heal"
	actFailSync    action = "fail sync"
	actSlowDisk    action = "slow disk"
	actFullDisk    action = "full disk"
	actFullNames   action = "full disk that removes nothing"
	actLossy       action = "lossy network"
	actAdd         action = "add a node with a new ID"
	actRemove      action = "remove a node for good"
)

var actions = []action{
	actWait, actStart, actStart, actKill, actCrash, actCrashTwo, actCrashAll, actCrashAll, actCrashLeader, actCrashLeader, actStop,
	actLoseDisk, actLoseDisk, actLoseNewest, actLoseNewest, actIsolate, actIsolateLead, actIsolateLead, actCutOneWay, actRestartPeer, actRestartPeer,
	actRestartLead, actRestartLead, actHeal, actHeal, actFailSync, actSlowDisk, actLossy, actFullDisk, actFullNames,
}

// step is an action followed by a pause. Node and Other select the nodes that
// it affects; some actions also derive delays from them.
type step struct {
	Act   action
	Node  int
	Other int
	Pause time.Duration
}

// script is a generated sequence of faults and repairs.
type script struct {
	Seed     int64
	Replicas int
	// ReplaceDead is the option of the same name.
	ReplaceDead bool
	// Rates are the speeds of the replicas' clocks in percent of real time.
	Rates []int
	Steps []step
}

// clockRates are the possible speeds of a clock in percent. They stay within
// the drift margin of the lease.
var clockRates = []int{96, 104}

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
		Rates:    rapid.SliceOfN(rapid.SampledFrom(clockRates), 5, 5).Draw(t, "rates"),
		Steps:    rapid.SliceOfN(stepGen, 10, 40).Draw(t, "steps"),
	}
})

// healthyDisk is a disk whose only fault is that a power failure may tear
// writes that are not synced.
var healthyDisk = disk.Faults{Tear: true, SyncDelay: 3 * time.Millisecond}

// fuzzTiming lets elections begin soon after voters stop refusing votes, so
// that a lease that lasts too long overlaps the next one.
var fuzzTiming = Timing{ElectionMax: DefaultElectionMin + 50*time.Millisecond}

// scriptRun is a script being run.
type scriptRun struct {
	*cluster
	script   script
	recorder recorder
	stopped  chan struct{}
	// clientsPaused stops the clients from making calls.
	clientsPaused atomic.Bool
	replacing
	wg sync.WaitGroup
}

// runScript runs a script in virtual time and returns the recorded calls and
// the first violation. It must be called in a synctest bubble.
func runScript(s script, injected faults) ([]porcupine.Operation, error) {
	options := Options{Timing: fuzzTiming, SnapshotEntries: 30, ReplaceDead: s.ReplaceDead, faults: injected}
	r := newScriptRun(s, s.Replicas, options)
	for i, id := range r.ids {
		r.members[id].clockRate = float64(s.Rates[i]) / 100
	}
	defer r.stopAll()
	if err := r.startAll(); err != nil {
		return nil, err
	}
	if _, err := r.waitLeading(10 * time.Second); err != nil {
		return nil, err
	}
	r.startBackground()
	r.playSteps()
	close(r.stopped)
	r.wg.Wait()
	if r.oracle.violation() == nil {
		r.healAndCheck()
	}
	return r.recorder.ops, r.oracle.violation()
}

// newScriptRun returns a run with count nodes that are not started.
func newScriptRun(s script, count int, options Options) *scriptRun {
	r := &scriptRun{cluster: newCluster(s.Seed, count, options), script: s, stopped: make(chan struct{})}
	r.recorder.startedAt = time.Now()
	for _, m := range r.members {
		m.fs.Inject(healthyDisk)
	}
	return r
}

// playSteps carries out the steps until a check fails.
func (r *scriptRun) playSteps() {
	for _, st := range r.script.Steps {
		r.act(st)
		time.Sleep(st.Pause)
		if r.oracle.violation() != nil {
			return
		}
	}
}

// node returns the node with index i modulo the number of nodes.
func (r *scriptRun) node(i int) *member {
	ids := r.current()
	return r.members[ids[i%len(ids)]]
}

// act carries out one step.
func (r *scriptRun) act(st step) {
	r.emptyRemoved()
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
	case actLoseNewest:
		r.loseNewestEntries(m)
	case actIsolate:
		r.isolate(m)
	case actIsolateLead:
		r.isolateLeader()
	case actRestartPeer:
		r.restartPeers(m, time.Duration(st.Other)*50*time.Millisecond)
	case actRestartLead:
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
	case actFullDisk:
		m.fs.Inject(disk.Faults{Tear: true, Full: true})
	case actFullNames:
		m.fs.Inject(disk.Faults{Tear: true, Full: true, FullNames: true})
	case actAdd:
		r.addWithin(st)
	case actRemove:
		r.removeWithin(st)
	case actLossy:
		r.net.mu.Lock()
		r.net.dropPercent, r.net.maxDelay = 10, 30*time.Millisecond
		r.net.mu.Unlock()
	}
}

// restart starts a node again with a healthy disk, unless it is running without
// an error.
func (r *scriptRun) restart(id ident.NodeID) {
	m := r.members[id]
	if m.node != nil && m.node.replica.ctx.Err() == nil {
		return
	}
	r.crash(id)
	m.fs.Inject(healthyDisk)
	if err := r.start(id); err != nil {
		r.oracle.fail("start %s: %v", id, err)
	}
}

// crashLeader waits for a leader and crashes it st.Node milliseconds later.
func (r *scriptRun) crashLeader(st step) {
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

// isolate cuts the connections between a node and all others.
func (r *scriptRun) isolate(m *member) {
	for _, id := range r.ids {
		r.net.setCut(m.id, id, true)
		r.net.setCut(id, m.id, true)
	}
}

// isolateLeader isolates the leader and waits until its lease has ended. It
// restarts leaders with a fast clock to get one with a slow clock, whose lease
// lasts longer in real time.
func (r *scriptRun) isolateLeader() {
	for range len(r.ids) {
		l, err := r.waitLeading(2 * time.Second)
		if err != nil {
			return
		}
		if l.clockRate < 1 {
			r.isolate(l)
			time.Sleep(DefaultElectionMin + DefaultHeartbeat)
			return
		}
		r.stop(l.id)
		r.restart(l.id)
	}
}

// restartPeers disconnects a follower from the leader until the follower is
// about to campaign, then isolates the leader and restarts the other nodes.
// Those acknowledged the leader's heartbeats, so they must refuse their votes
// even after the restart.
func (r *scriptRun) restartPeers(m *member, extra time.Duration) {
	l := r.leading()
	if l == nil || l == m {
		return
	}
	r.clientsPaused.Store(true)
	defer r.clientsPaused.Store(false)
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

// repairCommitted reports whether the cluster is fully repaired and can commit
// a command.
func (r *scriptRun) repairCommitted() bool {
	return r.commitsWhile(r.fullyRepaired)
}

// commitsWhile reports whether the cluster can commit a command, and repaired
// returns true before and after that.
func (r *scriptRun) commitsWhile(repaired func() bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	l := r.leading()
	if l == nil || !repaired() {
		return false
	}
	return r.put(ctx, l, command{ID: r.recorder.nextUnique(), Key: "repair"}) == nil && repaired()
}

// loseDisk replaces a disk with an empty one, unless an earlier repair is
// incomplete: another lost disk could then lose acknowledged entries.
func (r *scriptRun) loseDisk(m *member) {
	if !r.repairCommitted() {
		return
	}
	r.crash(m.id)
	m.fs.Wipe()
	r.restart(m.id)
}

// loseNewestEntries lets one follower fall behind, then crashes the leader and
// replaces the disk of another follower. Of the initial disks of a three-node
// cluster, only the leader's then holds the newest entries.
func (r *scriptRun) loseNewestEntries(behind *member) {
	l := r.leading()
	if l == nil || l == behind || !r.repairCommitted() {
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
