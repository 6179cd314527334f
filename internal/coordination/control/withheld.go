package control

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

const (
	// withheldRetention is how long a withheld version stays known after its last upstream has
	// left the list. Upstreams that restart leave it for seconds.
	withheldRetention = time.Hour
	// maxWithheld is the number of withheld versions of a pool above which those that have been
	// gone for longest are forgotten earlier. Listed ones never are.
	maxWithheld = 64
	// withheldInterval is the time between two checks.
	withheldInterval = 10 * time.Second
)

// withheldCheck is the leader's state of the checks in its term.
type withheldCheck struct {
	term   uint64
	last   time.Time
	absent absentVersions
}

// poolVersion names a version of a pool.
type poolVersion struct {
	pool    ident.PoolName
	version ident.VersionName
}

// absentVersions holds since when versions have had no listed upstream.
type absentVersions map[poolVersion]time.Time

// update takes over which versions are withheld and which are listed.
func (a absentVersions) update(rollouts []rollout.Record, listed map[poolVersion]bool, now time.Time) {
	withheld := make(map[poolVersion]bool)
	for _, r := range rollouts {
		for _, w := range r.AllWithheld() {
			key := poolVersion{r.Pool, w.Version}
			withheld[key] = true
			if _, known := a[key]; !known {
				a[key] = now
			}
		}
	}
	maps.DeleteFunc(a, func(key poolVersion, _ time.Time) bool { return listed[key] || !withheld[key] })
}

// due returns the versions that a rollout need not withhold any more.
func (a absentVersions) due(r rollout.Record, now time.Time) []ident.VersionName {
	var gone []ident.VersionName
	for _, w := range r.Withheld {
		if _, absent := a[poolVersion{r.Pool, w.Version}]; absent {
			gone = append(gone, w.Version)
		}
	}
	since := func(v ident.VersionName) time.Time { return a[poolVersion{r.Pool, v}] }
	slices.SortStableFunc(gone, func(x, y ident.VersionName) int { return since(x).Compare(since(y)) })
	over := max(0, len(r.Withheld)-maxWithheld)
	for i, v := range gone {
		if i >= over && now.Sub(since(v)) < withheldRetention {
			return gone[:i]
		}
	}
	return gone
}

// forgetVersions commits that withheld versions have left the list for good.
func (s *Service) forgetVersions(term uint64, now time.Time) {
	check := &s.withheld
	if s.machine.Features() < machine.BasisLevel || check.term == term && now.Sub(check.last) < withheldInterval {
		return
	}
	if check.term != term {
		*check = withheldCheck{term: term, absent: make(absentVersions)}
	}
	check.last = now
	rollouts := s.machine.Rollouts()
	listed, complete := s.fleet.listedVersions()
	if !complete {
		return
	}
	check.absent.update(rollouts, listed, now)
	for _, r := range rollouts {
		if versions := check.absent.due(r, now); len(versions) > 0 {
			_, _ = s.proposeIn(term, &machine.Command{ForgetVersions: &rollout.Forget{Pool: r.Pool, Versions: versions}})
		}
	}
}

// listedVersions returns the versions of the listed upstreams; complete is false if some may be
// missing.
func (f *fleet) listedVersions() (listed map[poolVersion]bool, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed = make(map[poolVersion]bool)
	for _, d := range f.upstreams.entries {
		listed[poolVersion{d.value.Upstream.Pool, d.value.Upstream.Version}] = true
	}
	return listed, f.leading && f.listed
}
