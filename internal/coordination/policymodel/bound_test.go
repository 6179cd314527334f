package policymodel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func oneSlot(time.Duration) float64 { return 1 }

// TestBound_ServesAllThatFits earns everything while the slots suffice.
func TestBound_ServesAllThatFits(t *testing.T) {
	var jobs []Job
	for i := range 10 {
		jobs = append(jobs, Job{Arrival: time.Duration(i) * time.Second, Objective: 200 * time.Millisecond, Deadline: time.Second, Slot: time.Second / 2, Worth: 3, LateWorth: 1})
	}
	earned, asked := Bound(jobs, oneSlot)
	must.Eq(t, 30, asked)
	must.InDelta(t, 30, earned, 1e-6)
}

// TestBound_PrefersWorthBySlotTime has two jobs of unlike worth ask for one slot
// at once: the other is served late, or not at all after its deadline.
func TestBound_PrefersWorthBySlotTime(t *testing.T) {
	job := Job{Deadline: 5 * time.Second, Slot: time.Second, Worth: 1, LateWorth: 0.1}
	dear := job
	dear.Worth, dear.LateWorth = 4, 0.4
	earned, asked := Bound([]Job{job, dear}, oneSlot)
	must.Eq(t, 5, asked)
	must.Between(t, 4.1, earned, 4.25)
	job.Deadline, dear.Deadline = 0, 0
	earned, _ = Bound([]Job{job, dear}, oneSlot)
	must.Between(t, 4, earned, 4.15)
}

// TestBound_NoSlots earns nothing.
func TestBound_NoSlots(t *testing.T) {
	earned, asked := Bound([]Job{{Slot: time.Second, Worth: 2}}, func(time.Duration) float64 { return 0 })
	must.Eq(t, 2, asked)
	must.Zero(t, earned)
}
