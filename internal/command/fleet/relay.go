package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/tunnel"
)

// relayDialTimeout limits the time in which a relay connects to an upstream.
const relayDialTimeout = 300 * time.Millisecond

// listenRelay makes a gateway relay the requests of other gateways to upstreams.
func (n *Node) listenRelay() (err error) {
	if !n.settings.Gateway() || n.settings.RelayPort == 0 {
		return nil
	}
	n.relay, err = tunnel.Listen(n.relayAddress(n.settings.ID()), relayDialTimeout, n.permitRelay, n.recordBrokenTunnel)
	if err == nil {
		n.relay.Guard(n.guard)
		n.gateway.SetRelays(n)
	}
	return err
}

func (n *Node) relayAddress(node ident.NodeID) string {
	return net.JoinHostPort(string(node), strconv.Itoa(n.settings.RelayPort))
}

// RelayAddress implements gateway.Relays. Only a live gateway that is not draining can be
// used.
func (n *Node) RelayAddress(peer ident.NodeID) string {
	if peer == n.settings.ID() {
		return ""
	}
	for _, m := range n.follower.State().Members {
		if m.ID == peer && m.Gateway() && !m.Draining {
			return n.relayAddress(peer)
		}
	}
	return ""
}

// AnyRelay implements gateway.Relays.
func (n *Node) AnyRelay(except []ident.NodeID) ident.NodeID {
	var usable []ident.NodeID
	for _, m := range n.follower.State().Members {
		if m.ID != n.settings.ID() && m.Gateway() && !m.Draining && !slices.Contains(except, m.ID) {
			usable = append(usable, m.ID)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// permitRelay returns why this node relays nothing to an address: no upstream has it, the
// node can't reach it itself, or the upstream leaves or asked this node for a pause.
func (n *Node) permitRelay(address string) error {
	found := n.upstreams.Load().byAddress[address]
	if len(found) == 0 {
		return fmt.Errorf("%s is no upstream", address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range found {
		if _, evacuated := n.follower.Evacuation(d.Upstream.Zone); evacuated {
			return fmt.Errorf("%s is in data centre %s, which is evacuated", d.Name, d.Upstream.Zone)
		}
		c := n.clients[d.Upstream.Pool]
		if c == nil {
			continue
		}
		if n.gateway.IsCutOff(d.Upstream.Pool, d.Name) {
			return fmt.Errorf("%s can't be reached from this node either", d.Name)
		}
		if c.Leaving(d.Name) {
			return fmt.Errorf("%s leaves", d.Name)
		}
		if left := c.PauseLeft(d.Name); left > 0 {
			return fmt.Errorf("%s asked this node for no requests for %s", d.Name, left)
		}
	}
	return nil
}

// DrainRelay ends the relaying of requests of other gateways: it accepts no new ones, and
// returns when those that it relays have ended or ctx is done.
func (n *Node) DrainRelay(ctx context.Context) {
	if n.relay != nil {
		n.relay.Drain(ctx)
	}
}

// recordBrokenTunnel records a connection that this node relayed and that did not end
// properly.
func (n *Node) recordBrokenTunnel(e tunnel.Ending) {
	n.events.Record(timeline.Event{
		Kind: timeline.KindTunnelEnded, Request: ident.RequestID(e.Origin.Request), Detail: fmt.Sprintf("for %s to %s", e.Origin.Gateway, e),
	})
}

// closeRelay ends the connections that this node still relays, and the relaying.
func (n *Node) closeRelay() {
	if n.relay == nil {
		return
	}
	if open := n.relay.Open(); open > 0 {
		n.events.Record(timeline.Event{Kind: timeline.KindProcess, Detail: fmt.Sprintf("stops with %d relayed connections open", open)})
	}
	n.relay.Close()
}

// relayed returns the numbers of the connections that this node relays now, has relayed
// so far, and of those that did not end properly.
func (n *Node) relayed() (open, total, broken float64) {
	if n.relay == nil {
		return 0, 0, 0
	}
	return float64(n.relay.Open()), float64(n.relay.Total()), float64(n.relay.Broken())
}

// EndChecks returns how many ends of answers this gateway checked, and how many of them it
// did not take for that of the answer.
func (n *Node) EndChecks() (checks, doubted uint64) { return n.gateway.EndChecks() }
