package rollouts

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

var (
	testOrder = rollout.Order{Pool: "p", Target: "v2", Duration: 12 * time.Second}
	testBegan = time.Unix(9000, 0)
)

// version simulates the servers of one version at a time since the start of the
// rollout.
type version func(route ident.RouteName, at time.Duration, rng *rand.Rand) (failed bool, first time.Duration)

func healthyVersion(failure float64) version {
	return func(_ ident.RouteName, _ time.Duration, rng *rand.Rand) (bool, time.Duration) {
		return rng.Float64() < failure, time.Duration(40+rng.ExpFloat64()*30) * time.Millisecond
	}
}

// replay sends about 60 requests per second on two routes through a rollout. It
// returns the final state, when it was reached, the number of requests that the
// target got, and the number of all requests.
func replay(seed int64, target version) (state rollout.State, at time.Duration, got, all int) {
	rng := rand.New(rand.NewSource(seed))
	j := NewEvaluator(testOrder, testBegan)
	former := healthyVersion(0.01)
	for at = 0; at <= testOrder.Duration; at += 16 * time.Millisecond {
		now := testBegan.Add(at)
		route := ident.RouteName([]string{"a", "b"}[rng.Intn(2)])
		toTarget := rng.Float64() < j.Share(now)
		serve := former
		if toTarget {
			serve = target
			got++
		}
		all++
		failed, first := serve(route, at, rng)
		j.Observe(Sample{Target: toTarget, Route: route, Failed: failed, First: first})
		if state, _ = j.Verdict(now, 0); state.Final() {
			return state, at, got, all
		}
	}
	return rollout.StateRunning, at, got, all
}

func TestEvaluator_GoodVersionCompletes(t *testing.T) {
	for seed := range int64(50) {
		state, at, _, _ := replay(seed, healthyVersion(0.01))
		must.Eq(t, rollout.StateCompleted, state, must.Sprintf("seed %d", seed))
		must.Less(t, testOrder.Duration, at)
	}
}

// TestEvaluator_BadVersionsAreRolledBack replays versions that fail or slow down: at
// once, later, on one route, or for a fraction of the requests. Versions that are
// bad from the start must get at most a tenth of all requests plus 50.
func TestEvaluator_BadVersionsAreRolledBack(t *testing.T) {
	slow := func(route ident.RouteName, at time.Duration, rng *rand.Rand) (bool, time.Duration) {
		_, first := healthyVersion(0)(route, at, rng)
		return false, 3 * first
	}
	oneRoute := func(route ident.RouteName, at time.Duration, rng *rand.Rand) (bool, time.Duration) {
		if route == "b" {
			return healthyVersion(0.6)(route, at, rng)
		}
		return healthyVersion(0.01)(route, at, rng)
	}
	later := func(route ident.RouteName, at time.Duration, rng *rand.Rand) (bool, time.Duration) {
		if at > 7*time.Second {
			return healthyVersion(0.5)(route, at, rng)
		}
		return healthyVersion(0.01)(route, at, rng)
	}
	sometimes := func(route ident.RouteName, at time.Duration, rng *rand.Rand) (bool, time.Duration) {
		_, first := healthyVersion(0)(route, at, rng)
		if rng.Float64() < 0.2 {
			first *= 12
		}
		return false, first
	}
	for name, target := range map[string]version{"sometimes slow": sometimes, "fails": healthyVersion(0.4), "slow": slow, "one route": oneRoute, "later": later} {
		for seed := range int64(30) {
			state, at, got, all := replay(seed, target)
			must.Eq(t, rollout.StateRolledBack, state, must.Sprintf("%s, seed %d", name, seed))
			must.Less(t, testOrder.Duration, at)
			if name != "later" {
				must.LessEq(t, float64(all)/10+50, float64(got), must.Sprintf("%s, seed %d", name, seed))
			}
		}
	}
}

// replayAlone is replay for a rollout whose former version is lost from a time on. Requests that
// nothing may take are counted in refused.
func replayAlone(seed int64, target version, lost time.Duration) (state rollout.State, got, refused int) {
	rng := rand.New(rand.NewSource(seed))
	e := NewEvaluator(testOrder, testBegan)
	former, extra := healthyVersion(0.01), 0
	for at := time.Duration(0); at <= testOrder.Duration; at += 16 * time.Millisecond {
		now := testBegan.Add(at)
		route := ident.RouteName([]string{"a", "b"}[rng.Intn(2)])
		serve, toTarget := former, rng.Float64() < e.Share(now)
		if at >= lost && !toTarget {
			toTarget = extra < e.Extra()
			if !toTarget {
				refused++
				// What is tried at the former version meanwhile fails.
				if rng.Float64() < 0.3 {
					e.Observe(Sample{Route: route, Failed: true})
				}
				continue
			}
			extra++
		}
		if toTarget {
			serve = target
			got++
		}
		failed, first := serve(route, at, rng)
		e.Observe(Sample{Target: toTarget, Route: route, Failed: failed, First: first})
		if state, _ = e.Verdict(now, 0); state == rollout.StateRolledBack {
			return state, got, refused
		}
	}
	return state, got, refused
}

