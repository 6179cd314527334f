package scheduler

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

const (
	// endsToSuspect is the number of ends of upstreams under one part from which
	// requests with it run one at a time, and endsToRefuse that from which they are
	// refused. With more than one part at endsToRefuse, the evidence waits for one
	// end more.
	endsToSuspect = 2
	endsToRefuse  = 3
	// endsToRefuseWeak is the number needed where requests with the part may have
	// been there by chance: no header had come of their answers, or less than
	// minEndsShare of all ends came under the part.
	endsToRefuseWeak = 5
	minEndsShare     = 0.25
	// endSeparation is the time within which ends of several upstreams count as one
	// for a part: a fault outside the prompts ends many at the same moment.
	endSeparation = 100 * time.Millisecond
	// endSettle is the time after an end until the reports of all gateways about it
	// are in.
	endSettle = 100 * time.Millisecond
	// beginSettle is how long after its first token a request counts as beginning.
	beginSettle = 300 * time.Millisecond
	// maxEnds bounds the ends that are kept, maxSuspects the requests that are kept
	// of each, and endRetention is how long they are.
	maxEnds      = 64
	maxSuspects  = 16
	endRetention = 30 * time.Minute
	// explainedRetention is how long reports on an end that a refused part explains
	// may come late.
	explainedRetention = time.Minute
)

// Broken states how far an answer had come when its upstream broke it off.
type Broken uint8

const (
	// NotBroken means that the answer was not broken off by its upstream.
	NotBroken Broken = iota
	// BrokenUnbegun means that the upstream broke off before the answer's header.
	BrokenUnbegun
	// BrokenBegun means that the upstream broke off after the answer's header.
	BrokenBegun
)

// EndNotice is a request whose upstream broke off at the beginning of its answer,
// as a gateway reports it to a new scheduler.
type EndNotice struct {
	Ticket   ident.RequestID
	Upstream ident.UpstreamName
	Parts    []uint64
	Broken   Broken
	Age      time.Duration
}

// PoisonChange reports that a part is refused from now on, or no longer, and which
// ends of upstreams it explains.
type PoisonChange struct {
	// Part is the record; nil if only more ends are explained.
	Part *poison.Part
	// Explained names upstreams whose ends are no evidence against them or their
	// versions.
	Explained []ident.UpstreamName
}

// String implements fmt.Stringer.
func (c PoisonChange) String() string {
	if c.Part == nil {
		return fmt.Sprintf("a refused part explains the end of %v", c.Explained)
	}
	return c.Part.String()
}

// evidence holds what is known of the ends of upstreams and of the parts of prompts
// under which they came.
//
// A part is suspected by the ends in a row at which a request with it had just
// begun, without an answer to any request with it that went on past its beginning.
type evidence struct {
	ends []*upstreamEnd
	// clearedAt is when an answer to a request with the part last went on past its
	// beginning, for the parts in ends.
	clearedAt map[uint64]time.Duration
	// suspects holds the number of ends by part, for the suspected parts.
	suspects map[uint64]int
	// apart is the latest request with a suspected part that was granted.
	apart *entry
	// evaluateAt is when the latest ends are evaluated; 0 if they were.
	evaluateAt time.Duration
	refused    poison.Set
	// explained holds the upstreams whose ends a refused part explains, since when.
	explained map[ident.UpstreamName]time.Duration
	// trials holds the requests that run as trials of refused parts.
	trials  map[*entry]poison.Part
	changes []PoisonChange
}

// neverCleared is the time at which a part was cleared that never was. It is before
// all ends, also those that a former scheduler saw.
const neverCleared = time.Duration(math.MinInt64)

// upstreamEnd is the end of one upstream, or what looks like one.
type upstreamEnd struct {
	upstream ident.UpstreamName
	at       time.Duration
	requests []endedRequest
}

type endedRequest struct {
	ticket ident.RequestID
	parts  []uint64
	begun  bool
}

func newEvidence() evidence {
	return evidence{
		clearedAt: make(map[uint64]time.Duration), suspects: make(map[uint64]int), trials: make(map[*entry]poison.Part),
		explained: make(map[ident.UpstreamName]time.Duration),
	}
}

