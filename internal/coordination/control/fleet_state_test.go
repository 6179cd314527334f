package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// largeFleet returns a leader's state of 300 nodes and 3,000 upstreams.
func largeFleet(t testing.TB) (*fleet, []Discovered) {
	t.Helper()
	f := newFleet()
	now := time.Now()
	f.beginTerm(1, FleetState{}, now)
	for i := range 300 {
		f.startSync(Member{ID: ident.NodeID(fmt.Sprintf("10.0.%d.%d:7600", i/250, i%250)), Incarnation: 1}, now)
	}
	found := make([]Discovered, 3000)
	for i := range found {
		found[i] = discovered(fmt.Sprintf("i-%04d", i), false)
	}
	(&Service{fleet: f}).SetUpstreams(found, true)
	return f, found
}

// TestFleet_UpdateHoldsOnlyChanges guards against a fault seen while growing to
// 300 nodes: each change was answered with all members and upstreams, at every
// node.
func TestFleet_UpdateHoldsOnlyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, found := largeFleet(t)
		time.Sleep(time.Second)
		node := fullState(t, f)

		found[7].Leaving = true
		(&Service{fleet: f}).SetUpstreams(found[:2999], true)
		f.startSync(Member{ID: "joins:7600", Incarnation: 1}, time.Now())
		time.Sleep(time.Second)
		update := updateFor(t, f, node.Version)
		must.Eq(t, []Discovered{found[7]}, update.Upstreams)
		must.Eq(t, []ident.UpstreamName{"i-2999"}, update.UpstreamsGone)
		must.Len(t, 1, update.Members)

		must.True(t, applyUpdate(t, f, &node))
		must.Eq(t, fullState(t, f), node)
		must.Len(t, 2999, node.Upstreams)
	})
}

// TestFleet_NewLeaderSendsOnlyDifferences checks that nodes at the version that
// the new leader started from do not get a full update.
func TestFleet_NewLeaderSendsOnlyDifferences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, found := largeFleet(t)
		time.Sleep(time.Second)
		node, behind := fullState(t, f), FleetState{Version: FleetVersion{Term: 1, Sequence: 3}}

		next := newFleet()
		next.beginTerm(2, node, time.Now())
		found[0].Leaving = true
		(&Service{fleet: next}).SetUpstreams(found, true)
		time.Sleep(time.Second)
		update := updateFor(t, next, node.Version)
		must.Len(t, 1, update.Upstreams)
		must.SliceEmpty(t, update.Members)
		for _, n := range []*FleetState{&node, &behind} {
			must.True(t, applyUpdate(t, next, n))
			must.Eq(t, fullState(t, next), *n)
		}
	})
}

// TestSync_InterruptedCallsTakeNoUpdate lets each of 291 nodes interrupt its sync four times
// a second, as nodes with reports do, while the configuration of the fleet changes: the calls
// that they gave up must not use the rate of updates, so that each node has a change within
// the time of one round.
func TestSync_InterruptedCallsTakeNoUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 291
		service, _ := newLocalService()
		service.EnableFleet(func() FleetState { return FleetState{} })
		service.Tick()
		service.SetUpstreams([]Discovered{discovered("u", false)}, true)
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex
		var changed time.Time
		var slowest time.Duration
		served := 0
		var group sync.WaitGroup
		for i := range nodes {
			group.Go(func() {
				var follower FleetFollower
				for ctx.Err() == nil {
					replied := make(chan SyncReply, 1)
					args := follower.Args(Member{ID: ident.NodeID(fmt.Sprint(i)), Incarnation: 1}, Known{}, MaxSyncHold)
					group.Go(func() {
						var reply SyncReply
						_ = service.Sync(args, &reply)
						replied <- reply
					})
					select {
					case reply := <-replied:
						before := follower.State()
						_, err := follower.HandleReply(time.Second, &reply)
						must.NoError(t, err)
						mu.Lock()
						if after := follower.State(); len(after.Upstreams) == 1 && after.Upstreams[0].Leaving && !(len(before.Upstreams) == 1 && before.Upstreams[0].Leaving) {
							served++
							slowest = max(slowest, time.Since(changed))
						}
						mu.Unlock()
					case <-time.After(250 * time.Millisecond):
					}
				}
			})
		}
		time.Sleep(4 * time.Second)
		mu.Lock()
		changed = time.Now()
		mu.Unlock()
		service.SetUpstreams([]Discovered{discovered("u", true)}, true)
		time.Sleep(4 * time.Second)
		mu.Lock()
		must.Eq(t, nodes, served)
		must.LessEq(t, time.Second, slowest)
		mu.Unlock()
		cancel()
		group.Wait()
	})
}

