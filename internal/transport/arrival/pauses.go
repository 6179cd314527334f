package arrival

import (
	"sync"
	"time"
)

const (
	// TickInterval is how often Pauses.Tick is to be called.
	TickInterval = 100 * time.Millisecond
	// tolerance is the time between two ticks from which on the process counts as paused. It is
	// well below the second after which operators move on to another node: what waits unread
	// for less still has a sender.
	tolerance = 3 * TickInterval
	// maxPauses is the number of pauses that are told apart.
	maxPauses = 16
)

// Pauses records when the process stood still, including suspensions of its VM. It is safe for
// concurrent use.
type Pauses struct {
	mu sync.Mutex
	// last is the time of the last tick; 0 before the first one.
	last   time.Duration
	recent []pause
}

// pause is a time in which the process may not have run.
type pause struct{ from, to time.Duration }

// Tick records that the process runs. It is to be called every TickInterval.
func (p *Pauses) Tick(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tick(now)
}

func (p *Pauses) tick(now time.Duration) {
	if p.last > 0 && now-p.last > tolerance {
		p.recent = append(p.recent, pause{from: p.last, to: now})
	}
	if len(p.recent) > maxPauses {
		// Nothing is lost if the two oldest count as one that lasted all the while.
		p.recent[1].from = p.recent[0].from
		p.recent = p.recent[1:]
	}
	p.last = now
}

// stoppedAt returns when the process first stopped between checked and now; now if it ran all
// the while. What has come in since checked and is handled now can't be older than that.
func (p *Pauses) stoppedAt(checked, now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last > 0 {
		// The process may just have been woken up and not have ticked yet.
		p.tick(now)
	}
	for _, pause := range p.recent {
		if pause.to > checked {
			return max(checked, pause.from)
		}
	}
	return now
}
