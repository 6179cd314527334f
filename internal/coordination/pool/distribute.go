package pool

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

// distribute moves new decisions to the outboxes of their gateways. A decision
// for a gateway without a session is dropped: its ticket is part of the next
// registration and is decided again.
func (m *Master) distribute() {
	for _, r := range m.sched.Rotations() {
		if m.observer != nil {
			m.observer.Rotated(r)
		}
	}
	for _, c := range m.sched.RateLimitChanges() {
		m.spread.addLimit(c, time.Now())
		if m.observer != nil {
			m.observer.RateLimited(c)
		}
	}
	for _, name := range m.sched.LeavingChanges() {
		m.spread.addLeaving(name)
		if m.observer != nil {
			m.observer.Leaving(name)
		}
	}
	for _, c := range m.sched.PauseChanges() {
		if s := m.sessions[c.Gateway]; s != nil && c.Relayed {
			s.pauses = append(s.pauses, c.PauseNotice)
			s.wake()
		}
		if m.observer != nil {
			m.observer.Paused(c)
		}
	}
	for _, c := range m.sched.PoisonChanges() {
		if c.Record != nil {
			m.spread.addRecord(*c.Record)
		}
		if m.observer != nil {
			m.observer.PoisonChanged(c)
		}
	}
	for _, c := range m.sched.ColdChanges() {
		m.spread.addCold(c, time.Now())
		if m.observer != nil {
			m.observer.ColdChanged(c)
		}
	}
	for _, c := range m.sched.RetryChanges() {
		if m.observer != nil {
			m.observer.RetryChanged(c)
		}
	}
	for _, d := range m.sched.Decisions() {
		s := m.sessions[d.Gateway]
		if s == nil {
			continue
		}
		m.trackDecision(s, d)
		s.outbox = append(s.outbox, d)
		s.wake()
	}
}

func (m *Master) trackDecision(s *session, d scheduler.Decision) {
	if d.Refusal != nil {
		delete(s.tickets, d.Refusal.Ticket)
		return
	}
	t, ok := s.tickets[d.Grant.Ticket]
	if ok && m.observer != nil {
		m.observer.Granted(t, *d.Grant)
	}
}