// recordBroken records a request whose upstream broke off at the beginning of its
// answer, at the given time. Evaluate is false for what a former scheduler has
// evaluated already.
func (p *Pool) recordBroken(n EndNotice, evaluate bool, now time.Duration) {
	v := &p.evidence
	at := now - n.Age
	v.dropOld(now)
	if _, explained := v.explained[n.Upstream]; explained {
		return
	}
	i := slices.IndexFunc(v.ends, func(e *upstreamEnd) bool { return e.upstream == n.Upstream })
	if i < 0 {
		i = len(v.ends)
		v.ends = append(v.ends, &upstreamEnd{upstream: n.Upstream, at: at})
	}
	end := v.ends[i]
	known := slices.ContainsFunc(end.requests, func(r endedRequest) bool { return r.ticket == n.Ticket })
	if known || len(end.requests) >= maxSuspects {
		return
	}
	end.requests = append(end.requests, endedRequest{ticket: n.Ticket, parts: n.Parts, begun: n.Broken == BrokenBegun})
	slices.SortStableFunc(v.ends, func(a, b *upstreamEnd) int { return int(a.at - b.at) })
	for _, part := range n.Parts {
		if _, known := v.clearedAt[part]; !known {
			v.clearedAt[part] = neverCleared
		}
	}
	if evaluate && v.evaluateAt == 0 {
		v.evaluateAt = now + endSettle
	}
}

// dropOld drops the ends that are old or too many, and the parts that stood only in
// those.
func (v *evidence) dropOld(now time.Duration) {
	maps.DeleteFunc(v.explained, func(_ ident.UpstreamName, at time.Duration) bool { return now-at > explainedRetention })
	before := len(v.ends)
	v.ends = slices.DeleteFunc(v.ends, func(e *upstreamEnd) bool { return now-e.at > endRetention })
	if len(v.ends) >= maxEnds {
		v.ends = slices.Delete(v.ends, 0, len(v.ends)-maxEnds+1)
	}
	if len(v.ends) != before {
		v.dropUnusedParts()
	}
}

func (v *evidence) dropUnusedParts() {
	used := make(map[uint64]time.Duration)
	for _, e := range v.ends {
		for _, r := range e.requests {
			for _, part := range r.parts {
				used[part] = v.clearedAt[part]
			}
		}
	}
	v.clearedAt = used
	for part := range v.suspects {
		if _, known := used[part]; !known {
			delete(v.suspects, part)
		}
	}
}

// suspectsOf returns the requests of an end that may have caused it: those whose
// answers had begun or, if there is none, all.
func (e *upstreamEnd) suspectsOf() []endedRequest {
	begun := slices.DeleteFunc(slices.Clone(e.requests), func(r endedRequest) bool { return !r.begun })
	if len(begun) > 0 {
		return begun
	}
	return e.requests
}

// partEnds is the evidence against one part.
type partEnds struct {
	// upstreams ended under the part since it was last cleared, oldest first. Of
	// those that ended at the same moment, only one is among them.
	upstreams []ident.UpstreamName
	// begun counts those at which the answer to a request with the part had begun.
	begun int
	// all is the number of all upstreams that ended from the first of them on, and
	// last is when the last of them did.
	all  int
	last time.Duration
}

// countEnds returns the evidence against each part.
func (v *evidence) countEnds() map[uint64]*partEnds {
	counts := make(map[uint64]*partEnds, len(v.clearedAt))
	for _, e := range v.ends {
		for _, under := range counts {
			under.all++
		}
		for _, r := range e.suspectsOf() {
			for _, part := range r.parts {
				if e.at > v.clearedAt[part] {
					countEnd(counts, part, e, r.begun)
				}
			}
		}
	}
	return counts
}

// countEnd adds an end to the evidence against a part, unless it has been counted or
// came at the same moment as the one before.
func countEnd(counts map[uint64]*partEnds, part uint64, e *upstreamEnd, begun bool) {
	under, known := counts[part]
	if !known {
		under = &partEnds{all: 1}
		counts[part] = under
	} else if e.at-under.last < endSeparation {
		return
	}
	under.upstreams, under.last = append(under.upstreams, e.upstream), e.at
	if begun {
		under.begun++
	}
}

