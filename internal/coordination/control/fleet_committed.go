package control

import (
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// committedState is the part of the replicated state that is distributed to all nodes.
type committedState struct {
	rollouts    []rollout.Record
	hotTeams    []ident.TeamName
	poison      []poison.Record
	evacuations []evacuation.Record
}

// sameAs reports whether two states are equal, but for times.
func (c committedState) sameAs(o committedState) bool {
	return slices.EqualFunc(c.rollouts, o.rollouts, sameRollout) && slices.Equal(c.hotTeams, o.hotTeams) &&
		poison.Equal(c.poison, o.poison) && evacuation.Same(c.evacuations, o.evacuations)
}

// setCommitted sets the committed state that is distributed.
func (f *fleet) setCommitted(c committedState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading || f.committed.sameAs(c) {
		return
	}
	if !evacuation.Same(f.committed.evacuations, c.evacuations) {
		// A reply proves a node's contact, so that none may lack an evacuation committed before.
		clear(f.updates)
	}
	f.committed = c
	f.recordChange()
}

// sameRollout compares records that may come from the log and from another node.
// It ignores their times: equal times may differ in representation.
func sameRollout(a, b rollout.Record) bool {
	return a.Pool == b.Pool && a.Number == b.Number && a.State == b.State && slices.Equal(a.Withheld, b.Withheld)
}
