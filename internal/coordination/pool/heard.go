package pool

import (
	"maps"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Heard returns when each gateway that has a session here last sent a message.
func (m *Master) Heard() map[ident.NodeID]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.lastHeard)
}
