package consensus

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// rejoinAfter is how long a member may know no leader before it asks to join
// again. A voter that was replaced meanwhile receives no messages, and neither
// does a learner whose membership entry was never committed. The time covers
// several elections.
const rejoinAfter = 3 * time.Second

// ensureMembership makes this replica a member and keeps it one: it forms the
// cluster with the other initial replicas, adopts the cluster that they formed,
// or joins as a learner. Without a leader, it may recover the vote that it lost
// with its disk. A member that gave up its vote before it was restarted,
// or has known no leader for rejoinAfter, asks to join again.
func (r *replica) ensureMembership() {
	r.awaitLeaderlessPeers()
	ticker := time.NewTicker(r.opts.Timing.Heartbeat)
	defer ticker.Stop()
	leaderSeen := time.Now()
	leaderless := time.Now()
	for {
		v := r.view.Load()
		if v.leader != "" {
			leaderSeen, leaderless = time.Now(), time.Now()
		}
		if time.Since(leaderless) >= r.recoverAfter() {
			r.recoverVote(v)
		}
		switch {
		case v.genesis.Cluster == "":
			r.formOrAdopt(v.self)
		case r.leaving.Load():
		case v.members.Role(v.self) == RoleNone, r.hasLeft(v), time.Since(leaderSeen) >= rejoinAfter:
			leaderSeen = time.Now()
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
	// leaderlessProbeInterval is the time between two rounds of probes by which
	// a restarted voter asks whether any other voter knows a leader.
	leaderlessProbeInterval = 20 * time.Millisecond
	// leaderlessProbeTimeout bounds one round of probes.
	leaderlessProbeTimeout = 100 * time.Millisecond
)

// awaitLeaderlessPeers lets a restarted voter vote before its vote block
// expires, once every other voter answers that it neither leads nor knows a
// leader. The block protects a leader whose lease relies on an answer that this
// voter gave before the restart; if all voters are leaderless, there is no such
// leader. An answer from another incarnation of a voter counts too: the earlier
// incarnation lost its disk and can't lead any more.
func (r *replica) awaitLeaderlessPeers() {
	ticker := time.NewTicker(leaderlessProbeInterval)
	defer ticker.Stop()
	for end := time.Now().Add(r.opts.Timing.ElectionMin); time.Now().Before(end); {
		v := r.view.Load()
		if v.leader != "" || v.members.Role(v.self) != RoleVoter {
			return
		}
		if r.allLeaderless(v) {
			_ = r.post(r.ctx, func(now time.Time) { r.core.liftRestartVoteBlock(now) })
			return
		}
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// allLeaderless probes all other voters and reports whether each answered that
// it knows no leader.
func (r *replica) allLeaderless(v *view) bool {
	ctx, cancel := context.WithTimeout(r.ctx, leaderlessProbeTimeout)
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

// formOrAdopt adopts the cluster that an initial replica reports. A new cluster
// is formed only if every initial replica answers that it belongs to none; then
// the replica with the lowest ID among those that are not JoinOnly forms it.
func (r *replica) formOrAdopt(self Replica) {
	replies := r.probeAll(self)
	initial := []Replica{self}
	founder := self.ID
	for _, reply := range replies {
		if reply.Formed {
			r.adoptCluster(reply.Genesis)
			return
		}
		initial = append(initial, reply.Replica)
		if !reply.JoinOnly {
			founder = min(founder, reply.Replica.ID)
		}
	}
	if r.opts.JoinOnly || len(initial) < len(r.opts.InitialReplicas) || self.ID != founder {
		return
	}
	genesis := Genesis{Cluster: ClusterID(uuid.NewString())}
	for _, replica := range initial {
		genesis.Members.Members = append(genesis.Members.Members, Member{Replica: replica, Role: RoleVoter})
	}
	klog.InfoS("cluster formed", "cluster", genesis.Cluster, "replica", self)
	r.adoptCluster(genesis)
}

// probeAll probes every other initial replica. Replicas that did not answer are
// missing from the result.
func (r *replica) probeAll(self Replica) []*ProbeReply {
	ctx, cancel := r.callContext()
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

// adoptCluster persists the cluster's ID and first membership, then makes this
// replica take part in it.
func (r *replica) adoptCluster(genesis Genesis) {
	own := identity{Replica: r.view.Load().self, Genesis: genesis}
	if err := r.retryWhileFull("the identity", func() error { return own.save(r.opts.FS) }); err != nil {
		r.fail(err)
		return
	}
	done := make(chan struct{})
	err := r.post(r.ctx, func(now time.Time) {
		r.identity = own
		r.core.adoptGenesis(now, genesis.Members)
		r.applier.push(applyStep{genesis: &genesis.Members})
		r.queueReply(false, func() { close(done) })
	})
	if err != nil {
		return
	}
	select {
	case <-done:
	case <-r.ctx.Done():
	}
}

// join asks the cluster to add this replica as a learner: the leader if it knows
// one, then the initial replicas. A member also asks the other members, since all
// initial replicas may be gone. It returns false if this incarnation was removed,
// after stopping the replica.
func (r *replica) join(v *view) bool {
	asked := map[ident.NodeID]bool{v.self.ID: true}
	next := append([]ident.NodeID{v.leader}, r.opts.InitialReplicas...)
	if v.members.Role(v.self) != RoleNone {
		for _, member := range v.members.Members {
			next = append(next, member.Replica.ID)
		}
	}
	for len(next) > 0 {
		to := next[0]
		next = next[1:]
		if asked[to] || to == "" {
			continue
		}
		asked[to] = true
		ctx, cancel := r.callContext()
		reply, err := r.opts.Peers.Join(ctx, to, &JoinRequest{Cluster: v.genesis.Cluster, Replica: v.self})
		cancel()
		switch {
		case err != nil:
		case reply.Removed:
			r.fail(fmt.Errorf("%w: empty the data folder of %s to join as a new incarnation", ErrRemoved, v.self))
			return false
		case reply.Accepted:
			return true
		default:
			next = append([]ident.NodeID{reply.Leader}, next...)
		}
	}
	return true
}

// onProbe answers from the published view. The sender need not be a member.
func (r *replica) onProbe() ProbeReply {
	v := r.view.Load()
	return ProbeReply{Replica: v.self, Formed: v.genesis.Cluster != "", Genesis: v.genesis, Led: v.leader != "" || v.leads, JoinOnly: r.opts.JoinOnly}
}

// onJoin adds a learner if this replica leads. Otherwise the reply names the
// leader, if known.
func (r *replica) onJoin(req *JoinRequest) (JoinReply, error) {
	if req.Cluster != r.view.Load().genesis.Cluster {
		return JoinReply{}, ErrWrongRecipient
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timing.CallTimeout)
	defer cancel()
	err := r.changeMembers(ctx, func(now time.Time, c *core) (uint64, error) { return c.join(now, req.Replica) })
	return joinReply(err)
}
