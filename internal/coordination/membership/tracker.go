// Package membership decides which upstreams may get new work, from the
// platform's lagging list of VMs, which addresses callers are told, and when a
// draining node may exit. It does no I/O and reads no clock: time is passed in
// as the time since an arbitrary fixed origin of the process.
package membership

import (
	"net"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
)

// State is what the platform says of a VM.
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
	// Address is the VM's IP number, or host:port of one upstream on it.
	Address string
	State   State
}

// Snapshot is one answer of the platform. Version grows with every change.
type Snapshot struct {
	Version uint64
	VMs     []VM
}

const (
	// DefaultStaleAfter is how long the list may fail to answer.
	DefaultStaleAfter = 30 * time.Second
	// DefaultLossLimit is the part of the live VMs that one list may drop.
	DefaultLossLimit = 0.5
)

// Options adjust a Tracker. The zero value selects the defaults.
type Options struct {
	// StaleAfter is how long after the last answer the list counts as stale.
	StaleAfter time.Duration
	// LossLimit is the part of the live VMs, 0 to 1, that may go missing from
	// one list to the next without having been listed as leaving. A list that
	// drops more is taken as damaged: the missing ones stay live.
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
	// version is the list that gave the state.
	version uint64
}

// Tracker follows the platform's list. A VM once leaving or gone stays so until
// a newer list names it live: neither an old list nor a list that stopped
// brings it back, and a list that stopped takes nobody away.
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

// Poll takes in an answer of the platform and returns what changed, sorted by
// address. An answer of a version that was seen, or of an older one, changes
// nothing but leaving: a VM named as leaving gets no new work, whatever the
// list's age, unless a newer list named it live.
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

// markGone marks the VMs that the newest list no longer names.
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

// Stale reports whether the list has not answered for too long. States are
// kept meanwhile.
func (t *Tracker) Stale(now time.Duration) bool {
	return !t.polled || now-t.lastAnswer > t.opts.StaleAfter
}

// MayServe reports whether the upstream at address, host:port, may get new
// work. A VM that was never listed may: the list lags.
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
