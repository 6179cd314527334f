package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Series is one tier's goodput over the time of a run.
type Series struct {
	Tier ident.TierName `json:"tier"`
	// Answered and Sent hold one count for each step of the run: of the requests
	// that arrived in the step, those answered in time, and all.
	Answered []int `json:"answered_in_time"`
	Sent     []int `json:"sent"`
}

// Goodput counts the answers in time of each tier in steps of the given length.
// The series are sorted by tier name.
func (r *Result) Goodput(step time.Duration) []Series {
	byTier := make(map[ident.TierName]*Series)
	steps := int((r.Duration + step - 1) / step)
	for i := range r.outcomes {
		o := &r.outcomes[i]
		s := byTier[o.job.class.Tier]
		if s == nil {
			s = &Series{Tier: o.job.class.Tier, Answered: make([]int, steps), Sent: make([]int, steps)}
			byTier[o.job.class.Tier] = s
		}
		at := int(o.job.at / step)
		s.Sent[at]++
		s.Answered[at] += o.count(nil).InTime
	}
	var all []Series
	for _, s := range byTier {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Series) int { return cmp.Compare(a.Tier, b.Tier) })
	return all
}
