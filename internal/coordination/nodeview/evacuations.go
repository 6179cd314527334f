package nodeview

import (
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Evacuated reports whether a data centre is evacuated, as far as this node knows. What it
// knows is as new as its lease: the reply that renews the lease brings the evacuations first.
func (v *View) Evacuated(zone ident.Zone) bool {
	_, evacuated := v.Members().Evacuations[zone]
	return evacuated
}

// Evacuations returns the data centres that this node knows to be evacuated, in order.
func (v *View) Evacuations() []evacuation.Record {
	known := v.Members().Evacuations
	records := make([]evacuation.Record, 0, len(known))
	for _, r := range known {
		records = append(records, r)
	}
	slices.SortFunc(records, evacuation.Compare)
	return records
}
