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
	// maxReserve is the largest reserve of one tier, as a fraction of capacity.
	maxReserve = 0.5
	// maxCanaryShare is the largest canary share of a move, as a fraction of traffic.
	maxCanaryShare = 0.05
	// AddressesPath is the path on which callers look up gateway addresses. It is
	// reserved: no route may use it.
	AddressesPath = "/v1/addresses"
)

// positionOf returns the position of a field, or that of its object if the field
// is omitted.
func (l *loader) positionOf(kind, name, field string) position {
	positions := l.positions[objectKey{kind, name}]
	if p, known := positions.fields[field]; known {
		return p
	}
	return positions.object
}

// fieldMistake reports a mistake in a field.
func (l *loader) fieldMistake(kind, name, field, format string, args ...any) {
	p := l.positionOf(kind, name, field)
	l.report.addMistake(p.file, p.line, kind+" "+name+": "+field+": "+format, args...)
}

// fieldWarning reports a warning about a field.
func (l *loader) fieldWarning(kind, name, field, format string, args ...any) {
	p := l.positionOf(kind, name, field)
	l.report.addWarning(p.file, p.line, kind+" "+name+": "+field+": "+format, args...)
}

// check validates the merged configuration and adds what it finds to the report.
func (l *loader) check(now time.Time) {
	l.checkTiers()
	l.checkTeams()
	l.checkPools()
	l.checkUpstreams()
	l.checkRoutes()
	l.checkMoves(now)
}

// forEachSorted calls each for every object in the order of their names, so that
// reports are deterministic.
func forEachSorted[K ~string, V any](objects map[K]V, each func(name K, object V)) {
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		each(name, objects[name])
	}
}

func (l *loader) checkTiers() {
	ranks := make(map[int]ident.TierName)
	reserved := 0.0
	forEachSorted(l.config.Tiers, func(name ident.TierName, t Tier) {
		if other, taken := ranks[t.Rank]; taken {
			l.fieldMistake("tiers", string(name), "rank", "%d is already the rank of tier %s", t.Rank, other)
		}
		ranks[t.Rank] = name
		if t.Deadline <= 0 {
			l.fieldMistake("tiers", string(name), "deadline", "must be greater than 0, got %s", t.Deadline)
		}
		if t.Reserve < 0 || t.Reserve > maxReserve {
			l.fieldMistake("tiers", string(name), "reserve", "%v is not between 0 and %v", t.Reserve, maxReserve)
		}
		reserved += t.Reserve
		if reserved > 1 {
			l.fieldMistake("tiers", string(name), "reserve", "the reserves of all tiers add up to more than 1")
		}
	})
}

func (l *loader) checkTeams() {
	forEachSorted(l.config.Teams, func(name ident.TeamName, t Team) {
		if t.Shares < 1 {
			l.fieldMistake("teams", string(name), "shares", "%d is below 1", t.Shares)
		}
		if t.MaxWaitingBytes < 0 {
			l.fieldMistake("teams", string(name), "max_waiting_bytes", "%d is below 0", t.MaxWaitingBytes)
		}
	})
}

func (l *loader) checkPools() {
	versions := l.versionsByPool()
	models := make(map[string]ident.PoolName)
	forEachSorted(l.config.Pools, func(name ident.PoolName, p Pool) {
		l.checkPoolKind(name, p, models)
		if p.QueueLimit < 0 {
			l.fieldMistake("pools", string(name), "queue_limit", "%d is below 0", p.QueueLimit)
		}
		switch {
		case p.Version == "":
			l.fieldMistake("pools", string(name), "version", "is missing")
		case len(versions[name]) == 0:
			l.fieldWarning("pools", string(name), "version", "no upstream serves this pool yet")
		case !versions[name][p.Version]:
			l.fieldMistake("pools", string(name), "version", "no upstream of the pool has version %q", p.Version)
		}
	})
}

func (l *loader) checkPoolKind(name ident.PoolName, p Pool, models map[string]ident.PoolName) {
	switch {
	case p.Kind == KindEngine && p.Model == "":
		l.fieldMistake("pools", string(name), "model", "is required for a pool of kind %s", KindEngine)
	case p.Kind == KindEngine:
		if other, taken := models[p.Model]; taken {
			l.fieldMistake("pools", string(name), "model", "pool %s already serves %q", other, p.Model)
		}
		models[p.Model] = name
	case p.Kind == KindService && p.Model != "":
		l.fieldMistake("pools", string(name), "model", "must not be set for a pool of kind %s", KindService)
	case p.Kind != KindService:
		l.fieldMistake("pools", string(name), "kind", "%q is neither %s nor %s", p.Kind, KindEngine, KindService)
	}
}

