package consensus

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// recorder records the clients' calls for the linearizability check.
type recorder struct {
	mu        sync.Mutex
	startedAt time.Time
	nextID    int
	ops       []porcupine.Operation
}

// call is the input of a recorded operation.
type call struct {
	Key   string
	Write bool
	Value int
}

func (r *recorder) nextUnique() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextID++
	return r.nextID
}

func (r *recorder) add(client int, in call, out int, from, to time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: client, Input: in, Output: out,
		Call: from.Sub(r.startedAt).Nanoseconds(), Return: to.Sub(r.startedAt).Nanoseconds(),
	})
}

// quietPeriod is the period of the checks while a run is quiet.
const quietPeriod = 20 * time.Millisecond

// startBackground starts the clients and the goroutine that checks the
// invariants.
func (r *scriptRun) startBackground() {
	for client := range 3 {
		rng := rand.New(rand.NewSource(r.script.Seed + int64(client)))
		r.wg.Go(func() { r.runClient(client, rng) })
	}
	r.wg.Go(func() {
		for r.sleep(time.Millisecond) && (!r.quiet.Load() || r.sleep(quietPeriod)) {
			r.checkInvariants()
		}
	})
}

// sleep waits for d. It returns false once the script has ended.
func (r *scriptRun) sleep(d time.Duration) bool {
	select {
	case <-r.stopped:
		return false
	case <-time.After(d):
		return true
	}
}

// checkInvariants checks that at most one replica holds a valid lease and that
// no replica stopped except because of an injected disk failure.
func (r *scriptRun) checkInvariants() {
	var leading []ident.NodeID
	for _, id := range r.current() {
		node := r.members[id].running()
		if node == nil {
			continue
		}
		if node.Leadership().Leading {
			leading = append(leading, id)
		}
		select {
		case err := <-node.Fatal():
			if !errors.Is(err, disk.ErrInjected) && !errors.Is(err, disk.ErrStale) && !(r.script.ReplaceDead && r.members[id].tolerateRemoval(err)) {
				r.oracle.fail("%s stopped: %v", id, err)
			}
		default:
		}
	}
	if len(leading) > 1 {
		r.oracle.fail("%v hold a valid lease at the same time", leading)
	}
}

// runClient writes and reads at random until the script ends. It follows leader
// hints and otherwise tries another random node after an error.
func (r *scriptRun) runClient(client int, rng *rand.Rand) {
	target := r.node(client)
	for r.sleep(time.Duration(1+rng.Intn(60)) * time.Millisecond) {
		if r.clientsPaused.Load() {
			continue
		}
		in := call{Key: string(rune('p' + rng.Intn(6))), Write: rng.Intn(2) == 0}
		var hint *NotLeaderError
		err := r.call(client, target, in)
		switch {
		case errors.As(err, &hint) && hint.Leader != "":
			target = r.members[hint.Leader]
		case err != nil:
			target = r.node(rng.Int())
		}
	}
}

// call makes one call and records it if its outcome affects linearizability:
// reads that succeeded, and writes that succeeded or may have.
func (r *scriptRun) call(client int, m *member, in call) error {
	node, machine := m.running(), m.state()
	if node == nil {
		return &NotLeaderError{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	from := time.Now()
	if !in.Write {
		err := node.ReadBarrier(ctx)
		if err == nil {
			r.recorder.add(client, in, machine.get(in.Key), from, time.Now())
		}
		return err
	}
	in.Value = r.recorder.nextUnique()
	err := r.put(ctx, m, command{ID: in.Value, Key: in.Key, Value: in.Value})
	switch {
	case err == nil:
		r.recorder.add(client, in, 0, from, time.Now())
	case errors.Is(err, ErrUncertain):
		// The write may take effect at any later time, even while the client
		// makes further calls. It is recorded as a call of a separate client
		// that lasts until the end of the history.
		r.recorder.add(1000+in.Value, in, 0, from, r.recorder.startedAt.Add(time.Hour))
	}
	return err
}

// healAndCheck removes all faults, waits until the cluster is repaired and
// checks the final state.
func (r *scriptRun) healAndCheck() {
	r.net.heal()
	for _, id := range r.ids {
		r.members[id].fs.Inject(healthyDisk)
		r.restart(id)
	}
	for end := time.Now().Add(time.Minute); !r.fullyRepaired(); time.Sleep(10 * time.Millisecond) {
		r.checkInvariants()
		r.emptyRemoved()
		if time.Now().After(end) {
			r.oracle.fail("cluster not repaired within a minute: %s", r.describe())
			return
		}
	}
	l := r.leading()
	if err := r.put(context.Background(), l, command{ID: r.recorder.nextUnique(), Key: "last"}); err != nil {
		r.oracle.fail("write after the repair: %v", err)
	}
	time.Sleep(2 * time.Second)
	r.checkFinalState()
}

// checkFinalState checks that all replicas applied the same commands, none
// twice and every acknowledged one.
func (r *scriptRun) checkFinalState() {
	want := r.node(0).state().history()
	for _, id := range r.ids {
		if got := r.members[id].state().history(); fmt.Sprint(got) != fmt.Sprint(want) {
			r.oracle.fail("%s applied %d commands, %s applied %d, or they differ", id, len(got), r.ids[0], len(want))
		}
	}
	r.checkApplied(r.oracle.ackedIDs(), want)
}

// checkApplied checks that no command was applied twice and every acknowledged
// one was applied.
func (r *scriptRun) checkApplied(acked []int, applied []command) {
	count := map[int]int{}
	for _, c := range applied {
		count[c.ID]++
		if count[c.ID] > 1 {
			r.oracle.fail("command %d was applied twice", c.ID)
		}
	}
	for _, id := range acked {
		if count[id] == 0 {
			r.oracle.fail("acknowledged command %d is lost", id)
		}
	}
}

// describe returns the state of the running replicas, for the message of a
// failed repair.
func (r *scriptRun) describe() string {
	text := ""
	for _, id := range r.ids {
		if node := r.members[id].running(); node != nil {
			text += fmt.Sprintf("\n%+v %+v stopped=%v", node.Status(), node.Members(), node.replica.ctx.Err())
		}
	}
	return text
}
