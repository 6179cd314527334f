package agent

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// recordEvacuations records the evacuations that have come into force at this node, or have
// ended, since the last call.
func (a *Agent) recordEvacuations() {
	known := a.view.Evacuations()
	started, ended := evacuation.Changes(a.evacuations, known)
	a.evacuations = known
	for _, r := range started {
		a.events.Record(timeline.Event{
			Kind:   timeline.KindEvacuation,
			Detail: fmt.Sprintf("data centre %s is evacuated, ordered by %s at %s", r.Zone, r.By, r.At.UTC().Format(time.RFC3339Nano)),
		})
		klog.InfoS("data centre is evacuated", "zone", r.Zone, "by", r.By, "at", r.At)
	}
	for _, r := range ended {
		a.events.Record(timeline.Event{
			Kind: timeline.KindEvacuation, Detail: fmt.Sprintf("the evacuation of data centre %s has ended", r.Zone),
		})
		klog.InfoS("evacuation has ended", "zone", r.Zone)
	}
}

// inFlight returns the number of requests that this node's gateway has sent to the upstreams
// of each data centre and that have not ended. Requests at upstreams that are no longer
// configured count for no data centre.
func (a *Agent) inFlight() map[ident.Zone]int {
	cfg, _ := a.view.Config()
	a.mu.Lock()
	defer a.mu.Unlock()
	sent := make(map[ident.Zone]int)
	for _, c := range a.clients {
		for name, requests := range c.InFlight() {
			if u, configured := cfg.Upstreams[name]; configured {
				sent[u.Zone] += requests
			}
		}
	}
	return sent
}
