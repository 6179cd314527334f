package timeline

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestClock_OrdersAcrossProcesses checks that a process that receives a message from
// one whose wall clock is an hour ahead stamps its later events after the message.
func TestClock_OrdersAcrossProcesses(t *testing.T) {
	wall := time.Unix(1_000_000, 0)
	ahead, behind := &Clock{}, &Clock{}
	sent := ahead.Now(wall.Add(time.Hour))
	before := behind.Now(wall)
	behind.Observe(sent)
	after := behind.Now(wall.Add(time.Millisecond))
	must.Negative(t, before.Compare(sent))
	must.Positive(t, after.Compare(sent))
	must.Positive(t, behind.Now(wall.Add(-time.Hour)).Compare(after))
}

func TestRecorder_KeepsTheLatest(t *testing.T) {
	r := NewRecorder("n1", &Clock{}, 3)
	for _, id := range []ident.RequestID{"a", "b", "c", "d", "e"} {
		r.Record(Event{Kind: KindAccepted, Request: id})
	}
	events := r.Events(Filter{})
	must.Len(t, 3, events)
	must.Eq(t, "c", events[0].Request)
	must.Eq(t, "e", events[2].Request)
	must.Len(t, 1, r.Events(Filter{Request: "d"}))
	must.Len(t, 0, r.Events(Filter{Request: "a"}))
}

func TestMerge_SortsByStampThenNode(t *testing.T) {
	a := []Event{{Node: "a", Stamp: Stamp{Wall: 1}}, {Node: "a", Stamp: Stamp{Wall: 3}}}
	b := []Event{{Node: "b", Stamp: Stamp{Wall: 2}}, {Node: "b", Stamp: Stamp{Wall: 3}}}
	var walls []int64
	for _, e := range Merge(b, a) {
		walls = append(walls, e.Stamp.Wall)
	}
	must.Eq(t, []int64{1, 2, 3, 3}, walls)
	must.Eq(t, "a", Merge(b, a)[2].Node)
}
