package agent

import (
	"context"
	"net/url"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/membership"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// platformPollInterval is the interval at which the platform's list of VMs is
	// polled.
	platformPollInterval = 500 * time.Millisecond
	// platformTimeout bounds one poll.
	platformTimeout = 2 * time.Second
)

// platformLoop polls the platform's list of live and leaving VMs. Every node
// polls it, so that a node that is cut off from the control service also stops
// using leaving VMs.
func (a *Agent) platformLoop() {
	host := a.settings.PlatformURL
	if u, err := url.Parse(host); err == nil {
		host = u.Host
	}
	start := time.Now()
	tracker := membership.NewTracker(membership.Options{})
	for a.ctx.Err() == nil {
		a.pollPlatform(host, tracker, start)
		sleep(a.ctx, platformPollInterval)
	}
}

func (a *Agent) pollPlatform(host string, tracker *membership.Tracker, start time.Time) {
	ctx, cancel := context.WithTimeout(a.ctx, platformTimeout)
	defer cancel()
	list, err := a.sender.VMs(ctx, host)
	if err != nil {
		return
	}
	for _, change := range tracker.Poll(toSnapshot(list), time.Since(start)) {
		a.events.Record(timeline.Event{
			Kind:   timeline.KindUpstream,
			Detail: change.Address + " is " + string(change.Now),
		})
		klog.InfoS("upstream VM changed", "address", change.Address, "was", change.Was, "now", change.Now)
	}
	cfg, _ := a.view.Config()
	if a.view.SetLeaving(tracker.Leaving(&cfg)) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.updateRunners()
	}
}

func toSnapshot(list *upstreamapi.VMList) membership.Snapshot {
	snapshot := membership.Snapshot{Version: list.Version}
	for _, vm := range list.VMs {
		snapshot.VMs = append(snapshot.VMs, membership.VM{Address: vm.Address, State: membership.State(vm.State)})
	}
	return snapshot
}
