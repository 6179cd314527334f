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
	// endsToRefuseBrittle is the number needed if any of the upstreams was known to be
	// brittle: such an upstream also falls when it has to turn too many requests away.
	endsToRefuseBrittle = 6
	// endSeparation is the time within which ends of several upstreams count as one
	// for a part: a fault outside the prompts ends many at the same moment.
	endSeparation = 100 * time.Millisecond
	// endSettle is the time after an end until the reports of all gateways about it
	// are in.
	endSettle = 100 * time.Millisecond
	// beginSettle is how long after its first token a request that runs counts as beginning.
	beginSettle = 300 * time.Millisecond
	// endDuration is how long after the first token of a request the connections of an
	// upstream that ends on it commonly stay open. It may still send a few tokens.
	// maxEndDuration is how long they may where processors are busy: in between, a broken
	// answer says nothing of its request.
	endDuration    = 50 * time.Millisecond
	maxEndDuration = time.Second
	// maxEnds bounds the ends that are kept, maxSuspects the requests that are kept
	// of each, and endRetention is how long they are.
	maxEnds      = 256
	maxSuspects  = 64
	endRetention = 30 * time.Minute
	// explainedRetention is how long reports on an end that a refused part or request
	// explains may come late.
	explainedRetention = time.Minute
	// learnedRetention is how long an end is known that is no longer kept: longer than the
	// leader spreads it.
	learnedRetention     = 10 * time.Minute
	learnedSweepInterval = time.Minute
	// maxNoticeDelay is how long after an end the reports of it may come.
	maxNoticeDelay = time.Second
	// maxRetraction is how soon after its end an answer shows that an upstream did not
	// end where the ages of connections are unknown. Later, it may be back under its name.
	maxRetraction = 2 * time.Second
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
	// Abandoned means that the gateway gave the request up before its answer was
	// complete. The upstream may still run it.
	Abandoned
)

// EndNotice is a request whose upstream broke off its answer, as a gateway reports it
// to a new scheduler.
type EndNotice struct {
	Ticket   ident.RequestID
	Upstream ident.UpstreamName
	// Parts is empty for a request whose answer had gone on past its beginning.
	Parts       []uint64
	Fingerprint uint64
	Content     uint64
	Route       ident.RouteName
	Team        ident.TeamName
	// AnsweredBefore is how long before the end the gateway last had a complete answer
	// to a request with the fingerprint; 0 if it knows of none.
	AnsweredBefore time.Duration
	Broken         Broken
	// PastBeginning is true for a request whose answer had gone on past its beginning.
	PastBeginning bool
	Age           time.Duration
	// Spread is true for a request known from a leader that doesn't name its parts.
	Spread bool
	// Brittle is true if another scheduler knew the upstream to be brittle.
	Brittle bool
}

// PoisonChange reports one of the following: a part or a request is refused from now
// on, or no longer; a refused one explains ends of upstreams; an upstream ended.
type PoisonChange struct {
	Record *poison.Record
	// Explained names upstreams whose ends are no evidence against them or their
	// versions.
	Explained []ident.UpstreamName
	// Ended is an upstream that ended, and Suspects the ends in a row under each
	// request that ran there.
	Ended    ident.UpstreamName
	Suspects map[uint64]int
}

// String implements fmt.Stringer.
func (c PoisonChange) String() string {
	switch {
	case c.Record != nil:
		return c.Record.String()
	case c.Ended != "":
		text := fmt.Sprintf("%s ended; ends in a row by request:", c.Ended)
		for _, fingerprint := range slices.Sorted(maps.Keys(c.Suspects)) {
			text += fmt.Sprintf(" %016x: %d", fingerprint, c.Suspects[fingerprint])
		}
		return text
	default:
		return fmt.Sprintf("a refused part or request explains the end of %v", c.Explained)
	}
}

