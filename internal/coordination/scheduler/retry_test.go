package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// retryView returns a view of gateways g1 to g4 with a burst of 20 retries in 10 s, and no
// more for requests.
func retryView() View {
	v := sharedView(4)
	v.Shared.RetryRatio, v.Shared.FirstStart = 0, true
	return v
}

// knownRetries returns the log of a gateway that has run for a minute and sent retries in the
// current step.
func knownRetries(sent int) *RetryUsage {
	return &RetryUsage{Known: time.Minute, Steps: []RetryStep{{Retries: sent}}}
}

func retryBudgetOf(now time.Duration, retries map[ident.NodeID]*RetryUsage) *retryBudget {
	b := newRetryBudget(0)
	b.configure(retryView(), 0)
	for _, id := range []ident.NodeID{"g1", "g2", "g3", "g4"} {
		if usage, registers := retries[id]; registers {
			b.register(id, false, usage, now)
		}
	}
	return &b
}

// TestRetryBudget_SuccessorCounts guards against a successor that forgets what was sent before,
// or takes for unused what a gateway that it does not know may have used.
func TestRetryBudget_SuccessorCounts(t *testing.T) {
	for _, c := range []struct {
		name  string
		sent  map[ident.NodeID]*RetryUsage
		left  float64
		after float64
	}{
		{"all known", map[ident.NodeID]*RetryUsage{"g1": knownRetries(3), "g2": knownRetries(4), "g3": knownRetries(0), "g4": knownRetries(0)}, 13, 20},
		{"one missing", map[ident.NodeID]*RetryUsage{"g1": knownRetries(3), "g2": knownRetries(0), "g3": knownRetries(0)}, 15 - 5 - 3, 15},
		{"two missing", map[ident.NodeID]*RetryUsage{"g1": knownRetries(0), "g2": knownRetries(0)}, 0, 10},
		{"by itself", map[ident.NodeID]*RetryUsage{"g1": knownRetries(0)}, 0, 5},
		{"a log lost", map[ident.NodeID]*RetryUsage{"g1": {Known: time.Second}, "g2": knownRetries(0), "g3": knownRetries(0), "g4": knownRetries(0)}, 20 - 10, 20},
		{"an older build", map[ident.NodeID]*RetryUsage{"g1": nil, "g2": knownRetries(0), "g3": knownRetries(0), "g4": knownRetries(0)}, 20 - 10, 20},
	} {
		b := retryBudgetOf(time.Minute, c.sent)
		must.Eq(t, c.left, b.account(time.Minute).left, must.Sprint(c.name))
		must.Eq(t, c.after, b.account(time.Minute+11*time.Second+b.step).left, must.Sprint(c.name))
	}
}

// TestRetryBudget_LeaverTakesAlong guards against a budget that is whole again because the
// gateway that used it has left.
func TestRetryBudget_LeaverTakesAlong(t *testing.T) {
	all := map[ident.NodeID]*RetryUsage{"g1": knownRetries(9), "g2": knownRetries(0), "g3": knownRetries(0), "g4": knownRetries(0)}
	b := retryBudgetOf(time.Minute, all)
	b.depart("g1", time.Minute)
	// g1 has used its share of 5 and 4 of the shares of others. Their shares are new here, so
	// that 5 more are withheld.
	must.Eq(t, 15-4-5, b.account(time.Minute).left)
	must.Eq(t, 15, b.account(time.Minute+11*time.Second+b.step).left)
	// Elsewhere its own share is withheld, too.
	other := retryBudgetOf(time.Minute, map[ident.NodeID]*RetryUsage{"g1": knownRetries(9)})
	must.Eq(t, -9, other.account(time.Minute).left)
}

// TestRetryBudget_OneGatewayUsesTwoShares guards against a gateway that takes the whole burst
// and is lost together with its log.
func TestRetryBudget_OneGatewayUsesTwoShares(t *testing.T) {
	b := retryBudgetOf(time.Minute, map[ident.NodeID]*RetryUsage{"g1": knownRetries(0), "g2": knownRetries(0), "g3": knownRetries(0), "g4": knownRetries(0)})
	for range 10 {
		_, ok := b.reserve("g1", time.Minute)
		must.True(t, ok)
		b.countRetry("g1", time.Minute)
	}
	_, ok := b.reserve("g1", time.Minute)
	must.False(t, ok)
	_, ok = b.reserve("g2", time.Minute)
	must.True(t, ok)
	b.register("g2", true, &RetryUsage{Known: time.Second}, time.Minute)
	_, ok = b.reserve("g2", time.Minute)
	must.False(t, ok)
}

