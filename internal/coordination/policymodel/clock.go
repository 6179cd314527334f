package policymodel

import (
	"container/heap"
	"time"
)

// event is a function to call at a virtual time. Events with the same time run
// in the order in which they were added.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventQueue is a heap of events, the earliest first. It implements
// heap.Interface.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// Clock is a virtual clock with a queue of events. The zero value is at time 0.
type Clock struct {
	now      time.Duration
	sequence uint64
	queue    eventQueue
}

// Now returns the virtual time, as the duration since the start of the run.
func (c *Clock) Now() time.Duration {
	return c.now
}

// At schedules f for the given virtual time, or for the present time if that
// time has passed.
func (c *Clock) At(at time.Duration, f func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: max(at, c.now), sequence: c.sequence, run: f})
}

// After schedules f for d from now.
func (c *Clock) After(d time.Duration, f func()) {
	c.At(c.now+d, f)
}

// Every runs f at intervals of d, for the first time d from now.
func (c *Clock) Every(d time.Duration, f func()) {
	c.After(d, func() {
		f()
		c.Every(d, f)
	})
}

// Run runs all events up to and including the given virtual time and sets the
// clock to it.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
	c.now = until
}