// evidence holds what is known of the ends of upstreams and of the parts of prompts
// under which they came.
//
// A part is suspected by the ends in a row at which a request with it had just
// begun, without an answer to any request with it that went on past its beginning.
type evidence struct {
	ends []*upstreamEnd
	// clearedAt is when an answer to a request with the part last went on past its
	// beginning, for the parts in ends. answeredParts holds the same for parts of late,
	// so that a part is known to be answered when its first end comes.
	clearedAt     map[uint64]time.Duration
	answeredParts AnsweredTable
	// suspects holds the number of ends by part, for the suspected parts.
	suspects map[uint64]int
	// apart is the latest request with a suspected part that was granted.
	apart *entry
	// evaluateAt is when the latest ends are evaluated; 0 if they were.
	evaluateAt time.Duration
	refused    poison.Set
	byRequest  requestEvidence
	// learned holds when each end was recorded, also those that are no longer kept, and
	// learnedSweptAt is when old ones were last dropped.
	learned        map[string]time.Duration
	learnedSweptAt time.Duration
	// explained holds the upstreams whose ends a refused part or request explains, since
	// when.
	explained map[ident.UpstreamName]time.Duration
	// trials holds the requests that run as trials of records.
	trials  map[*entry]poison.Record
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
	// blamed is the fingerprint of the refused request that explains the end; 0 if
	// there is none. Such an end is kept as evidence against the parts of that request.
	blamed uint64
	// reported is true once the end was reported as a change. own is true for an end
	// that a gateway of this scheduler saw.
	reported, own bool
	// brittle is true for an upstream that was known to be brittle. It may have fallen
	// because it had to turn too many requests away.
	brittle bool
}

type endedRequest struct {
	ticket ident.RequestID
	parts  []uint64
	// begun is true for a request that was at the beginning of its answer, and past for one
	// whose answer had gone on past it.
	begun, past bool
	fingerprint uint64
	content     uint64
	route       ident.RouteName
	team        ident.TeamName
	// spread is true for a request known only from a leader that doesn't name its parts and
	// how far its answer had come.
	spread bool
}

func newEvidence() evidence {
	return evidence{
		clearedAt: make(map[uint64]time.Duration), suspects: make(map[uint64]int), trials: make(map[*entry]poison.Record),
		explained: make(map[ident.UpstreamName]time.Duration), learned: make(map[string]time.Duration),
		byRequest: requestEvidence{clearedAt: make(map[uint64]time.Duration), suspects: make(map[uint64]int)},
	}
}

// recordBroken records a request whose upstream broke off its answer, at the given
// time. Evaluate is false for what a former scheduler has evaluated already.
func (p *Pool) recordBroken(n EndNotice, evaluate bool, now time.Duration) {
	v := &p.evidence
	at := now - n.Age
	v.dropOld(now)
	v.learned[poison.End{Upstream: n.Upstream, Request: n.Ticket}.Key()] = now
	if since, explained := v.explained[n.Upstream]; explained && !p.isBackSince(&upstreamEnd{upstream: n.Upstream, at: since}, at) {
		return
	}
	i := slices.IndexFunc(v.ends, func(e *upstreamEnd) bool { return e.upstream == n.Upstream && !p.isBackSince(e, at) })
	first := i < 0
	if first {
		i = len(v.ends)
		v.ends = append(v.ends, &upstreamEnd{upstream: n.Upstream, at: at, requests: v.byRequest.abandonedAt(n.Upstream, now)})
	}
	end := v.ends[i]
	end.own = end.own || evaluate
	end.brittle = end.brittle || n.Brittle || p.isBrittle(n.Upstream)
	r := endedRequest{
		ticket: n.Ticket, parts: n.Parts, begun: n.Broken == BrokenBegun && !n.PastBeginning, past: n.PastBeginning,
		fingerprint: n.Fingerprint, content: n.Content, route: n.Route, team: n.Team, spread: n.Spread,
	}
	known := slices.IndexFunc(end.requests, func(other endedRequest) bool { return other.ticket == n.Ticket })
	switch {
	case known >= 0 && end.requests[known].spread && !n.Spread:
		end.requests = slices.Delete(end.requests, known, known+1)
	case known >= 0 || len(end.requests) >= maxSuspects:
		return
	}
	end.requests = append(end.requests, r)
	slices.SortStableFunc(v.ends, func(a, b *upstreamEnd) int { return int(a.at - b.at) })
	for _, part := range n.Parts {
		v.knowPart(part)
	}
	if n.Fingerprint != 0 && n.AnsweredBefore > 0 {
		v.byRequest.clearBefore(n.Fingerprint, at-n.AnsweredBefore)
	}
	changed := end.requests[len(end.requests)-1:]
	if first {
		changed = end.requests
	}
	for _, r := range changed {
		if r.fingerprint != 0 {
			v.byRequest.know(r.content)
			p.suspectRequest(r.fingerprint, now)
		}
	}
	if evaluate {
		v.evaluateBy(now + endSettle)
	}
}

