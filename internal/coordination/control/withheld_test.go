package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// TestWithheld_ForgottenOnceGone guards against withheld versions that fill the replicated state,
// and against forgetting one that is listed or whose upstreams only restart.
func TestWithheld_ForgottenOnceGone(t *testing.T) {
	c := fleetCluster(map[ident.NodeID]uint32{"r1": machine.FeatureLevel, "r2": machine.FeatureLevel})
	leader := c.replicas[0]
	term, now := c.term, time.Now()
	list := func(complete bool, versions ...ident.VersionName) {
		found := make([]Discovered, len(versions))
		for i, v := range versions {
			found[i] = Discovered{Name: ident.UpstreamName(v), Upstream: config.Upstream{Pool: "p", Version: v}}
		}
		leader.service.SetUpstreams(found, complete)
	}
	roll := func(target ident.VersionName) {
		record, _ := leader.machine.Rollout("p")
		var reply RolloutReply
		must.NoError(t, leader.service.StartRollout(&StartRolloutArgs{Order: rollout.Order{Pool: "p", Target: target, Duration: time.Minute}, Basis: record.Basis()}, &reply))
		must.Eq(t, "", reply.Refusal)
		must.NoError(t, leader.service.EndRollout(&EndRolloutArgs{End: rollout.End{Pool: "p", Number: reply.Record.Number, State: rollout.StateRolledBack}}, &reply))
	}
	check := func(after time.Duration) (versions []ident.VersionName) {
		now = now.Add(after)
		leader.service.forgetVersions(term, now)
		r, _ := leader.machine.Rollout("p")
		for _, w := range r.Withheld {
			versions = append(versions, w.Version)
		}
		return versions
	}
	for _, v := range []ident.VersionName{"v2", "v3", "v4"} {
		roll(v)
	}
	all := []ident.VersionName{"v2", "v3"}
	// As long as the list may be incomplete, nothing is forgotten.
	must.Eq(t, all, check(0))
	must.Eq(t, all, check(2*withheldRetention))
	list(true, "v1", "v2")
	must.Eq(t, all, check(withheldInterval))
	must.Eq(t, all, check(withheldRetention-time.Second))
	// A version that is listed again counts from its next absence.
	list(true, "v1", "v2", "v3")
	must.Eq(t, all, check(withheldInterval))
	list(true, "v1", "v2")
	must.Eq(t, all, check(withheldInterval))
	must.Eq(t, all, check(withheldRetention-time.Second))
	must.Eq(t, []ident.VersionName{"v2"}, check(withheldInterval))
	must.Eq(t, []ident.VersionName{"v2"}, check(10*withheldRetention))

	for i := range maxWithheld + 5 {
		roll(ident.VersionName(fmt.Sprintf("w%d", i)))
	}
	kept := check(withheldInterval)
	must.SliceLen(t, maxWithheld, kept)
	must.SliceContains(t, kept, "v2")
	c.elect(leader)
	must.SliceLen(t, maxWithheld, check(withheldInterval))
}
