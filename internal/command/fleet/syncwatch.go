package fleet

import (
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// syncTimes returns how long a sync may wait for a change at the replica, and by when after the
// sending of the first unanswered one a reply is due. members is the number of members that the
// node knows. Only the replica that served the latest sync may let one wait: any other one
// replies at once, so that one that is stuck differs from one that waits for a change. The same
// holds for a sync after an interrupted one, or else a node with many reports would have no proof
// that its configuration is the newest.
func syncTimes(members int, b syncBegin) (hold, timeout time.Duration) {
	hold = control.SyncHold(members)
	switch {
	case members == 0:
		return 0, firstSyncTimeout
	case !b.servedLast:
		return 0, probeTimeout + time.Duration(members)*probeTimePerMember
	case b.interrupted:
		return 0, hold + callTimeout
	default:
		return hold, hold + callTimeout
	}
}

// syncWatch follows which replica serves a node's syncs and since when one leaves them
// unanswered. A node interrupts its sync to send a report, and a connection on which nothing arrives
// any more looks the same as a leader that waits, so that the time of the interrupted ones
// counts. It is safe for concurrent use.
type syncWatch struct {
	mu sync.Mutex
	// served is the replica that served the latest sync; empty after a failure.
	served ident.NodeID
	// asked is the replica that the open or interrupted syncs were sent to, and unanswered the
	// sending of the first of them; zero if there are none.
	asked      ident.NodeID
	unanswered time.Time
}

// syncBegin describes a sync that is sent.
type syncBegin struct {
	// servedLast is true if the replica served the latest sync, and interrupted if the node
	// has interrupted one since.
	servedLast, interrupted bool
	// unanswered is when the first of the syncs was sent that the replica has not answered.
	unanswered time.Time
}

// begin records that a sync is sent to a replica.
func (w *syncWatch) begin(to ident.NodeID, now time.Time) syncBegin {
	w.mu.Lock()
	defer w.mu.Unlock()
	interrupted := w.asked == to && !w.unanswered.IsZero()
	if !interrupted {
		w.asked, w.unanswered = to, now
	}
	return syncBegin{servedLast: w.served == to, interrupted: interrupted, unanswered: w.unanswered}
}

// end records how a sync ended: served, interrupted by the node itself, or otherwise.
func (w *syncWatch) end(to ident.NodeID, served, interrupted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case served:
		w.served, w.unanswered = to, time.Time{}
	case !interrupted:
		w.served, w.unanswered = "", time.Time{}
	}
}

// waiting returns for how long the replica that was asked last has left syncs unanswered.
func (w *syncWatch) waiting(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unanswered.IsZero() {
		return 0
	}
	return now.Sub(w.unanswered)
}
