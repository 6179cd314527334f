package agent

import (
	"context"
	"net/url"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
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
	for a.ctx.Err() == nil {
		a.askPlatform(host)
		sleep(a.ctx, platformInterval)
	}
}

func (a *Agent) askPlatform(host string) {
	ctx, cancel := context.WithTimeout(a.ctx, platformTimeout)
	defer cancel()
	list, err := a.sender.VMs(ctx, host)
	if err != nil {
		return
	}
	leaving := make(map[string]struct{})
	for _, vm := range list.VMs {
		if vm.State == upstreamapi.VMLeaving {
			leaving[vm.Address] = struct{}{}
		}
	}
	if !a.view.SetLeaving(leaving) {
		return
	}
	klog.InfoS("leaving upstreams changed", "count", len(leaving))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updateRunners()
}
