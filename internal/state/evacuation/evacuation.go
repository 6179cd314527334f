// Package evacuation defines the replicated record of an operator's order that the
// upstreams of a data centre get no new requests.
package evacuation

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// MaxEvacuations bounds the data centres that are evacuated at once, and MaxNameBytes
	// the name of one, so that orders can't fill the replicated state.
	MaxEvacuations = 256
	MaxNameBytes   = 256
)

// Order starts or ends the evacuation of a data centre.
type Order struct {
	Zone ident.Zone
	// End is true for an order that ends the evacuation.
	End bool
	// By names who gave the order, for display.
	By string
}

// Record is the evacuation of one data centre.
type Record struct {
	Zone ident.Zone
	By   string
	// At is when the order was committed.
	At time.Time
	// Number increases with every evacuation that starts, so that two of the same data
	// centre can be told apart.
	Number uint64
}

// Basis is what was certainly known of a data centre when an order about it was sent. An order
// that would change something is carried out only if nothing has changed since: a copy that was
// held up on its way must not undo an order that was accepted after it.
type Basis struct {
	// Known is false for an order that comes without a basis.
	Known bool
	// Current is the number of the data centre's evacuation, 0 if it isn't evacuated, and Last
	// that of the latest evacuation of any data centre.
	Current, Last uint64
}

// BasisOf returns the basis of an order about a data centre that was sent when the evacuations
// were records, and last the number of the latest one.
func BasisOf(records []Record, last uint64, zone ident.Zone) Basis {
	r, _ := Find(records, zone)
	return Basis{Known: true, Current: r.Number, Last: last}
}

// Compare orders records by data centre.
func Compare(a, b Record) int { return cmp.Compare(a.Zone, b.Zone) }

// Same reports whether two lists name the same evacuations. It ignores their times: equal
// times may differ in representation.
func Same(a, b []Record) bool {
	return slices.EqualFunc(a, b, func(a, b Record) bool { return a.Zone == b.Zone && a.Number == b.Number })
}

// Changes returns the evacuations that are in force after and not before, and those that were
// in force before and whose data centre isn't evacuated after. Both lists must be in the order
// of Compare. An evacuation that ended and started again in between has started.
func Changes(before, after []Record) (started, ended []Record) {
	for _, r := range after {
		if known, found := Find(before, r.Zone); !found || known.Number != r.Number {
			started = append(started, r)
		}
	}
	for _, r := range before {
		if _, kept := Find(after, r.Zone); !kept {
			ended = append(ended, r)
		}
	}
	return started, ended
}

// Find returns the evacuation of a data centre. Records must be in the order of Compare.
func Find(records []Record, zone ident.Zone) (Record, bool) {
	at, found := slices.BinarySearchFunc(records, Record{Zone: zone}, Compare)
	if !found {
		return Record{}, false
	}
	return records[at], true
}
