package scheduler

import (
	"fmt"
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const testWindow = 8 * time.Second

var quotaStart = time.Unix(5000, 0)

// quotasWithKnownUsage returns quotas of 8000 tokens a window for gateways whose
// usage is completely known.
func quotasWithKnownUsage(gateways ...ident.NodeID) *Quotas {
	q := NewQuotas()
	q.SetLimits([]QuotaLimit{{Team: "a", Tokens: 8000, Window: testWindow}})
	for _, g := range gateways {
		q.Register("p", g, nil, testWindow, quotaStart)
	}
	return q
}

// TestQuotas_WindowLimitHolds replays a team that asks for many times its quota,
// with requests that wait and some that never run. No window may hold more than
// the limit.
func TestQuotas_WindowLimitHolds(t *testing.T) {
	q := quotasWithKnownUsage("g1", "g2")
	type sent struct {
		at     time.Time
		tokens float64
	}
	var all []sent
	for i := range 4000 {
		now := quotaStart.Add(time.Duration(i) * 10 * time.Millisecond)
		tokens := float64(20 + i%7*10)
		if ok, _ := q.Admit("a", tokens, 1, 1, now); !ok {
			continue
		}
		q.Release("a", tokens)
		if i%3 == 0 {
			continue
		}
		later := now.Add(time.Duration(i%5) * 2 * time.Millisecond)
		q.Spend("a", ident.NodeID([]string{"g1", "g2"}[i%2]), tokens, later)
		all = append(all, sent{later, tokens})
	}
	most := 0.0
	for i := range all {
		sum := 0.0
		for _, s := range all[i:] {
			if s.at.Sub(all[i].at) >= testWindow-testWindow/quotaSteps {
				break
			}
			sum += s.tokens
		}
		most = max(most, sum)
	}
	must.LessEq(t, 8000.0, most)
	must.Greater(t, 7000.0, most)
}

// steppedTime returns a reading of the same moment by a wall clock that is some whole seconds ahead.
// The monotonic reading is the same. It changes the seconds in the first word of time.Time, where
// they stand above 30 bits of nanoseconds.
func steppedTime(t *testing.T, moment time.Time, ahead int64) time.Time {
	stepped := moment
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(ahead) << 30
	must.Zero(t, stepped.Sub(moment))
	must.Eq(t, ahead, stepped.Unix()-moment.Unix())
	return stepped
}

// TestQuotas_StepsOfTheWallClock guards against a team that gets more than its limit while the wall
// clock is set ahead and back, and one that gets less: schedulers read the time from their start
// on, other callers the wall clock.
func TestQuotas_StepsOfTheWallClock(t *testing.T) {
	began := time.Now()
	q := NewQuotas()
	q.SetLimits([]QuotaLimit{{Team: "a", Tokens: 8000, Window: testWindow}})
	q.Register("p", "g1", nil, testWindow, began)
	var spent [400]float64 // by 100 ms
	for i := range 4000 {
		now := began.Add(time.Duration(i) * 10 * time.Millisecond)
		if wall := steppedTime(t, now, int64(3*(i/300%2))); i%10 == 0 {
			q.Hot(wall)
			q.Use(wall)
		}
		if ok, _ := q.Admit("a", 50, 1, 1, now); ok {
			q.Release("a", 50)
			q.Spend("a", "g1", 50, now)
			spent[i/10] += 50
		}
	}
	const steps = int((testWindow - testWindow/quotaSteps) / (100 * time.Millisecond))
	for from := range len(spent) - steps {
		sum := 0.0
		for _, tokens := range spent[from : from+steps] {
			sum += tokens
		}
		must.LessEq(t, 8000.0, sum, must.Sprint(from))
		if from > 10*int(testWindow/time.Second) {
			must.Greater(t, 0.75*8000, sum, must.Sprint(from))
		}
	}
}

// TestQuotas_RefusedRequestsLeaveNoDebt checks that the tokens of a waiting
// request are free again as soon as it leaves, and only once, also after other
// requests were refused.
func TestQuotas_RefusedRequestsLeaveNoDebt(t *testing.T) {
	q := quotasWithKnownUsage("g1")
	ok, _ := q.Admit("a", 8000, 1, 1, quotaStart)
	must.True(t, ok)
	ok, wait := q.Admit("a", 100, 1, 1, quotaStart)
	must.False(t, ok)
	must.Positive(t, wait)
	q.Release("a", 8000)
	ok, _ = q.Admit("a", 8000, 1, 1, quotaStart.Add(time.Second))
	must.True(t, ok)
	ok, _ = q.Admit("a", 100, 1, 1, quotaStart.Add(time.Second))
	must.False(t, ok)
}

// TestQuotas_TakeoverKeepsUsage checks that the next scheduler learns a team's
// usage from the gateway's own count.
func TestQuotas_TakeoverKeepsUsage(t *testing.T) {
	log := NewUsageLog(quotaStart.Add(-time.Minute))
	log.Record("a", 7000, quotaStart)
	next := NewQuotas()
	next.SetLimits([]QuotaLimit{{Team: "a", Tokens: 8000, Window: testWindow}})
	now := quotaStart.Add(2 * time.Second)
	sent, uptime := log.Recent(now)
	next.Register("p", "g1", sent, uptime, now)
	ok, _ := next.Admit("a", 1500, 1, 1, now)
	must.False(t, ok)
	ok, _ = next.Admit("a", 900, 1, 1, now)
	must.True(t, ok)
}

// TestQuotas_AllGatewaysRestart loses all counts at once. A team that was not
// near its quota must go on at its usual load, in whatever order the gateways
// register. A team that was near it gets only what may be left of its window.
func TestQuotas_AllGatewaysRestart(t *testing.T) {
	q := NewQuotas()
	limits := []QuotaLimit{{Team: "usual", Tokens: 8000, Window: testWindow}, {Team: "hot", Tokens: 8000, Window: testWindow}}
	q.SetLimits(limits)
	q.SetHot([]ident.TeamName{"hot"})
	for _, g := range []ident.NodeID{"g1", "g2", "g3"} {
		q.Register("p", g, nil, 500*time.Millisecond, quotaStart)
	}
	for i := range 20 {
		now := quotaStart.Add(time.Duration(i) * 100 * time.Millisecond)
		ok, _ := q.Admit("usual", 50, 1, 0, now)
		must.True(t, ok, must.Sprintf("request %d refused", i))
		q.Release("usual", 50)
		q.Spend("usual", "g1", 50, now)
	}
	ok, _ := q.Admit("hot", 1500, 1, 0, quotaStart)
	must.False(t, ok)
}

// TestQuotas_GatewayCountedByTwoSchedulers cuts one of six gateways off from its
// scheduler, which cannot notice that yet, so that two schedulers count the
// gateway. A team near its quota must not get room from both.
func TestQuotas_GatewayCountedByTwoSchedulers(t *testing.T) {
	quotas := NewQuotas()
	quotas.SetLimits([]QuotaLimit{{Team: "a", Tokens: 8000, Window: testWindow}})
	quotas.SetHot([]ident.TeamName{"a"})
	const fraction = 1.0 / 6
	log := NewUsageLog(quotaStart.Add(-time.Minute))
	log.Record("a", 300, quotaStart)
	now := quotaStart.Add(2 * time.Second)
	sent, uptime := log.Recent(now)
	quotas.Register("p", "g6", sent, uptime, now)
	ok, _ := quotas.Admit("a", 500, fraction, 1, now.Add(time.Second))
	must.False(t, ok)
	ok, _ = quotas.Admit("a", 500, fraction, 1, now.Add(registrationOverlap))
	must.True(t, ok)
	// A scheduler that serves all gateways shares the quota with no other.
	ok, _ = quotas.Admit("a", 500, 1, 1, now.Add(time.Second))
	must.True(t, ok)
}

// TestQuotas_OnePoolLosesAGateway replays reset connections: one pool's scheduler
// loses a gateway that another pool's scheduler still serves, while the team has
// used up its quota. What the gateway used must not become free.
func TestQuotas_OnePoolLosesAGateway(t *testing.T) {
	q := quotasWithKnownUsage("g1", "g2")
	q.Register("services", "g2", nil, testWindow, quotaStart)
	q.Spend("a", "g1", 4000, quotaStart)
	q.Spend("a", "g2", 4000, quotaStart)
	now := quotaStart.Add(100 * time.Millisecond)
	q.Depart("services", "g2", now)
	ok, _ := q.Admit("a", 100, 1, 1, now)
	must.False(t, ok)
	q.Depart("p", "g2", now)
	ok, _ = q.Admit("a", 100, 1, 1, now)
	must.False(t, ok, must.Sprint("usage of a departed gateway must stay counted"))
	ok, _ = q.Admit("a", 100, 1, 1, quotaStart.Add(testWindow))
	must.True(t, ok, must.Sprint("usage must no longer count after the window"))
}

// TestQuotas_GatewayRestarts kills a gateway that has sent much of a team's
// quota. Its next incarnation does not know that, but the scheduler still does.
func TestQuotas_GatewayRestarts(t *testing.T) {
	q := quotasWithKnownUsage("g1", "g2")
	q.SetHot([]ident.TeamName{"a"})
	q.Spend("a", "g2", 5000, quotaStart)
	q.Depart("p", "g2", quotaStart.Add(100*time.Millisecond))
	now := quotaStart.Add(200 * time.Millisecond)
	q.Register("p", "g2", nil, 50*time.Millisecond, now)
	ok, _ := q.Admit("a", 3100, 1, 1, now)
	must.False(t, ok)
	// Only the 50 ms between the departure and the start of the new count are
	// unknown.
	ok, _ = q.Admit("a", 2900, 1, 1, now)
	must.True(t, ok)
}

// TestQuotas_CutOffGatewaysKeepTheirFraction cuts two of four gateways off from
// the leader and from the scheduler. They go on serving with their fractions for
// CutOffGrace, so the others may use no more than their own until then.
func TestQuotas_CutOffGatewaysKeepTheirFraction(t *testing.T) {
	v := sharedView(20)
	v.Shared.CutOffGrace = 5 * time.Second
	v.Shared.Quotas.SetLimits([]QuotaLimit{{Team: "a", Tokens: 8000, Window: testWindow}})
	p := New(0, v, 0)
	p.SetOrigin(quotaStart)
	for _, g := range v.Gateways {
		p.Register(Registration{Gateway: g, Incarnation: 1, Uptime: testWindow}, 0)
	}
	p.Depart("g3", time.Second)
	p.Depart("g4", time.Second)
	v.Gateways = v.Gateways[:2]
	p.SetView(v, time.Second)
	use := func(from int, at time.Duration) (tokens float64) {
		for i := range 20 {
			ticket := sharedTicket(from+i, "high")
			ticket.Cost = 500
			p.Submit(ticket, at)
		}
		return float64(len(grants(p.Decisions()))) * 500
	}
	must.Eq(t, 4000, use(0, 2*time.Second))
	must.Eq(t, 0, use(100, 6*time.Second-time.Millisecond))
	must.Eq(t, 4000, use(200, 6*time.Second))
}

// TestQuotas_SplitByGateways checks that a scheduler with half of the gateways
// admits half of the quota.
func TestQuotas_SplitByGateways(t *testing.T) {
	q := quotasWithKnownUsage("g1")
	ok, _ := q.Admit("a", 3900, 0.5, 1, quotaStart)
	must.True(t, ok)
	ok, _ = q.Admit("a", 200, 0.5, 1, quotaStart)
	must.False(t, ok)
}

// TestQuotas_RetriesAreSpreadOut checks that refused requests get increasing
// retry times.
func TestQuotas_RetriesAreSpreadOut(t *testing.T) {
	q := quotasWithKnownUsage("g1")
	ok, _ := q.Admit("a", 8000, 1, 1, quotaStart)
	must.True(t, ok)
	last := time.Duration(0)
	for range 5 {
		_, wait := q.Admit("a", 1000, 1, 1, quotaStart)
		must.Greater(t, last, wait)
		last = wait
	}
}

// TestQuotas_EndOfQuotaKeptForUrgent checks that the end of a quota is reserved
// for a team's more urgent requests.
func TestQuotas_EndOfQuotaKeptForUrgent(t *testing.T) {
	q := quotasWithKnownUsage("g1")
	q.Spend("a", "g1", 7300, quotaStart)
	ok, _ := q.Admit("a", 100, 1, 0, quotaStart)
	must.False(t, ok)
	ok, _ = q.Admit("a", 100, 1, 1, quotaStart)
	must.True(t, ok)
}

// TestQuotas_TakeoverLeavesNoGap moves a team's usage to the next scheduler at
// various moments of a step. The move must not let usage leave the window early.
func TestQuotas_TakeoverLeavesNoGap(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 10 * time.Millisecond {
		log := NewUsageLog(quotaStart.Add(-time.Minute))
		spent := quotaStart.Add(offset)
		log.Record("a", 7000, spent)
		next := quotasWithKnownUsage()
		moved := spent.Add(20 * time.Millisecond)
		sent, uptime := log.Recent(moved)
		next.Register("p", "g1", sent, uptime, moved)
		ok, _ := next.Admit("a", 1500, 1, 1, spent.Add(testWindow-testWindow/quotaSteps-time.Millisecond))
		must.False(t, ok, must.Sprintf("usage at offset %s", offset))
	}
}

// TestUsageLog_ForgetsOldSteps advances the log over a pause longer than it
// keeps.
func TestUsageLog_ForgetsOldSteps(t *testing.T) {
	log := NewUsageLog(quotaStart)
	log.Record("a", 10, quotaStart)
	log.Record("a", 5, quotaStart.Add(3*usageStep))
	sent, _ := log.Recent(quotaStart.Add(4 * usageStep))
	must.Eq(t, []float64{0, 5, 0, 0, 10}, sent[0].Recent)
	sent, _ = log.Recent(quotaStart.Add(time.Minute))
	for _, tokens := range sent[0].Recent {
		must.Eq(t, 0.0, tokens)
	}
}

// TestQuotas_PacedAtTheRate replays a team that asks for six times its quota for
// 12 s. Without pacing, a window's tokens were used up within 2 s and little was
// left until they returned. Each second must allow the team's rate.
func TestQuotas_PacedAtTheRate(t *testing.T) {
	const perSecond, burst = 1000.0, 1500.0
	limit := perSecond*testWindow.Seconds() + burst
	q := NewQuotas()
	q.SetLimits([]QuotaLimit{{Team: "a", Tokens: limit, Window: testWindow, PerSecond: perSecond, AtOnce: burst}})
	q.Register("p", "g1", nil, testWindow, quotaStart)
	steps := make([]float64, 1200) // of 10 ms each
	for i := range steps {
		now := quotaStart.Add(time.Duration(i) * 10 * time.Millisecond)
		for range 3 {
			if ok, wait := q.Admit("a", 20, 1, 1, now); ok {
				q.Release("a", 20)
				q.Spend("a", "g1", 20, now)
				steps[i] += 20
			} else {
				must.Positive(t, wait)
			}
		}
	}
	for second := range 12 {
		sum := 0.0
		for _, tokens := range steps[second*100 : second*100+100] {
			sum += tokens
		}
		must.GreaterEq(t, 0.9*perSecond, sum, must.Sprintf("second %d", second))
	}
	for from := range len(steps) - 800 {
		sum := 0.0
		for _, tokens := range steps[from : from+790] {
			sum += tokens
		}
		must.LessEq(t, limit, sum, must.Sprintf("window from step %d", from))
	}
}

// TestQuotas_PacedInEachShard lets one of four schedulers serve a team that sends many times
// its quota in less urgent requests and 0.8 of a quarter of it in urgent ones. No urgent one
// is refused at any time, and no more than a quarter of the burst passes at once. A request
// larger than that passes when nothing was sent before it.
func TestQuotas_PacedInEachShard(t *testing.T) {
	const perSecond, burst, shards = 4000.0, 6000.0, 4
	limit := perSecond*testWindow.Seconds() + burst
	q := NewQuotas()
	q.SetLimits([]QuotaLimit{{Team: "a", Tokens: limit, Window: testWindow, PerSecond: perSecond, AtOnce: burst}})
	q.Register("p", "g1", nil, testWindow, quotaStart)
	send := func(tokens, urgency float64, now time.Time) bool {
		ok, _ := q.Admit("a", tokens, 1.0/shards, urgency, now)
		if ok {
			q.Release("a", tokens)
			q.Spend("a", "g1", tokens, now)
		}
		return ok
	}
	must.True(t, send(1.2*burst/shards, 1, quotaStart))
	sent := 0.0
	for i := range 3000 {
		now := quotaStart.Add(testWindow + time.Duration(i)*10*time.Millisecond)
		for range 20 {
			if send(20, 0, now) {
				sent += 20
			}
		}
		if i%5 == 0 {
			must.True(t, send(40, 1, now), must.Sprintf("after %v", now.Sub(quotaStart)))
			sent += 40
		}
		if i == 0 {
			must.LessEq(t, burst/shards, sent)
		}
	}
}

// TestQuotas_NoBurstConfigured checks that a team whose quota allows no burst may
// still use some tokens at once, since requests arrive one by one, and that its
// window still does not hold too much.
func TestQuotas_NoBurstConfigured(t *testing.T) {
	q := NewQuotas()
	q.SetLimits([]QuotaLimit{{Team: "a", Tokens: 8000, Window: testWindow, PerSecond: 1000}})
	q.Register("p", "g1", nil, testWindow, quotaStart)
	ok, _ := q.Admit("a", 1500, 1, 1, quotaStart)
	must.True(t, ok)
	ok, wait := q.Admit("a", 500, 1, 1, quotaStart)
	must.False(t, ok)
	// 2,000 tokens at 1,000 per second, minus the few that may be used at once.
	must.Between(t, time.Second, wait, 2*time.Second)
}

// TestQuotas_FullBurstAvailableAtOnce checks that a team may use all of its burst
// at once, however large it is relative to the rate.
func TestQuotas_FullBurstAvailableAtOnce(t *testing.T) {
	q := NewQuotas()
	q.SetLimits([]QuotaLimit{{Team: "a", Tokens: 12000, Window: testWindow, PerSecond: 1000, AtOnce: 4000}})
	q.Register("p", "g1", nil, testWindow, quotaStart)
	for i := range 40 {
		ok, _ := q.Admit("a", 100, 1, 1, quotaStart)
		must.True(t, ok, must.Sprint(i))
	}
	ok, _ := q.Admit("a", 100, 1, 1, quotaStart)
	must.False(t, ok)
}

// TestQuotas_BurstReservedForUrgent checks that half of the burst is reserved for
// a team's more urgent requests.
func TestQuotas_BurstReservedForUrgent(t *testing.T) {
	q := NewQuotas()
	q.SetLimits([]QuotaLimit{{Team: "a", Tokens: 10000, Window: testWindow, PerSecond: 1000, AtOnce: 2000}})
	q.Register("p", "g1", nil, testWindow, quotaStart)
	q.Spend("a", "g1", 950, quotaStart)
	ok, _ := q.Admit("a", 100, 1, 0, quotaStart)
	must.False(t, ok)
	ok, _ = q.Admit("a", 100, 1, 1, quotaStart)
	must.True(t, ok)
}

// TestQuotas_HotAtOneOfSeveralSchedulers checks that a scheduler which serves a quarter of
// the gateways reports a team that has used most of a quarter of its quota there.
func TestQuotas_HotAtOneOfSeveralSchedulers(t *testing.T) {
	for _, fraction := range []float64{1, 0.25} {
		q := quotasWithKnownUsage("g1")
		now := quotaStart
		for range 40 {
			if ok, _ := q.Admit("a", 100*fraction, fraction, 1, now); ok {
				q.Release("a", 100*fraction)
				q.Spend("a", "g1", 100*fraction, now)
			}
			now = now.Add(50 * time.Millisecond)
		}
		must.SliceEmpty(t, q.Hot(now))
		for range 20 {
			q.Spend("a", "g1", 100*fraction, now)
		}
		must.Eq(t, []ident.TeamName{"a"}, q.Hot(now), must.Sprint(fraction))
	}
}

// TestQuotas_FewGatewaysRegisterAgain lets a few of a shard's 73 gateways register anew, as
// they do while machines are restarted one after the other: a team near its quota loses
// their part of it for a moment, not all that is left.
func TestQuotas_FewGatewaysRegisterAgain(t *testing.T) {
	quotas := NewQuotas()
	quotas.SetLimits([]QuotaLimit{{Team: "a", Tokens: 8000, Window: testWindow}})
	quotas.SetHot([]ident.TeamName{"a"})
	register := func(i int, now time.Time) {
		quotas.Register("p", ident.NodeID(fmt.Sprint("g", i)), nil, time.Minute, now)
	}
	for i := range 73 {
		register(i, quotaStart)
	}
	now := quotaStart.Add(10 * time.Second)
	const fraction = 0.25
	granted := 0.0
	for i := range 20 {
		quotas.Depart("p", ident.NodeID(fmt.Sprint("g", i%3)), now)
		register(i%3, now)
		if ok, _ := quotas.Admit("a", 90, fraction, 1, now); ok {
			quotas.Release("a", 90)
			quotas.Spend("a", "g70", 90, now)
			granted += 90
		}
		now = now.Add(50 * time.Millisecond)
	}
	must.Greater(t, 0.85*8000*fraction, granted)
	must.LessEq(t, 8000*fraction*70/73, granted)
}
