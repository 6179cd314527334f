package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestHealth_LastUpstreamBesideAnEvacuation guards against load that silences the only upstream
// left beside evacuated ones and ejects it as one of several, so that all requests are
// refused.
func TestHealth_LastUpstreamBesideAnEvacuation(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		v := testView()
		for i := range v.Upstreams {
			v.Upstreams[i].Version = "v1"
			v.Upstreams[i].Evacuated = evacuated && i > 0
		}
		p := openPool(v)
		last, other := p.engines[v.Upstreams[0].Name], p.engines[v.Upstreams[1].Name]
		p.ejectUnlessHalfOut(last, time.Second)
		must.Eq(t, !evacuated, last.health.ejected)
		if evacuated {
			p.ejectUnlessHalfOut(other, time.Second)
			must.True(t, other.health.ejected)
		}
	}
}
