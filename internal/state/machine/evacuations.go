package machine

import (
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// FeatureLevel is the feature level of this build. Level 1 adds evacuations and the
// refresh of a configuration whose fields older builds have dropped. From level 2 on, a text
// whose list of teams is empty asks for keys. Level 3 adds the bases of operators'
// orders and forgets withheld versions.
const FeatureLevel = 3

// SetFeatures raises the feature level: all nodes of the system support it. Commands that
// builds below a level don't know may be proposed from then on.
type SetFeatures struct{ Level uint32 }

// evacuate executes an operator's order. A repeated order changes nothing and is accepted
// again, and one that may be a late copy is refused. The basis is nil for an order without one.
func (m *Machine) evacuate(o evacuation.Order, basis *evacuation.Basis) Result {
	if o.Zone == "" || len(o.Zone) > evacuation.MaxNameBytes {
		return Result{Refusal: RefusedUnknown}
	}
	at, known := slices.BinarySearchFunc(m.evacuations, evacuation.Record{Zone: o.Zone}, evacuation.Compare)
	switch {
	case known != o.End:
		return Result{}
	case basis != nil && *basis != evacuation.BasisOf(m.evacuations, m.evacuationNumber, o.Zone):
		return Result{Refusal: RefusedOutdated}
	case o.End:
		// The records are shared with readers, so the list is replaced.
		m.evacuations = slices.Delete(slices.Clone(m.evacuations), at, at+1)
	case len(m.evacuations) >= evacuation.MaxEvacuations:
		return Result{Refusal: RefusedFull}
	default:
		m.evacuationNumber++
		r := evacuation.Record{Zone: o.Zone, By: o.By, At: m.clock, Number: m.evacuationNumber}
		m.evacuations = slices.Insert(slices.Clone(m.evacuations), at, r)
	}
	m.changes.add(ChangedObject{Evacuation: o.Zone})
	return Result{}
}

// Evacuations returns the data centres that are evacuated, in order.
func (m *Machine) Evacuations() []evacuation.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuations
}

// EvacuationState returns the data centres that are evacuated, in order, and the number of the
// latest evacuation.
func (m *Machine) EvacuationState() (records []evacuation.Record, last uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuations, m.evacuationNumber
}

// Evacuation returns the evacuation of a data centre.
func (m *Machine) Evacuation(zone ident.Zone) (evacuation.Record, bool) {
	return evacuation.Find(m.Evacuations(), zone)
}

// Features returns the feature level that all nodes of the system support.
func (m *Machine) Features() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.features
}

// DocumentLevel returns the feature level of the build that read the text of the
// configuration in force.
func (m *Machine) DocumentLevel() uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Level
}
