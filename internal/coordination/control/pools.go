package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// rebalanceInterval is the minimum time between two moves of a lease that only
// balance the pools over the nodes.
const rebalanceInterval = 10 * time.Second

// assignPools grants each configured pool's scheduler lease to a live node that
// is neither draining nor unreachable.
func (s *Service) assignPools(term uint64) {
	changes := s.poolChanges(time.Now())
	if len(changes) == 0 {
		return
	}
	command := &machine.Command{GrantPools: &machine.GrantPools{Changes: changes}}
	if _, status := s.proposeIn(term, command); !status.OK() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.PoolChanges += uint64(len(changes))
}

// poolChanges returns the changes of scheduler leases that are due now.
func (s *Service) poolChanges(now time.Time) []machine.PoolChange {
	cfg, _, _ := s.machine.Config()
	plan := newPoolPlan(s.machine.Nodes(), s.machine.Pools())
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, pool := range plan.pools {
		s.reviewPool(plan, pool, cfg)
	}
	for name := range cfg.Pools {
		if _, known := plan.known[name]; !known {
			plan.free = append(plan.free, lease.Pool{Pool: name})
		}
	}
	plan.grantFree()
	if len(plan.changes) == 0 && now.Sub(s.lastRebalance) >= rebalanceInterval {
		plan.rebalance()
		s.lastRebalance = now
	}
	return plan.changes
}

// reviewPool decides whether an existing lease is kept, revoked, dropped or
// granted again. The caller holds the lock.
func (s *Service) reviewPool(plan *poolPlan, p lease.Pool, cfg config.Config) {
	_, configured := cfg.Pools[p.Pool]
	switch {
	case p.Holder != "" && (!configured || !plan.eligible[p.Holder]):
		plan.revoke(p)
	case p.Holder != "":
		plan.leaseCount[p.Holder]++
	case !s.formerHolderStopped(p):
		return
	case !configured:
		plan.changes = append(plan.changes, machine.PoolChange{Pool: p.Pool, Epoch: p.Epoch, Drop: true})
	default:
		plan.free = append(plan.free, p)
	}
}

// formerHolderStopped reports whether the former holder has certainly stopped
// acting as the pool's scheduler: it has acknowledged a view that takes the lease
// from it, or its node lease has ended. The caller holds the lock.
func (s *Service) formerHolderStopped(p lease.Pool) bool {
	if p.Former == "" {
		return true
	}
	state := s.nodes[p.Former]
	return state != nil && state.incarnation == p.FormerIncarnation &&
		state.reported && state.view >= p.Sequence
}

// poolPlan collects the lease changes of one call of poolChanges.
type poolPlan struct {
	pools      []lease.Pool
	known      map[ident.PoolName]lease.Pool
	nodes      []lease.Node
	eligible   map[ident.NodeID]bool
	leaseCount map[ident.NodeID]int
	free       []lease.Pool
	changes    []machine.PoolChange
}

func newPoolPlan(nodes []lease.Node, pools []lease.Pool) *poolPlan {
	plan := &poolPlan{
		pools:      pools,
		known:      make(map[ident.PoolName]lease.Pool, len(pools)),
		eligible:   make(map[ident.NodeID]bool, len(nodes)),
		leaseCount: make(map[ident.NodeID]int, len(nodes)),
	}
	for _, pool := range pools {
		plan.known[pool.Pool] = pool
	}
	for _, node := range nodes {
		if !node.Draining && !node.Unreachable {
			plan.nodes = append(plan.nodes, node)
			plan.eligible[node.ID] = true
		}
	}
	return plan
}

// revoke takes a lease from its live holder.
func (plan *poolPlan) revoke(p lease.Pool) {
	plan.changes = append(plan.changes, machine.PoolChange{Pool: p.Pool, Epoch: p.Epoch})
}

// grantFree grants every free lease to the node with the fewest leases. Ties go
// to the highest rendezvous weight.
func (plan *poolPlan) grantFree() {
	if len(plan.nodes) == 0 {
		return
	}
	slices.SortFunc(plan.free, func(a, b lease.Pool) int { return cmp.Compare(a.Pool, b.Pool) })
	for _, pool := range plan.free {
		node := slices.MinFunc(plan.nodes, func(a, b lease.Node) int {
			return cmp.Or(
				cmp.Compare(plan.leaseCount[a.ID], plan.leaseCount[b.ID]),
				cmp.Compare(rendezvousWeight(pool.Pool, b.ID), rendezvousWeight(pool.Pool, a.ID)),
			)
		})
		plan.leaseCount[node.ID]++
		plan.changes = append(plan.changes, machine.PoolChange{
			Pool: pool.Pool, Epoch: pool.Epoch, Holder: node.ID, HolderIncarnation: node.Incarnation,
		})
	}
}

// rebalance revokes one lease of a node that has at least two more than the node
// with the fewest.
func (plan *poolPlan) rebalance() {
	if len(plan.nodes) == 0 {
		return
	}
	least := plan.leaseCount[plan.nodes[0].ID]
	for _, node := range plan.nodes {
		least = min(least, plan.leaseCount[node.ID])
	}
	for _, pool := range plan.pools {
		if plan.leaseCount[pool.Holder] >= least+2 {
			plan.revoke(pool)
			return
		}
	}
}

// rendezvousWeight returns a node's weight in rendezvous hashing, which orders
// the nodes differently for each pool.
func rendezvousWeight(pool ident.PoolName, node ident.NodeID) uint64 {
	return xxhash.Sum64String(string(pool) + "\x00" + string(node))
}
