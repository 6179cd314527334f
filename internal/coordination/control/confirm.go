package control

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// lateConfirmation is how long after a revision was committed a node's confirmation is
	// reported as late. At 400 nodes the last one gets it after 0.8 s.
	lateConfirmation = time.Second
	// lateLinesPerSecond limits the lines about late confirmations.
	lateLinesPerSecond = 5
)

// confirmations follows, at the leader, how long a revision takes until nodes have it. A node
// confirms it with its next sync. It is safe for concurrent use.
type confirmations struct {
	lines *rate.Limiter

	mu       sync.Mutex
	revision ident.Revision
	// since is when the leader first saw the revision, and replied when it sent it to the
	// nodes that have not confirmed it yet.
	since   time.Time
	replied map[ident.NodeID]time.Time
	// slowest is the longest time to a confirmation of the revision.
	slowest time.Duration
}

func newConfirmations() *confirmations {
	return &confirmations{lines: rate.NewLimiter(lateLinesPerSecond, lateLinesPerSecond), replied: make(map[ident.NodeID]time.Time)}
}

// committed records that the leader has a revision.
func (c *confirmations) committed(revision ident.Revision, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision > c.revision {
		c.revision, c.since, c.slowest = revision, now, 0
		clear(c.replied)
	}
}

// sent records that a reply with the revision is sent to a node.
func (c *confirmations) sent(node ident.NodeID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replied[node] = now
}

// confirmed records that a node reports a revision. late is true if the latest one took long
// to get there: sent after the commit, and confirmed after that.
func (c *confirmations) confirmed(node ident.NodeID, revision ident.Revision, now time.Time) (sent, took time.Duration, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, waiting := c.replied[node]
	if !waiting || revision < c.revision {
		return 0, 0, false
	}
	delete(c.replied, node)
	took = now.Sub(c.since)
	c.slowest = max(c.slowest, took)
	return at.Sub(c.since), took, took >= lateConfirmation
}

// noteConfirmation reports a node that has a revision late.
func (s *Service) noteConfirmation(node ident.NodeID, revision ident.Revision) {
	if sent, took, late := s.confirmations.confirmed(node, revision, time.Now()); late && s.confirmations.lines.Allow() {
		klog.InfoS("a node has a configuration late", "replica", s.self, "node", node, "revision", revision,
			"sentMs", sent.Milliseconds(), "confirmedMs", took.Milliseconds())
	}
}

// SlowestConfirmation returns the longest time from the commit of the latest revision to its
// confirmation by a node, as this replica has seen it as the leader; 0 if it has not.
func (s *Service) SlowestConfirmation() time.Duration {
	s.confirmations.mu.Lock()
	defer s.confirmations.mu.Unlock()
	return s.confirmations.slowest
}
