package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

// TestFreshConns_NewConnectionsBreak replays a gateway whose new connections to an upstream
// break while others have answers: requests must keep to connections from before, except
// for one trial at a time, until one on a new connection is answered.
func TestFreshConns_NewConnectionsBreak(t *testing.T) {
	var f freshConns
	start := time.Now()
	grant := &scheduler.Grant{Upstream: "u0", Peer: "g2"}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	must.False(t, f.mustReuse(grant, false, at(0)))
	must.True(t, f.failed("u0", at(0)))
	must.False(t, f.failed("u0", at(time.Millisecond)))

	must.False(t, f.mustReuse(grant, false, at(peerAdvantage)), must.Sprint("the other gateway may have had its answer before"))
	must.True(t, f.mustReuse(grant, false, at(2*peerAdvantage)))
	must.False(t, f.mustReuse(&scheduler.Grant{Upstream: "u0"}, false, at(2*peerAdvantage)), must.Sprint("no other gateway reaches it"))
	must.False(t, f.mustReuse(&scheduler.Grant{Upstream: "u1", Peer: "g2"}, false, at(2*peerAdvantage)))

	must.False(t, f.mustReuse(grant, true, at(3*peerAdvantage)), must.Sprint("a trial"))
	must.True(t, f.mustReuse(grant, true, at(4*peerAdvantage)))
	must.False(t, f.mustReuse(grant, true, at(3*peerAdvantage+freshTrialInterval)))
	must.False(t, f.mustReuse(grant, false, at(2*failureRetention)), must.Sprint("old failures don't count"))

	f.failed("u0", at(time.Second))
	must.True(t, f.answered("u0"))
	must.False(t, f.answered("u0"))
	must.False(t, f.mustReuse(grant, false, at(2*time.Second)))
}
