package pool

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// submit applies a message when the preceding messages of its session have been
// applied. A message whose predecessor was lost waits until the gateway registers
// again or until CallTimeout, and is then refused.
func (m *Master) submit(args *SubmitArgs) Reply {
	reply, advanced := m.trySubmit(args)
	if advanced == nil {
		return reply
	}
	timeout := time.NewTimer(CallTimeout)
	defer timeout.Stop()
	for ; advanced != nil; reply, advanced = m.trySubmit(args) {
		select {
		case <-advanced:
		case <-m.stop:
		case <-timeout.C:
			return Reply{Refused: true}
		}
	}
	return reply
}

// trySubmit applies the message if it is the next of its session. Otherwise it
// returns a channel that is closed when the session advances.
func (m *Master) trySubmit(args *SubmitArgs) (Reply, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Stopped() {
		return Reply{Refused: true}, nil
	}
	m.lastHeard[args.Session.Gateway] = time.Now()
	now := time.Since(m.origin)
	s := m.session(args, now)
	if s == nil || args.Sequence < s.nextSequence {
		return Reply{Refused: true}, nil
	}
	if args.Sequence > s.nextSequence {
		return Reply{}, s.advanced
	}
	s.advance()
	return m.applyMessage(s, args, now), nil
}

// applyMessage passes the contents of a message to the scheduler and returns the
// pending decisions for the gateway.
func (m *Master) applyMessage(s *session, args *SubmitArgs, now time.Duration) Reply {
	for _, r := range args.Reports {
		m.report(s, r, now)
	}
	for _, id := range args.Cancels {
		delete(s.tickets, id)
		m.sched.Cancel(id, now)
	}
	for _, t := range args.Tickets {
		s.tickets[t.ID] = t
		m.sched.Submit(t, now)
	}
	m.distribute()
	return m.reply(s)
}

func (m *Master) report(s *session, r scheduler.Report, now time.Duration) {
	m.sched.Report(r, now)
	if m.observer != nil {
		m.observer.Reported(r)
	}
	switch r.Kind {
	case scheduler.ReportEnded, scheduler.ReportFailed, scheduler.ReportDropped, scheduler.ReportUnknown, scheduler.ReportOverdue:
		delete(s.tickets, r.Ticket)
	}
}

// session returns the gateway's session. It opens a session if args contain a
// registration, and returns nil if args belong to another session than the
// current one.
func (m *Master) session(args *SubmitArgs, now time.Duration) *session {
	s := m.sessions[args.Session.Gateway]
	if s != nil && s.id == args.Session {
		return s
	}
	if args.Register == nil || s != nil && supersedes(s.id, args.Session) || supersedes(m.left[args.Session.Gateway].Session, args.Session) {
		return nil
	}
	if !m.noteProcess(args.Session) {
		return nil
	}
	s = &session{
		id:       args.Session,
		tickets:  make(map[ident.RequestID]scheduler.Ticket),
		ready:    make(chan struct{}, 1),
		advanced: make(chan struct{}),
	}
	for _, t := range args.Register.Waiting {
		s.tickets[t.ID] = t
	}
	for _, r := range args.Register.Running {
		s.tickets[r.Ticket.ID] = r.Ticket
	}
	if former := m.sessions[args.Session.Gateway]; former != nil {
		former.advance()
	}
	m.sessions[args.Session.Gateway] = s
	m.sched.Register(*args.Register, now)
	return s
}

// supersedes reports whether the known session is the offered one or a newer one
// of the same incarnation.
func supersedes(known, offered Session) bool {
	return known.Incarnation == offered.Incarnation && known.Number >= offered.Number
}

// advance lets the next message of the session be applied.
func (s *session) advance() {
	s.nextSequence++
	close(s.advanced)
	s.advanced = make(chan struct{})
}

func (s *session) takeOutbox() []scheduler.Decision {
	out := s.outbox
	s.outbox = nil
	return out
}

func (m *Master) poll(args *PollArgs) Reply {
	timer := time.NewTimer(PollHold)
	defer timer.Stop()
	for {
		s, reply, done := m.pollOnce(args)
		if done {
			return reply
		}
		select {
		case <-s.ready:
		case <-timer.C:
			return Reply{}
		case <-m.stop:
			return Reply{Refused: true}
		}
	}
}

func (m *Master) pollOnce(args *PollArgs) (*session, Reply, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastHeard[args.Session.Gateway] = time.Now()
	s := m.sessions[args.Session.Gateway]
	if m.Stopped() || s == nil || s.id != args.Session {
		return nil, Reply{Refused: true}, true
	}
	reply := m.reply(s)
	return s, reply, !reply.isEmpty()
}
