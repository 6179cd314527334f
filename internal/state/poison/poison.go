// Package poison defines the records of prompt parts and of requests on which
// upstreams end, as schedulers find them, leaders commit them and operators lift them.
package poison

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// MaxRecords bounds the records that are kept of each kind. Lifted ones are dropped
	// first, then those of the team with the most, the longest unchanged first: a team
	// that sends many different deadly requests does not push out others' records.
	MaxRecords = 64
	// MaxUpstreams bounds the upstreams that a record names as evidence.
	MaxUpstreams = 8
	// TrialInterval is the time after which a single request may show whether the
	// part or the request is sound again. It doubles with each failed trial, up to
	// maxTrialInterval.
	TrialInterval    = 5 * time.Minute
	maxTrialInterval = 4 * time.Hour
	// maxRequestTrials bounds the trials of a request. Afterwards only an operator can
	// lift it, and requestRetention after its last change the record is dropped.
	maxRequestTrials = 2
	requestRetention = 24 * time.Hour
	// liftedRetention is how long the record of a lifted part is kept, so that an
	// older one does not return.
	liftedRetention = time.Hour
)

// Kind is the kind of what upstreams end on.
type Kind uint8

const (
	// KindPart is a part of prompts, within its pool.
	KindPart Kind = iota
	// KindRequest is a request with all its content, whatever pool serves it.
	KindRequest
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k == KindRequest {
		return "request"
	}
	return "part"
}

// Record is a part of prompts, or a request, on which upstreams end. All times are
// wall-clock times.
type Record struct {
	Kind Kind
	Pool ident.PoolName
	// ID identifies the part within its pool, or is the request's fingerprint.
	ID uint64
	// Route and Team are those of a request.
	Route ident.RouteName
	Team  ident.TeamName
	// Since is when it was found, and Updated when the record last changed: of two
	// records of the same, the one updated later counts.
	Since, Updated time.Time
	// Ends is the number of upstreams that had ended under it when it was found, and
	// Upstreams names the latest of them.
	Ends      int
	Upstreams []ident.UpstreamName
	// Trials counts the trials so far. None starts before NextTrial.
	Trials    int
	NextTrial time.Time
	// Lifted is true once a trial succeeded or an operator lifted it; By says which.
	Lifted bool
	By     string
}

// String implements fmt.Stringer.
func (p Record) String() string {
	what := fmt.Sprintf("part %x", p.ID)
	if p.Kind == KindRequest {
		what = fmt.Sprintf("request %016x of team %s on route %s", p.ID, p.Team, p.Route)
	}
	if p.Lifted {
		return fmt.Sprintf("%s is no longer refused: %s", what, p.By)
	}
	next := "none to come"
	if !p.NextTrial.IsZero() {
		next = "the next at " + p.NextTrial.UTC().Format(time.RFC3339)
	}
	return fmt.Sprintf("%s is refused since %s: %d upstreams ended under it, the latest %v; %d trials, %s",
		what, p.Since.UTC().Format(time.RFC3339), p.Ends, p.Upstreams, p.Trials, next)
}

// Supersedes reports whether p replaces the known record of the same part.
func (p Record) Supersedes(known Record) bool { return p.Updated.After(known.Updated) }

// TrialDue reports whether a single request may show now whether the record still
// holds. Without NextTrial there is no further trial.
func (p Record) TrialDue(now time.Time) bool {
	return !p.NextTrial.IsZero() && !now.Before(p.NextTrial)
}

// BeginTrial returns the record after a trial has begun: the next one is put off
// before its outcome is known.
func (p Record) BeginTrial(now time.Time) Record {
	p.NextTrial = now.Add(min(maxTrialInterval, TrialInterval<<min(p.Trials+1, 10)))
	p.Trials++
	if p.Kind == KindRequest && p.Trials >= maxRequestTrials {
		p.NextTrial = time.Time{}
	}
	return p.update(now)
}

// Lift returns the record after it was found sound.
func (p Record) Lift(by string, now time.Time) Record {
	p.Lifted, p.By = true, by
	return p.update(now)
}

// update sets the time of the change, which is later than that of any change known,
// whatever the clock says.
func (p Record) update(now time.Time) Record {
	if now.After(p.Updated) {
		p.Updated = now
	} else {
		p.Updated = p.Updated.Add(1)
	}
	return p
}

// key identifies what a record is about.
type key struct {
	kind Kind
	pool ident.PoolName
	id   uint64
}

func (p Record) key() key {
	if p.Kind == KindRequest {
		return key{kind: KindRequest, id: p.ID}
	}
	return key{pool: p.Pool, id: p.ID}
}

// Set holds records by what they are about. Its zero value is empty. It is not safe
// for concurrent use.
type Set struct {
	records map[key]Record
	// requests is the number of records of requests.
	requests int
}

// Merge adds the records that supersede the known ones and returns them. It drops
// old records, and those beyond MaxRecords.
func (s *Set) Merge(records []Record, now time.Time) (changed []Record) {
	if s.records == nil {
		s.records = make(map[key]Record)
	}
	for _, p := range records {
		if known, ok := s.records[p.key()]; !ok && !p.expired(now) || ok && p.Supersedes(known) {
			s.records[p.key()] = p
			changed = append(changed, p)
		}
	}
	maps.DeleteFunc(s.records, func(_ key, p Record) bool { return p.expired(now) })
	s.dropExcess(KindPart)
	s.requests = s.dropExcess(KindRequest)
	return changed
}

