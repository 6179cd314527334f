package config

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// maxReserve is the largest reserve of one tier, as a share of capacity.
	maxReserve = 0.5
	// maxCanaryShare is the largest first share of a move.
	maxCanaryShare = 0.05
	// AddressesPath is the path on which callers ask for addresses; no route
	// may use it.
	AddressesPath = "/v1/addresses"
)

// at returns where a field stands, or its object when the field is left out.
func (l *loader) at(kind, name, field string) place {
	places := l.places[objectKey{kind, name}]
	if p, known := places.fields[field]; known {
		return p
	}
	return places.object
}

// wrong reports a mistake in a field.
func (l *loader) wrong(kind, name, field, format string, args ...any) {
	p := l.at(kind, name, field)
	l.report.mistake(p.file, p.line, kind+" "+name+": "+field+": "+format, args...)
}

// odd reports a warning about a field.
func (l *loader) odd(kind, name, field, format string, args ...any) {
	p := l.at(kind, name, field)
	l.report.warning(p.file, p.line, kind+" "+name+": "+field+": "+format, args...)
}

// check checks the merged configuration.
func (l *loader) check(now time.Time) {
	l.checkTiers()
	l.checkTeams()
	l.checkPools()
	l.checkUpstreams()
	l.checkRoutes()
	l.checkMoves(now)
}

// sorted iterates over objects in the order of their names, so that reports
// are always the same.
func sorted[K ~string, V any](objects map[K]V, each func(name K, object V)) {
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		each(name, objects[name])
	}
}

func (l *loader) checkTiers() {
	ranks := make(map[int]ident.TierName)
	reserved := 0.0
	sorted(l.config.Tiers, func(name ident.TierName, t Tier) {
		if other, taken := ranks[t.Rank]; taken {
			l.wrong("tiers", string(name), "rank", "%d is the rank of tier %s too", t.Rank, other)
		}
		ranks[t.Rank] = name
		if t.Deadline <= 0 {
			l.wrong("tiers", string(name), "deadline", "must be above zero")
		}
		if t.Reserve < 0 || t.Reserve > maxReserve {
			l.wrong("tiers", string(name), "reserve", "%v is not from 0 to %v", t.Reserve, maxReserve)
		}
		reserved += t.Reserve
		if reserved > 1 {
			l.wrong("tiers", string(name), "reserve", "the reserves of all tiers exceed the whole capacity")
		}
	})
}

func (l *loader) checkTeams() {
	sorted(l.config.Teams, func(name ident.TeamName, t Team) {
		if t.Shares < 1 {
			l.wrong("teams", string(name), "shares", "%d is below 1", t.Shares)
		}
		if t.MaxWaitingBytes < 0 {
			l.wrong("teams", string(name), "max_waiting_bytes", "%d is below 0", t.MaxWaitingBytes)
		}
	})
}

func (l *loader) checkPools() {
	versions := l.versions()
	models := make(map[string]ident.PoolName)
	sorted(l.config.Pools, func(name ident.PoolName, p Pool) {
		l.checkPoolKind(name, p, models)
		if p.QueueLimit < 0 {
			l.wrong("pools", string(name), "queue_limit", "%d is below 0", p.QueueLimit)
		}
		switch {
		case p.Version == "":
			l.wrong("pools", string(name), "version", "is missing")
		case len(versions[name]) == 0:
			l.odd("pools", string(name), "version", "no upstream serves this pool yet")
		case !versions[name][p.Version]:
			l.wrong("pools", string(name), "version", "no upstream of the pool has version %q", p.Version)
		}
	})
}

func (l *loader) checkPoolKind(name ident.PoolName, p Pool, models map[string]ident.PoolName) {
	switch {
	case p.Kind == KindEngine && p.Model == "":
		l.wrong("pools", string(name), "model", "is missing for a pool of engines")
	case p.Kind == KindEngine:
		if other, taken := models[p.Model]; taken {
			l.wrong("pools", string(name), "model", "pool %s serves %q too", other, p.Model)
		}
		models[p.Model] = name
	case p.Kind == KindService && p.Model != "":
		l.wrong("pools", string(name), "model", "a pool of services has no model")
	case p.Kind != KindService:
		l.wrong("pools", string(name), "kind", "%q is neither %s nor %s", p.Kind, KindEngine, KindService)
	}
}

// versions returns the versions that the upstreams of each pool have.
func (l *loader) versions() map[ident.PoolName]map[ident.VersionName]bool {
	versions := make(map[ident.PoolName]map[ident.VersionName]bool)
	for _, u := range l.config.Upstreams {
		if versions[u.Pool] == nil {
			versions[u.Pool] = make(map[ident.VersionName]bool)
		}
		versions[u.Pool][u.Version] = true
	}
	return versions
}

