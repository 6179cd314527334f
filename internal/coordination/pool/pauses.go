package pool

import (
	"fmt"
	"maps"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// maxPauses bounds the pauses that a gateway keeps.
const maxPauses = 4096

// maxSuccessors bounds the names of one upstream that a pause is kept for, one after another.
const maxSuccessors = 4

// ListedName is a name that the platform's list gives an upstream.
type ListedName struct {
	Name ident.UpstreamName
	// Started is when the upstream started, by the list, in Unix milliseconds; 0 if unknown.
	Started int64
	// Known is when the name was first read.
	Known time.Time
}

// succession says that an upstream is listed under another name than before.
type succession struct{ former, later ListedName }

// Succeeds says that the upstream which was listed under a name is listed under another one.
// The same process may be meant by both, so a pause that it asked this gateway for under
// either holds under the later one too. So does, for a start that had begun by then, that it leaves.
func (c *Client) Succeeds(later, former ListedName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.successors) >= maxPauses {
		clear(c.successors)
	}
	c.successors[former.Name] = succession{former: former, later: later}
	now := time.Now()
	if c.pauseLeft(former.Name, now) > 0 {
		c.pauseUntil(later.Name, c.pauses[former.Name], now)
	}
	c.carryLeaving(former.Name, now)
}

// pauseUntil keeps requests from an upstream until a time, also under its later names. An
// earlier end than the known one changes nothing. The caller holds the lock.
func (c *Client) pauseUntil(name ident.UpstreamName, until, now time.Time) {
	for range maxSuccessors {
		c.pauseName(name, until, now)
		next, renamed := c.successors[name]
		if !renamed {
			return
		}
		name = next.later.Name
	}
}

func (c *Client) pauseName(name ident.UpstreamName, until, now time.Time) {
	if !until.After(c.pauses[name]) {
		return
	}
	if len(c.pauses) >= maxPauses {
		maps.DeleteFunc(c.pauses, func(_ ident.UpstreamName, until time.Time) bool { return !until.After(now) })
	}
	if len(c.pauses) < maxPauses {
		c.pauses[name] = until
	}
}

// PauseLeft returns how long the gateway still sends the upstream nothing because the
// upstream asked it for that; 0 if it may send.
func (c *Client) PauseLeft(name ident.UpstreamName) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pauseLeft(name, time.Now())
}

func (c *Client) pauseLeft(name ident.UpstreamName, now time.Time) time.Duration {
	return max(0, c.pauses[name].Sub(now))
}

// pauseNotices returns the pauses in force. The caller holds the lock.
func (c *Client) pauseNotices(now time.Time) []scheduler.PauseNotice {
	var notices []scheduler.PauseNotice
	for name, until := range c.pauses {
		if left := until.Sub(now); left > 0 {
			notices = append(notices, scheduler.PauseNotice{Upstream: name, Left: left})
		}
	}
	return notices
}

// learnPauses records pauses that upstreams asked this gateway for while it relayed
// requests of others, and returns a description of those. They count from the arrival of
// the message: the call that it answers may be older than the pause.
func (c *Client) learnPauses(notices []scheduler.PauseNotice, now time.Time) (learned []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range notices {
		c.pauseUntil(n.Upstream, now.Add(n.Left), now)
		learned = append(learned, fmt.Sprint(n))
	}
	return learned
}

// Paused returns the number of upstreams that asked this gateway for a pause that is in
// force.
func (c *Client) Paused() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pauseNotices(time.Now()))
}
