package pool

import (
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TickInterval is the time between two looks of a scheduler at its clocks.
const TickInterval = 10 * time.Millisecond

const (
	// quietTick is the same while nothing waits: grants that lapse and upstreams
	// that fall silent are looked for at least so often.
	quietTick = 100 * time.Millisecond
	// idleTick is the same while nothing runs either.
	idleTick = 500 * time.Millisecond
)

// Master runs one scheduler for one lease epoch. It is safe for concurrent use.
type Master struct {
	pool   ident.PoolName
	epoch  ident.Epoch
	origin time.Time
	stop   chan struct{}
	once   sync.Once

	mu sync.Mutex
	// silence is how long a gateway may send nothing before its session ends;
	// zero where leases tell which gateways live.
	silence  time.Duration
	sched    scheduler.Scheduler
	sessions map[ident.NodeID]*session
	// heard is when each gateway's latest message came.
	heard    map[ident.NodeID]time.Time
	observer Observer
}

// Observer learns what happens to granted requests and to upstreams; it feeds moves
// of versions and the time line.
type Observer interface {
	// Granted tells of each new grant with its ticket.
	Granted(t scheduler.Ticket, g scheduler.Grant)
	// Reported tells of each report on a granted request.
	Reported(r scheduler.Report)
	// Rotated tells of each upstream that was taken out of rotation or back.
	Rotated(r scheduler.Rotation)
}

type session struct {
	id      Session
	tickets map[ident.RequestID]scheduler.Ticket
	outbox  []scheduler.Decision
	ready   chan struct{}
	// next is the sequence of the message that takes effect next; turn is
	// closed and replaced when it changes.
	next uint64
	turn chan struct{}
}

// NewMaster starts a scheduler. The caller stops it when the lease ends.
func NewMaster(pool ident.PoolName, epoch ident.Epoch, build func(now time.Duration) scheduler.Scheduler, observer Observer) *Master {
	m := &Master{
		pool:     pool,
		epoch:    epoch,
		origin:   time.Now(),
		stop:     make(chan struct{}),
		sched:    build(0),
		sessions: make(map[ident.NodeID]*session),
		heard:    make(map[ident.NodeID]time.Time),
		observer: observer,
	}
	go m.run()
	return m
}

// SetSilence ends the sessions of gateways that send nothing for so long.
func (m *Master) SetSilence(bound time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silence = bound
}

// Pool returns the pool that the scheduler serves.
func (m *Master) Pool() ident.PoolName { return m.pool }

// Epoch returns the lease epoch of the scheduler.
func (m *Master) Epoch() ident.Epoch { return m.epoch }

// Stop ends the scheduler; it decides nothing more.
func (m *Master) Stop() {
	m.once.Do(func() { close(m.stop) })
}

// Stopped reports whether Stop was called.
func (m *Master) Stopped() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}

// SetView passes a new view to the scheduler.
func (m *Master) SetView(v scheduler.View) {
	m.do(func(now time.Duration) { m.sched.SetView(v, now) })
}

// Load passes an upstream's load report to the scheduler.
func (m *Master) Load(r scheduler.LoadReport) {
	m.do(func(now time.Duration) { m.sched.Load(r, now) })
}

// Cache passes an upstream's cache event to the scheduler.
func (m *Master) Cache(e scheduler.CacheEvent) {
	m.do(func(now time.Duration) { m.sched.Cache(e, now) })
}

// Stats returns the scheduler's counters.
func (m *Master) Stats() scheduler.Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sched.Stats()
}

// HeardOther returns when the latest message of a gateway other than self came,
// or when the scheduler began. Every gateway polls without a pause.
func (m *Master) HeardOther(self ident.NodeID) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := m.origin
	for gateway, at := range m.heard {
		if gateway != self && at.After(latest) {
			latest = at
		}
	}
	return latest
}

func (m *Master) run() {
	timer := time.NewTimer(TickInterval)
	defer timer.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-timer.C:
			m.do(m.tick)
			timer.Reset(m.pause())
		}
	}
}

// tick ends silent sessions and lets the scheduler do its time-driven work.
func (m *Master) tick(now time.Duration) {
	for gateway, heard := range m.heard {
		if m.silence == 0 || time.Since(heard) <= m.silence {
			continue
		}
		m.endSession(gateway, now)
	}
	m.sched.Tick(now)
}

