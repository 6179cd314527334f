// Package poison defines the record of a prompt part on which the upstreams of a
// pool end, as schedulers find it, leaders commit it and operators lift it.
package poison

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// MaxParts bounds the records that are kept. Lifted ones, then those updated the
	// longest time ago, are dropped first.
	MaxParts = 64
	// MaxUpstreams bounds the upstreams that a record names as evidence.
	MaxUpstreams = 5
	// TrialInterval is the time after which a single request may show whether the
	// part is sound again. It doubles with each failed trial, up to
	// maxTrialInterval.
	TrialInterval    = 5 * time.Minute
	maxTrialInterval = 4 * time.Hour
	// liftedRetention is how long the record of a lifted part is kept, so that an
	// older one does not return.
	liftedRetention = time.Hour
)

// Part is a part of prompts on which upstreams end. All times are wall-clock times.
type Part struct {
	Pool ident.PoolName
	// ID identifies the part within its pool.
	ID uint64
	// Since is when the part was found, and Updated when the record last changed:
	// of two records of a part, the one updated later counts.
	Since, Updated time.Time
	// Ends is the number of upstreams that had ended under the part when it was
	// found, and Upstreams names the latest of them.
	Ends      int
	Upstreams []ident.UpstreamName
	// Trials counts the trials so far. None starts before NextTrial.
	Trials    int
	NextTrial time.Time
	// Lifted is true once a trial succeeded or an operator lifted the part; By says
	// which.
	Lifted bool
	By     string
}

// String implements fmt.Stringer.
func (p Part) String() string {
	if p.Lifted {
		return fmt.Sprintf("part %x is no longer refused: %s", p.ID, p.By)
	}
	return fmt.Sprintf("part %x is refused since %s: %d upstreams ended under it, the latest %v; %d trials, the next at %s",
		p.ID, p.Since.UTC().Format(time.RFC3339), p.Ends, p.Upstreams, p.Trials, p.NextTrial.UTC().Format(time.RFC3339))
}

// Supersedes reports whether p replaces the known record of the same part.
func (p Part) Supersedes(known Part) bool { return p.Updated.After(known.Updated) }

// BeginTrial returns the record after a trial has begun: the next one is put off
// before its outcome is known.
func (p Part) BeginTrial(now time.Time) Part {
	p.NextTrial = now.Add(min(maxTrialInterval, TrialInterval<<min(p.Trials+1, 10)))
	p.Trials++
	return p.update(now)
}

// Lift returns the record after the part was found sound.
func (p Part) Lift(by string, now time.Time) Part {
	p.Lifted, p.By = true, by
	return p.update(now)
}

// update sets the time of the change, which is later than that of any change known,
// whatever the clock says.
func (p Part) update(now time.Time) Part {
	if now.After(p.Updated) {
		p.Updated = now
	} else {
		p.Updated = p.Updated.Add(1)
	}
	return p
}

// key identifies a part among those of all pools.
type key struct {
	pool ident.PoolName
	id   uint64
}

// Set holds records by part. Its zero value is empty. It is not safe for concurrent
// use.
type Set struct{ parts map[key]Part }

// Merge adds the records that supersede the known ones and returns them. It drops
// records of lifted parts that are old, and those beyond MaxParts.
func (s *Set) Merge(parts []Part, now time.Time) (changed []Part) {
	if s.parts == nil {
		s.parts = make(map[key]Part)
	}
	for _, p := range parts {
		k := key{pool: p.Pool, id: p.ID}
		if known, ok := s.parts[k]; !ok && !p.expired(now) || ok && p.Supersedes(known) {
			s.parts[k] = p
			changed = append(changed, p)
		}
	}
	for k, p := range s.parts {
		if p.expired(now) {
			delete(s.parts, k)
		}
	}
	if len(s.parts) > MaxParts {
		for _, p := range s.List()[MaxParts:] {
			delete(s.parts, key{pool: p.Pool, id: p.ID})
		}
	}
	return changed
}

func (p Part) expired(now time.Time) bool {
	return p.Lifted && now.Sub(p.Updated) > liftedRetention
}

// Find returns the record of a part, unless it was lifted.
func (s *Set) Find(pool ident.PoolName, id uint64) (p Part, refused bool) {
	p, known := s.parts[key{pool: pool, id: id}]
	return p, known && !p.Lifted
}

// FindAny returns the record of the first of the parts that is refused.
func (s *Set) FindAny(pool ident.PoolName, ids []uint64) (p Part, refused bool) {
	if len(s.parts) == 0 {
		return p, false
	}
	for _, id := range ids {
		if p, refused = s.Find(pool, id); refused {
			return p, true
		}
	}
	return p, false
}

// Newer returns the given records that are not known or supersede the known ones.
func (s *Set) Newer(parts []Part) []Part {
	return slices.DeleteFunc(slices.Clone(parts), func(p Part) bool {
		known, ok := s.parts[key{pool: p.Pool, id: p.ID}]
		return ok && !p.Supersedes(known)
	})
}

// List returns all records: refused parts before lifted ones, the latest update
// first.
func (s *Set) List() []Part {
	list := make([]Part, 0, len(s.parts))
	for _, p := range s.parts {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Part) int {
		if a.Lifted != b.Lifted {
			if a.Lifted {
				return 1
			}
			return -1
		}
		return cmp.Or(b.Updated.Compare(a.Updated), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Equal reports whether two lists hold the same records, by part and update.
func Equal(a, b []Part) bool {
	return slices.EqualFunc(a, b, func(x, y Part) bool {
		return x.Pool == y.Pool && x.ID == y.ID && x.Updated.Equal(y.Updated) && x.Lifted == y.Lifted
	})
}
