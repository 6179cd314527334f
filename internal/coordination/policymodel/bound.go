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
	Slot             time.Duration
	Worth, LateWorth float64
}

// boundStep is the length of the steps in which capacity is handed out. It is
// shorter than the objectives of the platform's model routes, 400 ms and more.
const boundStep = 100 * time.Millisecond

// Bound estimates the most that any scheduler could earn: it knows all jobs, may
// serve parts of them, and hands out the slots in the order of worth for each
// second of a slot, first to jobs on time, then to late ones. Slots tells how many
// are there at a time. Jobs that find no room earn nothing.
func Bound(jobs []Job, slots func(at time.Duration) float64) (earned, asked float64) {
	free := make(map[int64]float64)
	order := slices.Clone(jobs)
	slices.SortStableFunc(order, func(a, b Job) int {
		switch densityA, densityB := a.Worth/a.Slot.Seconds(), b.Worth/b.Slot.Seconds(); {
		case densityA > densityB:
			return -1
		case densityA < densityB:
			return 1
		default:
			return 0
		}
	})
	missing := make([]float64, len(order))
	for i, j := range order {
		asked += j.Worth
		missing[i] = 1 - take(free, slots, j, j.Arrival, j.Objective)
		earned += (1 - missing[i]) * j.Worth
	}
	for i, j := range order {
		if missing[i] > 0 {
			part := min(missing[i], take(free, slots, j, j.Arrival+j.Objective, j.Deadline-j.Objective))
			earned += part * j.LateWorth
		}
	}
	return earned, asked
}

// take hands out slots to a job from a time on, where it must begin within the
// given span, and returns the part of it that found room.
func take(free map[int64]float64, slots func(time.Duration) float64, j Job, from, span time.Duration) float64 {
	need := j.Slot.Seconds()
	left := need
	for at := from; left > 0 && at <= from+span+j.Slot; at += boundStep {
		step := int64(at / boundStep)
		room, known := free[step]
		if !known {
			room = slots(time.Duration(step)*boundStep) * boundStep.Seconds()
		}
		// One slot serves a job at a time.
		used := min(room, left, boundStep.Seconds())
		free[step] = room - used
		left -= used
	}
	return 1 - left/need
}
