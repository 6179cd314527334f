package peerwatch

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
)

const (
	// endSpread is the time within which the ends of all connections of a process that has
	// ended are noticed.
	endSpread = 50 * time.Millisecond
	// closedLead is how long before the last bytes of an answer its process must have been
	// seen to accept no more connections. The kernel of a killed process may close the
	// listener some milliseconds before the connections.
	closedLead = 50 * time.Millisecond
	// settled is the age from which on the end of a sentinel is evidence. A younger one may have
	// been closed because the process has too many connections.
	settled = 25 * time.Millisecond
)

// answerEnd is the end of an answer.
type answerEnd struct {
	at     time.Time
	inStep bool
}

// Answer is an answer whose process is watched.
type Answer struct {
	watcher *Watcher
	// peer is nil if too many processes are watched already.
	peer  *watchedPeer
	began time.Time
	end   Ending
	// leavingAtStart is true if the process was known to stop soon when the answer began.
	leavingAtStart bool
}

// End records that the connection of the answer has ended properly.
func (a *Answer) End(e Ending) {
	a.end = e
	if a.peer == nil {
		return
	}
	a.watcher.mu.Lock()
	defer a.watcher.mu.Unlock()
	a.peer.answerEnds = keep(a.peer.answerEnds, answerEnd{at: e.At, inStep: e.isInStep()})
}

// Release ends the watch for the answer. Evidence is kept for retention.
func (a *Answer) Release() {
	if a.peer == nil {
		return
	}
	a.watcher.mu.Lock()
	defer a.watcher.mu.Unlock()
	a.peer.answers--
	a.peer.released = time.Now()
}

// Evidence returns what is known of the process now. It may be called after End.
func (a *Answer) Evidence() gateway.EndEvidence {
	e := gateway.EndEvidence{Simultaneous: 1, InStep: a.end.isInStep(), Telling: a.end.isTelling(), Leaving: a.leavingAtStart}
	if a.peer == nil {
		return e
	}
	a.watcher.mu.Lock()
	defer a.watcher.mu.Unlock()
	q := a.peer
	if since := q.leavingSince; !since.IsZero() && !since.Add(closedLead).After(a.end.LastData) {
		e.Leaving = true
	}
	e.Alive = a.leadsToProcess(q.sentinel)
	for _, refused := range q.refusals {
		if !refused.Before(a.began) && !refused.Add(closedLead).After(a.end.LastData) {
			e.ListenerClosed = true
		}
	}
	e.Simultaneous = 0
	for _, other := range q.answerEnds {
		if a.end.At.Sub(other.at).Abs() <= endSpread {
			e.Simultaneous++
			e.InStep = e.InStep && other.inStep
		}
	}
	for _, ended := range q.ends {
		if ended.opened.Add(settled).Before(ended.at) && ended.opened.Before(a.end.At) && !ended.at.Before(a.end.LastData.Add(-endSpread)) {
			e.SentinelEnded = true
		}
	}
	return e
}

// leadsToProcess reports whether a sentinel leads to the process of the answer. One that was
// opened after another had ended, or after a refusal, may lead to the next process at the
// address. The caller holds the lock.
func (a *Answer) leadsToProcess(c *sentinelConn) bool {
	if c == nil || !c.opened.Before(a.end.At) {
		return false
	}
	if c.identified {
		return true
	}
	for _, ended := range a.peer.ends {
		if ended.at.After(a.began) && ended.at.Before(c.opened) {
			return false
		}
	}
	for _, refused := range a.peer.refusals {
		if refused.After(a.began) && refused.Before(c.opened) {
			return false
		}
	}
	return true
}
