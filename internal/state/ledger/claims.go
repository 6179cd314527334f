package ledger

import (
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// claimReserveDivisor bounds recorded answers to all but one part in this many
// of MaxBytes, so that large answers never keep new claims out.
const claimReserveDivisor = 4

// Claim decides on a claim. live tells whether the claimant's node lease is in
// force; a claim without one is refused.
func (l *Ledger) Claim(c Claim, live bool) ClaimResult {
	l.Advance(c.At)
	if !live {
		return ClaimResult{Verdict: VerdictStale}
	}
	key, expires, refused := l.parse(c.Key)
	if refused != "" {
		return ClaimResult{Verdict: refused}
	}
	e, known := l.entries[key]
	if !known {
		return l.claimNew(c, key, expires)
	}
	if e.digest != c.Digest && e.digest != (Digest{}) {
		return ClaimResult{Verdict: VerdictMismatch}
	}
	if e.state == stateReleased {
		return l.claimReleased(c, e)
	}
	if e.state == stateRunning && e.heldBy(c) {
		return ClaimResult{Verdict: VerdictGranted}
	}
	return e.claimResult()
}

// claimNew grants a key that was never claimed.
func (l *Ledger) claimNew(c Claim, key entryKey, expires int64) ClaimResult {
	e := &entry{key: key, digest: c.Digest, request: c.Request, attempt: c.Attempt, expires: expires}
	if !l.insert(e) {
		return ClaimResult{Verdict: VerdictFull}
	}
	l.startRunning(e, holder{c.Gateway, c.Incarnation})
	return ClaimResult{Verdict: VerdictGranted}
}

// claimReleased grants a key whose former claim was released. A late copy of
// the released claim itself is refused: its gateway has moved on.
func (l *Ledger) claimReleased(c Claim, e *entry) ClaimResult {
	if e.request == c.Request && c.Attempt <= e.attempt {
		return ClaimResult{Verdict: VerdictStale}
	}
	l.bytes -= e.cost()
	e.request = c.Request
	e.attempt = c.Attempt
	e.digest = c.Digest
	l.bytes += e.cost()
	l.startRunning(e, holder{c.Gateway, c.Incarnation})
	return ClaimResult{Verdict: VerdictGranted}
}

// heldBy tells whether c is a copy of the claim that holds e.
func (e *entry) heldBy(c Claim) bool {
	return e.holder == holder{c.Gateway, c.Incarnation} && e.request == c.Request && e.attempt == c.Attempt
}

// claimResult returns what another claimant is told of an entry that isn't released.
func (e *entry) claimResult() ClaimResult {
	switch e.state {
	case stateRunning:
		return ClaimResult{Verdict: VerdictRunning, Holder: e.holder.node}
	case stateRecorded:
		return ClaimResult{Verdict: VerdictRecorded, Answer: e.answer.clone()}
	default:
		return ClaimResult{Verdict: VerdictMayHaveRun, Holder: e.holder.node}
	}
}

// clone copies an answer's header; bodies are never changed and stay shared.
func (a *Answer) clone() *Answer {
	c := *a
	return &c
}

// Lookup tells what is known of a key. Found is false for a key that no claim
// holds: never claimed, or released.
func (l *Ledger) Lookup(k Key) (result ClaimResult, found bool) {
	key, _, refused := l.parse(k)
	if refused != "" {
		return ClaimResult{Verdict: refused}, true
	}
	e, known := l.entries[key]
	if !known || e.state == stateReleased {
		return ClaimResult{}, false
	}
	return e.claimResult(), true
}

// Release gives back a claim that was provably never sent. A release that
// overtakes its claim is remembered and refuses the claim when it comes.
func (l *Ledger) Release(r Release) Outcome {
	l.Advance(r.At)
	key, expires, refused := l.parse(r.Key)
	if refused != "" {
		return OutcomeNotHeld
	}
	e, known := l.entries[key]
	if !known {
		e = &entry{key: key, request: r.Request, attempt: r.Attempt, state: stateReleased, expires: expires}
		if !l.insert(e) {
			return OutcomeNotHeld
		}
		return OutcomeDone
	}
	if e.request != r.Request || e.attempt != r.Attempt {
		return OutcomeNotHeld
	}
	switch e.state {
	case stateReleased:
		return OutcomeDone
	case stateRunning, stateLost:
		// The gateway knows best: a claim that was marked lost when its lease
		// ended is still provably unsent when the gateway itself says so.
		l.stopRunning(e)
		e.state = stateReleased
		return OutcomeDone
	default:
		return OutcomeKnown
	}
}

// Complete records the outcome of a claimed request. An answer that comes
// after the claim was marked lost is still taken.
func (l *Ledger) Complete(c Complete) Outcome {
	l.Advance(c.At)
	key, _, refused := l.parse(c.Key)
	if refused != "" {
		return OutcomeNotHeld
	}
	e, known := l.entries[key]
	if !known || e.request != c.Request || e.state == stateReleased {
		return OutcomeNotHeld
	}
	if e.state == stateRecorded {
		return OutcomeKnown
	}
	l.stopRunning(e)
	if c.Answer == nil {
		e.state = stateUnknown
		return OutcomeDone
	}
	l.record(e, *c.Answer)
	return OutcomeDone
}

// Resolve records the service's own word on a request whose outcome was lost.
func (l *Ledger) Resolve(r Resolve) Outcome {
	l.Advance(r.At)
	key, _, refused := l.parse(r.Key)
	if refused != "" {
		return OutcomeNotHeld
	}
	e, known := l.entries[key]
	if !known || e.state == stateReleased || e.state == stateRunning {
		return OutcomeNotHeld
	}
	if e.state == stateRecorded {
		return OutcomeKnown
	}
	l.record(e, r.Answer)
	return OutcomeDone
}

// record stores an answer. A body above the limits is left out; that the
// request ran is always kept.
func (l *Ledger) record(e *entry, a Answer) {
	bound := l.limits.MaxBytes - l.limits.MaxBytes/claimReserveDivisor
	if len(a.Body) > l.limits.MaxAnswerBytes || l.bytes+int64(len(a.Body)) > bound {
		a.Body = nil
		a.Truncated = true
	}
	l.bytes -= e.cost()
	e.answer = &a
	e.state = stateRecorded
	l.bytes += e.cost()
}

// Revoke marks the running claims of one life of a gateway as lost and returns
// how many there were.
func (l *Ledger) Revoke(node ident.NodeID, incarnation ident.Incarnation) int {
	h := holder{node, incarnation}
	set := l.running[h]
	for e := range set {
		e.state = stateLost
	}
	delete(l.running, h)
	return len(set)
}
