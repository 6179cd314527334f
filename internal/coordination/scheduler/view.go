package scheduler

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

// Upstream describes one upstream to the scheduler.
type Upstream struct {
	Name          ident.UpstreamName
	Version       ident.VersionName
	Zone          ident.Zone
	MaxConcurrent int
	// Leaving upstreams get no new work.
	Leaving bool
	// Process is the same for upstreams that may be one process under several names; empty
	// if that can't be told.
	Process string
	// Region is the region of the upstream's data centre; empty if it isn't known.
	Region ident.Region
	// Started is when the upstream started, by the platform's list, in Unix milliseconds; 0 if
	// unknown.
	Started int64
	// Evacuated upstreams get no new work until the evacuation of their data centre ends.
	Evacuated bool
	// Withheld upstreams get no new work: their version was rolled back.
	Withheld bool
	// ColdFor is how much longer the upstream was cold when ColdNumber last changed, which
	// grows each time that it becomes cold or stays so for longer.
	ColdFor    time.Duration
	ColdNumber uint64
}

// isBarred reports whether the upstream gets no new work for now, by an operator's order or for
// its version.
func (u *Upstream) isBarred() bool { return u.Evacuated || u.Withheld }

// VersionShare directs a fraction of a pool's traffic to one version.
type VersionShare struct {
	Version ident.VersionName
	// Share is the fraction of idempotent traffic, 0 to 1.
	Share float64
	// NonIdempotentShare is the fraction of non-idempotent traffic, 0 to 1.
	NonIdempotentShare float64
	// Extra is how many requests the version may get beyond its share, which must not be 0,
	// while no upstream of the versions that may take them can serve them. It is a total
	// since the scheduler began or since a view with a lower value.
	Extra int
}

// Tier describes a tier of service to the scheduler. A tier of higher Rank is
// served first. Reserve is the fraction of the slots that the tier may use for
// tickets close to their deadlines.
type Tier struct {
	Name    ident.TierName
	Rank    int
	Reserve float64
}

// Team describes a team to the scheduler. Shares is its weight among the teams of
// a tier.
type Team struct {
	Name   ident.TeamName
	Shares int
}

// View is the scheduler's input from configuration, membership and moves.
type View struct {
	Pool       ident.PoolName
	Revision   ident.Revision
	QueueLimit int
	Tiers      []Tier
	Teams      []Team
	Upstreams  []Upstream
	// Incomplete is true while the list of upstreams may lack some.
	Incomplete bool
	// Shares sum to 1 over the versions that get traffic.
	Shares []VersionShare
	// Gateways lists the nodes that hold a lease. Slots used by other nodes stay
	// counted until the upstream reports them free or a timeout passes.
	Gateways []ident.NodeID
	// Poison holds the records of refused parts and requests that the leader knows, of
	// all pools, and Ends the ends of upstreams under requests.
	Poison []poison.Record
	Ends   []poison.End
	// Zones says what traffic between data centres is worth; nil means nothing.
	Zones *ZonePolicy
	// Cold limits the load of upstreams that have just started; nil means no limit.
	Cold *config.ColdLimit
	// Shared is set where no lease prevents other schedulers from serving the
	// pool at the same time.
	Shared *Shared
}

// Shared configures a shared scheduler: one that may run beside other schedulers
// of the same pool. Of the upstreams' slots, the quotas and the retry budget it
// uses only the fraction that its registered gateways make up of all gateways.
type Shared struct {
	// In any RetryWindow, RetryRatio retries for each request and RetryBurst more may be
	// sent; a window of 0 selects 10 s.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// Neighbours are the gateways that have the same scheduler if all is well; nil means all.
	Neighbours []ident.NodeID
	// FirstStart is true if the whole system started for the first time when this process
	// did, so that no scheduler was there before.
	FirstStart bool
	// Quotas bounds what teams use. Several pools may share it.
	Quotas *Quotas
	// Phase is a number from 0 to 1 that differs between schedulers. Those that use
	// a small fraction of a rate limit grant out of phase.
	Phase float64
	// RetryReservations is true if refused callers get reservations for their retries.
	RetryReservations bool
	// CutOffGrace is how long a gateway goes on serving requests under quotas
	// after it has lost the leader.
	CutOffGrace time.Duration
}
