package scheduler

import "github.com/flamingohaven/flamingohaven/internal/state/ident"

// Decisions implements Scheduler.
func (p *Pool) Decisions() []Decision {
	out := p.decisions
	p.decisions = nil
	return out
}

// Rotations implements Scheduler.
func (p *Pool) Rotations() []Rotation {
	out := p.rotations
	p.rotations = nil
	return out
}

// Stats implements Scheduler.
func (p *Pool) Stats() Stats {
	s := Stats{
		Waiting: p.waiting + len(p.undecided), Running: p.running, Capacity: p.slots, WaitingByTier: make(map[ident.TierName]int, len(p.tiers)), Stale: p.staleGrants,
		Retries: p.retriesTaken, RetriesRefused: p.retriesRefused, RetriesLeft: p.retries.account(p.now).left,
	}
	for _, q := range p.tiers {
		s.WaitingByTier[q.tier.Name] += q.waiting
	}
	return s
}