// TestEvaluator_FormerVersionLost guards against a target that serves well and gets nothing because
// the former version is lost, and against a bad one that gets more than a bad one may: a tenth
// of the requests and 50 more.
func TestEvaluator_FormerVersionLost(t *testing.T) {
	fails, oneRoute := healthyVersion(1), func(route ident.RouteName, at time.Duration, rng *rand.Rand) (bool, time.Duration) {
		return healthyVersion(map[ident.RouteName]float64{"a": 0.01, "b": 0.6}[route])(route, at, rng)
	}
	slow := func(route ident.RouteName, at time.Duration, rng *rand.Rand) (bool, time.Duration) {
		_, first := healthyVersion(0)(route, at, rng)
		return false, 3 * first
	}
	for seed := range int64(50) {
		for lost := range 4 {
			lost := time.Duration(lost) * 1500 * time.Millisecond
			state, _, refused := replayAlone(seed, healthyVersion(0.01), lost)
			must.Eq(t, rollout.StateCompleted, state, must.Sprint(seed, lost))
			must.Less(t, 30, refused, must.Sprint(seed, lost))
			for name, bad := range map[string]version{"fails": fails, "often": healthyVersion(0.4), "one route": oneRoute, "slow": slow} {
				if name == "slow" && lost == 0 {
					// Nothing shows that it is slow.
					continue
				}
				state, got, refused := replayAlone(seed, bad, lost)
				must.LessEq(t, float64(got+refused)/10+50, float64(got), must.Sprintf("%s, seed %d, lost at %v, %s", name, seed, lost, state))
			}
		}
	}
}

// TestEvaluator_RollsBackWithoutEvidence checks that a target without any answers is
// rolled back at the deadline.
func TestEvaluator_RollsBackWithoutEvidence(t *testing.T) {
	j := NewEvaluator(testOrder, testBegan)
	state, _ := j.Verdict(testBegan.Add(testOrder.Duration*97/100), 0)
	must.Eq(t, rollout.StateRolledBack, state)
}

// TestEvaluator_WaitsForFormerRuns checks that a rollout waits for the requests on
// the former versions, whose servers are stopped as soon as it completes.
func TestEvaluator_WaitsForFormerRuns(t *testing.T) {
	j := NewEvaluator(testOrder, testBegan)
	for range 100 {
		j.Observe(Sample{Target: true, Route: "a", First: time.Millisecond})
	}
	at := testBegan.Add(testOrder.Duration * 85 / 100)
	state, _ := j.Verdict(at, 3)
	must.Eq(t, rollout.StateRunning, state)
	state, _ = j.Verdict(at, 0)
	must.Eq(t, rollout.StateCompleted, state)
}

// TestEvaluator_MachinePausesDoNotRollBack rolls out a version that is as fast as the
// former one on a machine that pauses from time to time for up to a fifth of a
// second, which delays the requests that run at that moment.
func TestEvaluator_MachinePausesDoNotRollBack(t *testing.T) {
	rolledBack := 0
	for seed := range int64(200) {
		if state := replayWithPauses(seed, 1); state == rollout.StateRolledBack {
			rolledBack++
		}
	}
	must.Zero(t, rolledBack)
}

// TestEvaluator_SlowVersionRolledBackDespitePauses rolls out a version that takes
// three times as long on the same machine.
func TestEvaluator_SlowVersionRolledBackDespitePauses(t *testing.T) {
	for seed := range int64(50) {
		must.Eq(t, rollout.StateRolledBack, replayWithPauses(seed, 3), must.Sprint(seed))
	}
}

// replayWithPauses runs a rollout of 6 s with 8 callers on a machine that pauses
// at random, and returns its final state. The target takes factor times as long
// as the former version.
func replayWithPauses(seed int64, factor float64) rollout.State {
	random := rand.New(rand.NewSource(seed))
	order := rollout.Order{Pool: "app", Target: "v2", Duration: 6 * time.Second}
	began := time.Unix(0, 0)
	evaluator := NewEvaluator(order, began)
	pauseAt := began.Add(time.Duration(random.ExpFloat64() * float64(400*time.Millisecond)))
	for now := began; ; now = now.Add(12 * time.Millisecond) {
		pause := time.Duration(0)
		if now.After(pauseAt) {
			pause = time.Duration(random.Float64() * float64(200*time.Millisecond))
			pauseAt = now.Add(time.Duration(random.ExpFloat64() * float64(400*time.Millisecond)))
		}
		for range 8 {
			target := random.Float64() < evaluator.Share(now)
			first := 1.5 * math.Exp(0.5*random.NormFloat64())
			if target {
				first *= factor
			}
			evaluator.Observe(Sample{Target: target, Route: "r3", First: pause + time.Duration(first*float64(time.Millisecond))})
		}
		now = now.Add(pause)
		if state, _ := evaluator.Verdict(now, 0); state.Final() {
			return state
		}
	}
}

