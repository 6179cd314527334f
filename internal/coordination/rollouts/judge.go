// Package rollouts decides on a rollout: which part of a pool's requests the
// target version gets, and whether it is completed or rolled back. It does no I/O
// and reads no clock.
package rollouts

import (
	"fmt"
	"math"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

const (
	// canaryShare is the target's share until the evidence is in. Deployments
	// permit a bad version a tenth of all requests.
	canaryShare = 0.08
	// rampFrom and rampTo are the parts of the duration between which the share
	// of a version without a fault grows to all requests.
	rampFrom = 0.45
	rampTo   = 0.75
	// settleAt is the part of the duration from which a rollout is completed
	// once nothing runs on the former versions, and lastAt the part at which it
	// is completed all the same.
	settleAt = 0.8
	lastAt   = 0.96
	// minAnswers is the number of the target's answers without which its share
	// does not grow.
	minAnswers = 15
	// minFailures is the number of failures below which chance is not ruled out.
	minFailures = 5
	// minExcess is the excess of failures, as a part of all, below which a
	// version is not called bad.
	minExcess = 0.08
	// failureScore is the standard score from which a difference of failures
	// counts: one look in ten thousand by chance, since a rollout takes hundreds.
	failureScore = 3.7
	// slowAnswers is the number of answers from which their times count, and
	// slowRatio the ratio of mean times from which a version is too slow.
	slowAnswers = 12
	slowRatio   = 1.8
	// slowScore is the standard score from which a difference of times counts, as
	// failureScore: a few answers that a pause of a machine delayed tell nothing.
	slowScore = 3.7
	// verySlow is the multiple of the former versions' usual time from which an
	// answer counts as very slow, and minSlow the excess of such answers, as a part
	// of all, below which a version is not called bad: a pause of a machine delays
	// many answers at once.
	verySlow = 4.0
	minSlow  = 0.125
)

// Sample is the outcome of one request.
type Sample struct {
	// Target is true for a request that went to the target version.
	Target bool
	Route  ident.RouteName
	Failed bool
	// First is the time from dispatch to the first part of the answer; 0 if the
	// request failed before.
	First time.Duration
}

// Judge follows one rollout. It is not safe for concurrent use.
type Judge struct {
	order  rollout.Order
	began  time.Time
	routes map[ident.RouteName]*pair
	all    pair
	// fault is why the target is bad; empty while no fault shows.
	fault string
}

// pair holds the counts of the former versions and of the target.
type pair struct{ former, target counts }

// counts sums up outcomes. Times are kept as logarithms of seconds: a mean of
// times would follow the few answers that a pause of a machine delayed.
type counts struct {
	answers, failures float64
	// timed is the number of answers with a time, slow that of very slow ones.
	timed, slow  float64
	sum, squares float64
}

// usual is the mean of the logarithms, errorOfUsual its variance.
func (c *counts) usual() float64 { return c.sum / c.timed }

func (c *counts) errorOfUsual() float64 {
	return max(0, c.squares/c.timed-c.usual()*c.usual()) / (c.timed - 1)
}

// NewJudge returns the judge of a rollout that began at the given time.
func NewJudge(o rollout.Order, began time.Time) *Judge {
	return &Judge{order: o, began: began, routes: make(map[ident.RouteName]*pair)}
}

// Observe takes in an outcome.
func (j *Judge) Observe(s Sample) {
	route := j.routes[s.Route]
	if route == nil {
		route = &pair{}
		j.routes[s.Route] = route
	}
	j.all.add(s)
	route.add(s)
	if j.fault != "" || !s.Target {
		return
	}
	if why := j.all.compare(); why != "" {
		j.fault = why
	} else if why := route.compare(); why != "" {
		j.fault = fmt.Sprintf("on route %s %s", s.Route, why)
	}
}

func (p *pair) side(target bool) *counts {
	if target {
		return &p.target
	}
	return &p.former
}

func (p *pair) add(s Sample) {
	c := p.side(s.Target)
	c.answers++
	if s.Failed {
		c.failures++
		return
	}
	if s.First <= 0 {
		return
	}
	log := math.Log(s.First.Seconds())
	if p.former.timed >= slowAnswers && log > p.former.usual()+math.Log(verySlow) {
		c.slow++
	}
	c.timed++
	c.sum += log
	c.squares += log * log
}

// compare returns why the target is worse than the former versions, or "".
func (p *pair) compare() string {
	if why := p.compareFailures(); why != "" {
		return why
	}
	return p.compareTimes()
}

// compareTimes compares the usual times and the numbers of very slow answers.
func (p *pair) compareTimes() string {
	former, target := p.former, p.target
	if target.timed < slowAnswers || former.timed < slowAnswers {
		return ""
	}
	excess := target.usual() - former.usual()
	if excess > max(math.Log(slowRatio), slowScore*math.Sqrt(target.errorOfUsual()+former.errorOfUsual())) {
		return fmt.Sprintf("the target usually takes %.0f ms, the former versions %.0f ms",
			1000*math.Exp(target.usual()), 1000*math.Exp(former.usual()))
	}
	if exceeds(target.slow, target.timed, former.slow, former.timed, minSlow) {
		return fmt.Sprintf("the target was very slow for %.0f of %.0f, the former versions for %.0f of %.0f",
			target.slow, target.timed, former.slow, former.timed)
	}
	return ""
}

// compareFailures compares two failure rates.
func (p *pair) compareFailures() string {
	t, f := p.target, p.former
	if !exceeds(t.failures, t.answers, f.failures, f.answers, minExcess) {
		return ""
	}
	return fmt.Sprintf("the target failed %.0f of %.0f, the former versions %.0f of %.0f", t.failures, t.answers, f.failures, f.answers)
}

// exceeds tells with a pooled test whether the target's rate lies above the
// former versions' by the given excess and by more than chance explains. Without answers of these a rate of a few hundredths is
// assumed for them.
func exceeds(targetBad, targetAll, formerBad, formerAll, excess float64) bool {
	if targetBad < minFailures {
		return false
	}
	former := (formerBad + 1) / (formerAll + 30)
	spread := math.Sqrt(former * (1 - former) * (1/targetAll + 1/(formerAll+30)))
	return targetBad/targetAll-former > max(excess, failureScore*spread)
}

// part is the part of the duration that has passed.
func (j *Judge) part(now time.Time) float64 {
	return float64(now.Sub(j.began)) / float64(j.order.Duration)
}

// Share returns the target's share of requests, 0 to 1.
func (j *Judge) Share(now time.Time) float64 {
	if j.fault != "" {
		return 0
	}
	part := j.part(now)
	if part < rampFrom || j.all.target.answers < minAnswers {
		return canaryShare
	}
	return min(1, canaryShare+(1-canaryShare)*(part-rampFrom)/(rampTo-rampFrom))
}

// Verdict returns the state that the rollout should have, and why. FormerRunning
// counts the requests that run on the former versions.
func (j *Judge) Verdict(now time.Time, formerRunning int) (rollout.State, string) {
	part := j.part(now)
	switch {
	case j.fault != "":
		return rollout.StateRolledBack, j.fault
	case part >= lastAt && j.all.target.answers < minAnswers:
		return rollout.StateRolledBack, fmt.Sprintf("only %.0f answers of the target by the deadline", j.all.target.answers)
	case part >= lastAt, part >= settleAt && formerRunning == 0 && j.Share(now) >= 1:
		return rollout.StateCompleted, "the target serves as well as the former versions"
	default:
		return rollout.StateRunning, ""
	}
}
