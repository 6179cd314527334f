package scheduler

import "github.com/flamingohaven/flamingohaven/internal/state/ident"

// creditBound keeps a version that could not be used from saving up requests.
const creditBound = 1.0

// eligibleCredit is the credit from which a version may take a request.
const eligibleCredit = 0.5

// shareKey names the traffic over which shares hold.
type shareKey struct {
	route      ident.RouteName
	idempotent bool
}

// credits counts, by version, requests due under the shares less requests sent.
type credits map[ident.VersionName]float64

// shareKeeper splits each route's traffic between versions. The version with
// the largest share takes what the others may not or can't take; every other
// version stays within its share by less than one request.
type shareKeeper struct {
	shares  []VersionShare
	credits map[shareKey]credits
	// generation counts the changes of shares.
	generation int
}

// set replaces the shares. Credits start anew when they change.
func (k *shareKeeper) set(shares []VersionShare) {
	same := len(shares) == len(k.shares)
	for i := 0; same && i < len(shares); i++ {
		same = shares[i] == k.shares[i]
	}
	if same && k.credits != nil {
		return
	}
	k.shares = append([]VersionShare(nil), shares...)
	k.credits = make(map[shareKey]credits)
	k.generation++
}

func (s VersionShare) of(idempotent bool) float64 {
	if idempotent {
		return s.Share
	}
	return s.NonIdempotentShare
}

// order appends the versions that may take the next request of the key, first
// choice first.
func (k *shareKeeper) order(key shareKey, out []ident.VersionName) []ident.VersionName {
	base := -1
	for i, s := range k.shares {
		if s.of(key.idempotent) <= 0 {
			continue
		}
		if base < 0 || s.of(key.idempotent) > k.shares[base].of(key.idempotent) {
			base = i
		}
	}
	if base < 0 {
		return out
	}
	have := k.credits[key]
	start := len(out)
	for i, s := range k.shares {
		share := s.of(key.idempotent)
		if i == base || share <= 0 || have[s.Version]+share < eligibleCredit {
			continue
		}
		out = append(out, s.Version)
		for j := len(out) - 1; j > start && have[out[j]] > have[out[j-1]]; j-- {
			out[j], out[j-1] = out[j-1], out[j]
		}
	}
	return append(out, k.shares[base].Version)
}

// allows tells whether the next request of the key may go to a version.
func (k *shareKeeper) allows(key shareKey, version ident.VersionName) bool {
	if len(k.shares) == 0 {
		return true
	}
	var buffer [4]ident.VersionName
	for _, allowed := range k.order(key, buffer[:0]) {
		if allowed == version {
			return true
		}
	}
	return false
}

// spend counts a request that went to a version and returns the generation of
// the shares it was counted under.
func (k *shareKeeper) spend(key shareKey, version ident.VersionName) (generation int) {
	k.add(key, version, 1)
	return k.generation
}

// refund takes back a request that provably did not reach its version, unless
// the shares have changed since.
func (k *shareKeeper) refund(key shareKey, version ident.VersionName, generation int) {
	if generation == k.generation {
		k.add(key, version, -1)
	}
}

func (k *shareKeeper) add(key shareKey, version ident.VersionName, requests float64) {
	have, known := k.credits[key]
	if !known {
		have = make(credits, len(k.shares))
		k.credits[key] = have
	}
	for _, s := range k.shares {
		credit := have[s.Version] + requests*s.of(key.idempotent)
		if s.Version == version {
			credit -= requests
		}
		have[s.Version] = min(creditBound, credit)
	}
}