// TestEvaluator_RetractedFailures checks that failures which the version did not
// cause lead to no fault once they are taken back, and that others still do.
func TestEvaluator_RetractedFailures(t *testing.T) {
	j := NewEvaluator(testOrder, testBegan)
	for range 100 {
		j.Observe(Sample{Route: "a", First: 50 * time.Millisecond})
	}
	for range 20 {
		j.Observe(Sample{Target: true, Route: "a", First: 50 * time.Millisecond})
	}
	failed := Sample{Target: true, Route: "a", Failed: true}
	for range 10 {
		j.Observe(failed)
	}
	must.NotEq(t, "", j.fault)
	for range 10 {
		j.Retract(failed)
	}
	must.Eq(t, "", j.fault)
	must.Eq(t, canaryShare, j.Share(testBegan))
	for range 10 {
		j.Observe(failed)
	}
	j.Retract(failed)
	must.NotEq(t, "", j.fault)
}

// replayTimes runs a rollout whose routes have objectives, and on which the former version answers
// after 3 ms on average and the target by a factor later. It returns the rollout's final state.
func replayTimes(seed int64, objectives map[ident.RouteName]time.Duration, factors map[ident.RouteName]float64) rollout.State {
	rng := rand.New(rand.NewSource(seed))
	e := NewEvaluator(testOrder, testBegan)
	for at := time.Duration(0); ; at += 16 * time.Millisecond {
		now := testBegan.Add(at)
		route := ident.RouteName([]string{"a", "b"}[rng.Intn(2)])
		first := 3 * math.Exp(0.3*rng.NormFloat64())
		toTarget := rng.Float64() < e.Share(now)
		if toTarget {
			first *= factors[route]
		}
		// Some requests are sent late.
		objective := time.Duration(float64(objectives[route]) * (1 - 1.2*max(0, rng.Float64()-0.5)))
		e.Observe(Sample{Target: toTarget, Route: route, Objective: objective, First: time.Duration(first * float64(time.Millisecond))})
		if state, _ := e.Verdict(now, 0); state.Final() {
			return state
		}
	}
}

// TestEvaluator_UnnoticedDifferences guards against a good version that is rolled back because it
// takes some milliseconds more, an eighth of the routes' objectives at most; and against a version that
// is slower than that on one route, or on one without an objective, and completes.
func TestEvaluator_UnnoticedDifferences(t *testing.T) {
	const tight, usual = 20 * time.Millisecond, 100 * time.Millisecond
	for name, c := range map[string]struct {
		objectives map[ident.RouteName]time.Duration
		factors    map[ident.RouteName]float64
		want       rollout.State
	}{
		"twice as long":                  {map[ident.RouteName]time.Duration{"a": usual, "b": usual}, map[ident.RouteName]float64{"a": 2, "b": 2}, rollout.StateCompleted},
		"2.5 times as long":              {map[ident.RouteName]time.Duration{"a": usual, "b": usual}, map[ident.RouteName]float64{"a": 2.5, "b": 2.5}, rollout.StateCompleted},
		"eight times as long":            {map[ident.RouteName]time.Duration{"a": usual, "b": usual}, map[ident.RouteName]float64{"a": 8, "b": 8}, rollout.StateRolledBack},
		"eight times as long on a route": {map[ident.RouteName]time.Duration{"a": usual, "b": usual}, map[ident.RouteName]float64{"a": 1, "b": 8}, rollout.StateRolledBack},
		"a tight route":                  {map[ident.RouteName]time.Duration{"a": usual, "b": tight}, map[ident.RouteName]float64{"a": 1, "b": 3}, rollout.StateRolledBack},
		"a route without an objective":   {map[ident.RouteName]time.Duration{"a": usual}, map[ident.RouteName]float64{"a": 1, "b": 3}, rollout.StateRolledBack},
		"no objectives":                  {nil, map[ident.RouteName]float64{"a": 3, "b": 3}, rollout.StateRolledBack},
	} {
		for seed := range int64(50) {
			must.Eq(t, c.want, replayTimes(seed, c.objectives, c.factors), must.Sprintf("%s, seed %d", name, seed))
		}
	}
}
