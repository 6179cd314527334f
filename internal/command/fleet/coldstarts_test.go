package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// coldList plays reads of the platform's list against coldStarts, with what the nodes know.
type coldList struct {
	starts  coldStarts
	known   map[ident.UpstreamName]control.Discovered
	now     time.Time
	changes int
}

// read distributes one entry, which stays cold for left.
func (l *coldList) read(left time.Duration) control.Discovered {
	found := []control.Discovered{{Name: "u@1", ColdFor: left}}
	l.starts.update(found, func(name ident.UpstreamName) control.Discovered { return l.known[name] }, l.now)
	if found[0] != l.known["u@1"] {
		l.changes++
	}
	if l.known == nil {
		l.known = make(map[ident.UpstreamName]control.Discovered)
	}
	l.known["u@1"] = found[0]
	l.starts.dropUnlisted(l.now)
	return found[0]
}

func (l *coldList) wait(d time.Duration) { l.now = l.now.Add(d) }

// TestColdStarts_FewChanges checks that one cold time is distributed twice, when it begins and
// when it is over, although each read names another rest of it, with an age that varies; and that
// a longer one and a second one under the same name are distributed.
func TestColdStarts_FewChanges(t *testing.T) {
	l := coldList{now: time.Unix(1000, 0)}
	must.Eq(t, control.Discovered{Name: "u@1"}, l.read(0))
	must.Zero(t, l.starts.known["u@1"].number)
	l.changes = 0
	first := l.read(5 * time.Second)
	must.Eq(t, 5*time.Second, first.ColdFor)
	must.Positive(t, first.ColdNumber)
	for i := range 10 {
		l.wait(500 * time.Millisecond)
		must.Eq(t, first, l.read(5*time.Second-time.Duration(i)*500*time.Millisecond+time.Duration(i%3)*100*time.Millisecond))
	}
	l.wait(time.Second)
	over := l.read(0)
	must.Zero(t, over.ColdFor)
	must.Eq(t, first.ColdNumber, over.ColdNumber)
	must.Eq(t, 2, l.changes)
	l.wait(time.Minute)
	second := l.read(3 * time.Second)
	must.Greater(t, first.ColdNumber, second.ColdNumber)
	must.Eq(t, 3*time.Second, second.ColdFor)
	l.wait(500 * time.Millisecond)
	longer := l.read(5 * time.Second)
	must.Greater(t, second.ColdNumber, longer.ColdNumber)
	// A read that says too early that it is over doesn't end it.
	l.wait(time.Second)
	must.Eq(t, longer, l.read(0))
}

// TestColdStarts_NewLeader checks that a leader that has only what nodes know distributes a cold
// time once more at most, with a number that nodes have not had.
func TestColdStarts_NewLeader(t *testing.T) {
	l := coldList{now: time.Unix(1000, 0)}
	before := l.read(5 * time.Second)
	l.wait(time.Second)
	l.starts, l.changes = coldStarts{}, 0
	for range 6 {
		after := l.read(3500 * time.Millisecond)
		must.Greater(t, before.ColdNumber, after.ColdNumber)
		must.Eq(t, 1, l.changes)
	}
	// One that begins after the cold time ends it.
	l.starts = coldStarts{}
	l.wait(10 * time.Second)
	must.Zero(t, l.read(0).ColdFor)
}

// TestColdStarts_MissingForOneRead checks that an entry that the list leaves out for one read, or
// for longer than its record is kept, gets no number again that nodes have had: they would
// take its next cold time for the former one.
func TestColdStarts_MissingForOneRead(t *testing.T) {
	l := coldList{now: time.Unix(1000, 0)}
	first := l.read(5 * time.Second)
	delete(l.known, "u@1")
	l.wait(500 * time.Millisecond)
	l.starts.dropUnlisted(l.now)
	l.wait(500 * time.Millisecond)
	must.Eq(t, first, l.read(4*time.Second))
	delete(l.known, "u@1")
	l.wait(2 * unlistedRetention)
	l.starts.dropUnlisted(l.now)
	must.MapEmpty(t, l.starts.known)
	must.Greater(t, first.ColdNumber, l.read(5*time.Second).ColdNumber)
}

// TestDropUnlimitedCold checks that the rest of a cold time, which changes with each read, isn't
// distributed in a deployment whose configuration has no limit for cold upstreams.
func TestDropUnlimitedCold(t *testing.T) {
	n := &Node{follower: &control.FleetFollower{}}
	found := []control.Discovered{{Name: "u@1", Upstream: config.Upstream{Pool: "p"}, ColdFor: time.Second}}
	n.dropUnlimitedCold(found)
	n.coldStarts.update(found, func(ident.UpstreamName) control.Discovered { return control.Discovered{} }, time.Unix(1000, 0))
	must.Eq(t, control.Discovered{Name: "u@1", Upstream: config.Upstream{Pool: "p"}}, found[0])
	must.MapEmpty(t, n.coldStarts.known)
}
