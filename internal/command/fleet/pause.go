package fleet

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/arrival"
)

const (
	// pauseCheckInterval is the interval at which a process looks whether it has run all the
	// while, and minPause by how much more than that counts as a pause.
	pauseCheckInterval = arrival.TickInterval
	minPause           = 500 * time.Millisecond
)

// pausedFor returns for how long a process that meant to look again after pauseCheckInterval did
// not run, including suspensions of the VM; 0 if it ran or was only briefly delayed.
func pausedFor(last, now time.Duration) time.Duration {
	if late := now - last - pauseCheckInterval; late >= minPause {
		return late
	}
	return 0
}

// pauseLoop records pauses of the process. After one it syncs at once: the sync in progress may
// wait for the reply of a leader that is none any more. On a replica it also reports a write to
// the log that has not ended for long, since a disk may hang for good.
func (n *Node) pauseLoop() {
	last := boottime.Now()
	slow := false
	for n.ctx.Err() == nil {
		sleep(n.ctx, pauseCheckInterval)
		now := boottime.Now()
		n.pauses.Tick(now)
		if paused := pausedFor(last, now); paused > 0 {
			age, known, _ := n.proof.age(now)
			n.events.Record(timeline.Event{Kind: timeline.KindProcess, Detail: fmt.Sprintf("did not run for %d ms", paused.Milliseconds())})
			klog.InfoS("the process did not run", "node", n.settings.Name, "pausedMs", paused.Milliseconds(), "proofKnown", known, "proofAgeMs", age.Milliseconds())
			n.triggerSync()
		}
		last = now
		if n.replica != nil {
			slow = n.reportSlowWrite(slow)
		}
	}
}

// reportSlowWrite writes a line about a slow write that is in progress unless it was reported
// before, and returns whether there is one.
func (n *Node) reportSlowWrite(reported bool) bool {
	writing := n.replica.node.Status().Writing
	slow := writing >= consensus.SlowWrite
	if slow && !reported {
		klog.InfoS("the disk is slow, a write to the log has not ended", "node", n.settings.Name, "afterMs", writing.Milliseconds())
	}
	return slow
}
