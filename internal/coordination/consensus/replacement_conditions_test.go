package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// setIsolated cuts or restores all connections of a node.
func (c *cluster) setIsolated(id ident.NodeID, cut bool) {
	for _, other := range c.ids {
		c.net.setCut(id, other, cut)
		c.net.setCut(other, id, cut)
	}
}

// watcher samples the membership at the leader.
type watcher struct {
	stop, done chan struct{}
	// changes counts the memberships seen after the first one.
	changes int
	// leaderless is the longest time without a leader.
	leaderless time.Duration
}

// watch samples the membership until the returned function is called.
func (c *cluster) watch() func() *watcher {
	w := &watcher{stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		var last string
		led := time.Now()
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(time.Millisecond):
			}
			m := c.leading()
			if m == nil {
				w.leaderless = max(w.leaderless, time.Since(led))
				continue
			}
			led = time.Now()
			node := m.running()
			if node == nil {
				continue
			}
			if now := node.Members().String(); now != last {
				if last != "" {
					w.changes++
				}
				last = now
			}
		}
	}()
	return func() *watcher {
		close(w.stop)
		<-w.done
		return w
	}
}

// mustVoteAll checks that every node votes under its first incarnation.
func mustVoteAll(t *testing.T, c *cluster, before map[ident.NodeID]Replica) {
	t.Helper()
	for id, self := range before {
		must.Eq(t, self, c.members[id].node.Self())
		must.Eq(t, RoleVoter, mustLead(t, c).node.Members().Role(self), must.Sprint(c.describe()))
	}
}

func (c *cluster) selves() map[ident.NodeID]Replica {
	selves := map[ident.NodeID]Replica{}
	for _, id := range c.ids {
		selves[id] = c.members[id].node.Self()
	}
	return selves
}

// TestNode_RollingRestartKeepsVoters restarts the replicas gracefully one after
// the other. All must vote again, and the votes may change only by one leave and
// one return for each restart.
func TestNode_RollingRestartKeepsVoters(t *testing.T) {
	t.Parallel()
	for _, count := range []int{3, 4, 5, 6} {
		for _, pause := range []time.Duration{0, 300 * time.Millisecond, time.Second, catchUpTime} {
			t.Run(fmt.Sprintf("%d replicas, %v", count, pause), func(t *testing.T) {
				t.Parallel()
				runCluster(t, count, replacementOptions, func(t *testing.T, c *cluster) {
					mustPut(t, c, 1, 5)
					before := c.selves()
					watched := c.watch()
					for round := range 3 * count {
						id := c.ids[round%count]
						c.stop(id)
						time.Sleep(pause / 2)
						must.NoError(t, c.start(id))
						time.Sleep(pause)
					}
					time.Sleep(catchUpTime)
					w := watched()
					t.Logf("%d changes in %d restarts, at most %v without a leader", w.changes, 3*count, w.leaderless)
					mustVoteAll(t, c, before)
					must.LessEq(t, 2*3*count, w.changes)
				})
			})
		}
	}
}

// TestNode_AllStopGracefully stops all replicas gracefully at the same time,
// starts them and lets one lose its disk.
func TestNode_AllStopGracefully(t *testing.T) {
	t.Parallel()
	for _, count := range []int{3, 4, 6} {
		for _, lost := range []ident.NodeID{"a", "b", "c"} {
			t.Run(fmt.Sprintf("%d replicas, disk of %s", count, lost), func(t *testing.T) {
				t.Parallel()
				runCluster(t, count, replacementOptions, func(t *testing.T, c *cluster) {
					mustPut(t, c, 1, 5)
					done := make(chan struct{})
					for _, id := range c.ids {
						go func() { c.stop(id); done <- struct{}{} }()
					}
					for range c.ids {
						<-done
					}
					losePowerAndDisk(t, c, lost, 5)
				})
			})
		}
	}
}

