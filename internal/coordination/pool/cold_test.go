package pool

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

// TestColdUpstreams_LatestEndHolds checks that an older or shorter notice ends no cold time, that
// an answer shows that an upstream hasn't ended, and that what is over isn't kept.
func TestColdUpstreams_LatestEndHolds(t *testing.T) {
	u, now := make(coldUpstreams), time.Unix(1000, 0)
	must.True(t, u.add(scheduler.ColdNotice{Upstream: "a", For: 5 * time.Second}, now))
	must.False(t, u.add(scheduler.ColdNotice{Upstream: "a", For: time.Second}, now))
	must.Eq(t, []scheduler.ColdNotice{{Upstream: "a", For: 4 * time.Second}}, u.notices(now.Add(time.Second)))
	must.True(t, u.add(scheduler.ColdNotice{Upstream: "a", Ended: true}, now))
	must.Eq(t, []scheduler.ColdNotice{{Upstream: "a", For: 5 * time.Second, Ended: true}}, u.notices(now))
	u.answered("a")
	must.Eq(t, []scheduler.ColdNotice{{Upstream: "a", For: 5 * time.Second}}, u.notices(now))
	must.SliceEmpty(t, u.notices(now.Add(5*time.Second)))
	u.add(scheduler.ColdNotice{Upstream: "b", For: time.Second}, now.Add(6*time.Second))
	must.MapLen(t, 1, u)
}

// TestSpread_Cold checks that gateways are told once of each change, with what is left of the cold
// time, and of an end until the upstream answers.
func TestSpread_Cold(t *testing.T) {
	s, now := spread{}, time.Unix(1000, 0)
	must.SliceEmpty(t, s.coldSince(0, now))
	s.addCold(scheduler.ColdChange{Upstream: "a", For: 5 * time.Second}, now)
	s.addCold(scheduler.ColdChange{Upstream: "b", Ended: true}, now)
	must.Eq(t, []scheduler.ColdNotice{{Upstream: "b", Ended: true}}, s.coldSince(1, now))
	must.Len(t, 2, s.coldSince(0, now.Add(time.Second)))
	must.SliceEmpty(t, s.coldSince(2, now))
	s.addCold(scheduler.ColdChange{Upstream: "b", For: 3 * time.Second}, now.Add(2*time.Second))
	must.Eq(t, []scheduler.ColdNotice{{Upstream: "b", For: 3 * time.Second}}, s.coldSince(2, now.Add(2*time.Second)))
	s.addCold(scheduler.ColdChange{Upstream: "c", For: time.Second}, now.Add(time.Minute))
	must.MapLen(t, 1, s.cold)
}

// TestNotice_ColdWithoutLimit checks that an upstream which says that it is cold causes no message
// where the configuration has no limit for cold upstreams.
func TestNotice_ColdWithoutLimit(t *testing.T) {
	for _, limited := range []bool{false, true} {
		c := NewClient("p", "g1", 1, nil, nil)
		c.LimitCold(limited)
		c.running["r1"] = &runningRequest{grant: scheduler.Grant{Ticket: "r1", Upstream: "u"}}
		c.Notice("r1", scheduler.UpstreamNotice{Cold: scheduler.NoticeNamed, ColdFor: time.Minute})
		must.Eq(t, limited, len(c.reports.list(time.Now())) == 1)
		must.Eq(t, limited, len(c.cold) == 1)
	}
}