// dropExcess drops the records of a kind beyond MaxRecords and returns how many are
// left.
func (s *Set) dropExcess(kind Kind) int {
	count := 0
	for k := range s.records {
		if k.kind == kind {
			count++
		}
	}
	for ; count > MaxRecords; count-- {
		delete(s.records, s.leastNeeded(kind).key())
	}
	return count
}

// leastNeeded returns the record of a kind that is dropped first.
func (s *Set) leastNeeded(kind Kind) Record {
	list := slices.DeleteFunc(s.List(), func(p Record) bool { return p.Kind != kind })
	if last := list[len(list)-1]; last.Lifted {
		return last
	}
	byTeam := make(map[ident.TeamName]int)
	least := list[0]
	for _, p := range list {
		byTeam[p.Team]++
	}
	for _, p := range list {
		if byTeam[p.Team] >= byTeam[least.Team] {
			least = p
		}
	}
	return least
}

func (p Record) expired(now time.Time) bool {
	age := now.Sub(p.Updated)
	return p.Lifted && age > liftedRetention || p.Kind == KindRequest && age > requestRetention
}

// Find returns the record of a part, unless it was lifted.
func (s *Set) Find(pool ident.PoolName, id uint64) (p Record, refused bool) {
	p, known := s.records[key{pool: pool, id: id}]
	return p, known && !p.Lifted
}

// FindRequest returns the record of the request with a fingerprint, unless it was
// lifted.
func (s *Set) FindRequest(fingerprint uint64) (p Record, refused bool) {
	if s.requests == 0 {
		return p, false
	}
	p, known := s.records[key{kind: KindRequest, id: fingerprint}]
	return p, known && !p.Lifted
}

// RefusesRequest reports whether the request with a fingerprint or with a content is
// refused.
func (s *Set) RefusesRequest(fingerprint, content uint64) bool {
	_, refused := s.FindRequest(fingerprint)
	if !refused && content != fingerprint {
		_, refused = s.FindRequest(content)
	}
	return refused
}

// FindAny returns the record of the first of the parts that is refused.
func (s *Set) FindAny(pool ident.PoolName, ids []uint64) (p Record, refused bool) {
	if len(s.records) == s.requests {
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
func (s *Set) Newer(records []Record) []Record {
	return slices.DeleteFunc(slices.Clone(records), func(p Record) bool {
		known, ok := s.records[p.key()]
		return ok && !p.Supersedes(known)
	})
}

// List returns all records: refused ones before lifted ones, the latest update
// first.
func (s *Set) List() []Record {
	list := make([]Record, 0, len(s.records))
	for _, p := range s.records {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Record) int {
		if a.Lifted != b.Lifted {
			if a.Lifted {
				return 1
			}
			return -1
		}
		return cmp.Or(b.Updated.Compare(a.Updated), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Equal reports whether two lists hold the same records, by key and update.
func Equal(a, b []Record) bool {
	return slices.EqualFunc(a, b, func(x, y Record) bool {
		return x.key() == y.key() && x.Updated.Equal(y.Updated) && x.Lifted == y.Lifted
	})
}

// End states that a request ran at an upstream when that ended, as its gateway saw it.
type End struct {
	Pool        ident.PoolName
	Request     ident.RequestID
	Upstream    ident.UpstreamName
	Fingerprint uint64
	// At is the wall-clock time of the end, by the clock of the scheduler that reported it.
	At time.Time
	// Parts are those of the request's prompt that may have caused the end and were not
	// answered since. HasParts is false if a node of an earlier version reported it, which
	// does not name them.
	Parts    []uint64
	HasParts bool
	// Begun is true if the request was at the beginning of its answer.
	Begun bool
	// Content is 0 if it was answered since, with any prompt.
	Content uint64
	Route   ident.RouteName
	Team    ident.TeamName
	// AnsweredBefore is how long before the end a request with the fingerprint was last
	// answered; 0 if unknown.
	AnsweredBefore time.Duration
	// Brittle is true if the upstream was known to be brittle.
	Brittle bool
}

// Equal reports whether two ends are the same.
func (e End) Equal(other End) bool {
	return e.Pool == other.Pool && e.Request == other.Request && e.Upstream == other.Upstream && e.Fingerprint == other.Fingerprint &&
		e.At.Equal(other.At) && slices.Equal(e.Parts, other.Parts) && e.HasParts == other.HasParts && e.Begun == other.Begun &&
		e.Content == other.Content && e.Route == other.Route && e.Team == other.Team &&
		e.AnsweredBefore == other.AnsweredBefore && e.Brittle == other.Brittle
}

// Key identifies an end among all. One request may run at several upstreams that end.
func (e End) Key() string { return string(e.Upstream) + " " + string(e.Request) }

// Answered holds what was answered since upstreams ended under it, in one pool.
type Answered struct {
	// Requests holds fingerprints and contents of requests.
	Requests []uint64
	Parts    []uint64
}

// IsEmpty reports whether nothing was answered.
func (a Answered) IsEmpty() bool { return len(a.Requests)+len(a.Parts) == 0 }
