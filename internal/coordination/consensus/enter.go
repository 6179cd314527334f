package consensus

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// lostAfter is how long a member may know no leader before it asks whether it is
// still one: a voter that was replaced meanwhile hears from nobody, and neither
// does a learner whose entry was never committed. It is several elections long.
const lostAfter = 3 * time.Second

// enter makes this replica a voter: it forms the cluster with the other initial
// replicas, adopts the cluster that they formed, or joins it as a learner. A
// member that knows no leader for lostAfter asks to join again.
func (r *replica) enter() {
	r.releaseAfterStart()
	ticker := time.NewTicker(r.opts.Timing.Heartbeat)
	defer ticker.Stop()
	led := time.Now()
	for {
		v := r.view.Load()
		if v.leader != "" {
			led = time.Now()
		}
		switch {
		case v.genesis.Cluster == "":
			r.formOrAdopt(v.self)
		case v.members.Role(v.self) == RoleNone, time.Since(led) >= lostAfter:
			led = time.Now()
			if !r.join(v) {
				return
			}
		}
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

const (
	// releaseInterval is the time between two askings of a starting voter whether
	// the others are without a leader too.
	releaseInterval = 20 * time.Millisecond
	// releaseCall bounds one asking.
	releaseCall = 100 * time.Millisecond
)

// releaseAfterStart ends the time in which a voter that was restarted refuses
// votes once that has no use: every other voter answers that it neither leads
// nor knows a leader. The time protects a leader that relies on an answer from
// before the restart; there is none then. A voter whose address is served by
// another incarnation lost its disk, and its former life with it.
func (r *replica) releaseAfterStart() {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for end := time.Now().Add(r.opts.Timing.ElectionMin); time.Now().Before(end); {
		v := r.view.Load()
		if v.leader != "" || v.members.Role(v.self) != RoleVoter {
			return
		}
		if r.allLeaderless(v) {
			_ = r.post(r.ctx, func(now time.Time) { r.core.releaseStartPromise(now) })
			return
		}
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// allLeaderless asks all other voters and reports whether each answered that it
// knows no leader.
func (r *replica) allLeaderless(v *view) bool {
	ctx, cancel := context.WithTimeout(r.ctx, releaseCall)
	defer cancel()
	var leaderless atomic.Int32
	var wg sync.WaitGroup
	others := 0
	for _, voter := range v.members.Voters() {
		if voter == v.self {
			continue
		}
		others++
		wg.Go(func() {
			reply, err := r.opts.Peers.Probe(ctx, voter.ID, &ProbeRequest{From: v.self})
			if err == nil && reply.Replica.ID == voter.ID && !reply.Led {
				leaderless.Add(1)
			}
		})
	}
	wg.Wait()
	return int(leaderless.Load()) == others
}

// formOrAdopt looks for a cluster among the initial replicas. Only when every
// one of them answers that it belongs to none does one form it: the lowest ID of
// those that are not JoinOnly.
func (r *replica) formOrAdopt(self Replica) {
	replies := r.probeAll(self)
	initial := []Replica{self}
	first := self.ID
	for _, reply := range replies {
		if reply.Formed {
			r.adopt(reply.Genesis)
			return
		}
		initial = append(initial, reply.Replica)
		if !reply.JoinOnly {
			first = min(first, reply.Replica.ID)
		}
	}
	if r.opts.JoinOnly || len(initial) < len(r.opts.InitialReplicas) || self.ID != first {
		return
	}
	genesis := Genesis{Cluster: ClusterID(uuid.NewString())}
	for _, replica := range initial {
		genesis.Members.Members = append(genesis.Members.Members, Member{Replica: replica, Role: RoleVoter})
	}
	klog.InfoS("cluster formed", "cluster", genesis.Cluster, "replica", self)
	r.adopt(genesis)
}

// probeAll asks every other initial replica who it is. Those that did not
// answer are missing from the result.
func (r *replica) probeAll(self Replica) []*ProbeReply {
	ctx, cancel := r.call()
	defer cancel()
	var mu sync.Mutex
	var replies []*ProbeReply
	var wg sync.WaitGroup
	for _, id := range r.opts.InitialReplicas {
		if id == self.ID {
			continue
		}
		wg.Go(func() {
			reply, err := r.opts.Peers.Probe(ctx, id, &ProbeRequest{From: self})
			if err != nil || reply.Replica.ID != id {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}

// adopt makes the cluster's beginning durable before this replica takes part.
func (r *replica) adopt(genesis Genesis) {
	own := identity{Replica: r.view.Load().self, Genesis: genesis}
	if err := own.save(r.opts.FS); err != nil {
		r.fail(err)
		return
	}
	done := make(chan struct{})
	err := r.post(r.ctx, func(now time.Time) {
		r.own = own
		r.core.adoptGenesis(now, genesis.Members)
		r.applier.push(appliable{genesis: &genesis.Members})
		r.answer(false, func() { close(done) })
	})
	if err != nil {
		return
	}
	select {
	case <-done:
	case <-r.ctx.Done():
	}
}

// join asks the cluster to add this replica. It returns false once the replica
// was removed for good.
func (r *replica) join(v *view) bool {
	asked := map[ident.NodeID]bool{v.self.ID: true}
	next := slices.Clone(r.opts.InitialReplicas)
	for len(next) > 0 {
		to := next[0]
		next = next[1:]
		if asked[to] || to == "" {
			continue
		}
		asked[to] = true
		ctx, cancel := r.call()
		reply, err := r.opts.Peers.Join(ctx, to, &JoinRequest{Cluster: v.genesis.Cluster, Replica: v.self})
		cancel()
		switch {
		case err != nil:
		case reply.Removed:
			r.fail(fmt.Errorf("%w: empty the data folder of %s to join anew", ErrRemoved, v.self))
			return false
		case reply.Accepted:
			return true
		default:
			next = append([]ident.NodeID{reply.Leader}, next...)
		}
	}
	return true
}

// onProbe answers from the published view; it needs no membership.
func (r *replica) onProbe() ProbeReply {
	v := r.view.Load()
	return ProbeReply{Replica: v.self, Formed: v.genesis.Cluster != "", Genesis: v.genesis, Led: v.leader != "" || v.leads, JoinOnly: r.opts.JoinOnly}
}

// onJoin adds a learner if this replica leads.
func (r *replica) onJoin(req *JoinRequest) (JoinReply, error) {
	if req.Cluster != r.view.Load().genesis.Cluster {
		return JoinReply{}, ErrWrongAddress
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timing.Call)
	defer cancel()
	err := r.changeMembers(ctx, func(c *core) (uint64, error) { return c.join(req.Replica) })
	return joinReply(err)
}
