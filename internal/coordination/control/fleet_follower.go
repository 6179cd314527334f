package control

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

// FleetFollower is a node's side of the sync protocol: the configuration in
// force, the fleet state received from the leader, and the time at which both
// were last known to be current. It is safe for concurrent use.
//
// Invariant: neither the revision in force nor the version of the fleet state
// ever decreases.
type FleetFollower struct {
	mu       sync.Mutex
	revision ident.Revision
	config   config.Config
	state    FleetState
	// servedSentAt is when the latest served sync was sent, as time since boot;
	// zero if none was served.
	servedSentAt time.Duration
	// needFullConfig and needFullState request a full configuration and a full
	// fleet state after an update that could not be applied.
	needFullConfig bool
	needFullState  bool
}

// FleetChange reports what a sync changed.
type FleetChange struct {
	Config bool
	State  bool
}

// Known is what a node knows that the leader may not: teams near their quotas, records
// of refused parts and requests, and ends of upstreams under requests.
type Known struct {
	// HotTeams and TeamUse are as in SyncArgs.
	HotTeams []ident.TeamName
	TeamUse  map[ident.TeamName]float64
	Poison   []poison.Record
	Ends     []poison.End
	// Cleared and ClearedParts are as in SyncArgs.
	Cleared      []uint64
	ClearedParts map[ident.PoolName][]uint64
}

// Args returns the arguments of the given node's next sync. Of what the node knows, only
// those records and ends are sent that the leader does not know.
func (f *FleetFollower) Args(m Member, known Known, hold time.Duration) *SyncArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := &SyncArgs{
		Member: m, HaveRevision: f.revision, HaveSpread: f.state.Version, HotTeams: known.HotTeams, TeamUse: known.TeamUse,
		Poison: newerRecords(f.state.Poison, known.Poison), Ends: f.newerEnds(known.Ends), Cleared: known.Cleared, ClearedParts: known.ClearedParts, Hold: hold,
	}
	if f.needFullConfig {
		args.HaveRevision = 0
	}
	if f.needFullState {
		args.HaveSpread = FleetVersion{}
	}
	return args
}

// HasUnreportedPoison reports whether the node knows records or ends that the leader does not
// know, as far as the node can tell.
func (f *FleetFollower) HasUnreportedPoison(known Known) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(newerRecords(f.state.Poison, known.Poison)) > 0 || len(f.newerEnds(known.Ends)) > 0 || len(known.Cleared)+len(known.ClearedParts) > 0
}

func newerRecords(known, records []poison.Record) []poison.Record {
	if len(records) == 0 {
		return nil
	}
	var set poison.Set
	set.Merge(known, time.Now())
	return set.Newer(records)
}

// newerEnds returns the ends that the leader does not know. The caller holds the lock.
func (f *FleetFollower) newerEnds(ends []poison.End) []poison.End {
	return slices.DeleteFunc(slices.Clone(ends), func(e poison.End) bool {
		_, known := slices.BinarySearchFunc(f.state.Ends, e.Key(), func(have poison.End, key string) int {
			return cmp.Compare(have.Key(), key)
		})
		return known
	})
}

// HandleReply applies the reply to a sync that was sent at the given time since boot,
// and returns what changed.
func (f *FleetFollower) HandleReply(sent time.Duration, reply *SyncReply) (FleetChange, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var change FleetChange
	if !reply.OK() {
		return change, nil
	}
	u, err := reply.Config.Update()
	if err != nil {
		return change, err
	}
	if u != nil && u.To > f.revision {
		next, err := u.Apply(f.config)
		if err != nil {
			f.needFullConfig = true
			return change, fmt.Errorf("control: applying configuration update to revision %d: %w", u.To, err)
		}
		f.config, f.revision, f.needFullConfig = next, u.To, false
		change.Config = true
	}
	change.State, err = f.applyState(reply)
	f.servedSentAt = max(f.servedSentAt, sent)
	return change, err
}

// applyState applies the fleet update in the reply and reports whether the state
// changed. The caller holds the lock.
func (f *FleetFollower) applyState(reply *SyncReply) (changed bool, err error) {
	u, err := reply.Spread.Update()
	if err != nil {
		return false, err
	}
	if u == nil || !u.To.Newer(f.state.Version) {
		return false, nil
	}
	next, err := u.Apply(f.state)
	f.needFullState = err != nil
	if err != nil {
		return false, err
	}
	f.state = next
	return true, nil
}

// Config returns the configuration in force and its revision. The caller must not
// modify it.
func (f *FleetFollower) Config() (config.Config, ident.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config, f.revision
}

// State returns the latest fleet state received from the leader. The caller must
// not modify it.
func (f *FleetFollower) State() FleetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Evacuation returns the evacuation of a data centre. It is known no later than the contact
// that Age counts from.
func (f *FleetFollower) Evacuation(zone ident.Zone) (evacuation.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return evacuation.Find(f.state.Evacuations, zone)
}

// Age returns how long ago the configuration in force was last known to be the
// newest. now is the time since boot; known is false if no sync was served yet.
func (f *FleetFollower) Age(now time.Duration) (age time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.servedSentAt, f.servedSentAt != 0
}
