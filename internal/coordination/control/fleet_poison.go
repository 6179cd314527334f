package control

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

// reportPoison records refused parts that a node knows.
func (f *fleet) reportPoison(parts []poison.Part, now time.Time) {
	if len(parts) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leading {
		f.poison.Merge(parts, now)
	}
}

// poisonParts returns the committed and the reported records of refused parts.
func (f *fleet) poisonParts(committed []poison.Part, now time.Time) []poison.Part {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poison.Merge(committed, now)
	return f.poison.List()
}

// commitPoison commits the records of refused parts if they changed, so that they
// outlive all gateways.
func (s *Service) commitPoison(term uint64) {
	committed := s.machine.PoisonParts()
	parts := s.fleet.poisonParts(committed, time.Now())
	if poison.Equal(parts, committed) {
		return
	}
	if _, status := s.proposeIn(term, &machine.Command{SetPoison: &machine.SetPoison{Parts: parts}}); status.OK() {
		s.publishCommitted()
	}
}
