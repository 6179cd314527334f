package policymodel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func oneSlot(time.Duration) float64 { return 1 }

func TestUpperBound_EarnsAllValueWhenSlotsSuffice(t *testing.T) {
	var jobs []Job
	for i := range 10 {
		jobs = append(jobs, Job{Arrival: time.Duration(i) * time.Second, Objective: 200 * time.Millisecond, Deadline: time.Second, SlotTime: time.Second / 2, Value: 3, LateValue: 1})
	}
	earned, offered := UpperBound(jobs, oneSlot)
	must.Eq(t, 30, offered)
	must.InDelta(t, 30, earned, 1e-6)
}

// Two jobs of different value need the only slot at the same time. The less
// valuable one is served late, or not at all once its deadline has passed.
func TestUpperBound_PrefersValuePerSlotSecond(t *testing.T) {
	job := Job{Deadline: 5 * time.Second, SlotTime: time.Second, Value: 1, LateValue: 0.1}
	valuable := job
	valuable.Value, valuable.LateValue = 4, 0.4
	earned, offered := UpperBound([]Job{job, valuable}, oneSlot)
	must.Eq(t, 5, offered)
	must.Between(t, 4.1, earned, 4.25)
	job.Deadline, valuable.Deadline = 0, 0
	earned, _ = UpperBound([]Job{job, valuable}, oneSlot)
	must.Between(t, 4, earned, 4.15)
}

func TestUpperBound_EarnsNothingWithoutSlots(t *testing.T) {
	earned, offered := UpperBound([]Job{{SlotTime: time.Second, Value: 2}}, func(time.Duration) float64 { return 0 })
	must.Eq(t, 2, offered)
	must.Zero(t, earned)
}
