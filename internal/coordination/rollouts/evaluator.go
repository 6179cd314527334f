// Package rollouts evaluates a rollout: it decides which share of the requests of
// a pool the target version gets, and whether the rollout is completed or rolled
// back. It does no I/O and reads no clock.
package rollouts

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

const (
	// canaryShare is the target's share until there is enough evidence.
	// Deployments permit a bad version a tenth of all requests.
	canaryShare = 0.08
	// rampFrom and rampTo are the fractions of the duration between which the
	// share of a version without a fault grows to 1.
	rampFrom = 0.45
	rampTo   = 0.75
	// completeFrom is the fraction of the duration from which a rollout is
	// completed once nothing runs on the former versions. At the fraction
	// completeBy it is completed even if something does.
	completeFrom = 0.8
	completeBy   = 0.96
	// minAnswers is the number of answers of the target below which its share
	// does not grow.
	minAnswers = 15
	// minFailures is the number of bad outcomes below which they may be due to
	// chance.
	minFailures = 5
	// minFailureExcess is the difference of failure rates below which a version
	// is not called bad.
	minFailureExcess = 0.08
	// failureZScore is the standard score above which a difference of rates is
	// significant. By chance it is exceeded once in ten thousand tests; a rollout
	// makes hundreds of tests.
	failureZScore = 3.7
	// minTimedAnswers is the number of answers from which their times are
	// compared, and slowRatio the ratio of mean times above which a version is
	// too slow.
	minTimedAnswers = 12
	slowRatio       = 1.8
	// slowZScore is the standard score above which a difference of times is
	// significant. Like failureZScore it is high, so that a few answers delayed
	// by a pause of the machine have no effect.
	slowZScore = 3.7
	// verySlowFactor is the multiple of the mean time of the former versions
	// above which an answer counts as very slow. minVerySlowExcess is the
	// difference of the rates of very slow answers below which a version is not
	// called bad: a pause of the machine delays many answers at once.
	verySlowFactor    = 4.0
	minVerySlowExcess = 0.125
	// unnoticedFraction is the fraction of a route's objective by which answers may begin later
	// unnoticed by its callers. It is that of a crossing to another data centre.
	unnoticedFraction = 0.125
	// firstExtra is how many requests the target may get beyond its share before it has
	// answered any, if the former versions are lost.
	firstExtra = 4
)

// Sample is the outcome of one request.
type Sample struct {
	// Target is true for a request that went to the target version.
	Target bool
	Route  ident.RouteName
	Failed bool
	// Objective is the time left, when the request was sent, for the answer to begin; 0 if its route
	// has no objective, negative if the request had missed it.
	Objective time.Duration
	// First is the time from dispatch to the first part of the answer; 0 if the
	// request failed before.
	First time.Duration
}

// Evaluator evaluates one rollout. It is not safe for concurrent use.
type Evaluator struct {
	order  rollout.Order
	began  time.Time
	routes map[ident.RouteName]*comparison
	all    comparison
	// fault describes why the target is bad; empty while no fault was found.
	fault string
}

// comparison holds the statistics of the former versions and of the target.
type comparison struct {
	former, target outcomeStats
	// unnoticed is the difference of times, in seconds, up to which a version isn't slower.
	unnoticed float64
}

// outcomeStats accumulates outcomes. It keeps times as logarithms of seconds,
// since a mean of plain times is dominated by the few answers that a pause of the
// machine delayed.
type outcomeStats struct {
	answers, failures float64
	// timed is the number of answers with a time, and slow the number of very
	// slow ones.
	timed, slow           float64
	sumLog, sumLogSquares float64
}

// meanLog returns the mean of the logarithms of the times.
func (c *outcomeStats) meanLog() float64 { return c.sumLog / c.timed }

// usual returns the geometric mean of the times, in seconds.
func (c *outcomeStats) usual() float64 { return math.Exp(c.meanLog()) }

// meanLogVariance returns the variance of meanLog, the square of its standard
// error.
func (c *outcomeStats) meanLogVariance() float64 {
	return max(0, c.sumLogSquares/c.timed-c.meanLog()*c.meanLog()) / (c.timed - 1)
}

// NewEvaluator returns the evaluator of a rollout that began at the given time.
func NewEvaluator(o rollout.Order, began time.Time) *Evaluator {
	return &Evaluator{order: o, began: began, routes: make(map[ident.RouteName]*comparison)}
}

// Observe records an outcome and checks whether the target is worse than the
// former versions.
func (e *Evaluator) Observe(s Sample) {
	route := e.routes[s.Route]
	if route == nil {
		route = &comparison{}
		e.routes[s.Route] = route
	}
	e.allowUnnoticed(route, s.Objective)
	e.all.add(s)
	route.add(s)
	if e.fault == "" && s.Target {
		e.fault = e.findFault(s.Route)
	}
}

// allowUnnoticed sets the differences that callers don't notice. The longest time left that a request
// of a route had is the route's objective; all routes together are held to the strictest of them.
func (e *Evaluator) allowUnnoticed(route *comparison, objective time.Duration) {
	unnoticed := unnoticedFraction * objective.Seconds()
	if unnoticed <= route.unnoticed && (route.unnoticed > 0 || e.all.unnoticed == 0) {
		return
	}
	route.unnoticed = max(route.unnoticed, unnoticed)
	e.all.unnoticed = math.Inf(1)
	for _, r := range e.routes {
		e.all.unnoticed = min(e.all.unnoticed, r.unnoticed)
	}
}

