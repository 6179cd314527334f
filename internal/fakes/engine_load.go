package fakes

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
)

// loadReports returns load reports that are at least lag old. A negative lag means
// current reports.
type loadReports struct {
	lag time.Duration

	mu       sync.Mutex
	reported upstreamapi.Load
	latest   upstreamapi.Load
}

// report returns the report to send, given the current load. Until the first lag
// has passed, it is the first report, whatever its age.
func (l *loadReports) report(now upstreamapi.Load) upstreamapi.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lag < 0 {
		return now
	}
	if l.latest.TakenAt.IsZero() {
		l.reported, l.latest = now, now
	}
	if now.TakenAt.Sub(l.latest.TakenAt) >= l.lag {
		l.reported, l.latest = l.latest, now
	}
	return l.reported
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	running, waiting := e.batch.sizes()
	writeJSON(w, http.StatusOK, e.load.report(upstreamapi.Load{
		Running:   running,
		Waiting:   waiting,
		CacheUsed: e.cache.used(),
		TakenAt:   time.Now(),
		Versions:  e.versions.list(),
	}))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
