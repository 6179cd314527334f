package scheduler

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// oracle checks the decisions of a scheduler against its rules, using only the
// state of the gateways and upstreams.
type oracle struct {
	view    View
	ranks   map[ident.TierName]int
	sent    map[shareKey]map[ident.VersionName]float64
	total   map[shareKey]float64
	ejected func(ident.UpstreamName) bool
	// shedAt is when each tier was last shed.
	shedAt map[ident.TierName]time.Duration
}

func (o *oracle) setView(v View) {
	if fmt.Sprint(v.Shares) != fmt.Sprint(o.view.Shares) || o.sent == nil {
		o.sent = make(map[shareKey]map[ident.VersionName]float64)
		o.total = make(map[shareKey]float64)
	}
	o.view = v
	o.ranks = make(map[ident.TierName]int)
	for _, t := range v.Tiers {
		o.ranks[t.Name] = t.Rank
	}
}

func (o *oracle) upstream(name ident.UpstreamName) (Upstream, bool) {
	for _, u := range o.view.Upstreams {
		if u.Name == name {
			return u, true
		}
	}
	return Upstream{}, false
}

func (o *oracle) share(key shareKey, version ident.VersionName) (share float64, base bool) {
	most := 0.0
	for _, s := range o.view.Shares {
		most = max(most, s.shareFor(key.idempotent))
		if s.Version == version {
			share = s.shareFor(key.idempotent)
		}
	}
	return share, share == most
}

// checkGrant checks a new grant of r. all holds all requests.
func (o *oracle) checkGrant(r *modelRequest, g Grant, all []*modelRequest, now time.Duration) error {
	u, listed := o.upstream(g.Upstream)
	if !listed || u.Leaving {
		return fmt.Errorf("%s granted on %s, which is leaving or not listed", r.ticket.ID, g.Upstream)
	}
	if r.state != modelWaiting || !r.known {
		return fmt.Errorf("%s granted but not waiting", r.ticket.ID)
	}
	if u.Version != g.Version {
		return fmt.Errorf("%s granted version %s on %s, which serves version %s", r.ticket.ID, g.Version, u.Name, u.Version)
	}
	if err := o.checkShare(r.key(), g.Version); err != nil {
		return err
	}
	taken := 1
	for _, other := range all {
		if other != r && other.counts(g.Upstream, now) {
			taken++
		}
	}
	if taken > u.MaxConcurrent {
		return fmt.Errorf("%d requests on %s, which allows %d", taken, u.Name, u.MaxConcurrent)
	}
	return o.checkTierOrder(r, u, all, now)
}

// inReserve reports whether the tier may place a ticket ahead of higher tiers.
func (o *oracle) inReserve(r *modelRequest, all []*modelRequest, now time.Duration) bool {
	slots, held := 0, 1
	for _, u := range o.view.Upstreams {
		if !u.Leaving {
			slots += u.MaxConcurrent
		}
		for _, other := range all {
			if other != r && other.ticket.Tier == r.ticket.Tier && other.counts(u.Name, now) && !other.lost {
				held++
			}
		}
	}
	reserve := 0.0
	for _, t := range o.view.Tiers {
		if t.Name == r.ticket.Tier {
			reserve = t.Reserve
		}
		if at, shed := o.shedAt[t.Name]; shed && t.Rank > o.ranks[r.ticket.Tier] && now < at+reservePause {
			return false
		}
	}
	return float64(held) <= reserve*float64(slots)
}

// checkTierOrder returns an error if a request of a higher tier that could have
// had the slot is waiting.
func (o *oracle) checkTierOrder(r *modelRequest, u Upstream, all []*modelRequest, now time.Duration) error {
	if o.ejected(u.Name) || o.inReserve(r, all, now) {
		return nil
	}
	for _, other := range all {
		if other.state != modelWaiting || !other.known || o.ranks[other.ticket.Tier] <= o.ranks[r.ticket.Tier] {
			continue
		}
		_, base := o.share(other.key(), u.Version)
		if base && !other.excludes(u.Name) {
			return fmt.Errorf("%s of tier %s placed before %s of tier %s", r.ticket.ID, r.ticket.Tier, other.ticket.ID, other.ticket.Tier)
		}
	}
	return nil
}

func (o *oracle) checkShare(key shareKey, version ident.VersionName) error {
	share, base := o.share(key, version)
	if share <= 0 {
		return fmt.Errorf("version %s granted without a share of %v", version, key)
	}
	if o.sent[key] == nil {
		o.sent[key] = make(map[ident.VersionName]float64)
	}
	o.sent[key][version]++
	o.total[key]++
	if !base && o.sent[key][version] > share*o.total[key]+1 {
		return fmt.Errorf("version %s got %v of %v requests of %v, more than its share", version, o.sent[key][version], o.total[key], key)
	}
	return nil
}

// refund reverses checkShare for a request that did not reach its version.
func (o *oracle) refund(key shareKey, version ident.VersionName) {
	if o.sent[key][version] > 0 {
		o.sent[key][version]--
		o.total[key]--
	}
}

// checkRefusal checks a new refusal of r. all holds all requests.
func (o *oracle) checkRefusal(r *modelRequest, refusal Refusal, all []*modelRequest, now time.Duration) error {
	o.shedAt[r.ticket.Tier] = now
	if r.state != modelWaiting || !r.known {
		return fmt.Errorf("%s refused but not waiting", r.ticket.ID)
	}
	if refusal.RetryAfter < minRetryAfter || refusal.RetryAfter > maxRetryAfter {
		return fmt.Errorf("%s refused with retry-after %s, which is out of bounds", r.ticket.ID, refusal.RetryAfter)
	}
	if refusal.Reason != ReasonOverload {
		return nil
	}
	for _, other := range all {
		if other != r && other.state == modelWaiting && other.known && o.ranks[other.ticket.Tier] < o.ranks[r.ticket.Tier] {
			return fmt.Errorf("%s of tier %s shed before %s of tier %s", r.ticket.ID, r.ticket.Tier, other.ticket.ID, other.ticket.Tier)
		}
	}
	return nil
}