// TestRetryLog_CountsByStep guards against a log that loses what was sent within the window, or
// keeps it for ever.
func TestRetryLog_CountsByStep(t *testing.T) {
	l := NewRetryLog(false, quotaStart)
	for i := range 400 {
		l.Record(i%4 == 0, quotaStart.Add(time.Duration(i)*100*time.Millisecond))
	}
	now := quotaStart.Add(40 * time.Second)
	b := retryBudgetOf(time.Minute, map[ident.NodeID]*RetryUsage{"g1": l.Usage(2, now)})
	b.account(time.Minute)
	must.Between(t, 27+2, b.gateways["g1"].retriesSum, 29+2)
	must.Between(t, 72, b.gateways["g1"].firstsSum, 75)
	must.Between(t, 80, len(l.steps), 82)
}

// TestRetryBudget_AccountFollowsChanges guards against an account that keeps what was counted
// before a change. It compares the account with one that is counted anew, in random plays of
// registrations, departures, views, requests and retries.
func TestRetryBudget_AccountFollowsChanges(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		b := newRetryBudget(0)
		ids := []ident.NodeID{"g1", "g2", "g3", "g4", "g5"}
		subset := func() (some []ident.NodeID) {
			for _, id := range ids {
				if random.IntN(3) > 0 {
					some = append(some, id)
				}
			}
			return some
		}
		now, latest := time.Duration(0), int64(0)
		for range 400 {
			now += time.Duration(random.IntN(1000)) * time.Millisecond / time.Duration(1+random.IntN(40))
			id := ids[random.IntN(len(ids))]
			switch random.IntN(24) {
			case 0:
				v := retryView()
				v.Gateways, v.Shared.Neighbours, v.Shared.FirstStart = subset(), subset(), false
				v.Shared.RetryRatio, v.Shared.CutOffGrace = 0.1, time.Duration(random.IntN(20))*time.Second
				v.Shared.RetryWindow = []time.Duration{0, 10 * time.Second, 3 * time.Second}[random.IntN(3)]
				b.configure(v, now)
			case 1:
				b.depart(id, now)
			case 2, 3:
				usage := &RetryUsage{Known: time.Duration(random.IntN(20)) * time.Second, Steps: []RetryStep{{Age: time.Duration(random.IntN(9)) * time.Second, Firsts: random.IntN(9), Retries: random.IntN(4)}}}
				b.register(id, random.IntN(4) == 0, usage, now)
			case 4, 5, 6, 7, 8:
				b.reserve(id, now)
			case 9, 10:
				b.release(id)
			case 11, 12:
				latest = b.countRetry(id, now)
			case 13:
				b.uncount(id, latest, random.IntN(2), random.IntN(2))
			case 14:
				b.hold(b.gateway(id, now), 1)
			case 15:
				now += time.Duration(random.IntN(8)) * time.Second
			default:
				latest = b.countFirst(id, now)
			}
			kept := b.account(now)
			b.counts.valid = false
			anew := b.account(now)
			// Gateways are added up in any order.
			must.InDelta(t, anew.withheld, kept.withheld, 1e-9, must.Sprintf("seed %d at %s", seed, now))
			must.InDelta(t, anew.left, kept.left, 1e-9, must.Sprintf("seed %d at %s", seed, now))
			kept.withheld, kept.left = anew.withheld, anew.left
			must.True(t, anew == kept, must.Sprintf("seed %d at %s", seed, now))
		}
	}
}

// BenchmarkRetryBudget measures a request and a retry that is reserved and released again.
func BenchmarkRetryBudget(b *testing.B) {
	for _, gateways := range []int{6, 66, 288} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			v := retryView()
			v.Gateways, v.Shared.RetryBurst = nil, 1e9
			for i := range gateways {
				v.Gateways = append(v.Gateways, ident.NodeID(fmt.Sprintf("g%d", i)))
			}
			budget := newRetryBudget(0)
			budget.configure(v, 0)
			for _, id := range v.Gateways {
				budget.register(id, false, knownRetries(0), 0)
			}
			now := 20 * time.Second
			for i := 0; b.Loop(); i++ {
				now += benchInterval
				id := v.Gateways[i%gateways]
				budget.countFirst(id, now)
				budget.reserve(id, now)
				budget.release(id)
			}
		})
	}
}