// TestNode_FrozenVotersReturn cuts off one replica after the other for 3 to 6 s.
// No change may alternate: at most one loss and one return of a vote for each.
func TestNode_FrozenVotersReturn(t *testing.T) {
	t.Parallel()
	for _, count := range []int{3, 4, 6} {
		for _, cut := range []time.Duration{2900 * time.Millisecond, 3100 * time.Millisecond, 6 * time.Second} {
			t.Run(fmt.Sprintf("%d replicas, %v", count, cut), func(t *testing.T) {
				t.Parallel()
				runCluster(t, count, replacementOptions, func(t *testing.T, c *cluster) {
					mustPut(t, c, 1, 5)
					before := c.selves()
					watched := c.watch()
					for round := range 2 * count {
						id := c.ids[round%count]
						c.setIsolated(id, true)
						time.Sleep(cut)
						c.setIsolated(id, false)
						time.Sleep(time.Second)
					}
					time.Sleep(catchUpTime)
					w := watched()
					t.Logf("%d changes in %d cuts, at most %v without a leader", w.changes, 2*count, w.leaderless)
					mustVoteAll(t, c, before)
					must.LessEq(t, 2*2*count, w.changes)
				})
			})
		}
	}
}

// TestNode_FaultyLinksKeepVoters disturbs links and disks for a minute. Votes may
// change at most once per DeadVoterTimeout, and all replicas vote afterwards.
func TestNode_FaultyLinksKeepVoters(t *testing.T) {
	t.Parallel()
	conditions := map[string]func(c *cluster){
		"10% lost": func(c *cluster) { c.net.dropPercent, c.net.maxDelay = 10, 30*time.Millisecond },
		"30% lost": func(c *cluster) { c.net.dropPercent, c.net.maxDelay = 30, 30*time.Millisecond },
		"50% lost": func(c *cluster) { c.net.dropPercent, c.net.maxDelay = 50, 30*time.Millisecond },
		"slow":     func(c *cluster) { c.net.maxDelay = 120 * time.Millisecond },
		"disk of a slow": func(c *cluster) {
			c.members["a"].fs.Inject(disk.Faults{SyncDelay: 4 * time.Second})
		},
		"one way to b":   func(c *cluster) { c.net.cut[link{"a", "b"}] = true; c.net.cut[link{"c", "b"}] = true },
		"one way from b": func(c *cluster) { c.net.cut[link{"b", "a"}] = true; c.net.cut[link{"b", "c"}] = true },
		"ring": func(c *cluster) {
			c.net.cut[link{"a", "b"}] = true
			c.net.cut[link{"b", "c"}] = true
			c.net.cut[link{"c", "a"}] = true
		},
	}
	for _, count := range []int{4, 6} {
		for name, disturb := range conditions {
			t.Run(fmt.Sprintf("%d replicas, %s", count, name), func(t *testing.T) {
				t.Parallel()
				runCluster(t, count, replacementOptions, func(t *testing.T, c *cluster) {
					mustPut(t, c, 1, 5)
					before := c.selves()
					watched := c.watch()
					c.net.mu.Lock()
					disturb(c)
					c.net.mu.Unlock()
					time.Sleep(50 * time.Second)
					w := watched()
					t.Logf("%d changes, at most %v without a leader", w.changes, w.leaderless)
					c.net.heal()
					c.members["a"].fs.Inject(disk.Faults{})
					time.Sleep(3 * catchUpTime)
					mustVoteAll(t, c, before)
					must.LessEq(t, 2*50/3, w.changes)
				})
			})
		}
	}
}

// slowDisk makes the steps of a change last for several milliseconds.
var slowDisk = disk.Faults{SyncDelay: 3 * time.Millisecond, Tear: true}

func (c *cluster) injectAll(f disk.Faults) {
	for _, id := range c.ids {
		c.members[id].fs.Inject(f)
	}
}

// TestNode_AllCrashWhileJoining crashes all replicas at any moment while a fourth
// one joins. With the disk of any one lost, they must elect a leader.
func TestNode_AllCrashWhileJoining(t *testing.T) {
	t.Parallel()
	for _, lost := range []ident.NodeID{"a", "b", "c"} {
		for delay := time.Duration(0); delay < 200*time.Millisecond; delay += 5 * time.Millisecond {
			runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 5)
				c.injectAll(slowDisk)
				c.join(t, "d")
				c.members["d"].fs.Inject(slowDisk)
				time.Sleep(delay)
				losePowerAndDisk(t, c, lost, 5)
			})
		}
	}
}

// TestNode_AllCrashWhileVoteIsTaken crashes all replicas at any moment around the
// time when one of four voters loses its vote because it is silent.
func TestNode_AllCrashWhileVoteIsTaken(t *testing.T) {
	t.Parallel()
	for _, lost := range []ident.NodeID{"a", "b", "c", "d"} {
		for delay := 2980 * time.Millisecond; delay < 3120*time.Millisecond; delay += 4 * time.Millisecond {
			runCluster(t, 4, replacementOptions, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 5)
				c.injectAll(slowDisk)
				c.crash("d")
				time.Sleep(delay)
				losePowerAndDisk(t, c, lost, 5)
			})
		}
	}
}

