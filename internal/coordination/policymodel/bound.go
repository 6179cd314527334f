package policymodel

import (
	"slices"
	"time"
)

// Job is one request as a scheduler that knows everything beforehand sees it.
type Job struct {
	Arrival time.Duration
	// Objective and Deadline bound the time from the arrival to the moment from
	// which the request must hold a slot, to earn Worth or only LateWorth.
	Objective, Deadline time.Duration
	// Slot is how long the request holds one slot of an upstream.
	SlotTime         time.Duration
	Value, LateValue float64
}

// boundStep is the length of the steps in which capacity is handed out. It is
// shorter than the objectives of the platform's model routes, 400 ms and more.
const boundStep = 100 * time.Millisecond

// Bound estimates the most that any scheduler could earn: it knows all jobs, may
// serve parts of them, and hands out the slots in the order of worth for each
// second of a slot, first to jobs on time, then to late ones. Slots tells how many
// are there at a time. Jobs that find no room earn nothing.
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

// take hands out slots to a job from a time on, where it must begin within the
// given span, and returns the part of it that found room.
func allocate(freeTime map[int64]float64, slots func(time.Duration) float64, j Job, from, span time.Duration) float64 {
	need := j.SlotTime.Seconds()
	left := need
	for at := from; left > 0 && at <= from+span+j.SlotTime; at += boundStep {
		step := int64(at / boundStep)
		available, known := freeTime[step]
		if !known {
			available = slots(time.Duration(step)*boundStep) * boundStep.Seconds()
		}
		// One slot serves a job at a time.
		used := min(available, left, boundStep.Seconds())
		freeTime[step] = available - used
		left -= used
	}
	return 1 - left/need
}
