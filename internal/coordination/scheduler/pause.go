package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// PauseNotice is a pause that an upstream has asked a gateway for.
type PauseNotice struct {
	Upstream ident.UpstreamName
	// Left is how long the gateway still sends the upstream nothing.
	Left time.Duration
}

// String implements fmt.Stringer.
func (n PauseNotice) String() string { return fmt.Sprintf("%s for %s", n.Upstream, n.Left) }

// PauseChange reports that an upstream asked a gateway for a pause, or rejected a request.
type PauseChange struct {
	PauseNotice
	Gateway ident.NodeID
	// Room, if not 0, says that the upstream rejected a request: no gateway sends it any
	// for the time left, and then so many at once.
	Room int
	// Relayed is true if the gateway does not know of the pause: it relayed a request of
	// another gateway, which got the answer.
	Relayed bool
}

// String implements fmt.Stringer.
func (c PauseChange) String() string {
	if c.Room > 0 {
		return fmt.Sprintf("%s rejected a request: gets none for %s, then at most %d at once from this scheduler", c.Upstream, c.Left, c.Room)
	}
	return fmt.Sprintf("%s asks %s for no requests for %s", c.Upstream, c.Gateway, c.Left)
}

// pause keeps the tickets of a gateway from an upstream for the time left. An earlier end
// than the known one changes nothing. It reports whether anything changed.
func (p *Pool) pause(gateway ident.NodeID, n PauseNotice, now time.Duration) bool {
	g, known := p.engines[n.Upstream]
	until := now + n.Left
	if !known || n.Left <= 0 || until <= g.pauses[gateway] {
		return false
	}
	if g.pauses == nil {
		g.pauses = make(map[ident.NodeID]time.Duration)
	}
	g.pauses[gateway] = until
	p.pausedUntil = max(p.pausedUntil, until)
	return true
}

// adoptPauses takes over the pauses in force of the upstreams that may be the same process.
func (p *Pool) adoptPauses(g *engine) {
	if p.now >= p.pausedUntil || g.upstream.Process == "" {
		return
	}
	for _, other := range p.orderedEngines {
		if other.upstream.Process != g.upstream.Process {
			continue
		}
		for gateway, until := range other.pauses {
			if g.pauses == nil {
				g.pauses = make(map[ident.NodeID]time.Duration)
			}
			g.pauses[gateway] = max(g.pauses[gateway], until)
		}
	}
}

// recordPause processes a pause that an answer asks for. It holds for the gateway that the
// upstream saw, which may have relayed the request.
func (p *Pool) recordPause(r Report, now time.Duration) {
	n := PauseNotice{Upstream: r.Upstream, Left: r.Notice.PauseFor}
	gateway := cmp.Or(r.Via, r.Gateway)
	if g, known := p.engines[r.Upstream]; known {
		g.rejections.pause = n.Left
	}
	if p.pause(gateway, n, now) {
		p.pauseChanges = append(p.pauseChanges, PauseChange{PauseNotice: n, Gateway: gateway, Relayed: r.Via != ""})
	}
}

// isPausedFor reports whether the gateway sends the upstream nothing now.
func (e *engine) isPausedFor(gateway ident.NodeID, now time.Duration) bool {
	return now < e.pauses[gateway]
}

// pauseWait returns the time until the first upstream that could take the ticket may get a
// request of its gateway, if only pauses and rejections prevent that now; otherwise 0.
func (p *Pool) pauseWait(e *entry, now time.Duration) time.Duration {
	if now >= p.pausedUntil {
		return 0
	}
	next := time.Duration(0)
	for _, g := range p.orderedEngines {
		if !g.acceptsWork() || g.health.ejected || !e.mayUse(g) {
			continue
		}
		left := max(g.pauses[e.ticket.Gateway], g.heldUntil()) - now
		if left <= 0 {
			return 0
		}
		if next == 0 || left < next {
			next = left
		}
	}
	return next
}

// dropPauses forgets the pauses that have ended.
func (p *Pool) dropPauses(now time.Duration) {
	for _, g := range p.orderedEngines {
		maps.DeleteFunc(g.pauses, func(_ ident.NodeID, until time.Duration) bool { return until <= now })
	}
}

// PauseChanges implements Scheduler.
func (p *Pool) PauseChanges() []PauseChange {
	out := p.pauseChanges
	p.pauseChanges = nil
	return out
}
