package control

import (
	"fmt"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// FleetFollower is a node's side of the sync: the configuration in force, what
// the leader spreads, and how long the node may rely on both. It is safe for
// concurrent use.
//
// Invariant: neither the revision in force nor the version of the spread ever
// goes back.
type FleetFollower struct {
	mu       sync.Mutex
	revision ident.Revision
	config   config.Config
	state    FleetState
	// servedSentAt is the sending, on the boot-time clock, of the latest sync that
	// was served; zero if none was.
	servedSentAt time.Duration
	// needFullConfig asks for a needFullConfig configuration, and wholeSpread for a needFullConfig spread,
	// after an update that didn't fit.
	needFullConfig bool
	needFullState  bool
}

// FleetChange tells what a sync changed.
type FleetChange struct {
	Config bool
	Spread bool
}

// Args returns the next sync of the given node.
func (f *FleetFollower) Args(m Member, hot []ident.TeamName, hold time.Duration) *SyncArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := &SyncArgs{Member: m, HaveRevision: f.revision, HaveSpread: f.state.Version, HotTeams: hot, Hold: hold}
	if f.needFullConfig {
		args.HaveRevision = 0
	}
	if f.needFullState {
		args.HaveSpread = FleetVersion{}
	}
	return args
}

// Take takes in the answer to a sync that was sent at the given boot time.
func (f *FleetFollower) Take(sent time.Duration, reply *SyncReply) (FleetChange, error) {
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
			return change, fmt.Errorf("control: update refused: %w", err)
		}
		f.config, f.revision, f.needFullConfig = next, u.To, false
		change.Config = true
	}
	change.Spread, err = f.applyState(reply)
	f.servedSentAt = max(f.servedSentAt, sent)
	return change, err
}

// applyState takes in what the leader spreads and reports whether it was new. The
// caller holds the lock.
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

// Config returns the configuration in force and its revision. It must not be
// changed.
func (f *FleetFollower) Config() (config.Config, ident.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config, f.revision
}

// Spread returns what the leader told last. It must not be changed.
func (f *FleetFollower) Spread() FleetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Age returns how long ago the configuration in force was certainly the newest,
// at the given boot time; known is false if it never was.
func (f *FleetFollower) Age(now time.Duration) (age time.Duration, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.servedSentAt, f.servedSentAt != 0
}
