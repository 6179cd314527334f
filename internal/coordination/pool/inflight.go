package pool

import "github.com/flamingohaven/flamingohaven/internal/state/ident"

// InFlight returns the number of requests that this gateway has sent to each upstream and
// that have not ended.
func (c *Client) InFlight() map[ident.UpstreamName]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := make(map[ident.UpstreamName]int)
	for _, r := range c.running {
		if r.begun {
			sent[r.grant.Upstream]++
		}
	}
	return sent
}
