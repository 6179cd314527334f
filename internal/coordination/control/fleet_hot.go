package control

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// hotTeamTTL is how long a team counts as hot after the last report. It is longer
// than the windows in which quotas are counted.
const hotTeamTTL = 12 * time.Second

const (
	// hotUse is the part of a quota that is used at all schedulers together from which a
	// team is near it.
	hotUse = 0.65
	// teamUseTTL is how long a scheduler's report counts: the time of two syncs.
	teamUseTTL = 2 * MaxSyncHold
)

// teamUse is what a scheduler that serves some of the gateways reported of the quotas.
type teamUse struct {
	at   time.Time
	used map[ident.TeamName]float64
}

// reportUse records what parts of their quotas teams have used at one node's schedulers.
// A team is near its quota by the sum over all nodes.
func (f *fleet) reportUse(node ident.NodeID, used map[ident.TeamName]float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hotReportedAt == nil {
		return
	}
	delete(f.teamUse, node)
	if len(used) == 0 {
		return
	}
	f.teamUse[node] = teamUse{at: now, used: used}
	maps.DeleteFunc(f.teamUse, func(_ ident.NodeID, u teamUse) bool { return now.Sub(u.at) > teamUseTTL })
	for team := range used {
		sum := 0.0
		for _, u := range f.teamUse {
			sum += u.used[team]
		}
		if sum >= hotUse {
			f.hotReportedAt[team] = now
		}
	}
}

// reportHot records that teams are near their quotas.
func (f *fleet) reportHot(teams []ident.TeamName, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, team := range teams {
		if f.hotReportedAt != nil {
			f.hotReportedAt[team] = now
		}
	}
}

// hotTeams returns the teams that are hot now, sorted by name. A committed team
// without a report in this term counts as reported now, so that it stays hot
// across a change of leader.
func (f *fleet) hotTeams(committed []ident.TeamName, now time.Time) []ident.TeamName {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, team := range committed {
		if _, known := f.hotReportedAt[team]; !known {
			f.hotReportedAt[team] = now
		}
	}
	var hot []ident.TeamName
	for team, at := range f.hotReportedAt {
		if now.Sub(at) < hotTeamTTL {
			hot = append(hot, team)
		} else {
			delete(f.hotReportedAt, team)
		}
	}
	slices.Sort(hot)
	return hot
}

// commitHotTeams commits the hot teams if they changed.
func (s *Service) commitHotTeams(term uint64) {
	committed := s.machine.HotTeams()
	hot := s.fleet.hotTeams(committed, time.Now())
	if slices.Equal(hot, committed) {
		return
	}
	if _, status := s.proposeIn(term, &machine.Command{SetHotTeams: &machine.SetHotTeams{Teams: hot}}); status.OK() {
		s.publishCommitted()
	}
}
