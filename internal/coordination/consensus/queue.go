package consensus

import "sync"

// queue passes items to a single consumer. Producers never block.
type queue[T any] struct {
	mu     sync.Mutex
	ready  *sync.Cond
	items  []T
	closed bool
}

func (q *queue[T]) init() {
	q.ready = sync.NewCond(&q.mu)
}

func (q *queue[T]) push(item T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, item)
	q.ready.Signal()
}

// popAll waits for items and returns all of them. ok is false once the queue is
// closed.
func (q *queue[T]) popAll() (items []T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.items) == 0 && !q.closed {
		q.ready.Wait()
	}
	items, q.items = q.items, nil
	return items, !q.closed
}

func (q *queue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	if q.ready != nil {
		q.ready.Broadcast()
	}
}