// versionsByPool returns the set of versions that the upstreams of each pool have.
func (l *loader) versionsByPool() map[ident.PoolName]map[ident.VersionName]bool {
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
	forEachSorted(l.config.Upstreams, func(name ident.UpstreamName, u Upstream) {
		if _, known := l.config.Pools[u.Pool]; !known {
			l.fieldMistake("upstreams", string(name), "pool", "there is no pool %q", u.Pool)
		}
		if u.Version == "" {
			l.fieldMistake("upstreams", string(name), "version", "is missing")
		}
		if address, err := netip.ParseAddrPort(u.Address); err != nil || address.Port() == 0 {
			l.fieldMistake("upstreams", string(name), "address", "%q is not an IP address with a port", u.Address)
		}
		if other, taken := addresses[u.Address]; taken {
			l.fieldMistake("upstreams", string(name), "address", "upstream %s already has %s", other, u.Address)
		}
		addresses[u.Address] = name
		if u.MaxConcurrent < 1 {
			l.fieldMistake("upstreams", string(name), "max_concurrent", "%d is below 1", u.MaxConcurrent)
		}
		switch u.Fencing {
		case "", FencingChecked, FencingIgnored:
		default:
			l.fieldMistake("upstreams", string(name), "fencing", "%q is neither %s nor %s", u.Fencing, FencingChecked, FencingIgnored)
		}
	})
}

// routeTarget is the combination of path and pool, which must be unique among routes.
type routeTarget struct {
	path string
	pool ident.PoolName
}

func (l *loader) checkRoutes() {
	byPath := make(map[string]ident.RouteName)
	byTarget := make(map[routeTarget]ident.RouteName)
	forEachSorted(l.config.Routes, func(name ident.RouteName, r Route) {
		l.checkRouteFields(name, r)
		target := routeTarget{path: r.Path, pool: r.Pool}
		if other, taken := byTarget[target]; taken {
			l.fieldMistake("routes", string(name), "path", "route %s already has path %s and pool %s", other, r.Path, r.Pool)
		} else if other, taken := byPath[r.Path]; taken && !l.distinguishedByModel(r, l.config.Routes[other]) {
			l.fieldMistake("routes", string(name), "path", "route %s already has path %s; routes may share a path only if the pools of both are of kind %s", other, r.Path, KindEngine)
		}
		byTarget[target] = name
		byPath[r.Path] = name
		if r.StatusPath != "" && !isPath(r.StatusPath) {
			l.fieldMistake("routes", string(name), "status_path", "%q is not a valid path", r.StatusPath)
		}
		if r.StatusPath != "" && r.Idempotent {
			l.fieldWarning("routes", string(name), "status_path", "is not used by an idempotent route")
		}
	})
}

func (l *loader) checkRouteFields(name ident.RouteName, r Route) {
	if !isPath(r.Path) {
		l.fieldMistake("routes", string(name), "path", "%q is not a valid path", r.Path)
	}
	if r.Path == AddressesPath {
		l.fieldMistake("routes", string(name), "path", "%s is reserved", AddressesPath)
	}
	if _, known := l.config.Pools[r.Pool]; !known {
		l.fieldMistake("routes", string(name), "pool", "there is no pool %q", r.Pool)
	}
	if _, known := l.config.Tiers[r.Tier]; !known {
		l.fieldMistake("routes", string(name), "tier", "there is no tier %q", r.Tier)
	}
}

// distinguishedByModel reports whether the model name in a request can select
// between two routes of the same path: both must lead to engine pools.
func (l *loader) distinguishedByModel(a, b Route) bool {
	return l.config.Pools[a.Pool].Kind == KindEngine && l.config.Pools[b.Pool].Kind == KindEngine
}

func isPath(path string) bool {
	return strings.HasPrefix(path, "/") && !strings.ContainsAny(path, "?# \t\r\n")
}

func (l *loader) checkMoves(now time.Time) {
	versions := l.versionsByPool()
	byPool := make(map[ident.PoolName]ident.MoveName)
	forEachSorted(l.config.Moves, func(name ident.MoveName, m Move) {
		if other, taken := byPool[m.Pool]; taken {
			l.fieldMistake("moves", string(name), "pool", "move %s already moves pool %s", other, m.Pool)
		}
		byPool[m.Pool] = name
		l.checkMoveVersions(name, m, versions[m.Pool])
		switch {
		case m.Deadline.IsZero():
			l.fieldMistake("moves", string(name), "deadline", "is missing")
		case m.Deadline.Before(now):
			l.fieldWarning("moves", string(name), "deadline", "%s has passed", m.Deadline.Format(time.RFC3339))
		}
		if m.CanaryShare < 0 || m.CanaryShare > maxCanaryShare {
			l.fieldMistake("moves", string(name), "canary_share", "%v is not between 0 and %v", m.CanaryShare, maxCanaryShare)
		}
		if m.Watch < 0 {
			l.fieldMistake("moves", string(name), "watch", "must not be negative, got %s", m.Watch)
		}
	})
}

func (l *loader) checkMoveVersions(name ident.MoveName, m Move, versions map[ident.VersionName]bool) {
	pool, known := l.config.Pools[m.Pool]
	if !known {
		l.fieldMistake("moves", string(name), "pool", "there is no pool %q", m.Pool)
		return
	}
	if m.From == m.To {
		l.fieldMistake("moves", string(name), "to", "%q is also the version to move from", m.To)
	}
	if !versions[m.From] {
		l.fieldMistake("moves", string(name), "from", "no upstream of pool %s has version %q", m.Pool, m.From)
	}
	if !versions[m.To] {
		l.fieldMistake("moves", string(name), "to", "no upstream of pool %s has version %q", m.Pool, m.To)
	}
	if pool.Version != m.From && pool.Version != m.To {
		l.fieldMistake("moves", string(name), "from", "pool %s has version %q, which is neither end of the move", m.Pool, pool.Version)
	}
}
