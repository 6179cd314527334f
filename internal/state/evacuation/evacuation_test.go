package evacuation

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestChanges guards against an evacuation that isn't recorded because it ended and started
// again between two views of a node.
func TestChanges(t *testing.T) {
	before := []Record{{Zone: "a", Number: 1}, {Zone: "b", Number: 2}, {Zone: "c", Number: 3}}
	after := []Record{{Zone: "a", Number: 1}, {Zone: "c", Number: 5}, {Zone: "d", Number: 4}}
	started, ended := Changes(before, after)
	must.Eq(t, after[1:], started)
	must.Eq(t, before[1:2], ended)
	started, ended = Changes(after, after)
	must.SliceEmpty(t, started)
	must.SliceEmpty(t, ended)
}
