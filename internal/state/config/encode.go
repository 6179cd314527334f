package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// MaxElements is the maximum number of objects of one kind, and of elements of one list or
// map in an object. Replicas can't decode more.
const MaxElements = 1 << 17

// CheckSize returns an error if c exceeds MaxElements.
func (c Config) CheckSize() error {
	check := func(what string, elements int) error {
		if elements > MaxElements {
			return fmt.Errorf("%d %s, at most %d are allowed", elements, what, MaxElements)
		}
		return nil
	}
	err := errors.Join(check("tiers", len(c.Tiers)), check("teams", len(c.Teams)), check("pools", len(c.Pools)),
		check("upstreams", len(c.Upstreams)), check("routes", len(c.Routes)), check("moves", len(c.Moves)))
	for name, team := range c.Teams {
		err = errors.Join(err, check(fmt.Sprintf("keys of team %q", name), len(team.Keys)), check(fmt.Sprintf("tiers of team %q", name), len(team.Tiers)),
			check(fmt.Sprintf("regions of team %q", name), len(team.Regions)))
	}
	for name, route := range c.Routes {
		err = errors.Join(err, check(fmt.Sprintf("splits of route %q", name), len(route.Splits)), check(fmt.Sprintf("regions of route %q", name), len(route.Regions)))
	}
	return err
}

// Digest is the hash of a configuration's canonical encoding.
type Digest [sha256.Size]byte

// String returns the first 6 bytes in hexadecimal, for display.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	options := cbor.CanonicalEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(fmt.Sprintf("config: encoding options: %v", err))
	}
	return mode
}

// normalize returns c in a form in which equal configurations are deeply equal:
// empty maps are nil, and all times are in UTC without a monotonic clock reading.
func (c Config) normalize() Config {
	c.Tiers = nilIfEmpty(c.Tiers)
	c.Teams = nilIfEmpty(c.Teams)
	c.Pools = nilIfEmpty(c.Pools)
	c.Upstreams = nilIfEmpty(c.Upstreams)
	c.Routes = nilIfEmpty(c.Routes)
	c.Moves = nilIfEmpty(c.Moves)
	c.Moves = normalizeMoves(c.Moves)
	return c
}

// normalizeMoves returns a copy of moves with normalized deadlines. The map is
// copied because configurations share their maps.
func normalizeMoves(moves map[ident.MoveName]Move) map[ident.MoveName]Move {
	if moves == nil {
		return nil
	}
	normal := make(map[ident.MoveName]Move, len(moves))
	for name, m := range moves {
		m.Deadline = m.Deadline.Round(0).UTC()
		normal[name] = m
	}
	return normal
}

func nilIfEmpty[K comparable, V any](m map[K]V) map[K]V {
	if len(m) == 0 {
		return nil
	}
	return m
}

// Encode returns the canonical CBOR encoding of c: equal configurations have equal
// encodings.
func (c Config) Encode() []byte {
	data, err := encoding.Marshal(c.normalize())
	if err != nil {
		panic(fmt.Sprintf("config: encode configuration: %v", err))
	}
	return data
}

// Decode parses an encoding made by Encode.
func Decode(data []byte) (Config, error) {
	var c Config
	if err := cbor.Unmarshal(data, &c); err != nil {
		return Config{}, fmt.Errorf("config: decode: %w", err)
	}
	return c.normalize(), nil
}

// Digest returns the SHA-256 hash of the canonical encoding. It leaves out the fields that
// builds of feature level 0 don't know, so that nodes of both builds compute the same digest.
func (c Config) Digest() Digest { return sha256.Sum256(c.withoutLevel1().Encode()) }

// withoutLevel1 returns c without the fields that were added with feature level 1.
func (c Config) withoutLevel1() Config {
	c.Pools = mapChanged(c.Pools, func(p Pool) (Pool, bool) {
		changed := p.Cold != nil
		p.Cold = nil
		return p, changed
	})
	c.Routes = mapChanged(c.Routes, func(r Route) (Route, bool) {
		changed := r.Regions != nil
		r.Regions = nil
		return r, changed
	})
	c.Teams = mapChanged(c.Teams, func(t Team) (Team, bool) {
		changed := t.Regions != nil
		t.Regions = nil
		return t, changed
	})
	return c
}

// UsesLevel1 reports whether c sets fields that were added with feature level 1.
func (c Config) UsesLevel1() bool {
	for _, p := range c.Pools {
		if p.Cold != nil {
			return true
		}
	}
	for _, r := range c.Routes {
		if r.Regions != nil {
			return true
		}
	}
	for _, t := range c.Teams {
		if t.Regions != nil {
			return true
		}
	}
	return false
}

// mapChanged returns a copy of m in which change has replaced values, or m itself if it
// changes none: configurations share their maps.
func mapChanged[K comparable, V any](m map[K]V, change func(V) (V, bool)) map[K]V {
	var next map[K]V
	for name, value := range m {
		value, changed := change(value)
		if !changed {
			continue
		}
		if next == nil {
			next = maps.Clone(m)
		}
		next[name] = value
	}
	if next == nil {
		return m
	}
	return next
}
