package pool

import "github.com/flamingohaven/flamingohaven/internal/state/ident"

// InFlight returns the number of requests that this gateway has sent and that have not ended,
// on the upstreams that where accepts.
func (c *Client) InFlight(where func(ident.UpstreamName) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, r := range c.running {
		if r.begun && where(r.grant.Upstream) {
			count++
		}
	}
	return count
}
