package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is one kind of injected fault.
type FaultKind string

// Faults of nodes, then of the links to nodes, then of upstreams.
const (
	FaultPause     FaultKind = "pause"
	FaultKill      FaultKind = "kill"
	FaultTerminate FaultKind = "terminate"
	FaultEmptyDisk FaultKind = "empty disk"
	FaultTornLog   FaultKind = "torn log"
	FaultSilence   FaultKind = "silence"
	FaultOneWay    FaultKind = "one way"
	FaultReset     FaultKind = "reset"
	FaultDelay     FaultKind = "delay"

	FaultUpstreamSilence FaultKind = "upstream silence"
	FaultUpstreamReset   FaultKind = "upstream reset"
	FaultUpstreamSlow    FaultKind = "upstream slow"
	FaultUpstreamErrors  FaultKind = "upstream errors"
)

// Fault is one injected fault of a node or an upstream.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Target is the index of the node or of the upstream.
	Target int `json:"target"`
	// At is the start of the fault, from the start of the run; For is its length.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
}

// String implements fmt.Stringer.
func (f Fault) String() string {
	target := "node"
	if f.TargetsUpstream() {
		target = "upstream"
	}
	return fmt.Sprintf("%s of %s %d for %s", f.Kind, target, f.Target+1, f.For.Round(time.Millisecond))
}

var (
	nodeFaults = []FaultKind{
		FaultPause, FaultPause, FaultKill, FaultKill, FaultTerminate, FaultEmptyDisk, FaultTornLog,
		FaultSilence, FaultOneWay, FaultReset, FaultReset, FaultDelay,
	}
	upstreamFaults = []FaultKind{FaultUpstreamSilence, FaultUpstreamReset, FaultUpstreamSlow, FaultUpstreamErrors}
)

// TargetsUpstream reports whether the fault is one of an upstream, not of a node.
func (f Fault) TargetsUpstream() bool { return slices.Contains(upstreamFaults, f.Kind) }

const (
	// nodeFaultGap is the mean time from the end of RecoveryTime after a node's
	// faults to the next node fault. upstreamFaultGap is the mean time between the
	// starts of two upstream faults.
	nodeFaultGap     = time.Second
	upstreamFaultGap = 1500 * time.Millisecond
	// minFaultLength and maxFaultLength limit the length of a fault: from shorter
	// than a lease (2 s) to longer than one.
	minFaultLength = 100 * time.Millisecond
	maxFaultLength = 3500 * time.Millisecond
	// RecoveryTime is the shortest time from the end of a node's faults to the next
	// fault of any node: a replica with an empty disk needs part of it to become a
	// voter again.
	RecoveryTime = 4 * time.Second
	// overlapFraction is the fraction of node faults during which a second fault of
	// the same node starts.
	overlapFraction = 0.4
)

// GenerateFaults returns the faults of a run, sorted by start. The same arguments
// give the same faults. At most one node is faulty at a time, with up to two
// overlapping faults. Upstream faults may overlap with each other and with those
// of nodes.
func GenerateFaults(seed uint64, duration time.Duration, nodes, upstreams int) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var faults []Fault
	for at := gap(random, nodeFaultGap); at < duration; {
		f := Fault{Kind: nodeFaults[random.IntN(len(nodeFaults))], Target: random.IntN(nodes), At: at, For: length(random)}
		faults = append(faults, f)
		end := f.At + f.For
		if random.Float64() < overlapFraction {
			second := Fault{Kind: nodeFaults[random.IntN(len(nodeFaults))], Target: f.Target, For: length(random)}
			second.At = min(duration-1, f.At+time.Duration(random.Float64()*float64(f.For)))
			faults = append(faults, second)
			end = max(end, second.At+second.For)
		}
		at = end + RecoveryTime + gap(random, nodeFaultGap)
	}
	for at := gap(random, upstreamFaultGap); at < duration; at += gap(random, upstreamFaultGap) {
		f := Fault{Kind: upstreamFaults[random.IntN(len(upstreamFaults))], Target: random.IntN(upstreams), At: at, For: length(random)}
		faults = append(faults, f)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}

// gap returns an exponentially distributed duration.
func gap(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// length returns a uniformly distributed fault length.
func length(random *rand.Rand) time.Duration {
	return minFaultLength + time.Duration(random.Float64()*float64(maxFaultLength-minFaultLength))
}
