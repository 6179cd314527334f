// Package routing finds the route of a caller's request in one configuration.
package routing

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Errors of Match.
var (
	// ErrUnknownRoute means that no route has the name or the path.
	ErrUnknownRoute = errors.New("unknown route")
	// ErrUnknownModel means that no route of the path serves the model.
	ErrUnknownModel = errors.New("unknown model")
	// ErrAmbiguous means that several routes fit and none was named.
	ErrAmbiguous = errors.New("several routes fit, name one")
)

// Match is a route with its name, pool and tier.
type Match struct {
	Name  ident.RouteName
	Route config.Route
	Pool  config.Pool
	Tier  config.Tier
}

// Engine reports whether a model engine serves the route.
func (m *Match) Engine() bool {
	return m.Pool.Kind == config.KindEngine
}

// Deadline returns the time limit of a request: the one that the caller asked
// for, or the default of the tier if the caller asked for none.
func (m *Match) Deadline(asked time.Duration) time.Duration {
	if asked > 0 {
		return asked
	}
	return m.Tier.Deadline
}

// Table indexes the routes of one configuration. It is immutable.
type Table struct {
	byName map[ident.RouteName]*Match
	byPath map[string][]*Match
}

// NewTable indexes a validated configuration.
func NewTable(c *config.Config) *Table {
	t := &Table{
		byName: make(map[ident.RouteName]*Match, len(c.Routes)),
		byPath: make(map[string][]*Match),
	}
	for name, route := range c.Routes {
		m := &Match{Name: name, Route: route, Pool: c.Pools[route.Pool], Tier: c.Tiers[route.Tier]}
		t.byName[name] = m
		t.byPath[route.Path] = append(t.byPath[route.Path], m)
	}
	for _, matches := range t.byPath {
		slices.SortFunc(matches, func(a, b *Match) int { return cmp.Compare(a.Name, b.Name) })
	}
	return t
}

// HasPath reports whether any route uses the path.
func (t *Table) HasPath(path string) bool {
	return len(t.byPath[path]) > 0
}

// NeedsModel reports whether a request on the path names a model in its body.
func (t *Table) NeedsModel(path string) bool {
	return slices.ContainsFunc(t.byPath[path], (*Match).Engine)
}

// Match returns the only route that fits the request. Name is empty unless the
// caller gave it; model is empty for plain services. Match returns
// ErrUnknownRoute, ErrUnknownModel or ErrAmbiguous, wrapped.
func (t *Table) Match(path string, name ident.RouteName, model string) (*Match, error) {
	if name != "" {
		return t.matchNamed(path, name, model)
	}
	candidates := t.byPath[path]
	if len(candidates) == 0 {
		return nil, fmt.Errorf("%w: no route has the path %q", ErrUnknownRoute, path)
	}
	var fits []*Match
	for _, m := range candidates {
		if m.fits(model) {
			fits = append(fits, m)
		}
	}
	switch len(fits) {
	case 0:
		return nil, fmt.Errorf("%w: no route of %q serves %q", ErrUnknownModel, path, model)
	case 1:
		return fits[0], nil
	default:
		return nil, fmt.Errorf("%w: %q and %q fit %q", ErrAmbiguous, fits[0].Name, fits[1].Name, path)
	}
}

func (t *Table) matchNamed(path string, name ident.RouteName, model string) (*Match, error) {
	m := t.byName[name]
	if m == nil || m.Route.Path != path {
		return nil, fmt.Errorf("%w: no route %q has the path %q", ErrUnknownRoute, name, path)
	}
	if !m.fits(model) {
		return nil, fmt.Errorf("%w: route %q serves %q, not %q", ErrUnknownModel, name, m.Pool.Model, model)
	}
	return m, nil
}

func (m *Match) fits(model string) bool {
	return !m.Engine() || m.Pool.Model == model
}
