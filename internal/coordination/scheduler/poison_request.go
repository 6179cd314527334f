package scheduler

import (
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

const (
	// endsToRefuseRequest is the number of ends of upstreams in a row under one request
	// from which it is refused. It is endsToRefuseOneOfMany for one that ran at less than
	// minRequestShare of all ends, so that most have another cause, and
	// endsToRefuseAnswered for a request or part that was answered within
	// answeredRecently: of one that makes up much of the load, some run at each upstream
	// that ends.
	endsToRefuseRequest   = 3
	endsToRefuseOneOfMany = 5
	endsToRefuseAnswered  = 6
	minRequestShare       = 0.6
	answeredRecently      = 10 * time.Second
	// requestSettle is the time after an end until answers would have shown that the
	// upstream did not end.
	requestSettle = time.Second
	// sharedEndAge is the age of an end up to which other schedulers are told of it.
	sharedEndAge = 6 * time.Second
	// answeredHistory is how long a scheduler sees answers before it takes a request
	// without any for one that was never answered.
	answeredHistory = time.Second
	// abandonedRetention is how long a request that its gateway gave up may still run
	// at its upstream and end it.
	abandonedRetention = 1500 * time.Millisecond
	// maxAbandoned bounds the requests given up that are kept.
	maxAbandoned = 64
	// maxHeld bounds the suspected requests of a tier that are skipped in one placement
	// round because they must run apart.
	maxHeld = 256
)

// requestEvidence holds what is known of the requests that ran at upstreams when these
// ended, by fingerprint.
//
// A request is suspected from the first end at which it ran until an answer to a
// request with its fingerprint is complete. Suspected requests run apart: one with the
// same fingerprint at a time, and no two at the same upstream, so that each further
// end tells them apart.
type requestEvidence struct {
	answered AnsweredTable
	// since is when the first answer came, once there is one. Before, nothing tells a
	// request that ends upstreams from one that runs beside it.
	since time.Duration
	sees  bool
	// clearedAt is when a request was last answered, for the requests in the ends.
	clearedAt map[uint64]time.Duration
	// suspects holds the number of ends in a row, for the suspected requests.
	suspects map[uint64]int
	// running holds the suspected requests that were granted.
	running []*entry
	// abandoned holds the requests that their gateways gave up lately.
	abandoned []abandonedRequest
}

type abandonedRequest struct {
	endedRequest
	upstream ident.UpstreamName
	at       time.Duration
}

// answerRequest records a complete answer, which clears the request.
func (p *Pool) answerRequest(fingerprint uint64, now time.Duration) {
	if fingerprint == 0 {
		return
	}
	v := &p.evidence.byRequest
	v.answered.Add(fingerprint, now)
	if len(v.clearedAt) == 0 {
		return
	}
	if _, known := v.clearedAt[fingerprint]; known {
		v.clearedAt[fingerprint] = now
		delete(v.suspects, fingerprint)
	}
}

// ClearAnswered implements Scheduler.
func (p *Pool) ClearAnswered(answered poison.Answered, now time.Duration) {
	for _, id := range answered.Requests {
		p.answerRequest(id, now)
	}
	for _, part := range answered.Parts {
		p.evidence.clearPart(part, now)
	}
	p.step(now)
}

// abandon keeps a request that its gateway gave up before its answer was complete.
func (p *Pool) abandon(e *entry, now time.Duration) {
	if e.ticket.Fingerprint == 0 {
		return
	}
	v := &p.evidence.byRequest
	v.abandoned = slices.DeleteFunc(v.abandoned, func(a abandonedRequest) bool { return now-a.at > abandonedRetention })
	if len(v.abandoned) >= maxAbandoned {
		v.abandoned = slices.Delete(v.abandoned, 0, 1)
	}
	v.abandoned = append(v.abandoned, abandonedRequest{
		endedRequest: endedRequest{ticket: e.ticket.ID, fingerprint: e.ticket.Fingerprint, content: e.ticket.Content, route: e.ticket.Route, team: e.ticket.Team},
		upstream:     e.engine.upstream.Name, at: now,
	})
}

// abandonedAt returns the requests given up lately that may still run at an upstream.
func (v *requestEvidence) abandonedAt(upstream ident.UpstreamName, now time.Duration) []endedRequest {
	var found []endedRequest
	for _, a := range v.abandoned {
		if a.upstream == upstream && now-a.at <= abandonedRetention {
			found = append(found, a.endedRequest)
		}
	}
	return found
}

// recordUnreachable records the end of an upstream that accepts no connections
// after requests to it were given up: no gateway sees the connections of those break.
func (p *Pool) recordUnreachable(upstream ident.UpstreamName, now time.Duration) {
	for _, r := range p.evidence.byRequest.abandonedAt(upstream, now) {
		p.recordBroken(EndNotice{
			Ticket: r.ticket, Upstream: upstream, Fingerprint: r.fingerprint, Content: r.content, Route: r.route, Team: r.team, Broken: BrokenUnbegun,
		}, true, now)
	}
}

// suspectRequest counts the ends under a request anew, and has those of them that run
// counted as suspected.
func (p *Pool) suspectRequest(fingerprint uint64, now time.Duration) {
	v := &p.evidence.byRequest
	v.know(fingerprint)
	ends := len(p.evidence.endsUnder(fingerprint))
	if ends == 0 || ends < endsToRefuseRequest && p.answeredLately(fingerprint, now) {
		delete(v.suspects, fingerprint)
		return
	}
	if v.suspects[fingerprint] == 0 {
		for _, g := range p.orderedEngines {
			for e := range g.running {
				if e.ticket.Fingerprint == fingerprint {
					v.running = append(v.running, e)
				}
			}
		}
	}
	v.suspects[fingerprint] = ends
}

// recountRequests counts the ends under all suspected requests anew, after ends were
// removed or explained.
func (v *evidence) recountRequests() {
	counts := make(map[uint64]int, len(v.byRequest.suspects))
	for _, e := range v.ends {
		if e.blamed != 0 {
			continue
		}
		ran := make(map[uint64]bool, len(e.requests))
		for _, r := range e.requests {
			if !ran[r.fingerprint] && e.at > v.byRequest.clearedAt[r.fingerprint] {
				ran[r.fingerprint] = true
				counts[r.fingerprint]++
			}
		}
	}
	for fingerprint := range v.byRequest.suspects {
		if counts[fingerprint] > 0 {
			v.byRequest.suspects[fingerprint] = counts[fingerprint]
		} else {
			delete(v.byRequest.suspects, fingerprint)
		}
	}
}

// know adds a request to those in the ends.
func (v *requestEvidence) know(fingerprint uint64) {
	if _, known := v.clearedAt[fingerprint]; known {
		return
	}
	v.clearedAt[fingerprint] = neverCleared
	if at, answered := v.answered.Last(fingerprint); answered {
		v.clearedAt[fingerprint] = at
	}
}

// seeAnswer records that an answer to any request is complete.
func (p *Pool) seeAnswer(now time.Duration) {
	if v := &p.evidence.byRequest; !v.sees {
		v.sees, v.since = true, now
		if len(p.evidence.ends) > 0 {
			p.evidence.evaluateBy(now + answeredHistory)
		}
	}
}

// knowsAnswers reports whether answers have come for long enough to tell which requests
// are never answered.
func (v *requestEvidence) knowsAnswers(now time.Duration) bool {
	return v.sees && now-v.since >= answeredHistory
}

// answeredLately reports whether a request was answered within answeredRecently.
func (p *Pool) answeredLately(fingerprint uint64, now time.Duration) bool {
	return wasAnsweredLately(p.evidence.byRequest.clearedAt, fingerprint, now)
}

// wasAnsweredLately reports whether a request or part was last answered within
// answeredRecently.
func wasAnsweredLately(clearedAt map[uint64]time.Duration, id uint64, now time.Duration) bool {
	at, known := clearedAt[id]
	return known && at != neverCleared && now-at < answeredRecently
}

// endsUnder returns the upstreams that ended under a request since it was last
// answered, oldest first, without those whose ends a refused request explains.
func (v *evidence) endsUnder(fingerprint uint64) []ident.UpstreamName {
	var under []ident.UpstreamName
	cleared := v.byRequest.clearedAt[fingerprint]
	for _, e := range v.ends {
		if e.at > cleared && e.blamed == 0 && e.ran(fingerprint) {
			under = append(under, e.upstream)
		}
	}
	return under
}

// ran reports whether a request with the fingerprint or the content ran at the end.
func (e *upstreamEnd) ran(id uint64) bool {
	return slices.ContainsFunc(e.requests, func(r endedRequest) bool { return r.fingerprint == id || r.content == id })
}

// endsNeeded returns the number of ends from which a request is refused.
func (p *Pool) endsNeeded(fingerprint uint64, now time.Duration) int {
	if p.answeredLately(fingerprint, now) || !p.evidence.byRequest.knowsAnswers(now) {
		return endsToRefuseAnswered
	}
	if p.evidence.fellBrittle(fingerprint) {
		return endsToRefuseBrittle
	}
	if p.evidence.endsShare(fingerprint) < minRequestShare {
		return endsToRefuseOneOfMany
	}
	return endsToRefuseRequest
}

// fellBrittle reports whether any upstream that ended under a request was known to be
// brittle.
func (v *evidence) fellBrittle(fingerprint uint64) bool {
	cleared := v.byRequest.clearedAt[fingerprint]
	return slices.ContainsFunc(v.ends, func(e *upstreamEnd) bool {
		return e.brittle && e.at > cleared && e.blamed == 0 && e.ran(fingerprint)
	})
}

// endsShare returns the share of the ends, from the first one under a request on, at
// which it ran.
func (v *evidence) endsShare(fingerprint uint64) float64 {
	under, all := 0, 0
	cleared := v.byRequest.clearedAt[fingerprint]
	for _, e := range v.ends {
		ran := e.at > cleared && e.ran(fingerprint)
		if e.blamed != 0 || !ran && under == 0 {
			continue
		}
		all++
		if ran {
			under++
		}
	}
	return float64(under) / float64(max(1, all))
}

// settledEnds returns the number of ends under a request that have stood for
// requestSettle, or whose upstreams are no longer listed.
func (p *Pool) settledEnds(fingerprint uint64, now time.Duration) int {
	n := 0
	cleared := p.evidence.byRequest.clearedAt[fingerprint]
	for _, e := range p.evidence.ends {
		g, known := p.engines[e.upstream]
		settled := now-e.at >= requestSettle || !known || !g.listed
		if settled && e.at > cleared && e.blamed == 0 && e.ran(fingerprint) {
			n++
		}
	}
	return n
}

// endsOfItsOwn returns the number of moments at which upstreams ended under a request
// while no other request ran there that may hold a part which is not known here. A request
// that makes up much of the load also runs where others end upstreams, and at several
// that end together.
func (v *evidence) endsOfItsOwn(fingerprint uint64) int {
	moments, last := 0, neverCleared
	cleared := v.byRequest.clearedAt[fingerprint]
	for _, e := range v.ends {
		if e.at <= cleared || e.blamed != 0 || !e.ran(fingerprint) || e.hidesPartsOfOthers(fingerprint) {
			continue
		}
		if last == neverCleared || e.at-last >= endSeparation {
			moments, last = moments+1, e.at
		}
	}
	return moments
}

// evaluateRequests refuses the request with the most ends if there are enough. With
// more than one at endsToRefuseRequest, the evidence waits for one end more.
func (p *Pool) evaluateRequests(now time.Duration) {
	v := &p.evidence
	most := 0
	var worst []uint64
	for fingerprint, ends := range v.byRequest.suspects {
		if ends < endsToRefuseRequest {
			continue
		}
		needed := p.endsNeeded(fingerprint, now)
		if ends < needed {
			continue
		}
		settled := p.settledEnds(fingerprint, now)
		if settled < ends {
			v.evaluateBy(now + endSettle)
		}
		if settled < needed || settled < most {
			continue
		}
		if p.answeredLately(fingerprint, now) && p.evidence.endsOfItsOwn(fingerprint) < needed {
			continue
		}
		if settled > most {
			most, worst = settled, nil
		}
		worst = append(worst, fingerprint)
	}
	if len(worst) > 1 && most <= endsToRefuseRequest {
		worst = nil
	}
	slices.Sort(worst)
	for _, fingerprint := range worst {
		p.refuseRequest(fingerprint, now)
	}
	p.evaluateContents(now)
}

// evaluateContents refuses a content under which many upstreams ended in a row while the
// parts of its prompts differed, so that no fingerprint explains the ends.
func (p *Pool) evaluateContents(now time.Duration) {
	if !p.evidence.byRequest.knowsAnswers(now) {
		return
	}
	prompts := make(map[uint64]map[uint64]bool)
	for _, e := range p.evidence.ends {
		for _, r := range e.requests {
			if r.content == 0 || r.content == r.fingerprint {
				continue
			}
			if prompts[r.content] == nil {
				prompts[r.content] = make(map[uint64]bool)
			}
			prompts[r.content][r.fingerprint] = true
		}
	}
	for content, differing := range prompts {
		if len(differing) > 1 && p.settledEnds(content, now) >= endsToRefuseAnswered {
			p.refuseRequest(content, now)
		}
	}
}

// refuseRequest refuses a request from now on.
func (p *Pool) refuseRequest(fingerprint uint64, now time.Duration) {
	v := &p.evidence
	under := v.endsUnder(fingerprint)
	record := p.newRecord(poison.KindRequest, fingerprint, under, now)
	for _, e := range v.ends {
		for _, r := range e.requests {
			if r.fingerprint == fingerprint || r.content == fingerprint {
				record.Route, record.Team = r.route, r.team
			}
		}
	}
	delete(v.byRequest.suspects, fingerprint)
	p.learnPoison([]poison.Record{record}, now)
	p.explainEnds(now)
}

// isSuspectRequest reports whether upstreams ended under the request and none has
// answered it since.
func (p *Pool) isSuspectRequest(e *entry) bool {
	suspects := p.evidence.byRequest.suspects
	return len(suspects) > 0 && suspects[e.ticket.Fingerprint] > 0
}

// requestMustWait reports whether a suspected request has to wait, because another one
// with its fingerprint may run, or it is refused if the latest ends stand.
func (p *Pool) requestMustWait(e *entry, now time.Duration) bool {
	if !p.isSuspectRequest(e) {
		return false
	}
	ends := p.evidence.byRequest.suspects[e.ticket.Fingerprint]
	if ends >= endsToRefuseRequest && ends >= p.endsNeeded(e.ticket.Fingerprint, now) && p.settledEnds(e.ticket.Fingerprint, now) < ends {
		return true
	}
	return slices.ContainsFunc(p.runningSuspects(), func(r *entry) bool { return r != e && r.ticket.Fingerprint == e.ticket.Fingerprint })
}

// runningSuspects returns the suspected requests that hold slots.
func (p *Pool) runningSuspects() []*entry {
	v := &p.evidence.byRequest
	v.running = slices.DeleteFunc(v.running, func(r *entry) bool { return !r.holdsSlot() || !p.isSuspectRequest(r) })
	return v.running
}

// runsSuspect reports whether an upstream runs a suspected request.
func (p *Pool) runsSuspect(g *engine) bool {
	return slices.ContainsFunc(p.runningSuspects(), func(r *entry) bool { return r.engine == g })
}

// learnEnds records ends that other schedulers know. The latest of them counts as
// requestSettle old, since clocks differ, and the others as older by the times between them.
func (p *Pool) learnEnds(ends []poison.End, now time.Duration) {
	v := &p.evidence
	if len(p.registered) == 0 {
		return
	}
	var latest time.Time
	for _, n := range ends {
		if n.Pool == p.view.Pool && n.At.After(latest) {
			latest = n.At
		}
	}
	for _, n := range ends {
		if n.Pool != p.view.Pool {
			continue
		}
		if _, known := v.learned[n.Key()]; known {
			continue
		}
		notice := EndNotice{
			Ticket: n.Request, Upstream: n.Upstream, Parts: n.Parts, Fingerprint: n.Fingerprint, Content: n.Content, Route: n.Route, Team: n.Team,
			Broken: BrokenUnbegun, Age: requestSettle, AnsweredBefore: n.AnsweredBefore, Spread: !n.HasParts, Brittle: n.Brittle,
		}
		if n.Begun {
			notice.Broken = BrokenBegun
		}
		if !n.At.IsZero() {
			notice.Age += latest.Sub(n.At)
		}
		p.recordBroken(notice, false, now)
		v.evaluateBy(now + endSettle)
	}
}

// RequestEnds implements Scheduler.
func (p *Pool) RequestEnds(now time.Duration) []poison.End {
	var ends []poison.End
	for _, e := range p.evidence.ends {
		if age := now - e.at; !e.own || age < requestSettle || age > sharedEndAge {
			continue
		}
		for _, r := range e.requests {
			cleared, known := p.evidence.byRequest.clearedAt[r.fingerprint]
			parts := p.evidence.unansweredParts(r, e.at)
			if r.fingerprint == 0 && len(parts) == 0 || known && e.at <= cleared {
				continue
			}
			end := poison.End{
				Pool: p.view.Pool, Request: r.ticket, Upstream: e.upstream, Fingerprint: r.fingerprint, Content: r.content,
				At: p.wallTime(e.at), Parts: parts, HasParts: !r.spread, Begun: r.begun,
				Route: r.route, Team: r.team, Brittle: e.brittle,
			}
			if answered, known := p.evidence.byRequest.clearedAt[r.content]; known && answered >= e.at {
				end.Content = 0
			}
			if known && cleared != neverCleared {
				end.AnsweredBefore = e.at - cleared
			}
			ends = append(ends, end)
		}
	}
	return ends
}

// unansweredParts returns the parts of a request that were not answered since an end at the
// given time.
func (v *evidence) unansweredParts(r endedRequest, at time.Duration) []uint64 {
	return slices.DeleteFunc(slices.Clone(r.parts), func(part uint64) bool { return v.clearedAt[part] >= at })
}

// clearBefore records that a gateway had a complete answer to a request at the given
// time.
func (v *requestEvidence) clearBefore(fingerprint uint64, at time.Duration) {
	if cleared, known := v.clearedAt[fingerprint]; !known || at > cleared {
		v.clearedAt[fingerprint] = at
	}
}