// TestNode_AllCrashWhileLeaving crashes all replicas at any moment while one of
// four voters stops gracefully.
func TestNode_AllCrashWhileLeaving(t *testing.T) {
	t.Parallel()
	for _, lost := range []ident.NodeID{"a", "b", "c", "d"} {
		for delay := time.Duration(0); delay < 60*time.Millisecond; delay += 2 * time.Millisecond {
			runCluster(t, 4, replacementOptions, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 5)
				c.injectAll(slowDisk)
				done := make(chan struct{})
				node := c.members["a"].node
				go func() { _ = node.Stop(t.Context()); close(done) }()
				time.Sleep(delay)
				for _, id := range c.ids[1:] {
					c.crash(id)
				}
				c.members["a"].fs.Crash()
				ended := node.replica.ctx.Err() != nil
				if !ended {
					node.replica.cancel()
				}
				<-done
				c.net.attach("a", nil)
				c.members["a"].setNode(nil, nil)
				c.members["a"].fs.ExitProcess()
				losePowerAndDisk(t, c, lost, 5)
			})
		}
	}
}

// TestNode_ReplacementJoinsAfterElection lets a replacement of a follower that is
// gone for long join just after an election. The new leader must not count the
// follower as heard because its term has just begun.
func TestNode_ReplacementJoinsAfterElection(t *testing.T) {
	t.Parallel()
	for _, gap := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			t.Parallel()
			runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 5)
				leading := mustLead(t, c).id
				var gone ident.NodeID
				for _, id := range c.ids {
					if id != leading {
						gone = id
					}
				}
				c.crash(gone)
				c.forget(gone)
				time.Sleep(20 * time.Second)
				c.stop(leading)
				must.NoError(t, c.start(leading))
				mustLead(t, c)
				time.Sleep(gap)
				c.join(t, "d")
				time.Sleep(catchUpTime)
				losePowerAndDisk(t, c, c.ids[0], 5)
			})
		})
	}
}

// TestNode_LeavesAtTheSameTime stops two of the voters, among them the leader,
// gracefully at the same time, and starts them again. All must vote again.
func TestNode_LeavesAtTheSameTime(t *testing.T) {
	t.Parallel()
	for _, count := range []int{4, 6} {
		runCluster(t, count, replacementOptions, func(t *testing.T, c *cluster) {
			mustPut(t, c, 1, 5)
			before := c.selves()
			for round := range 10 {
				leading := mustLead(t, c).id
				other := c.ids[round%count]
				if other == leading {
					other = c.ids[(round+1)%count]
				}
				done := make(chan struct{})
				for _, id := range []ident.NodeID{leading, other} {
					go func() { c.stop(id); done <- struct{}{} }()
				}
				<-done
				<-done
				must.NoError(t, c.start(leading))
				must.NoError(t, c.start(other))
				time.Sleep(2 * time.Second)
				mustVoteAll(t, c, before)
			}
		})
	}
}

// TestNode_PromotionBesideFlakyVoterOfFour lets a replica with an empty disk join
// four voters of which one answers once a second only. A fifth voter doesn't
// raise the quorum, so it must be promoted.
func TestNode_PromotionBesideFlakyVoterOfFour(t *testing.T) {
	t.Parallel()
	runCluster(t, 5, replacementOptions, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 5)
		leading := mustLead(t, c)
		var others []ident.NodeID
		for _, id := range c.ids {
			if id != leading.id {
				others = append(others, id)
			}
		}
		flaky, lost := others[0], others[1]
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			for {
				c.net.setCut(flaky, leading.id, true)
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
				c.net.setCut(flaky, leading.id, false)
				time.Sleep(60 * time.Millisecond)
			}
		}()
		defer func() { close(stop); <-done }()
		time.Sleep(time.Second)
		c.crash(lost)
		c.members[lost].fs.Wipe()
		must.NoError(t, c.start(lost))
		voted := 0
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			if mustLead(t, c).node.Members().Role(c.members[lost].node.Self()) == RoleVoter {
				voted++
			}
		}
		must.Positive(t, voted, must.Sprint(c.describe()))
	})
}
