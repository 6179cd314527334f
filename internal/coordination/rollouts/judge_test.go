package rollouts

import (
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

// version is how the servers of one version behave at a moment of the rollout.
type version func(route ident.RouteName, at time.Duration, rng *rand.Rand) (failed bool, first time.Duration)

func sound(failure float64) version {
	return func(_ ident.RouteName, _ time.Duration, rng *rand.Rand) (bool, time.Duration) {
		return rng.Float64() < failure, time.Duration(40+rng.ExpFloat64()*30) * time.Millisecond
	}
}

// replay sends 60 requests a second on two routes through a rollout and returns
// its end, when it came, and the requests that the target got.
func replay(seed int64, target version) (state rollout.State, at time.Duration, got, all int) {
	rng := rand.New(rand.NewSource(seed))
	j := NewJudge(testOrder, testBegan)
	former := sound(0.01)
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

func TestJudge_GoodVersionCompletes(t *testing.T) {
	for seed := range int64(50) {
		state, at, _, _ := replay(seed, sound(0.01))
		must.Eq(t, rollout.StateCompleted, state, must.Sprintf("seed %d", seed))
		must.Less(t, testOrder.Duration, at)
	}
}

// TestJudge_BadVersionsAreRolledBack replays versions that fail or slow down, at
// once, later, or on one route. Those that are bad from the start stay within a
// tenth of all requests and 50.
func TestJudge_BadVersionsAreRolledBack(t *testing.T) {
	slow := func(route ident.RouteName, at time.Duration, rng *rand.Rand) (bool, time.Duration) {
		_, first := sound(0)(route, at, rng)
		return false, 3 * first
	}
	oneRoute := func(route ident.RouteName, at time.Duration, rng *rand.Rand) (bool, time.Duration) {
		if route == "b" {
			return sound(0.6)(route, at, rng)
		}
		return sound(0.01)(route, at, rng)
	}
	later := func(route ident.RouteName, at time.Duration, rng *rand.Rand) (bool, time.Duration) {
		if at > 7*time.Second {
			return sound(0.5)(route, at, rng)
		}
		return sound(0.01)(route, at, rng)
	}
	for name, target := range map[string]version{"fails": sound(0.4), "slow": slow, "one route": oneRoute, "later": later} {
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

// TestJudge_NoEvidence rolls back a target whose servers never came.
func TestJudge_NoEvidence(t *testing.T) {
	j := NewJudge(testOrder, testBegan)
	state, _ := j.Verdict(testBegan.Add(testOrder.Duration*97/100), 0)
	must.Eq(t, rollout.StateRolledBack, state)
}

// TestJudge_WaitsForFormerRuns completes only once nothing runs on the former
// versions, or at the deadline: they are stopped at once then.
func TestJudge_WaitsForFormerRuns(t *testing.T) {
	j := NewJudge(testOrder, testBegan)
	for range 100 {
		j.Observe(Sample{Target: true, Route: "a", First: time.Millisecond})
	}
	at := testBegan.Add(testOrder.Duration * 85 / 100)
	state, _ := j.Verdict(at, 3)
	must.Eq(t, rollout.StateRunning, state)
	state, _ = j.Verdict(at, 0)
	must.Eq(t, rollout.StateCompleted, state)
}
