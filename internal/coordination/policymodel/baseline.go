package policymodel

import (
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// RoundRobin is the baseline in which each gateway dispatches every request on
// arrival, to the engines in turn. The engines queue first in, first out.
type RoundRobin struct {
	sim  *Simulation
	next map[ident.NodeID]int
}

// NewRoundRobin returns the round-robin policy for a simulation.
func NewRoundRobin(s *Simulation) Policy {
	return &RoundRobin{sim: s, next: make(map[ident.NodeID]int)}
}

// Arrive implements Policy.
func (p *RoundRobin) Arrive(r *Request) {
	i := p.next[r.Gateway]
	p.next[r.Gateway]++
	p.sim.Dispatch(r, p.sim.Engines[i%len(p.sim.Engines)])
}

// FirstToken implements Policy.
func (p *RoundRobin) FirstToken(*Request, int) {}

// Ended implements Policy.
func (p *RoundRobin) Ended(*Request) {}

// Canceled implements Policy.
func (p *RoundRobin) Canceled(*Request) {}

// Load implements Policy.
func (p *RoundRobin) Load(scheduler.LoadReport) {}

// Cache implements Policy.
func (p *RoundRobin) Cache(scheduler.CacheEvent) {}

// LeastLoaded is the baseline in which each gateway dispatches every request on
// arrival to the engine with the lowest count, which is the number of requests in
// the engine's last load report plus those that the gateway itself has sent
// since. Gateways do not share their counts. The engines queue first in, first out.
type LeastLoaded struct {
	sim      *Simulation
	reported map[ident.UpstreamName]scheduler.LoadReport
	// sent counts the requests per gateway and engine since the engine's last
	// load report.
	sent map[ident.NodeID]map[ident.UpstreamName]int
	// next rotates the order of comparison, so that ties do not always go to
	// the same engine.
	next int
}

// NewLeastLoaded returns the least-loaded policy for a simulation.
func NewLeastLoaded(s *Simulation) Policy {
	return &LeastLoaded{
		sim:      s,
		reported: make(map[ident.UpstreamName]scheduler.LoadReport),
		sent:     make(map[ident.NodeID]map[ident.UpstreamName]int),
	}
}

// Arrive implements Policy.
func (p *LeastLoaded) Arrive(r *Request) {
	sent := p.sent[r.Gateway]
	if sent == nil {
		sent = make(map[ident.UpstreamName]int)
		p.sent[r.Gateway] = sent
	}
	p.next++
	var best *Engine
	bestLoad := 0
	for i := range p.sim.Engines {
		e := p.sim.Engines[(i+p.next)%len(p.sim.Engines)]
		load := p.reported[e.Name].Running + sent[e.Name]
		if best == nil || load < bestLoad {
			best, bestLoad = e, load
		}
	}
	sent[best.Name]++
	p.sim.Dispatch(r, best)
}

// FirstToken implements Policy.
func (p *LeastLoaded) FirstToken(*Request, int) {}

// Ended implements Policy.
func (p *LeastLoaded) Ended(*Request) {}

// Canceled implements Policy.
func (p *LeastLoaded) Canceled(*Request) {}

// Load implements Policy.
func (p *LeastLoaded) Load(l scheduler.LoadReport) {
	p.reported[l.Upstream] = l
	for _, sent := range p.sent {
		sent[l.Upstream] = 0
	}
}

// Cache implements Policy.
func (p *LeastLoaded) Cache(scheduler.CacheEvent) {}