// evaluateBy has the ends evaluated at the given time at the latest.
func (v *evidence) evaluateBy(at time.Duration) {
	if v.evaluateAt == 0 || at < v.evaluateAt {
		v.evaluateAt = at
	}
}

// knowPart adds a part to those in the ends.
func (v *evidence) knowPart(part uint64) {
	if _, known := v.clearedAt[part]; known {
		return
	}
	v.clearedAt[part] = neverCleared
	if at, answered := v.answeredParts.Last(part); answered {
		v.clearedAt[part] = at
	}
}

// isBackSince reports whether an upstream had started again under its name, after the
// given end, by the time at which it ended once more. Where schedulers are shared, each
// start has its own name.
func (p *Pool) isBackSince(e *upstreamEnd, at time.Duration) bool {
	g, known := p.engines[e.upstream]
	return known && p.view.Shared == nil && at-e.at > maxRetraction && g.lastResponseAt > e.at+maxRetraction
}

// dropOld drops the ends that are old or too many, and the parts that stood only in
// those.
func (v *evidence) dropOld(now time.Duration) {
	maps.DeleteFunc(v.explained, func(_ ident.UpstreamName, at time.Duration) bool { return now-at > explainedRetention })
	if now-v.learnedSweptAt > learnedSweepInterval {
		v.learnedSweptAt = now
		maps.DeleteFunc(v.learned, func(_ string, at time.Duration) bool { return now-at > learnedRetention })
	}
	before := len(v.ends)
	v.ends = slices.DeleteFunc(v.ends, func(e *upstreamEnd) bool { return now-e.at > endRetention })
	if len(v.ends) >= maxEnds {
		v.ends = slices.Delete(v.ends, 0, len(v.ends)-maxEnds+1)
	}
	if len(v.ends) != before {
		v.dropUnused()
	}
}

// dropUnused drops the parts and requests that no end has any more.
func (v *evidence) dropUnused() {
	parts, requests := make(map[uint64]time.Duration), make(map[uint64]time.Duration)
	for _, e := range v.ends {
		for _, r := range e.requests {
			for _, part := range r.parts {
				parts[part] = v.clearedAt[part]
			}
			for _, id := range []uint64{r.fingerprint, r.content} {
				if cleared, known := v.byRequest.clearedAt[id]; known {
					requests[id] = cleared
				}
			}
		}
	}
	v.clearedAt, v.byRequest.clearedAt = parts, requests
	maps.DeleteFunc(v.suspects, func(part uint64, _ int) bool {
		_, used := parts[part]
		return !used
	})
	v.recountRequests()
}

// suspectsOf returns the requests of an end that may have caused it: those with the
// fingerprint that is blamed, else all whose answers had not gone on past their beginnings,
// first those whose answers had begun.
func (e *upstreamEnd) suspectsOf() []endedRequest {
	var begun, unbegun []endedRequest
	for _, r := range e.requests {
		switch {
		case e.blamed != 0 && r.fingerprint != e.blamed, e.blamed == 0 && r.past:
		case r.begun:
			begun = append(begun, r)
		default:
			unbegun = append(unbegun, r)
		}
	}
	return append(begun, unbegun...)
}

// hidesParts reports whether a request may have had parts that are not known here. Others
// that ran there would be blamed in its place.
func (e *upstreamEnd) hidesParts() bool { return e.hidesPartsOfOthers(0) }

// hidesPartsOfOthers is hidesParts but for the requests with a fingerprint.
func (e *upstreamEnd) hidesPartsOfOthers(fingerprint uint64) bool {
	return slices.ContainsFunc(e.requests, func(r endedRequest) bool {
		return r.spread && r.content != r.fingerprint && (fingerprint == 0 || r.fingerprint != fingerprint)
	})
}

