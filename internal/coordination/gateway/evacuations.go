package gateway

import (
	"fmt"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// Evacuations knows the upstreams whose data centres are evacuated.
type Evacuations interface {
	// Evacuated returns the upstreams of a pool that get no new requests because their data
	// centres are evacuated; all is true if the pool has no others.
	Evacuated(pool ident.PoolName) (names []ident.UpstreamName, all bool)
}

// SetEvacuations makes the gateway tell its schedulers of evacuations that they don't know
// yet. It must be called before the gateway serves.
func (g *Gateway) SetEvacuations(e Evacuations) { g.evacuations = e }

// excludeEvacuated adds the evacuated upstreams of the request's pool to those that it must
// not go to, after the grant of one was not used. Until the scheduler knows of the evacuation, it would grant one after the other
// of them: they are idle, because no gateway uses its grants. The failure is not nil if no
// upstream is left.
func (g *Gateway) excludeEvacuated(r *Request, granted ident.UpstreamName, excluded []ident.UpstreamName) ([]ident.UpstreamName, *Failure) {
	if g.evacuations == nil {
		return excluded, nil
	}
	names, all := g.evacuations.Evacuated(r.Pool)
	if slices.Contains(names, granted) {
		g.record(r, timeline.KindAttemptEnded, fmt.Sprintf("not sent: the data centre of %s is evacuated", granted))
	}
	if all {
		return excluded, &Failure{
			Reason: Reason(scheduler.ReasonNoUpstream), NotRun: true, RetryAfter: unsentRetryAfter,
			Message: "the data centres of all upstreams are evacuated",
		}
	}
	for _, name := range names {
		if !slices.Contains(excluded, name) {
			excluded = append(excluded, name)
		}
	}
	return excluded, nil
}
