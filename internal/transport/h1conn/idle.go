package h1conn

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// putIdle adds a connection to the pool, where it may stay idle for timeout. It
// reports false if the pool is closed or full, or if timeout is not positive.
func (c *Client) putIdle(pc *persistConn, timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || pc.address == "" || len(c.idleConns[pc.address]) >= maxIdlePerServer || timeout <= 0 {
		return false
	}
	pc.idleSince = time.Now()
	pc.expires = pc.idleSince.Add(timeout)
	c.idleConns[pc.address] = append(c.idleConns[pc.address], pc)
	c.scheduleSweep()
	return true
}

// maxKeepAliveSeconds bounds the timeout that a server states.
const maxKeepAliveSeconds = 3600

// idleTimeoutFor returns how long a connection may stay idle after an answer with
// header h: three quarters of the server's own timeout, because the server starts
// to count earlier, and IdleTimeout at most.
func idleTimeoutFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			seconds = max(0, min(seconds, maxKeepAliveSeconds))
			return min(IdleTimeout, time.Duration(seconds)*time.Second*3/4)
		}
	}
	return IdleTimeout
}

// sweep closes the idle connections that have expired, and goes on as long as there are
// others.
func (c *Client) sweep() {
	for _, pc := range c.removeExpired(time.Now()) {
		_ = pc.Close()
	}
}

// removeExpired removes the idle connections that have expired by now from the pool and
// returns them. It schedules the next sweep if others are left.
func (c *Client) removeExpired(now time.Time) []*persistConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var expired []*persistConn
	for address, list := range c.idleConns {
		kept := list[:0]
		for _, pc := range list {
			if now.Before(pc.expires) {
				kept = append(kept, pc)
			} else {
				expired = append(expired, pc)
			}
		}
		clear(list[len(kept):])
		if c.idleConns[address] = kept; len(kept) == 0 {
			delete(c.idleConns, address)
		}
	}
	c.sweeper = nil
	c.scheduleSweep()
	return expired
}

// scheduleSweep makes the next sweep follow after sweepInterval if there are idle
// connections. The caller holds the lock.
func (c *Client) scheduleSweep() {
	if c.sweeper == nil && len(c.idleConns) > 0 {
		c.sweeper = time.AfterFunc(sweepInterval, c.sweep)
	}
}