// Retract takes back a failed outcome that the version did not cause. A fault that
// was found with it is forgotten unless it holds without it.
func (e *Evaluator) Retract(s Sample) {
	route := e.routes[s.Route]
	if route == nil || !s.Failed {
		return
	}
	e.all.retractFailure(s.Target)
	route.retractFailure(s.Target)
	if e.fault == "" {
		return
	}
	e.fault = ""
	for _, name := range slices.Sorted(maps.Keys(e.routes)) {
		if e.fault = e.findFault(name); e.fault != "" {
			return
		}
	}
}

// findFault returns why the target is worse than the former versions, on all routes
// together or on the given one; "" if it is not.
func (e *Evaluator) findFault(route ident.RouteName) string {
	if why := e.all.compare(); why != "" {
		return why
	}
	if why := e.routes[route].compare(); why != "" {
		return fmt.Sprintf("on route %s %s", route, why)
	}
	return ""
}

func (p *comparison) retractFailure(target bool) {
	c := p.side(target)
	c.answers--
	c.failures--
}

func (p *comparison) side(target bool) *outcomeStats {
	if target {
		return &p.target
	}
	return &p.former
}

func (p *comparison) add(s Sample) {
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
	if p.former.timed >= minTimedAnswers && log > p.former.meanLog()+math.Log(verySlowFactor) && s.First.Seconds()-p.former.usual() > p.unnoticed {
		c.slow++
	}
	c.timed++
	c.sumLog += log
	c.sumLogSquares += log * log
}

// compare returns why the target is worse than the former versions, or "".
func (p *comparison) compare() string {
	if why := p.compareFailures(); why != "" {
		return why
	}
	return p.compareTimes()
}

// compareTimes compares the mean times and the rates of very slow answers.
func (p *comparison) compareTimes() string {
	former, target := p.former, p.target
	if target.timed < minTimedAnswers || former.timed < minTimedAnswers {
		return ""
	}
	excess := target.meanLog() - former.meanLog()
	isSlower := excess > max(math.Log(slowRatio), slowZScore*math.Sqrt(target.meanLogVariance()+former.meanLogVariance()))
	if isSlower && target.usual()-former.usual() > p.unnoticed {
		return fmt.Sprintf("the target usually takes %.0f ms, the former versions %.0f ms", 1000*target.usual(), 1000*former.usual())
	}
	if exceeds(target.slow, target.timed, former.slow, former.timed, minVerySlowExcess) {
		return fmt.Sprintf("the target was very slow for %.0f of %.0f, the former versions for %.0f of %.0f",
			target.slow, target.timed, former.slow, former.timed)
	}
	return ""
}

// compareFailures compares the failure rates.
func (p *comparison) compareFailures() string {
	t, f := p.target, p.former
	if !exceeds(t.failures, t.answers, f.failures, f.answers, minFailureExcess) {
		return ""
	}
	return fmt.Sprintf("the target failed %.0f of %.0f, the former versions %.0f of %.0f", t.failures, t.answers, f.failures, f.answers)
}

// exceeds reports whether the target's rate of bad outcomes is above the former
// versions' rate by more than the given excess and by more than chance explains.
// The test uses the variance of the former rate for both. One bad outcome in 30
// is added to the former versions, so that without any answers their rate is
// assumed to be a few hundredths.
func exceeds(targetBad, targetAll, formerBad, formerAll, excess float64) bool {
	if targetBad < minFailures {
		return false
	}
	former := (formerBad + 1) / (formerAll + 30)
	spread := math.Sqrt(former * (1 - former) * (1/targetAll + 1/(formerAll+30)))
	return targetBad/targetAll-former > max(excess, failureZScore*spread)
}

// elapsedFraction returns the fraction of the duration that has passed.
func (e *Evaluator) elapsedFraction(now time.Time) float64 {
	return float64(now.Sub(e.began)) / float64(e.order.Duration)
}

// Share returns the target's share of requests, 0 to 1.
func (e *Evaluator) Share(now time.Time) float64 {
	if e.fault != "" {
		return 0
	}
	elapsed := e.elapsedFraction(now)
	if elapsed < rampFrom || e.all.target.answers < minAnswers || e.targetFails() {
		return canaryShare
	}
	return min(1, canaryShare+(1-canaryShare)*(elapsed-rampFrom)/(rampTo-rampFrom))
}

// targetFails reports whether the target fails more than chance explains, whatever the former
// versions do: those that are lost are no measure for it.
func (e *Evaluator) targetFails() bool {
	return exceeds(e.all.target.failures, e.all.target.answers, 0, 0, minFailureExcess)
}

// Extra returns how many requests the target may get beyond its share, in all, while the
// former versions can't serve them. Each good answer allows one more, and two from
// minAnswers on, so that a version that can't be compared with another one still shows
// first that it serves. One that fails more than chance explains gets none.
func (e *Evaluator) Extra() int {
	if e.fault != "" || e.targetFails() {
		return 0
	}
	target := e.all.target
	good := max(0, target.answers-target.failures)
	return firstExtra + int(good+max(0, good-minAnswers))
}

// Verdict returns the state that the rollout should have, and the reason.
// FormerRunning is the number of requests that run on the former versions.
func (e *Evaluator) Verdict(now time.Time, formerRunning int) (rollout.State, string) {
	elapsed := e.elapsedFraction(now)
	switch {
	case e.fault != "":
		return rollout.StateRolledBack, e.fault
	case elapsed >= completeBy && e.all.target.answers < minAnswers:
		return rollout.StateRolledBack, fmt.Sprintf("only %.0f answers of the target by the deadline", e.all.target.answers)
	case elapsed >= completeBy, elapsed >= completeFrom && formerRunning == 0 && e.Share(now) >= 1:
		return rollout.StateCompleted, "the target serves as well as the former versions"
	default:
		return rollout.StateRunning, ""
	}
}