// partEnds is the evidence against one part.
type partEnds struct {
	// upstreams ended under the part since it was last cleared, oldest first. Of
	// those that ended at the same moment, only one is among them.
	upstreams []ident.UpstreamName
	// begun counts those at which the answer to a request with the part had begun.
	begun int
	// brittle counts those that were known to be brittle.
	brittle int
	// all is the number of all upstreams that ended from the first of them on, and
	// last is when the last of them did.
	all  int
	last time.Duration
	// blamed holds the refused request that explains each of these ends; 0 if none
	// does.
	blamed []uint64
}

// countEnds returns the evidence against each part.
func (v *evidence) countEnds() map[uint64]*partEnds {
	counts := make(map[uint64]*partEnds, len(v.clearedAt))
	for _, e := range v.ends {
		if e.hidesParts() {
			continue
		}
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
	under.blamed = append(under.blamed, e.blamed)
	if begun {
		under.begun++
	}
	if e.brittle {
		under.brittle++
	}
}

// count returns the number of ends.
func (u *partEnds) count() int { return len(u.upstreams) }

// enough reports whether the evidence is enough to refuse the part, of which answers may
// have been seen lately. Ends that a single request explains are evidence against that
// request, not against its parts.
func (u *partEnds) enough(answeredLately bool) bool {
	if one := u.blamed[0]; one != 0 && !slices.ContainsFunc(u.blamed, func(b uint64) bool { return b != one }) {
		return false
	}
	if answeredLately {
		return u.count() >= endsToRefuseAnswered
	}
	if u.brittle > 0 {
		return u.count() >= endsToRefuseBrittle
	}
	if u.begun >= endsToRefuse && float64(u.count()) >= minEndsShare*float64(u.all) {
		return true
	}
	return u.count() >= endsToRefuseWeak
}

// evaluateEnds counts the ends by request and by part, and refuses the request and the
// part with the most if there are enough. Ends that a refused part explains count
// against no other part.
func (p *Pool) evaluateEnds(now time.Duration) {
	v := &p.evidence
	v.evaluateAt = 0
	if known := v.byRequest.since + answeredHistory; v.byRequest.sees && now < known && len(v.ends) > 0 {
		v.evaluateBy(known)
	}
	p.explainEnds(now)
	p.reportEnds()
	p.clearRunning(now)
	p.evaluateRequests(now)
	clear(v.suspects)
	most := 0
	var worst []uint64
	counts := v.countEnds()
	for part, under := range counts {
		ends := under.count()
		if ends >= endsToSuspect {
			v.suspects[part] = ends
		}
		answeredLately := !v.byRequest.knowsAnswers(now) || wasAnsweredLately(v.clearedAt, part, now)
		if ends < most || !under.enough(answeredLately) {
			continue
		}
		if ends > most {
			most, worst = ends, nil
		}
		worst = append(worst, part)
	}
	if len(worst) == 1 || most > endsToRefuse {
		for _, part := range p.specificParts(worst, counts, now) {
			p.refusePart(part, counts[part].upstreams, now)
		}
	}
}

// specificParts returns the given parts, sorted, without those whose ends another of them
// explains as well and that are more likely to be sound: they were answered while the other
// never was, or, where no answers tell, most of the known requests hold them while fewer
// hold the other.
func (p *Pool) specificParts(parts []uint64, counts map[uint64]*partEnds, now time.Duration) []uint64 {
	slices.Sort(parts)
	if len(parts) < 2 {
		return parts
	}
	isCommon := p.commonParts(parts)
	knowsAnswers := p.evidence.byRequest.knowsAnswers(now)
	likelySound := func(part uint64) bool {
		if knowsAnswers {
			return p.evidence.clearedAt[part] != neverCleared
		}
		return isCommon[part]
	}
	return slices.DeleteFunc(slices.Clone(parts), func(part uint64) bool {
		return likelySound(part) && slices.ContainsFunc(parts, func(other uint64) bool {
			return !likelySound(other) && slices.Equal(counts[other].upstreams, counts[part].upstreams)
		})
	})
}

// commonParts returns those of the given parts that most of the known requests with parts
// hold.
func (p *Pool) commonParts(parts []uint64) map[uint64]bool {
	all, holders := 0, make(map[uint64]int, len(parts))
	for _, e := range p.entries {
		if len(e.ticket.Parts) == 0 {
			continue
		}
		all++
		for _, part := range parts {
			if slices.Contains(e.ticket.Parts, part) {
				holders[part]++
			}
		}
	}
	common := make(map[uint64]bool)
	for part, n := range holders {
		common[part] = 2*n > all
	}
	return common
}

// reportEnds reports the ends that came since the last call as changes.
func (p *Pool) reportEnds() {
	v := &p.evidence
	for _, e := range v.ends {
		if e.reported {
			continue
		}
		e.reported = true
		suspects := make(map[uint64]int)
		for _, r := range e.requests {
			if r.fingerprint != 0 {
				suspects[r.fingerprint] = len(v.endsUnder(r.fingerprint))
			}
		}
		v.changes = append(v.changes, PoisonChange{Ended: e.upstream, Suspects: suspects})
	}
}

// explainEnds removes the ends at which a request with a refused part had begun, and
// marks those at which a refused request ran.
func (p *Pool) explainEnds(now time.Duration) {
	v := &p.evidence
	var explained []ident.UpstreamName
	for _, e := range v.ends {
		i := slices.IndexFunc(e.requests, func(r endedRequest) bool {
			return v.refused.RefusesRequest(r.fingerprint, r.content)
		})
		if i >= 0 && e.blamed == 0 {
			e.blamed = e.requests[i].fingerprint
			explained = append(explained, e.upstream)
			v.explained[e.upstream] = now
		}
	}
	v.ends = slices.DeleteFunc(v.ends, func(e *upstreamEnd) bool {
		found := slices.ContainsFunc(e.suspectsOf(), func(r endedRequest) bool {
			_, refused := v.refused.FindAny(p.view.Pool, r.parts)
			return refused
		})
		if found && e.blamed == 0 {
			explained = append(explained, e.upstream)
			v.explained[e.upstream] = now
		}
		return found
	})
	if len(explained) > 0 {
		v.dropUnused()
		v.changes = append(v.changes, PoisonChange{Explained: explained})
	}
}

// clearRunning clears the parts of requests whose answers have gone on past their
// beginning.
func (p *Pool) clearRunning(now time.Duration) {
	for _, g := range p.orderedEngines {
		for e := range g.running {
			if e.firstTokenAt != 0 && now-e.firstTokenAt > maxEndDuration {
				p.clearParts(e, e.firstTokenAt)
			}
		}
	}
}

// clearParts records that an answer to a request went on past its beginning at the
// given time.
func (p *Pool) clearParts(e *entry, at time.Duration) {
	for _, part := range e.ticket.Parts {
		p.evidence.clearPart(part, at)
	}
}

// clearPart records that an answer to a request with the part went on past its beginning at the
// given time.
func (v *evidence) clearPart(part uint64, at time.Duration) {
	if last, known := v.answeredParts.Last(part); !known || at > last {
		v.answeredParts.Add(part, at)
	}
	if cleared, known := v.clearedAt[part]; known && at > cleared {
		v.clearedAt[part] = at
		delete(v.suspects, part)
	}
}

// retractEnd forgets the end of an upstream that has answered a request sent after it on a
// connection from before: only others had broken. On a later connection, another start
// that the list doesn't show yet may have answered.
func (p *Pool) retractEnd(e *entry, connAge time.Duration) {
	v := &p.evidence
	if len(v.ends) == 0 {
		return
	}
	before := len(v.ends)
	v.ends = slices.DeleteFunc(v.ends, func(end *upstreamEnd) bool {
		after := e.startedAt - end.at
		if end.upstream != e.engine.upstream.Name || after <= 0 {
			return false
		}
		if p.view.Shared == nil {
			return after < maxRetraction
		}
		return connAge > after+maxNoticeDelay
	})
	if len(v.ends) != before {
		v.dropUnused()
	}
}

// refusePart refuses requests with a part, under which the given upstreams have ended,
// from now on.
func (p *Pool) refusePart(part uint64, under []ident.UpstreamName, now time.Duration) {
	v := &p.evidence
	record := p.newRecord(poison.KindPart, part, under, now)
	if known := v.refused.Newer([]poison.Record{record}); len(known) == 0 {
		return
	}
	p.learnPoison([]poison.Record{record}, now)
	delete(v.suspects, part)
	p.explainEnds(now)
}

// newRecord returns the record of what is refused from now on.
func (p *Pool) newRecord(kind poison.Kind, id uint64, under []ident.UpstreamName, now time.Duration) poison.Record {
	at := p.wallTime(now)
	return poison.Record{
		Kind: kind, Pool: p.view.Pool, ID: id, Since: at, Updated: at, Ends: len(under),
		Upstreams: slices.Clone(under[max(0, len(under)-poison.MaxUpstreams):]), NextTrial: at.Add(poison.TrialInterval),
	}
}

// learnPoison applies records and refuses the waiting tickets that they concern.
func (p *Pool) learnPoison(records []poison.Record, now time.Duration) {
	v := &p.evidence
	records = slices.DeleteFunc(slices.Clone(records), func(r poison.Record) bool {
		return r.Kind == poison.KindPart && r.Pool != p.view.Pool
	})
	changed := v.refused.Merge(records, p.wallTime(now))
	if len(changed) == 0 {
		return
	}
	for _, record := range changed {
		v.changes = append(v.changes, PoisonChange{Record: &record})
		if !record.Lifted {
			p.dropExplained(record, now)
		}
	}
	for _, e := range p.matching(func(e *entry) bool { return e.state == stateWaiting && p.refusedReason(e) != "" }) {
		p.dequeue(e)
		p.refuse(e, p.refusedReason(e), now)
	}
}

// dropExplained removes the ends that a record names, unless its own request ran there:
// another scheduler may have known more of them.
func (p *Pool) dropExplained(record poison.Record, now time.Duration) {
	v := &p.evidence
	var explained []ident.UpstreamName
	v.ends = slices.DeleteFunc(v.ends, func(e *upstreamEnd) bool {
		ownRequest := record.Kind == poison.KindRequest && e.ran(record.ID)
		if e.blamed != 0 || ownRequest || !slices.Contains(record.Upstreams, e.upstream) {
			return false
		}
		explained = append(explained, e.upstream)
		v.explained[e.upstream] = now
		return true
	})
	if len(explained) > 0 {
		v.dropUnused()
		v.changes = append(v.changes, PoisonChange{Explained: explained})
	}
}

// refusedBy returns the records that concern a ticket.
func (p *Pool) refusedBy(e *entry) []poison.Record {
	v := &p.evidence
	var found []poison.Record
	if record, refused := v.refused.FindRequest(e.ticket.Fingerprint); refused {
		found = append(found, record)
	}
	if e.ticket.Content != e.ticket.Fingerprint {
		if record, refused := v.refused.FindRequest(e.ticket.Content); refused {
			found = append(found, record)
		}
	}
	if _, refused := v.refused.FindAny(p.view.Pool, e.ticket.Parts); refused {
		for _, part := range e.ticket.Parts {
			if record, refused := v.refused.Find(p.view.Pool, part); refused {
				found = append(found, record)
			}
		}
	}
	return found
}

// refusedReason returns the reason why a ticket is refused because of a record that it
// is no trial of, or "".
func (p *Pool) refusedReason(e *entry) Reason {
	for _, record := range p.refusedBy(e) {
		if trial, isTrial := p.evidence.trials[e]; isTrial && trial.Kind == record.Kind && trial.ID == record.ID {
			continue
		}
		return reasonFor(record)
	}
	return ""
}

func reasonFor(record poison.Record) Reason {
	if record.Kind == poison.KindRequest {
		return ReasonPoisonRequest
	}
	return ReasonPoisonPart
}

// admitPoison returns the reason to refuse a ticket that a record concerns, or "" if
// there is none or the ticket may run as a trial of the only one.
func (p *Pool) admitPoison(e *entry, now time.Duration) Reason {
	v := &p.evidence
	records := p.refusedBy(e)
	if len(records) == 0 {
		return ""
	}
	at := p.wallTime(now)
	if len(records) > 1 || !records[0].TrialDue(at) || len(v.trials) > 0 {
		return reasonFor(records[0])
	}
	v.trials[e] = records[0]
	begun := records[0].BeginTrial(at)
	v.refused.Merge([]poison.Record{begun}, at)
	v.changes = append(v.changes, PoisonChange{Record: &begun})
	return ""
}

// isTrial reports whether a ticket runs to show whether what a record is about is sound
// again.
func (p *Pool) isTrial(e *entry) bool {
	_, trial := p.evidence.trials[e]
	return trial
}

// endTrial ends the trial that a ticket may be. Begun is true if its answer shows that its
// parts are sound, and complete if it is complete.
func (p *Pool) endTrial(e *entry, begun, complete bool, now time.Duration) {
	v := &p.evidence
	record, isTrial := v.trials[e]
	if !isTrial {
		return
	}
	delete(v.trials, e)
	current, refused := v.refused.Find(p.view.Pool, record.ID)
	sound := begun
	if record.Kind == poison.KindRequest {
		current, refused = v.refused.FindRequest(record.ID)
		sound = complete
	}
	if !sound || !refused {
		return
	}
	p.learnPoison([]poison.Record{current.Lift("a trial succeeded", p.wallTime(now))}, now)
}

// mustRunApart reports whether a ticket has to wait because another suspected request
// runs: one with the same fingerprint or, if it holds a suspected part, one with such
// a part that may still be at the beginning of its answer.
func (p *Pool) mustRunApart(e *entry, now time.Duration) bool {
	v := &p.evidence
	if p.requestMustWait(e, now) {
		return true
	}
	if !p.holdsSuspect(e) {
		return false
	}
	a := v.apart
	return a != nil && a != e && a.holdsSlot() && (a.firstTokenAt == 0 || now-a.firstTokenAt < beginSettle)
}

func (p *Pool) holdsSuspect(e *entry) bool {
	return len(p.evidence.suspects) > 0 && slices.ContainsFunc(e.ticket.Parts, func(part uint64) bool { return p.evidence.suspects[part] > 0 })
}

// IsPastBeginning reports whether an answer that began so long ago, 0 if it has not, has gone
// on past its beginning.
func IsPastBeginning(sinceFirst time.Duration) bool { return sinceFirst > endDuration }

// observeAnswer learns from the final report on a granted request what it says about
// the request, the parts of its prompt and the end of its upstream.
func (p *Pool) observeAnswer(e *entry, r Report, now time.Duration) {
	complete := r.Kind == ReportEnded || r.Kind == ReportFailed
	sinceFirst := r.SinceFirst
	if sinceFirst == 0 && e.firstTokenAt != 0 {
		// Gateways of earlier versions don't say.
		sinceFirst = now - e.firstTokenAt
	}
	pastBeginning := r.Kind == ReportEnded || IsPastBeginning(sinceFirst)
	sound := r.Kind == ReportEnded || r.Broken == NotBroken && sinceFirst > maxEndDuration
	if sound {
		p.clearParts(e, now)
	}
	if complete {
		p.seeAnswer(now)
		p.answerRequest(e.ticket.Fingerprint, now)
		if e.ticket.Content != e.ticket.Fingerprint {
			p.answerRequest(e.ticket.Content, now)
		}
	}
	switch r.Broken {
	case Abandoned:
		p.abandon(e, now)
	case BrokenUnbegun, BrokenBegun:
		n := EndNotice{
			Ticket: e.ticket.ID, Upstream: r.Upstream, Fingerprint: e.ticket.Fingerprint, Content: e.ticket.Content,
			Route: e.ticket.Route, Team: e.ticket.Team, Broken: r.Broken,
			AnsweredBefore: r.AnsweredBefore, PastBeginning: pastBeginning,
		}
		if !pastBeginning {
			n.Parts = e.ticket.Parts
		}
		if n.Fingerprint != 0 || len(n.Parts) > 0 {
			p.recordBroken(n, true, now)
		}
	}
	p.endTrial(e, sound, complete, now)
}

// PoisonChanges implements Scheduler.
func (p *Pool) PoisonChanges() []PoisonChange {
	out := p.evidence.changes
	p.evidence.changes = nil
	return out
}
