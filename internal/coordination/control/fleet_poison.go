package control

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

const (
	// maxEnds bounds the ends of upstreams under requests that are distributed, and
	// endRetention is how long they are.
	maxEnds      = 256
	endRetention = 5 * time.Minute
)

// reportPoison records refused parts and requests that a node knows.
func (f *fleet) reportPoison(records []poison.Record, now time.Time) {
	if len(records) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leading {
		f.poison.Merge(records, now)
	}
}

// reportEnds records ends of upstreams under requests that a node saw, so that
// schedulers which don't know of each other count them together. The ends under requests
// that were answered since are dropped.
func (f *fleet) reportEnds(ends []poison.End, cleared []uint64, now time.Time) {
	if len(ends)+len(cleared) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading {
		return
	}
	changed := false
	for key, e := range f.ends.entries {
		if slices.Contains(cleared, e.value.Fingerprint) {
			changed = f.ends.remove(key, f.nextSequence()) || changed
			delete(f.endReportedAt, key)
		}
	}
	for _, e := range ends {
		changed = f.ends.put(e.Key(), e, f.nextSequence()) || changed
		f.endReportedAt[e.Key()] = now
	}
	if changed {
		f.dropOldEnds(now)
		f.recordChange()
	}
}

// ClearedSince returns the requests, by pool, whose ends a leader has dropped between two
// reports because they were answered. A full report says nothing: old ends give way to
// new ones.
func ClearedSince(before, after []poison.End) map[ident.PoolName][]uint64 {
	if len(before) >= maxEnds {
		return nil
	}
	kept := make(map[string]bool, len(after))
	for _, e := range after {
		kept[e.Key()] = true
	}
	cleared := make(map[ident.PoolName][]uint64)
	for _, e := range before {
		if !kept[e.Key()] && !slices.Contains(cleared[e.Pool], e.Fingerprint) {
			cleared[e.Pool] = append(cleared[e.Pool], e.Fingerprint)
		}
	}
	return cleared
}

// dropOldEnds drops the ends that are old or too many. The caller holds the lock.
func (f *fleet) dropOldEnds(now time.Time) {
	keys := slices.SortedFunc(maps.Keys(f.endReportedAt), func(a, b string) int {
		return f.endReportedAt[b].Compare(f.endReportedAt[a])
	})
	for i, key := range keys {
		if i >= maxEnds || now.Sub(f.endReportedAt[key]) > endRetention {
			f.ends.remove(key, f.nextSequence())
			delete(f.endReportedAt, key)
		}
	}
}

// poisonParts returns the committed and the reported records of refused parts and
// requests.
func (f *fleet) poisonParts(committed []poison.Record, now time.Time) []poison.Record {
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
