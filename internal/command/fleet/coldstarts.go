package fleet

import (
	"maps"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// minColdExtension is the smallest shift of the end of a cold time that is distributed. The
// list repeats with each read how long an upstream stays cold, and each repetition would
// otherwise be a change for all nodes.
const minColdExtension = time.Second

// unlistedRetention is how long the cold time of an upstream that the list doesn't name is kept.
const unlistedRetention = time.Minute

// coldStarts turns how long upstreams stay cold, which the list says with each read, into few
// changes. It is safe for concurrent use; its zero value is ready for use.
type coldStarts struct {
	mu    sync.Mutex
	known map[ident.UpstreamName]coldStart
}

// coldStart is a cold time as it was last distributed.
type coldStart struct {
	end  time.Time
	left time.Duration
	// number grows with each change. It comes from the time, so that an upstream that was
	// forgotten meanwhile gets none that it had before.
	number uint64
	// seen is when the list last named the upstream.
	seen time.Time
}

// update returns the upstreams of a page with the cold times to distribute. Their ColdFor must
// be what the list says. known returns the upstream that nodes know by a name.
func (c *coldStarts) update(found []control.Discovered, known func(ident.UpstreamName) control.Discovered, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range found {
		d := &found[i]
		record, tracked := c.known[d.Name]
		if !tracked {
			record.number = known(d.Name).ColdNumber
		}
		end := now.Add(d.ColdFor)
		switch {
		case d.ColdFor > 0 && end.After(record.end.Add(minColdExtension)):
			record.end, record.left = end, d.ColdFor
			record.number = max(record.number+1, uint64(now.UnixMilli()))
		case d.ColdFor <= 0 && !now.Before(record.end):
			record.left = 0
		}
		if record.number != 0 {
			record.seen = now
			if c.known == nil {
				c.known = make(map[ident.UpstreamName]coldStart)
			}
			c.known[d.Name] = record
		}
		d.ColdFor, d.ColdNumber = record.left, record.number
	}
}

// dropUnlisted forgets the upstreams that the list has not named for unlistedRetention. It may
// leave one out for some reads.
func (c *coldStarts) dropUnlisted(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.known, func(_ ident.UpstreamName, s coldStart) bool { return now.Sub(s.seen) > unlistedRetention })
}

// dropUnlimitedCold removes the cold times of upstreams whose pools don't limit cold ones, so
// that they are no changes for the nodes.
func (n *Node) dropUnlimitedCold(found []control.Discovered) {
	cfg, _ := n.follower.Config()
	for i := range found {
		if cfg.Pools[found[i].Upstream.Pool].Cold == nil {
			found[i].ColdFor = 0
		}
	}
}
