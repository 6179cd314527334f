package control

import (
	"context"
	"errors"
	"sync"
)

// maxWaitingChanges limits the changes that wait for their turn at a node, each of which
// holds its text.
const maxWaitingChanges = 8

// errTooManyChanges means that other changes wait that come first.
var errTooManyChanges = errors.New("control: too many changes of the configuration at once")

// turns admits one change of the configuration at a time: the one of the highest order
// first, the latest among equals. A change takes processor time in proportion to its size,
// and several at once would keep a replica from its heartbeats. The zero value is ready for
// use.
type turns struct {
	mu      sync.Mutex
	taken   bool
	waiting []*waitingTurn
}

// waitingTurn is a change that waits. admitted receives nil once its turn has come, or an
// error if it has been displaced.
type waitingTurn struct {
	order    uint64
	admitted chan error
}

// take waits for the turn of a change, which must be ended with done unless an error is
// returned.
func (t *turns) take(ctx context.Context, order uint64) error {
	t.mu.Lock()
	if !t.taken {
		t.taken = true
		t.mu.Unlock()
		return nil
	}
	w := &waitingTurn{order: order, admitted: make(chan error, 1)}
	t.insert(w)
	t.mu.Unlock()
	select {
	case err := <-w.admitted:
		return err
	case <-ctx.Done():
	}
	if !t.remove(w) {
		if err := <-w.admitted; err != nil {
			return err
		}
		t.done()
	}
	return ctx.Err()
}

// insert adds a waiting change, and displaces the last one if there are too many. The
// caller holds the lock.
func (t *turns) insert(w *waitingTurn) {
	at := len(t.waiting)
	for at > 0 && t.waiting[at-1].order > w.order {
		at--
	}
	t.waiting = append(t.waiting, nil)
	copy(t.waiting[at+1:], t.waiting[at:])
	t.waiting[at] = w
	if len(t.waiting) > maxWaitingChanges {
		t.waiting[0].admitted <- errTooManyChanges
		t.waiting = t.waiting[1:]
	}
}

// remove removes a waiting change and reports whether it was still waiting.
func (t *turns) remove(w *waitingTurn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.waiting {
		if t.waiting[i] == w {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// done ends a turn and admits the next change.
func (t *turns) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.taken = false
		return
	}
	last := len(t.waiting) - 1
	t.waiting[last].admitted <- nil
	t.waiting[last] = nil
	t.waiting = t.waiting[:last]
}
