package scheduler

import (
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TeamUsage is what a gateway has sent for one team, in tokens. Recent[0] was
// sent in the current step of the gateway's usage log, and Recent[i] in the step
// that ended more than i-1 and at most i steps ago.
type TeamUsage struct {
	Team   ident.TeamName
	Recent []float64
}

// UsageLog records what a gateway itself has sent, for the schedulers that it
// registers with. It is safe for concurrent use.
type UsageLog struct {
	mu    sync.Mutex
	began time.Time
	teams map[ident.TeamName]*[usageSteps]float64
	// step is the number of the current step since began.
	step int64
}

const (
	// usageStep is the length of one step of a usage log. It is a small fraction
	// of the windows in which quotas are counted (8 s on the first platform).
	usageStep = 250 * time.Millisecond
	// usageSteps is the number of steps that a usage log keeps: 16 s.
	usageSteps = 64
)

// NewUsageLog returns an empty log that starts now.
func NewUsageLog(now time.Time) *UsageLog {
	return &UsageLog{began: now, teams: make(map[ident.TeamName]*[usageSteps]float64)}
}

// Record adds the tokens of a request that the gateway sends now.
func (l *UsageLog) Record(team ident.TeamName, tokens float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slide(now)
	t := l.teams[team]
	if t == nil {
		t = &[usageSteps]float64{}
		l.teams[team] = t
	}
	t[l.step%usageSteps] += tokens
}

func (l *UsageLog) slide(now time.Time) {
	step := int64(now.Sub(l.began) / usageStep)
	l.step = max(l.step, step-usageSteps)
	for l.step < step {
		l.step++
		for _, t := range l.teams {
			t[l.step%usageSteps] = 0
		}
	}
}

// Recent returns what was sent by team and step, and how long the log has been
// kept.
func (l *UsageLog) Recent(now time.Time) (sent []TeamUsage, uptime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slide(now)
	for name, t := range l.teams {
		recent := make([]float64, min(usageSteps, l.step+1))
		for ago := range recent {
			recent[ago] = t[(l.step-int64(ago))%usageSteps]
		}
		sent = append(sent, TeamUsage{Team: name, Recent: recent})
	}
	return sent, now.Sub(l.began)
}