// TestSync_UpdatesAreRateLimited starts 300 nodes at once and later changes an
// upstream for all of them. The leader's replies with updates must be limited per
// second, so that its consensus gets processor time, and a node that is served
// late must get everything that changed before in one reply.
func TestSync_UpdatesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 300
		service, _ := newLocalService()
		service.EnableFleet(func() FleetState { return FleetState{} })
		service.Tick()
		service.SetUpstreams([]Discovered{discovered("u", false)}, true)
		var mu sync.Mutex
		replies := make(map[time.Duration]int) // number of updates per 100 ms
		latest := make(map[int]FleetState)
		start := time.Now()
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for i := range nodes {
			group.Go(func() {
				var follower FleetFollower
				for ctx.Err() == nil {
					var reply SyncReply
					_ = service.Sync(follower.Args(Member{ID: ident.NodeID(fmt.Sprint(i)), Incarnation: 1}, Known{}, MaxSyncHold), &reply)
					change, err := follower.HandleReply(time.Second, &reply)
					must.NoError(t, err)
					if change.State {
						mu.Lock()
						replies[time.Since(start).Truncate(100*time.Millisecond)]++
						latest[i] = follower.State()
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(4 * time.Second)
		service.SetUpstreams([]Discovered{discovered("u", true)}, true)
		time.Sleep(time.Second)
		mu.Lock()
		for at, count := range replies {
			must.LessEq(t, updatesPerSecond/10+updateBurst, count, must.Sprint(at))
		}
		must.MapLen(t, nodes, latest)
		for i, state := range latest {
			must.Len(t, nodes, state.Members, must.Sprint(i))
			must.True(t, state.Upstreams[0].Leaving, must.Sprint(i))
		}
		mu.Unlock()
		cancel()
		group.Wait()
	})
}

// TestFleet_FullUpdateAfterTooManyRemovals checks that a node gets a full update
// if it is behind by more removals than are kept.
func TestFleet_FullUpdateAfterTooManyRemovals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := largeFleet(t)
		time.Sleep(time.Second)
		node := fullState(t, f)
		s := &Service{fleet: f}
		s.SetUpstreams([]Discovered{discovered("last", false)}, true)
		time.Sleep(time.Second)
		must.MapEmpty(t, f.upstreams.removed)
		must.True(t, updateFor(t, f, node.Version).Full())
		must.True(t, applyUpdate(t, f, &node))
		must.Len(t, 1, node.Upstreams)
	})
}

