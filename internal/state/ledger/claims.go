package ledger

import (
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// claimReserveDivisor sets the part of MaxBytes that is reserved for claims: answer
// bodies may not grow the ledger beyond MaxBytes - MaxBytes/claimReserveDivisor.
// Otherwise large answers could fill the ledger and block new claims.
const claimReserveDivisor = 4

// Claim decides on a claim. live reports whether the claimant holds a valid node
// lease; a claim without one is refused with VerdictStale.
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

// claimNew grants a claim on a key that has no entry, unless the ledger is full.
func (l *Ledger) claimNew(c Claim, key entryKey, expires int64) ClaimResult {
	e := &entry{key: key, digest: c.Digest, request: c.Request, attempt: c.Attempt, expires: expires}
	if !l.insert(e) {
		return ClaimResult{Verdict: VerdictFull}
	}
	l.startRunning(e, holder{c.Gateway, c.Incarnation})
	return ClaimResult{Verdict: VerdictGranted}
}

// claimReleased grants a claim on a key whose earlier claim was released. It
// refuses a delayed copy of the released claim itself, because the gateway no
// longer waits for that claim.
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

// heldBy reports whether c is a copy of the claim that holds e.
func (e *entry) heldBy(c Claim) bool {
	return e.holder == holder{c.Gateway, c.Incarnation} && e.request == c.Request && e.attempt == c.Attempt
}

// claimResult returns the result for other claims on the entry's key. The entry must
// not be released.
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

// clone returns a shallow copy. The copy shares the body, which is never modified.
func (a *Answer) clone() *Answer {
	c := *a
	return &c
}

// Lookup returns the result that a claim on the key by another request would get.
// found is false if no claim holds the key because it was never claimed or was
// released.
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

// Release releases a claim whose request was provably never sent. A release that
// arrives before its claim is recorded, so that the claim is refused when it
// arrives.
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
		// A claim is marked lost when the gateway's lease ends. The gateway still
		// knows that it never sent the request, so its release is valid.
		l.stopRunning(e)
		e.state = stateReleased
		return OutcomeDone
	default:
		return OutcomeKnown
	}
}

// Complete records the outcome of a claimed request. An answer is recorded even if
// the claim was marked lost before.
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

// Resolve records the outcome of a request whose answer was lost, as reported by
// the service's status query.
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

// record stores an answer. It drops a body that exceeds the limits, but always
// records that the request ran.
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

// Revoke marks the running claims of an incarnation of a gateway as lost and
// returns their number.
func (l *Ledger) Revoke(node ident.NodeID, incarnation ident.Incarnation) int {
	h := holder{node, incarnation}
	set := l.running[h]
	for e := range set {
		e.state = stateLost
	}
	delete(l.running, h)
	return len(set)
}