// count returns the number of ends.
func (u *partEnds) count() int { return len(u.upstreams) }

// enough reports whether the evidence is enough to refuse the part.
func (u *partEnds) enough() bool {
	if u.begun >= endsToRefuse && float64(u.count()) >= minEndsShare*float64(u.all) {
		return true
	}
	return u.count() >= endsToRefuseWeak
}

// evaluateEnds counts the ends by part, and refuses the part with the most if there
// are enough. Ends that a refused part explains count against no other part.
func (p *Pool) evaluateEnds(now time.Duration) {
	v := &p.evidence
	v.evaluateAt = 0
	p.explainEnds(now)
	p.clearRunning(now)
	clear(v.suspects)
	most := 0
	var worst []uint64
	counts := v.countEnds()
	for part, under := range counts {
		ends := under.count()
		if ends >= endsToSuspect {
			v.suspects[part] = ends
		}
		if ends < most || !under.enough() {
			continue
		}
		if ends > most {
			most, worst = ends, nil
		}
		worst = append(worst, part)
	}
	if len(worst) == 1 || most > endsToRefuse {
		slices.Sort(worst)
		for _, part := range worst {
			p.refusePart(part, counts[part].upstreams, now)
		}
	}
}

// explainEnds removes the ends at which a request with a refused part had begun.
func (p *Pool) explainEnds(now time.Duration) {
	v := &p.evidence
	var explained []ident.UpstreamName
	v.ends = slices.DeleteFunc(v.ends, func(e *upstreamEnd) bool {
		found := slices.ContainsFunc(e.suspectsOf(), func(r endedRequest) bool {
			_, refused := v.refused.FindAny(p.view.Pool, r.parts)
			return refused
		})
		if found {
			explained = append(explained, e.upstream)
			v.explained[e.upstream] = now
		}
		return found
	})
	if len(explained) > 0 {
		v.dropUnusedParts()
		v.changes = append(v.changes, PoisonChange{Explained: explained})
	}
}

// clearRunning clears the parts of requests whose answers have gone on past their
// beginning.
func (p *Pool) clearRunning(now time.Duration) {
	for _, g := range p.orderedEngines {
		for e := range g.running {
			if e.firstTokenAt != 0 && now-e.firstTokenAt > beginSettle {
				p.clearParts(e, e.firstTokenAt)
			}
		}
	}
}

// clearParts records that an answer to a request went on past its beginning at the
// given time.
func (p *Pool) clearParts(e *entry, at time.Duration) {
	v := &p.evidence
	if len(v.clearedAt) == 0 {
		return
	}
	for _, part := range e.ticket.Parts {
		if cleared, known := v.clearedAt[part]; known && at > cleared {
			v.clearedAt[part] = at
			delete(v.suspects, part)
		}
	}
}

// retractEnd forgets the end of an upstream that has answered a request sent after
// it: only connections had broken.
func (p *Pool) retractEnd(e *entry) {
	v := &p.evidence
	if len(v.ends) == 0 {
		return
	}
	before := len(v.ends)
	v.ends = slices.DeleteFunc(v.ends, func(end *upstreamEnd) bool {
		return end.upstream == e.engine.upstream.Name && e.startedAt > end.at
	})
	if len(v.ends) != before {
		v.dropUnusedParts()
	}
}

// refusePart refuses requests with a part, under which the given upstreams have ended,
// from now on.
func (p *Pool) refusePart(part uint64, under []ident.UpstreamName, now time.Duration) {
	v := &p.evidence
	at := p.wallTime(now)
	record := poison.Part{
		Pool: p.view.Pool, ID: part, Since: at, Updated: at, Ends: len(under),
		Upstreams: slices.Clone(under[max(0, len(under)-poison.MaxUpstreams):]), NextTrial: at.Add(poison.TrialInterval),
	}
	if known := v.refused.Newer([]poison.Part{record}); len(known) == 0 {
		return
	}
	p.learnPoison([]poison.Part{record}, now)
	delete(v.suspects, part)
	p.explainEnds(now)
}

