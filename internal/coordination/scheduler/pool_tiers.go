package scheduler

import (
	"sort"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// setTiers rebuilds the tier queues, highest rank first, and moves the state and
// the waiting tickets of the old queues into them.
func (p *Pool) setTiers(v View) {
	old := p.tiers
	p.weights = make(map[ident.TeamName]float64, len(v.Teams))
	for _, t := range v.Teams {
		p.weights[t.Name] = float64(max(1, t.Shares))
	}
	p.tiers = make([]*tierQueue, 0, len(v.Tiers))
	for _, t := range v.Tiers {
		if v.Shared != nil {
			p.tiers = append(p.tiers, newTierQueue(onTimeTier(t)), newTierQueue(lateTier(t)))
			continue
		}
		p.tiers = append(p.tiers, newTierQueue(t))
	}
	sort.SliceStable(p.tiers, func(i, j int) bool { return p.tiers[i].tier.Rank > p.tiers[j].tier.Rank })
	p.highestTier = ""
	if len(p.tiers) > 0 {
		p.highestTier = p.tiers[0].tier.Name
	}
	for _, q := range old {
		for name, t := range q.teams {
			p.tier(q.tier.Name).team(name, p.weight(name)).virtualTime = t.virtualTime
		}
		p.tier(q.tier.Name).virtualTime = q.virtualTime
		p.tier(q.tier.Name).arrivals = q.arrivals
		p.tier(q.tier.Name).held = q.held
		p.tier(q.tier.Name).shed = q.shed
		p.tier(q.tier.Name).shedAt = q.shedAt
		for _, t := range q.active {
			for _, e := range t.entries {
				p.queueOf(e).add(e)
			}
		}
	}
}

// tier returns the queue of the named tier. A tier that the view does not list
// gets a queue that ranks below all others.
func (p *Pool) tier(name ident.TierName) *tierQueue {
	for _, q := range p.tiers {
		if q.tier.Name == name {
			return q
		}
	}
	rank := 0
	if n := len(p.tiers); n > 0 {
		rank = p.tiers[n-1].tier.Rank - 1
	}
	q := newTierQueue(Tier{Name: name, Rank: rank})
	p.tiers = append(p.tiers, q)
	return q
}

func (p *Pool) weight(team ident.TeamName) float64 {
	if w, known := p.weights[team]; known {
		return w
	}
	return 1
}

func (p *Pool) queueOf(e *entry) *teamQueue {
	return p.tierOf(e).team(e.ticket.Team, p.weight(e.ticket.Team))
}