func (l *loader) checkUpstreams() {
	addresses := make(map[string]ident.UpstreamName)
	sorted(l.config.Upstreams, func(name ident.UpstreamName, u Upstream) {
		if _, known := l.config.Pools[u.Pool]; !known {
			l.wrong("upstreams", string(name), "pool", "there is no pool %q", u.Pool)
		}
		if u.Version == "" {
			l.wrong("upstreams", string(name), "version", "is missing")
		}
		if address, err := netip.ParseAddrPort(u.Address); err != nil || address.Port() == 0 {
			l.wrong("upstreams", string(name), "address", "%q is no IP number with a port", u.Address)
		}
		if other, taken := addresses[u.Address]; taken {
			l.wrong("upstreams", string(name), "address", "upstream %s has %s too", other, u.Address)
		}
		addresses[u.Address] = name
		if u.MaxConcurrent < 1 {
			l.wrong("upstreams", string(name), "max_concurrent", "%d is below 1", u.MaxConcurrent)
		}
		switch u.Fencing {
		case "", FencingChecked, FencingIgnored:
		default:
			l.wrong("upstreams", string(name), "fencing", "%q is neither %s nor %s", u.Fencing, FencingChecked, FencingIgnored)
		}
	})
}

// routeTarget is what no two routes may share.
type routeTarget struct {
	path string
	pool ident.PoolName
}

func (l *loader) checkRoutes() {
	byPath := make(map[string]ident.RouteName)
	byTarget := make(map[routeTarget]ident.RouteName)
	sorted(l.config.Routes, func(name ident.RouteName, r Route) {
		l.checkRouteNames(name, r)
		target := routeTarget{path: r.Path, pool: r.Pool}
		if other, taken := byTarget[target]; taken {
			l.wrong("routes", string(name), "path", "route %s has path %s and pool %s too", other, r.Path, r.Pool)
		} else if other, taken := byPath[r.Path]; taken && !l.byModel(r, l.config.Routes[other]) {
			l.wrong("routes", string(name), "path", "route %s has path %s too, and no model tells them apart", other, r.Path)
		}
		byTarget[target] = name
		byPath[r.Path] = name
		if r.StatusPath != "" && !isPath(r.StatusPath) {
			l.wrong("routes", string(name), "status_path", "%q is no path", r.StatusPath)
		}
		if r.StatusPath != "" && r.Idempotent {
			l.odd("routes", string(name), "status_path", "an idempotent route has no use for it")
		}
	})
}

func (l *loader) checkRouteNames(name ident.RouteName, r Route) {
	if !isPath(r.Path) {
		l.wrong("routes", string(name), "path", "%q is no path", r.Path)
	}
	if r.Path == AddressesPath {
		l.wrong("routes", string(name), "path", "%s is taken by the system", AddressesPath)
	}
	if _, known := l.config.Pools[r.Pool]; !known {
		l.wrong("routes", string(name), "pool", "there is no pool %q", r.Pool)
	}
	if _, known := l.config.Tiers[r.Tier]; !known {
		l.wrong("routes", string(name), "tier", "there is no tier %q", r.Tier)
	}
}

// byModel tells whether the model name in a request tells two routes apart.
func (l *loader) byModel(a, b Route) bool {
	return l.config.Pools[a.Pool].Kind == KindEngine && l.config.Pools[b.Pool].Kind == KindEngine
}

func isPath(path string) bool {
	return strings.HasPrefix(path, "/") && !strings.ContainsAny(path, "?# \t\r\n")
}

func (l *loader) checkMoves(now time.Time) {
	versions := l.versions()
	byPool := make(map[ident.PoolName]ident.MoveName)
	sorted(l.config.Moves, func(name ident.MoveName, m Move) {
		if other, taken := byPool[m.Pool]; taken {
			l.wrong("moves", string(name), "pool", "move %s moves pool %s too", other, m.Pool)
		}
		byPool[m.Pool] = name
		l.checkMoveVersions(name, m, versions[m.Pool])
		switch {
		case m.Deadline.IsZero():
			l.wrong("moves", string(name), "deadline", "is missing")
		case m.Deadline.Before(now):
			l.odd("moves", string(name), "deadline", "%s has passed", m.Deadline.Format(time.RFC3339))
		}
		if m.CanaryShare < 0 || m.CanaryShare > maxCanaryShare {
			l.wrong("moves", string(name), "canary_share", "%v is not from 0 to %v", m.CanaryShare, maxCanaryShare)
		}
		if m.Watch < 0 {
			l.wrong("moves", string(name), "watch", "must not be below zero")
		}
	})
}

func (l *loader) checkMoveVersions(name ident.MoveName, m Move, versions map[ident.VersionName]bool) {
	pool, known := l.config.Pools[m.Pool]
	if !known {
		l.wrong("moves", string(name), "pool", "there is no pool %q", m.Pool)
		return
	}
	if m.From == m.To {
		l.wrong("moves", string(name), "to", "%q is the version to move from", m.To)
	}
	if !versions[m.From] {
		l.wrong("moves", string(name), "from", "no upstream of pool %s has version %q", m.Pool, m.From)
	}
	if !versions[m.To] {
		l.wrong("moves", string(name), "to", "no upstream of pool %s has version %q", m.Pool, m.To)
	}
	if pool.Version != m.From && pool.Version != m.To {
		l.wrong("moves", string(name), "from", "pool %s is at version %q, neither end of the move", m.Pool, pool.Version)
	}
}
