package policymodel

import (
	"slices"
	"time"
)

// Job is one request as seen by a scheduler that knows all requests in advance.
type Job struct {
	Arrival time.Duration
	// Objective is the longest wait between arrival and the start of service
	// that still earns Value; with a longer wait of up to Deadline, the job
	// earns LateValue.
	Objective, Deadline time.Duration
	// SlotTime is how long the request holds one slot of an upstream.
	SlotTime         time.Duration
	Value, LateValue float64
}

// boundStep is the time resolution of the allocation. It is shorter than the
// objectives of the platform's model routes, which are at least 400 ms.
const boundStep = 100 * time.Millisecond

// UpperBound estimates the highest total value that any scheduler could earn.
// It knows all jobs in advance, may serve a fraction of a job for the same
// fraction of its value, and allocates slots in descending order of value per
// second of slot time: first for service on time, then for late service. The
// function slots returns the number of slots at a time. Jobs without a slot
// earn nothing. The second result is the total value of all jobs.
func UpperBound(jobs []Job, slots func(at time.Duration) float64) (earned, offered float64) {
	freeTime := make(map[int64]float64)
	order := slices.Clone(jobs)
	slices.SortStableFunc(order, func(a, b Job) int {
		switch densityA, densityB := a.Value/a.SlotTime.Seconds(), b.Value/b.SlotTime.Seconds(); {
		case densityA > densityB:
			return -1
		case densityA < densityB:
			return 1
		default:
			return 0
		}
	})
	unserved := make([]float64, len(order))
	for i, j := range order {
		offered += j.Value
		unserved[i] = 1 - allocate(freeTime, slots, j, j.Arrival, j.Objective)
		earned += (1 - unserved[i]) * j.Value
	}
	for i, j := range order {
		if unserved[i] > 0 {
			served := min(unserved[i], allocate(freeTime, slots, j, j.Arrival+j.Objective, j.Deadline-j.Objective))
			earned += served * j.LateValue
		}
	}
	return earned, offered
}

// allocate reserves slot time for a job that may start between from and
// from+span, and returns the fraction of the job that fits, 0 to 1. freeTime
// holds the unallocated slot seconds by step; steps without an entry are free.
func allocate(freeTime map[int64]float64, slots func(time.Duration) float64, j Job, from, span time.Duration) float64 {
	need := j.SlotTime.Seconds()
	left := need
	for at := from; left > 0 && at <= from+span+j.SlotTime; at += boundStep {
		step := int64(at / boundStep)
		available, known := freeTime[step]
		if !known {
			available = slots(time.Duration(step)*boundStep) * boundStep.Seconds()
		}
		// A job holds only one slot, so it gets no more than the step's length.
		used := min(available, left, boundStep.Seconds())
		freeTime[step] = available - used
		left -= used
	}
	return 1 - left/need
}
