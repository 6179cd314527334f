package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// Wants returns what each engine should run, according to the configuration and
// the committed moves: the versions of the upstreams configured at its address.
// A loaded version stays if an open move needs it, if a pool serves it, or if
// busy reports that it is still in use. The results are sorted by address. busy
// may be nil.
func Wants(c *config.Config, records []move.Record, busy func(address string, v ident.VersionName) bool) ([]Engine, []Want) {
	byAddress := make(map[string]*Want)
	engines := make(map[string]Engine)
	for _, name := range slices.Sorted(maps.Keys(c.Upstreams)) {
		u := c.Upstreams[name]
		if c.Pools[u.Pool].Kind != config.KindEngine {
			continue
		}
		w := byAddress[u.Address]
		if w == nil {
			w = &Want{Address: u.Address}
			byAddress[u.Address] = w
			engines[u.Address] = Engine{Address: u.Address, Name: name, Fencing: u.Fencing}
		}
		w.add(c, u, records)
	}
	var es []Engine
	var ws []Want
	for _, address := range slices.Sorted(maps.Keys(byAddress)) {
		w := byAddress[address]
		w.Keep = append(w.Keep, busyVersions(c, address, busy)...)
		es = append(es, engines[address])
		ws = append(ws, *w)
	}
	return es, ws
}

func (w *Want) add(c *config.Config, u config.Upstream, records []move.Record) {
	if !slices.Contains(w.Versions, u.Version) {
		w.Versions = append(w.Versions, u.Version)
	}
	w.Keep = append(w.Keep, c.Pools[u.Pool].Version)
	for _, r := range records {
		if r.Pool != u.Pool {
			continue
		}
		if r.State != move.StateTakenBack {
			w.Keep = append(w.Keep, r.To)
		}
		if r.State.Final() {
			continue
		}
		w.Keep = append(w.Keep, r.From)
		if r.To == u.Version {
			w.Deadline = earlierDeadline(w.Deadline, c.Moves[r.Name].Deadline)
		}
	}
}

func earlierDeadline(a, b time.Time) time.Time {
	if compareDeadlines(a, b) <= 0 {
		return a
	}
	return b
}

// busyVersions returns the configured versions that busy reports as still in
// use at an address.
func busyVersions(c *config.Config, address string, busy func(string, ident.VersionName) bool) []ident.VersionName {
	if busy == nil {
		return nil
	}
	versions := make(map[ident.VersionName]bool)
	for _, m := range c.Moves {
		versions[m.From], versions[m.To] = true, true
	}
	for _, u := range c.Upstreams {
		versions[u.Version] = true
	}
	var kept []ident.VersionName
	for v := range versions {
		if busy(address, v) {
			kept = append(kept, v)
		}
	}
	slices.SortFunc(kept, cmp.Compare)
	return kept
}