// learnPoison applies records of refused parts and refuses the waiting tickets that
// hold one.
func (p *Pool) learnPoison(parts []poison.Part, now time.Duration) {
	v := &p.evidence
	parts = slices.DeleteFunc(slices.Clone(parts), func(r poison.Part) bool { return r.Pool != p.view.Pool })
	changed := v.refused.Merge(parts, p.wallTime(now))
	if len(changed) == 0 {
		return
	}
	for _, record := range changed {
		v.changes = append(v.changes, PoisonChange{Part: &record})
	}
	for _, e := range p.matching(func(e *entry) bool { return e.state == stateWaiting && p.holdsRefused(e) }) {
		p.dequeue(e)
		p.refuse(e, ReasonPoisonPart, now)
	}
}

// holdsRefused reports whether a ticket holds a refused part that it is no trial
// of.
func (p *Pool) holdsRefused(e *entry) bool {
	v := &p.evidence
	if len(e.ticket.Parts) == 0 {
		return false
	}
	record, refused := v.refused.FindAny(p.view.Pool, e.ticket.Parts)
	if !refused {
		return false
	}
	trial, isTrial := v.trials[e]
	return !isTrial || trial.ID != record.ID
}

// admitPoison reports whether a ticket holds no refused part, or may run as a trial
// of its only one.
func (p *Pool) admitPoison(e *entry, now time.Duration) bool {
	v := &p.evidence
	record, refused := v.refused.FindAny(p.view.Pool, e.ticket.Parts)
	if !refused {
		return true
	}
	at := p.wallTime(now)
	others := slices.DeleteFunc(slices.Clone(e.ticket.Parts), func(part uint64) bool { return part == record.ID })
	if _, more := v.refused.FindAny(p.view.Pool, others); more || at.Before(record.NextTrial) || len(v.trials) > 0 {
		return false
	}
	v.trials[e] = record
	begun := record.BeginTrial(at)
	v.refused.Merge([]poison.Part{begun}, at)
	v.changes = append(v.changes, PoisonChange{Part: &begun})
	return true
}

// isTrial reports whether a ticket runs to show whether a refused part is sound again.
func (p *Pool) isTrial(e *entry) bool {
	_, trial := p.evidence.trials[e]
	return trial
}

// endTrial ends the trial that a ticket may be. Sound is true if its answer went on
// past its beginning.
func (p *Pool) endTrial(e *entry, sound bool, now time.Duration) {
	v := &p.evidence
	record, isTrial := v.trials[e]
	if !isTrial {
		return
	}
	delete(v.trials, e)
	current, refused := v.refused.Find(p.view.Pool, record.ID)
	if !sound || !refused {
		return
	}
	p.learnPoison([]poison.Part{current.Lift("a trial succeeded", p.wallTime(now))}, now)
}

// mustRunApart reports whether a ticket holds a suspected part while another such
// request may still be at the beginning of its answer.
func (p *Pool) mustRunApart(e *entry, now time.Duration) bool {
	v := &p.evidence
	if !p.holdsSuspect(e) {
		return false
	}
	a := v.apart
	return a != nil && a != e && a.holdsSlot() && (a.firstTokenAt == 0 || now-a.firstTokenAt < beginSettle)
}

func (p *Pool) holdsSuspect(e *entry) bool {
	return len(p.evidence.suspects) > 0 && slices.ContainsFunc(e.ticket.Parts, func(part uint64) bool { return p.evidence.suspects[part] > 0 })
}

// observeAnswer learns from the final report on a granted request what it says about
// the parts of its prompt and about the end of its upstream.
func (p *Pool) observeAnswer(e *entry, r Report, now time.Duration) {
	if len(e.ticket.Parts) == 0 {
		return
	}
	pastBeginning := r.Kind == ReportEnded || r.OutputTokens >= 2
	switch {
	case pastBeginning:
		p.clearParts(e, now)
	case r.Broken != NotBroken:
		p.recordBroken(EndNotice{Ticket: e.ticket.ID, Upstream: r.Upstream, Parts: e.ticket.Parts, Broken: r.Broken}, true, now)
	}
	p.endTrial(e, pastBeginning, now)
}

// PoisonChanges implements Scheduler.
func (p *Pool) PoisonChanges() []PoisonChange {
	out := p.evidence.changes
	p.evidence.changes = nil
	return out
}
