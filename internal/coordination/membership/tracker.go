// Package membership decides which upstreams may get new work, based on the
// platform's list of VMs, which lags behind. It also decides which addresses
// callers are given and when a draining node may exit. It does no I/O and reads
// no clock: times are passed in as the time since a fixed origin of the process.
package membership

import (
	"net"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
)

// State is the state of a VM according to the platform.
type State string

const (
	// StateLive marks a VM that the platform lists as live.
	StateLive State = "live"
	// StateLeaving marks a VM that the platform lists as leaving.
	StateLeaving State = "leaving"
	// StateGone marks a VM that was listed and is missing from a newer list.
	StateGone State = "gone"
)

// VM is one entry of the platform's list.
type VM struct {
	// Address is the VM's IP address, or host:port of one upstream on it.
	Address string
	State   State
}

// Snapshot is one response of the platform. Version increases with every change.
type Snapshot struct {
	Version uint64
	VMs     []VM
}

const (
	// DefaultStaleAfter is the default of Options.StaleAfter.
	DefaultStaleAfter = 30 * time.Second
	// DefaultLossLimit is the default of Options.LossLimit.
	DefaultLossLimit = 0.5
)

// Options configures a Tracker. The zero value selects the defaults.
type Options struct {
	// StaleAfter is how long after the last response the list counts as stale.
	StaleAfter time.Duration
	// LossLimit is the part of the live VMs, 0 to 1, that may be missing from the
	// next list without having been listed as leaving. A list that drops more,
	// and more than one VM, counts as damaged: the missing VMs stay live.
	LossLimit float64
}

// Change is a change of one VM's state. Was is empty for a new VM.
type Change struct {
	Address string
	Was     State
	Now     State
}

type vmRecord struct {
	state State
	// version is the version of the list that set the state.
	version uint64
}

// Tracker keeps the states of VMs from the platform's lists. A VM that is leaving
// or gone stays so until a newer list names it as live: an old or stale list
// neither restores nor removes VMs.
type Tracker struct {
	opts       Options
	version    uint64
	polled     bool
	lastAnswer time.Duration
	vms        map[string]vmRecord
}

// NewTracker returns a tracker that has seen no list.
func NewTracker(o Options) *Tracker {
	if o.StaleAfter <= 0 {
		o.StaleAfter = DefaultStaleAfter
	}
	if o.LossLimit <= 0 {
		o.LossLimit = DefaultLossLimit
	}
	return &Tracker{opts: o, vms: make(map[string]vmRecord)}
}

// Poll applies a response of the platform and returns what changed, sorted by
// address. A response whose version is not newer only adds unknown VMs and marks
// VMs as leaving: a VM named as leaving gets no new work, whatever the age of the
// list, unless a newer list named it as live.
func (t *Tracker) Poll(s Snapshot, now time.Duration) []Change {
	newer := !t.polled || s.Version > t.version
	if !t.polled || s.Version >= t.version {
		t.lastAnswer = now
	}
	var changes []Change
	listed := make(map[string]bool, len(s.VMs))
	for _, vm := range s.VMs {
		listed[vm.Address] = true
		changes = t.set(changes, vm, s.Version)
	}
	if newer {
		t.polled = true
		t.version = s.Version
		changes = t.markGone(changes, listed)
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return changes
}

func (t *Tracker) set(changes []Change, vm VM, version uint64) []Change {
	old, seen := t.vms[vm.Address]
	if seen && version < old.version {
		return changes
	}
	if seen && version == old.version && vm.State == StateLive {
		return changes
	}
	t.vms[vm.Address] = vmRecord{state: vm.State, version: version}
	if old.state == vm.State {
		return changes
	}
	return append(changes, Change{Address: vm.Address, Was: old.state, Now: vm.State})
}

// markGone marks the VMs that are missing from the newest list as gone, unless
// the list is damaged.
func (t *Tracker) markGone(changes []Change, listed map[string]bool) []Change {
	live, missing := 0, 0
	for address, vm := range t.vms {
		if vm.state == StateLive {
			live++
			if !listed[address] {
				missing++
			}
		}
	}
	damaged := float64(missing) > t.opts.LossLimit*float64(live) && missing > 1
	for address, vm := range t.vms {
		if listed[address] || (vm.state == StateLive && damaged) {
			continue
		}
		t.vms[address] = vmRecord{state: StateGone, version: t.version}
		if vm.state != StateGone {
			changes = append(changes, Change{Address: address, Was: vm.state, Now: StateGone})
		}
	}
	return changes
}

// Stale reports whether the last response of the platform is older than
// StaleAfter. The states of the VMs are kept meanwhile.
func (t *Tracker) Stale(now time.Duration) bool {
	return !t.polled || now-t.lastAnswer > t.opts.StaleAfter
}

// MayServe reports whether the upstream at address, host:port, may get new work.
// A VM that was never listed may, because the list lags behind.
func (t *Tracker) MayServe(address string) bool {
	if !t.live(address) {
		return false
	}
	host, _, err := net.SplitHostPort(address)
	return err != nil || t.live(host)
}

func (t *Tracker) live(address string) bool {
	vm, seen := t.vms[address]
	return !seen || vm.state == StateLive
}

// Leaving returns the addresses of the configured upstreams that get no new work.
func (t *Tracker) Leaving(c *config.Config) map[string]struct{} {
	leaving := make(map[string]struct{})
	for _, u := range c.Upstreams {
		if !t.MayServe(u.Address) {
			leaving[u.Address] = struct{}{}
		}
	}
	return leaving
}
