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

// recorder keeps the callers' calls for the check of linearizability.
type recorder struct {
	mu     sync.Mutex
	began  time.Time
	nextID int
	ops    []porcupine.Operation
}

// call is the input of a recorded operation.
type call struct {
	Key   string
	Write bool
	Value int
}

func (r *recorder) next() int {
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
		Call: from.Sub(r.began).Nanoseconds(), Return: to.Sub(r.began).Nanoseconds(),
	})
}

// background starts the callers and the watch over the leases.
func (r *run) background() {
	for client := range 3 {
		rng := rand.New(rand.NewSource(r.script.Seed + int64(client)))
		r.wg.Go(func() { r.callAtRandom(client, rng) })
	}
	r.wg.Go(func() {
		for r.sleep(time.Millisecond) {
			r.watch()
		}
	})
}

// sleep returns false once the history ends.
func (r *run) sleep(d time.Duration) bool {
	select {
	case <-r.stopped:
		return false
	case <-time.After(d):
		return true
	}
}

// watch checks that at most one lease is valid and that no replica stopped but
// for an injected failure.
func (r *run) watch() {
	var leading []ident.NodeID
	for _, id := range r.ids {
		node := r.members[id].running()
		if node == nil {
			continue
		}
		if node.Leadership().Leading {
			leading = append(leading, id)
		}
		select {
		case err := <-node.Fatal():
			if !errors.Is(err, disk.ErrInjected) && !errors.Is(err, disk.ErrStale) {
				r.oracle.fail("%s stopped: %v", id, err)
			}
		default:
		}
	}
	if len(leading) > 1 {
		r.oracle.fail("%v hold a valid lease at one time", leading)
	}
}

// callAtRandom writes and reads until the history ends.
func (r *run) callAtRandom(client int, rng *rand.Rand) {
	target := r.node(client)
	for r.sleep(time.Duration(1+rng.Intn(60)) * time.Millisecond) {
		if r.quiet.Load() {
			continue
		}
		in := call{Key: string(rune('p' + rng.Intn(6))), Write: rng.Intn(2) == 0}
		var hint *NotLeaderError
		err := r.call(client, target, in)
		switch {
		case errors.As(err, &hint) && hint.Leader != "":
			target = r.members[hint.Leader]
		case err != nil:
			target = r.node(rng.Intn(len(r.ids)))
		}
	}
}

// call makes one call and records what its caller may conclude from it.
func (r *run) call(client int, m *member, in call) error {
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
	in.Value = r.recorder.next()
	err := r.put(ctx, m, command{ID: in.Value, Key: in.Key, Value: in.Value})
	switch {
	case err == nil:
		r.recorder.add(client, in, 0, from, time.Now())
	case errors.Is(err, ErrUncertain):
		// Such a write may take effect at any later time, also as another
		// caller: it ends with the history.
		r.recorder.add(1000+in.Value, in, 0, from, r.recorder.began.Add(time.Hour))
	}
	return err
}

// settle repairs everything and checks what must have survived.
func (r *run) settle() {
	r.net.heal()
	for _, id := range r.ids {
		r.members[id].fs.Inject(soundDisk)
		r.restart(id)
	}
	for end := time.Now().Add(time.Minute); !r.repaired(); time.Sleep(10 * time.Millisecond) {
		r.watch()
		if time.Now().After(end) {
			r.oracle.fail("no repair within a minute: %s", r.describe())
			return
		}
	}
	l := r.leading()
	if err := r.put(context.Background(), l, command{ID: r.recorder.next(), Key: "last"}); err != nil {
		r.oracle.fail("last write: %v", err)
	}
	time.Sleep(2 * time.Second)
	r.checkSurvivors()
}

// checkSurvivors compares the replicas with each other and with the callers.
func (r *run) checkSurvivors() {
	want := r.node(0).state().history()
	for _, id := range r.ids {
		if got := r.members[id].state().history(); fmt.Sprint(got) != fmt.Sprint(want) {
			r.oracle.fail("%s applied %d commands, %s %d, or others", id, len(got), r.ids[0], len(want))
		}
	}
	count := map[int]int{}
	for _, c := range want {
		count[c.ID]++
		if count[c.ID] > 1 {
			r.oracle.fail("command %d was applied twice", c.ID)
		}
	}
	for id := range r.oracle.acked {
		if count[id] == 0 {
			r.oracle.fail("acknowledged command %d is lost", id)
		}
	}
}

// describe shows the cluster when it does not settle.
func (r *run) describe() string {
	text := ""
	for _, id := range r.ids {
		if node := r.members[id].running(); node != nil {
			text += fmt.Sprintf("\n%+v %+v stopped=%v", node.Status(), node.Members(), node.replica.ctx.Err())
		}
	}
	return text
}
