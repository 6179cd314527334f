package scheduler

import "github.com/flamingohaven/flamingohaven/internal/state/ident"

// maxCredit bounds the credit that a version accumulates while it cannot be used.
const maxCredit = 1.0

// eligibleCredit is the minimum credit, the next request included, at which a
// version may take that request.
const eligibleCredit = 0.5

// shareKey identifies a class of traffic. The version shares hold within each
// class.
type shareKey struct {
	route      ident.RouteName
	idempotent bool
}

// credits holds, by version, the requests due under the shares minus the requests
// sent.
type credits map[ident.VersionName]float64

// shareTracker splits each route's traffic between versions. The version with the
// largest share also takes the requests that the others may not or cannot take;
// every other version exceeds its share by less than one request.
type shareTracker struct {
	shares  []VersionShare
	credits map[shareKey]credits
	// generation is incremented whenever the shares change.
	generation int
}

// set replaces the shares. If they differ from the old ones, all credits are
// reset.
func (t *shareTracker) set(shares []VersionShare) {
	same := len(shares) == len(t.shares)
	for i := 0; same && i < len(shares); i++ {
		same = shares[i] == t.shares[i]
	}
	if same && t.credits != nil {
		return
	}
	t.shares = append([]VersionShare(nil), shares...)
	t.credits = make(map[shareKey]credits)
	t.generation++
}

func (s VersionShare) shareFor(idempotent bool) float64 {
	if idempotent {
		return s.Share
	}
	return s.NonIdempotentShare
}

// order appends to out the versions that may take the next request of the key,
// most preferred first.
func (t *shareTracker) order(key shareKey, out []ident.VersionName) []ident.VersionName {
	base := -1
	for i, s := range t.shares {
		if s.shareFor(key.idempotent) <= 0 {
			continue
		}
		if base < 0 || s.shareFor(key.idempotent) > t.shares[base].shareFor(key.idempotent) {
			base = i
		}
	}
	if base < 0 {
		return out
	}
	have := t.credits[key]
	start := len(out)
	for i, s := range t.shares {
		share := s.shareFor(key.idempotent)
		if i == base || share <= 0 || have[s.Version]+share < eligibleCredit {
			continue
		}
		out = append(out, s.Version)
		for j := len(out) - 1; j > start && have[out[j]] > have[out[j-1]]; j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return append(out, t.shares[base].Version)
}

// allows reports whether the next request of the key may go to a version.
func (t *shareTracker) allows(key shareKey, version ident.VersionName) bool {
	if len(t.shares) == 0 {
		return true
	}
	var buffer [4]ident.VersionName
	for _, allowed := range t.order(key, buffer[:0]) {
		if allowed == version {
			return true
		}
	}
	return false
}

// spend counts a request that was sent to a version. It returns the generation of
// the shares under which the request was counted.
func (t *shareTracker) spend(key shareKey, version ident.VersionName) (generation int) {
	t.add(key, version, 1)
	return t.generation
}

// refund reverses spend for a request that provably did not reach its version,
// unless the shares have changed since.
func (t *shareTracker) refund(key shareKey, version ident.VersionName, generation int) {
	if generation == t.generation {
		t.add(key, version, -1)
	}
}

func (t *shareTracker) add(key shareKey, version ident.VersionName, requests float64) {
	have, known := t.credits[key]
	if !known {
		have = make(credits, len(t.shares))
		t.credits[key] = have
	}
	for _, s := range t.shares {
		credit := have[s.Version] + requests*s.shareFor(key.idempotent)
		if s.Version == version {
			credit -= requests
		}
		have[s.Version] = min(maxCredit, credit)
	}
}
