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
	// platformInterval is the time between two askings for the list of VMs.
	platformInterval = 500 * time.Millisecond
	// platformTimeout bounds one asking.
	platformTimeout = 2 * time.Second
)

// platformLoop follows the platform's list of live and leaving VMs. Every node
// asks for itself, so that a node cut off from control heeds it too.
func (a *Agent) platformLoop() {
	host := a.settings.PlatformURL
	if u, err := url.Parse(host); err == nil {
		host = u.Host
	}
	origin := time.Now()
	tracker := membership.NewTracker(membership.Options{})
	for a.ctx.Err() == nil {
		a.askPlatform(host, tracker, origin)
		sleep(a.ctx, platformInterval)
	}
}

func (a *Agent) askPlatform(host string, tracker *membership.Tracker, origin time.Time) {
	ctx, cancel := context.WithTimeout(a.ctx, platformTimeout)
	defer cancel()
	list, err := a.sender.VMs(ctx, host)
	if err != nil {
		return
	}
	for _, change := range tracker.Poll(snapshotOf(list), time.Since(origin)) {
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

func snapshotOf(list *upstreamapi.VMList) membership.Snapshot {
	snapshot := membership.Snapshot{Version: list.Version}
	for _, vm := range list.VMs {
		snapshot.VMs = append(snapshot.VMs, membership.VM{Address: vm.Address, State: membership.State(vm.State)})
	}
	return snapshot
}
