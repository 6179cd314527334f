package scheduler

import (
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

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
// every other version exceeds its share by less than one request, besides its Extra.
type shareTracker struct {
	shares  []VersionShare
	credits map[shareKey]credits
	// extra counts the requests that versions got beyond their shares.
	extra map[ident.VersionName]int
	// beyond counts all of them since the tracker exists.
	beyond int
	// generation is incremented whenever the shares change.
	generation int
}

// set replaces the shares. If they differ from the old ones, all credits are
// reset.
func (t *shareTracker) set(shares []VersionShare) {
	same := slices.EqualFunc(shares, t.shares, func(a, b VersionShare) bool {
		a.Extra = b.Extra
		return a == b
	})
	t.setExtra(shares)
	t.shares = slices.Clone(shares)
	if same && t.credits != nil {
		return
	}
	t.credits = make(map[shareKey]credits)
	t.generation++
}

// setExtra forgets what versions got beyond their shares if their allowance starts anew.
func (t *shareTracker) setExtra(shares []VersionShare) {
	counts := make(map[ident.VersionName]int)
	for _, s := range shares {
		i := slices.IndexFunc(t.shares, func(former VersionShare) bool { return former.Version == s.Version })
		if i >= 0 && s.Extra >= t.shares[i].Extra {
			counts[s.Version] = t.extra[s.Version]
		}
	}
	t.extra = counts
}

// mayExceed reports whether a version may get a request of the key beyond its share.
func (t *shareTracker) mayExceed(s VersionShare, key shareKey) bool {
	return s.shareFor(key.idempotent) > 0 && t.extra[s.Version] < s.Extra
}

// none reports whether there are shares and no version has one.
func (t *shareTracker) none() bool {
	for _, s := range t.shares {
		if s.Share > 0 || s.NonIdempotentShare > 0 {
			return false
		}
	}
	return len(t.shares) > 0
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

// beyondShares is the generation of requests that were sent beyond the shares.
const beyondShares = -1

// spend counts a request that was sent to a version. It returns the generation of
// the shares under which the request was counted.
func (t *shareTracker) spend(key shareKey, version ident.VersionName) (generation int) {
	if !t.allows(key, version) {
		t.extra[version]++
		t.beyond++
		return beyondShares
	}
	t.add(key, version, 1)
	return t.generation
}

// refund reverses spend for a request that provably did not reach its version,
// unless the shares have changed since.
func (t *shareTracker) refund(key shareKey, version ident.VersionName, generation int) {
	switch generation {
	case beyondShares:
		t.extra[version] = max(0, t.extra[version]-1)
	case t.generation:
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
