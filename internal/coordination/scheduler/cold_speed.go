package scheduler

import "time"

// coldServiceTime returns the service time to expect of the upstream: while it is cold, at best
// that of the pool, because its own speed may have been learned before its start.
func (g *engine) coldServiceTime(tokens float64, output, batch int, now time.Duration) time.Duration {
	own := g.speed.serviceTime(tokens, output, batch)
	if g.speed.pool == nil || !g.isCold(now) {
		return own
	}
	return max(own, g.speed.pool.serviceTime(tokens, output, batch))
}

// coldFirstToken is coldServiceTime for the time to the first token.
func (g *engine) coldFirstToken(tokens float64, now time.Duration) time.Duration {
	own := g.speed.firstToken(tokens)
	if g.speed.pool == nil || !g.isCold(now) {
		return own
	}
	return max(own, g.speed.pool.firstToken(tokens))
}
