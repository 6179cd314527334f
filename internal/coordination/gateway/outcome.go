package gateway

import "github.com/flamingohaven/flamingohaven/internal/state/ledger"

// Outcome is what a refusal says of its request. docs/design/ledger.md lists the outcome
// of each refusal at each stage.
type Outcome string

const (
	// OutcomeNotRun means that this send reached no upstream and, for a request with an
	// idempotency key, that no other send of it had run when the ledger was last asked.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeNotSent means that this send reached no upstream, and that it is not known
	// whether another send under its key did.
	OutcomeNotSent Outcome = "not_sent"
	// OutcomeMayHaveRun means that this send, or another one under its key, may have run
	// or may still run.
	OutcomeMayHaveRun Outcome = "may_have_run"
)

// OutcomeOf returns the outcome of a request that ended with a failure.
func OutcomeOf(r *Request, f *Failure) Outcome {
	switch {
	case !f.NotRun:
		return OutcomeMayHaveRun
	case r.needsClaim() && !r.provenUnrun:
		return OutcomeNotSent
	default:
		return OutcomeNotRun
	}
}

// OutcomeBeforeParsing returns the outcome of a send that was refused before its request
// was known. Under a key it may repeat a request that another node took, or that this one
// took under an earlier configuration.
func OutcomeBeforeParsing(key string) Outcome {
	if key == "" {
		return OutcomeNotRun
	}
	return OutcomeNotSent
}

// needsClaim reports whether the request is dispatched only under a claim of its key.
func (r *Request) needsClaim() bool { return !r.Idempotent && !r.SkipClaim }

// observeLookup notes what a lookup of the key proves.
func (r *Request) observeLookup(result ledger.ClaimResult, found bool, err error) {
	r.provenUnrun = err == nil && (!found || result.Verdict == ledger.VerdictMalformed)
}

// observeClaim notes what the reply to a claim proves. A key that is refused for want of
// room has no entry, one that is malformed can't have any, and a key that belongs to
// another request never belonged to this one.
func (r *Request) observeClaim(result ledger.ClaimResult, err error) {
	r.provenUnrun = false
	if err != nil {
		return
	}
	switch result.Verdict {
	case ledger.VerdictFull, ledger.VerdictMalformed, ledger.VerdictMismatch:
		r.provenUnrun = true
	}
}

// observeRelease notes what a release proves: a claim that could be released was the only
// one, and nothing was sent under it.
func (r *Request) observeRelease(committed bool) { r.provenUnrun = committed }

// observeWait notes that the request waits in the queue, where the ledger's last word
// grows old.
func (r *Request) observeWait() { r.provenUnrun = false }
