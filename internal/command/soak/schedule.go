package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is one kind of disturbance.
type FaultKind string

// Disturbances of nodes, then of the links to nodes, then of upstreams.
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

// Fault is one disturbance of a node or an upstream.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Target is the index of the node or of the upstream.
	Target int           `json:"target"`
	At     time.Duration `json:"at"`
	For    time.Duration `json:"for"`
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

// TargetsUpstream tells a disturbance of an upstream from one of a node.
func (f Fault) TargetsUpstream() bool { return slices.Contains(upstreamFaults, f.Kind) }

const (
	// nodeFaultGap and upstreamFaultGap are the mean times between the end of one
	// disturbance and the next.
	nodeFaultGap     = time.Second
	upstreamFaultGap = 1500 * time.Millisecond
	// minFaultLength and maxFaultLength bound how long a disturbance lasts: from less than a
	// lease (2 s) to longer than one.
	minFaultLength = 100 * time.Millisecond
	maxFaultLength = 3500 * time.Millisecond
	// RecoveryTime is how long after a disturbance of one node the next one may be
	// disturbed: a replica with an empty disk needs some of it to vote again.
	RecoveryTime = 4 * time.Second
	// overlapFraction is the part of the disturbances of a node beside which a second
	// one of the same node begins.
	overlapFraction = 0.4
)

// GenerateFaults returns the disturbances of a run in the order of their beginnings. At
// most one node is disturbed at a time, often in several ways at once, and
// disturbances of upstreams overlap with all others.
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

func gap(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

func length(random *rand.Rand) time.Duration {
	return minFaultLength + time.Duration(random.Float64()*float64(maxFaultLength-minFaultLength))
}
