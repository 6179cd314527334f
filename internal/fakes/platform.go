package fakes

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
)

// PlatformOptions configures a fake platform.
type PlatformOptions struct {
	// Listen is the address to listen on, as host:port; empty selects a free
	// loopback port.
	Listen string
	// Lag is the delay before a change appears in the list.
	Lag time.Duration
}

// Platform is a fake of the platform that serves its list of VMs with a delay.
type Platform struct {
	*server
	options PlatformOptions

	mu sync.Mutex
	// changes holds all changes of the list, oldest first.
	changes []vmChange
}

// vmChange is one change of the list. An empty state means that the VM was removed.
type vmChange struct {
	vm upstreamapi.VM
	at time.Time
}

// StartPlatform starts a platform that listens on options.Listen.
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

// SetLive adds a VM with the state live, or sets the state of a listed VM.
func (p *Platform) SetLive(address string) {
	p.recordChange(upstreamapi.VM{Address: address, State: upstreamapi.VMLive})
}

// SetLeaving adds a VM with the state leaving, or sets the state of a listed VM.
func (p *Platform) SetLeaving(address string) {
	p.recordChange(upstreamapi.VM{Address: address, State: upstreamapi.VMLeaving})
}

// Remove removes a VM from the list.
func (p *Platform) Remove(address string) {
	p.recordChange(upstreamapi.VM{Address: address})
}

func (p *Platform) recordChange(vm upstreamapi.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, vmChange{vm: vm, at: time.Now()})
}

// list returns the list as it was options.Lag ago, sorted by address. Its version
// is the number of changes applied.
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
