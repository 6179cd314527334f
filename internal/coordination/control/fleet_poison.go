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
// schedulers which don't know of each other count them together, and one that begins knows
// those of its predecessors. The ends under requests that were answered since are dropped, and
// parts that were are taken out.
func (f *fleet) reportEnds(ends []poison.End, cleared []uint64, clearedParts map[ident.PoolName][]uint64, now time.Time) {
	if len(ends)+len(cleared)+len(clearedParts) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading {
		return
	}
	changed := false
	for key, e := range f.ends.entries {
		switch {
		case slices.Contains(cleared, e.value.Fingerprint):
			changed = f.ends.remove(key, f.nextSequence()) || changed
			delete(f.endReportedAt, key)
			continue
		case e.value.Content != 0 && slices.Contains(cleared, e.value.Content):
			e.value.Content = 0
		}
		isCleared := func(part uint64) bool { return slices.Contains(clearedParts[e.value.Pool], part) }
		if slices.ContainsFunc(e.value.Parts, isCleared) {
			e.value.Parts = slices.DeleteFunc(slices.Clone(e.value.Parts), isCleared)
		}
		changed = f.ends.put(key, e.value, f.nextSequence()) || changed
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

// ClearedSince returns what a leader has dropped from the ends, by pool, between two reports
// because it was answered. A full report says nothing: old ends give way to new ones.
func ClearedSince(before, after []poison.End) map[ident.PoolName]poison.Answered {
	if len(before) >= maxEnds {
		return nil
	}
	kept := make(map[string]poison.End, len(after))
	for _, e := range after {
		kept[e.Key()] = e
	}
	cleared := make(map[ident.PoolName]poison.Answered)
	for _, e := range before {
		now, known := kept[e.Key()]
		answered := cleared[e.Pool]
		switch {
		case !known:
			answered.Requests = addOnce(answered.Requests, e.Fingerprint)
		case e.Content != 0 && now.Content == 0:
			answered.Requests = addOnce(answered.Requests, e.Content)
		}
		for _, part := range e.Parts {
			if known && !slices.Contains(now.Parts, part) {
				answered.Parts = addOnce(answered.Parts, part)
			}
		}
		if !answered.IsEmpty() {
			cleared[e.Pool] = answered
		}
	}
	return cleared
}

// addOnce returns a list with an element, which may be there already.
func addOnce(list []uint64, element uint64) []uint64 {
	if slices.Contains(list, element) {
		return list
	}
	return append(list, element)
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