// TestFleetFollower_RequestsFullUpdateAfterMismatch checks that a node which
// cannot apply an update requests a full one with its next sync.
func TestFleetFollower_RequestsFullUpdateAfterMismatch(t *testing.T) {
	var f FleetFollower
	update := packedUpdateFrom(t, FleetVersion{Term: 1, Sequence: 4}, FleetUpdate{To: FleetVersion{Term: 1, Sequence: 5}})
	_, err := f.HandleReply(time.Second, &SyncReply{Spread: update})
	must.Error(t, err)
	must.Eq(t, FleetVersion{}, f.Args(Member{}, Known{}, 0).HaveSpread)
	whole := FleetUpdate{To: FleetVersion{Term: 1, Sequence: 6}}
	for i := range 64 {
		whole.Members = append(whole.Members, Member{ID: ident.NodeID(fmt.Sprint(i))})
	}
	change, err := f.HandleReply(time.Second, &SyncReply{Spread: packedUpdateFrom(t, FleetVersion{}, whole)})
	must.NoError(t, err)
	must.True(t, change.State)
	must.Eq(t, FleetVersion{Term: 1, Sequence: 6}, f.Args(Member{}, Known{}, 0).HaveSpread)
	must.Len(t, 64, f.State().Members)
	damaged := packedUpdateFrom(t, FleetVersion{}, whole)
	damaged.Packed = damaged.Packed[:len(damaged.Packed)/2]
	_, err = f.HandleReply(time.Second, &SyncReply{Spread: damaged})
	must.Error(t, err)
	must.Len(t, 64, f.State().Members)
}

// TestFuzz_FleetUpdates checks that a node which follows by updates always
// reaches the leader's full state, through random sequences of changes, terms and
// lagging nodes.
func TestFuzz_FleetUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		s := &Service{fleet: f}
		now := time.Unix(1000, 0)
		term := uint64(1)
		f.beginTerm(term, FleetState{}, now)
		nodes := make([]FleetState, 4)
		listed := map[string]Discovered{}
		names := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				f.startSync(Member{ID: ident.NodeID(names.Draw(t, "node")), Incarnation: ident.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))}, now)
			case 1:
				f.expire(now)
			case 2:
				name := names.Draw(t, "upstream")
				listed[name] = discovered(name, rapid.Bool().Draw(t, "leaving"))
				s.SetUpstreams(slices.Collect(maps.Values(listed)), true)
			case 3:
				delete(listed, names.Draw(t, "gone"))
				s.SetUpstreams(slices.Collect(maps.Values(listed)), true)
			case 4:
				number := rapid.Uint64Range(1, 3).Draw(t, "rollout")
				f.setCommitted(committedState{rollouts: []rollout.Record{{Number: number}}})
			case 5:
				lapsed := rapid.Bool().Draw(t, "lapsed")
				f.endTerm(lapsed)
				if !lapsed {
					term++
				}
				if !f.resumeTerm(term, now) {
					f.beginTerm(term, nodes[0], now)
				}
			}
			node := &nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "follower")]
			behind := false
			for applyUpdate(t, f, node) {
				behind = true
			}
			if behind {
				all := fullState(t, f)
				if fmt.Sprint(all) != fmt.Sprint(*node) {
					t.Fatalf("node has state %v, leader distributes %v", *node, all)
				}
			}
		}
	})
}

// TestFleet_MassStartReusesPackedUpdates starts 300 nodes within 0.3 s: each
// arrival is a change, and each node needs a full update. When 3,000 upstreams
// were packed again for each node, this took the leader's time until its lease
// expired.
func TestFleet_MassStartReusesPackedUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := largeFleet(t)
		time.Sleep(time.Second)
		packs := 0
		var latest []byte
		for i := range 300 {
			f.startSync(Member{ID: ident.NodeID(fmt.Sprintf("joins-%d:7600", i)), Incarnation: 1}, time.Now())
			delivery, err := f.deliveryFor(FleetVersion{})
			must.NoError(t, err)
			if latest == nil || &delivery.Packed[0] != &latest[0] {
				packs++
			}
			latest = delivery.Packed
			time.Sleep(time.Millisecond)
		}
		must.LessEq(t, int(300*time.Millisecond/updateCacheTTL)+1, packs)
		// A reused update is completed by the next one.
		var node FleetState
		must.True(t, applyUpdate(t, f, &node))
		for applyUpdate(t, f, &node) {
		}
		must.Len(t, 600, node.Members)
	})
}