// endSession drops what is known of a gateway. The caller holds the lock.
func (m *Master) endSession(gateway ident.NodeID, now time.Duration) {
	delete(m.heard, gateway)
	if s := m.sessions[gateway]; s != nil {
		delete(m.sessions, gateway)
		s.advance()
	}
	m.sched.Depart(gateway, now)
}

// leave ends a session that its gateway gave up. A later session stays.
func (m *Master) leave(id Session) {
	m.do(func(now time.Duration) {
		if s := m.sessions[id.Gateway]; s != nil && s.id == id {
			m.endSession(id.Gateway, now)
		}
	})
}

// pause is the time until the next tick. A scheduler without waiting tickets
// decides when messages come and needs few ticks.
func (m *Master) pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.sched.Stats()
	switch {
	case stats.Waiting > 0:
		return TickInterval
	case stats.Running > 0:
		return quietTick
	default:
		return idleTick
	}
}

// do runs one step of the scheduler and hands out its decisions.
func (m *Master) do(step func(now time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Stopped() {
		return
	}
	step(time.Since(m.origin))
	m.distribute()
}

// distribute moves new decisions to the outboxes of their gateways. A decision
// for a gateway without a session is dropped: its ticket comes back with the
// next registration and is answered again.
func (m *Master) distribute() {
	for _, r := range m.sched.Rotations() {
		if m.observer != nil {
			m.observer.Rotated(r)
		}
	}
	for _, d := range m.sched.Decisions() {
		s := m.sessions[d.Gateway]
		if s == nil {
			continue
		}
		m.noteGrant(s, d)
		s.outbox = append(s.outbox, d)
		select {
		case s.ready <- struct{}{}:
		default:
		}
	}
}

func (m *Master) noteGrant(s *session, d scheduler.Decision) {
	if d.Refusal != nil {
		delete(s.tickets, d.Refusal.Ticket)
		return
	}
	t, ok := s.tickets[d.Grant.Ticket]
	if ok && m.observer != nil {
		m.observer.Granted(t, *d.Grant)
	}
}

// submit takes a message in at its turn. A message whose predecessor was lost
// waits until the gateway registers anew, and is refused then.
func (m *Master) submit(args *SubmitArgs) Reply {
	timeout := time.NewTimer(CallTimeout)
	defer timeout.Stop()
	for {
		reply, turn := m.submitInTurn(args)
		if turn == nil {
			return reply
		}
		select {
		case <-turn:
		case <-m.stop:
		case <-timeout.C:
			return Reply{Refused: true}
		}
	}
}

// submitInTurn takes the message in, or returns a channel that is closed when
// the session's next turn comes.
func (m *Master) submitInTurn(args *SubmitArgs) (Reply, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Stopped() {
		return Reply{Refused: true}, nil
	}
	m.heard[args.Session.Gateway] = time.Now()
	now := time.Since(m.origin)
	s := m.session(args, now)
	if s == nil || args.Sequence < s.next {
		return Reply{Refused: true}, nil
	}
	if args.Sequence > s.next {
		return Reply{}, s.turn
	}
	s.advance()
	return m.takeIn(s, args, now), nil
}

// takeIn gives the scheduler what a message says and returns the decisions at
// hand.
func (m *Master) takeIn(s *session, args *SubmitArgs, now time.Duration) Reply {
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
	return Reply{Decisions: s.take()}
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

// session returns the gateway's session, opening it when args register.
func (m *Master) session(args *SubmitArgs, now time.Duration) *session {
	s := m.sessions[args.Session.Gateway]
	if s != nil && s.id == args.Session {
		return s
	}
	if args.Register == nil || s != nil && supersedes(s.id, args.Session) {
		return nil
	}
	s = &session{
		id:      args.Session,
		tickets: make(map[ident.RequestID]scheduler.Ticket),
		ready:   make(chan struct{}, 1),
		turn:    make(chan struct{}),
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

// supersedes reports whether a known session is newer than one that registers.
func supersedes(known, offered Session) bool {
	return known.Incarnation == offered.Incarnation && known.Number >= offered.Number
}

// advance lets the next message take its turn.
func (s *session) advance() {
	s.next++
	close(s.turn)
	s.turn = make(chan struct{})
}

func (s *session) take() []scheduler.Decision {
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
	m.heard[args.Session.Gateway] = time.Now()
	s := m.sessions[args.Session.Gateway]
	if m.Stopped() || s == nil || s.id != args.Session {
		return nil, Reply{Refused: true}, true
	}
	if out := s.take(); len(out) > 0 {
		return s, Reply{Decisions: out}, true
	}
	return s, Reply{}, false
}
