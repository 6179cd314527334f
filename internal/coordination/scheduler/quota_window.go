package scheduler

import "time"

// quotaSteps is the number of steps into which a quota's sliding window is divided.
const quotaSteps = 64

// usage is a sliding window of tokens.
type usage struct {
	steps [quotaSteps]float64
	// step is the number of the current step since the quotas' origin.
	step int64
	sum  float64
}

// slide advances the window to end with the given step and drops older usage.
func (u *usage) slide(step int64) {
	u.step = max(u.step, step-quotaSteps)
	for u.step < step {
		u.step++
		u.sum -= u.steps[u.step%quotaSteps]
		u.steps[u.step%quotaSteps] = 0
	}
}

// add counts tokens that were used the given number of steps ago.
func (u *usage) add(tokens float64, ago int64) {
	if ago < 0 || ago >= quotaSteps || u.step < ago {
		return
	}
	u.steps[(u.step-ago)%quotaSteps] += tokens
	u.sum += tokens
}

// excess returns the most that was used beyond the refill, in tokens per second, since any
// moment of the window that ends with the current step. Bounding it gives a team that sends
// many times its quota a steady rate, not all of a window's tokens at once and then none.
func (u *usage) excess(refill float64, window time.Duration) float64 {
	perStep := refill * window.Seconds() / quotaSteps
	most, sum := 0.0, 0.0
	for ago := range min(quotaSteps, u.step+1) {
		if ago > 0 {
			// The current step may have just begun, so no refill is certain.
			sum -= perStep
		}
		sum += u.steps[(u.step-ago)%quotaSteps]
		most = max(most, sum)
	}
	return most
}
