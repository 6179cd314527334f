package config

import (
	"maps"
	"reflect"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Changes lists the changes to the objects of one kind.
type Changes[K ~string, V any] struct {
	// Set holds added and replaced objects.
	Set map[K]V
	// Removed lists the names of removed objects in ascending order.
	Removed []K
}

// Delta is the difference between two configurations, by object.
type Delta struct {
	Tiers     Changes[ident.TierName, Tier]
	Teams     Changes[ident.TeamName, Team]
	Pools     Changes[ident.PoolName, Pool]
	Upstreams Changes[ident.UpstreamName, Upstream]
	Routes    Changes[ident.RouteName, Route]
	Moves     Changes[ident.MoveName, Move]
	// Callers is set if the caller limits changed.
	Callers *CallerLimitsChange `cbor:",omitempty"`
}

// CallerLimitsChange holds the new caller limits; nil removes the limits.
type CallerLimitsChange struct{ Limits *CallerLimits }

// Diff returns the delta that turns from into to.
func Diff(from, to Config) Delta {
	return Delta{
		Tiers:     diff(from.Tiers, to.Tiers),
		Teams:     diff(from.Teams, to.Teams),
		Pools:     diff(from.Pools, to.Pools),
		Upstreams: diff(from.Upstreams, to.Upstreams),
		Routes:    diff(from.Routes, to.Routes),
		Moves:     diff(from.Moves, to.Moves),
		Callers:   diffCallers(from.Callers, to.Callers),
	}
}

func diffCallers(from, to *CallerLimits) *CallerLimitsChange {
	if reflect.DeepEqual(from, to) {
		return nil
	}
	return &CallerLimitsChange{Limits: to}
}

func diff[K ~string, V any](from, to map[K]V) Changes[K, V] {
	var c Changes[K, V]
	for name, object := range to {
		old, known := from[name]
		if known && reflect.DeepEqual(old, object) {
			continue
		}
		if c.Set == nil {
			c.Set = make(map[K]V)
		}
		c.Set[name] = object
	}
	for name := range from {
		if _, kept := to[name]; !kept {
			c.Removed = append(c.Removed, name)
		}
	}
	slices.Sort(c.Removed)
	return c
}

// Apply returns c with the changes of d. It does not modify c.
func (c Config) Apply(d Delta) Config {
	callers := c.Callers
	if d.Callers != nil {
		callers = d.Callers.Limits
	}
	return Config{
		Callers:   callers,
		Tiers:     apply(c.Tiers, d.Tiers),
		Teams:     apply(c.Teams, d.Teams),
		Pools:     apply(c.Pools, d.Pools),
		Upstreams: apply(c.Upstreams, d.Upstreams),
		Routes:    apply(c.Routes, d.Routes),
		Moves:     apply(c.Moves, d.Moves),
	}
}

func apply[K ~string, V any](objects map[K]V, c Changes[K, V]) map[K]V {
	if len(c.Set) == 0 && len(c.Removed) == 0 {
		return objects
	}
	next := make(map[K]V, len(objects)+len(c.Set))
	maps.Copy(next, objects)
	for _, name := range c.Removed {
		delete(next, name)
	}
	maps.Copy(next, c.Set)
	if len(next) == 0 {
		return nil
	}
	return next
}

// compose returns a delta with the same effect as the deltas of the steps, one after the
// other.
func compose(steps []Step) Delta {
	var callers *CallerLimitsChange
	for _, step := range steps {
		if step.Delta.Callers != nil {
			callers = step.Delta.Callers
		}
	}
	return Delta{
		Callers:   callers,
		Tiers:     composeChanges(steps, func(d *Delta) Changes[ident.TierName, Tier] { return d.Tiers }),
		Teams:     composeChanges(steps, func(d *Delta) Changes[ident.TeamName, Team] { return d.Teams }),
		Pools:     composeChanges(steps, func(d *Delta) Changes[ident.PoolName, Pool] { return d.Pools }),
		Upstreams: composeChanges(steps, func(d *Delta) Changes[ident.UpstreamName, Upstream] { return d.Upstreams }),
		Routes:    composeChanges(steps, func(d *Delta) Changes[ident.RouteName, Route] { return d.Routes }),
		Moves:     composeChanges(steps, func(d *Delta) Changes[ident.MoveName, Move] { return d.Moves }),
	}
}

func composeChanges[K ~string, V any](steps []Step, of func(*Delta) Changes[K, V]) Changes[K, V] {
	set, removed := make(map[K]V), make(map[K]struct{})
	for i := range steps {
		c := of(&steps[i].Delta)
		for _, name := range c.Removed {
			removed[name] = struct{}{}
			delete(set, name)
		}
		for name, object := range c.Set {
			set[name] = object
			delete(removed, name)
		}
	}
	if len(set) == 0 {
		set = nil
	}
	return Changes[K, V]{Set: set, Removed: slices.Sorted(maps.Keys(removed))}
}

// Size returns the number of objects that d changes.
func (d Delta) Size() int {
	size := d.Tiers.size() + d.Teams.size() + d.Pools.size() +
		d.Upstreams.size() + d.Routes.size() + d.Moves.size()
	if d.Callers != nil {
		size++
	}
	return size
}

func (c Changes[K, V]) size() int { return len(c.Set) + len(c.Removed) }

// Size returns the number of objects in c.
func (c Config) Size() int {
	return len(c.Tiers) + len(c.Teams) + len(c.Pools) + len(c.Upstreams) + len(c.Routes) + len(c.Moves)
}
