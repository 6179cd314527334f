package scheduler

import (
	"container/heap"
	"time"
)

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	timerGrant timerKind = iota + 1
	timerForget
	timerOrphan
	timerRefresh
)

// timer schedules one piece of work for a time.
type timer struct {
	at     time.Duration
	kind   timerKind
	entry  *entry
	engine *engine
}

// timers is a min-heap by time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

func (t *timers) add(x timer) {
	heap.Push(t, x)
}

// due removes and returns the earliest timer that is due.
func (t *timers) due(now time.Duration) (timer, bool) {
	if len(*t) == 0 || (*t)[0].at > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}
