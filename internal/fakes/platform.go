package fakes

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
)

// PlatformOptions sets the platform's habits.
type PlatformOptions struct {
	// Listen is host:port; empty selects a free loopback port.
	Listen string
	// Lag is how long a change stays out of the list.
	Lag time.Duration
}

// Platform is a fake of the platform's lagging list of VMs.
type Platform struct {
	*server
	options PlatformOptions

	mu      sync.Mutex
	changes []vmChange
}

// vmChange is one change of the list; a removed VM has no state.
type vmChange struct {
	vm upstreamapi.VM
	at time.Time
}

// StartPlatform starts a platform on a free loopback port.
func StartPlatform(options PlatformOptions) (*Platform, error) {
	p := &Platform{options: options}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+upstreamapi.PathVMs, p.serveVMs)
	started, err := startServer(options.Listen, mux)
	if err != nil {
		return nil, err
	}
	p.server = started
	return p, nil
}

// SetLive lists a VM as live.
func (p *Platform) SetLive(address string) {
	p.recordChange(upstreamapi.VM{Address: address, State: upstreamapi.VMLive})
}

// SetLeaving lists a VM as leaving.
func (p *Platform) SetLeaving(address string) {
	p.recordChange(upstreamapi.VM{Address: address, State: upstreamapi.VMLeaving})
}

// Remove takes a VM off the list.
func (p *Platform) Remove(address string) {
	p.recordChange(upstreamapi.VM{Address: address})
}

func (p *Platform) recordChange(vm upstreamapi.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, vmChange{vm: vm, at: time.Now()})
}

// list returns the VMs as of the lag ago.
func (p *Platform) list() upstreamapi.VMList {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := map[string]upstreamapi.VMState{}
	var out upstreamapi.VMList
	for _, c := range p.changes {
		if time.Since(c.at) < p.options.Lag {
			break
		}
		states[c.vm.Address] = c.vm.State
		out.Version++
	}
	for address, state := range states {
		if state != "" {
			out.VMs = append(out.VMs, upstreamapi.VM{Address: address, State: state})
		}
	}
	slices.SortFunc(out.VMs, func(a, b upstreamapi.VM) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

func (p *Platform) serveVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.list())
}
