package pool

import (
	"maps"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

// TickInterval is the interval between a scheduler's ticks while tickets wait.
const TickInterval = 10 * time.Millisecond

const (
	// runningTickInterval is the tick interval while requests run and none wait.
	// It bounds how late expired grants and unresponsive upstreams are detected.
	runningTickInterval = 100 * time.Millisecond
	// idleTickInterval is the tick interval while no request waits or runs.
	idleTickInterval = 500 * time.Millisecond
	// leftRetention is how long a registration of a session that its gateway has left may
	// still arrive.
	leftRetention = 2 * PollTimeout
)

// Master runs one scheduler for one lease epoch. It is safe for concurrent use.
type Master struct {
	pool   ident.PoolName
	epoch  ident.Epoch
	origin time.Time
	stop   chan struct{}
	once   sync.Once

	mu sync.Mutex
	// sessionTimeout is how long a gateway may send nothing before its session
	// ends; zero where leases determine which gateways are live.
	sessionTimeout time.Duration
	sched          scheduler.Scheduler
	sessions       map[ident.NodeID]*session
	// lastHeard is the time of each gateway's latest message.
	lastHeard map[ident.NodeID]time.Time
	// processes holds the process of each gateway whose session began last, and former when
	// another one followed it.
	processes map[ident.NodeID]gatewayProcess
	former    map[formerProcess]time.Time
	// left holds the sessions that gateways have left lately.
	left     map[ident.NodeID]leftSession
	observer Observer
	spread   spread
}

// Observer is notified of what happens to granted requests and to upstreams. It
// feeds the moves between versions and the timeline.
type Observer interface {
	// Granted is called for each new grant, with its ticket.
	Granted(t scheduler.Ticket, g scheduler.Grant)
	// Reported is called for each report on a granted request.
	Reported(r scheduler.Report)
	// Rotated is called for each upstream that is taken out of rotation or put
	// back.
	Rotated(r scheduler.Rotation)
	// RateLimited is called for each change of an upstream's rate limit.
	RateLimited(c scheduler.RateLimitChange)
	// Leaving is called for each upstream that is learnt to leave from an answer.
	Leaving(name ident.UpstreamName)
	// Paused is called for each pause that an upstream asks a gateway for.
	Paused(c scheduler.PauseChange)
	// PoisonChanged is called for each change of the refused parts.
	PoisonChanged(c scheduler.PoisonChange)
	// ColdChanged is called for each upstream that became cold, or is so for longer.
	ColdChanged(c scheduler.ColdChange)
	// RetryChanged is called for each change of the retry budget.
	RetryChanged(c scheduler.RetryChange)
}

type session struct {
	id      Session
	tickets map[ident.RequestID]scheduler.Ticket
	outbox  []scheduler.Decision
	// pauses holds those that the gateway does not know of.
	pauses []scheduler.PauseNotice
	ready  chan struct{}
	// nextSequence is the sequence number of the message that is applied next.
	// Advanced is closed and replaced when it changes.
	nextSequence uint64
	advanced     chan struct{}
	// known is the version of the scheduler's spread that the gateway has.
	known uint64
}

// leftSession is the last session that a gateway had here when it turned to another scheduler.
type leftSession struct {
	Session
	at time.Time
}

// formerProcess is a process of a gateway that another one has followed.
type formerProcess struct {
	gateway     ident.NodeID
	incarnation ident.Incarnation
}

// gatewayProcess is the process of a gateway that opened its latest session, and when it did.
// Incarnations are times of the wall clock, which may have been set back before a start, so they
// don't tell which process came later.
type gatewayProcess struct {
	incarnation ident.Incarnation
	at          time.Time
}

// noteProcess records that a session of a process of a gateway begins. It reports false if
// another process of that gateway has followed it: the message is late.
func (m *Master) noteProcess(id Session) bool {
	if _, isFormer := m.former[formerProcess{id.Gateway, id.Incarnation}]; isFormer {
		return false
	}
	latest, known := m.processes[id.Gateway]
	if known && latest.incarnation != id.Incarnation {
		m.former[formerProcess{id.Gateway, latest.incarnation}] = time.Now()
	}
	m.processes[id.Gateway] = gatewayProcess{incarnation: id.Incarnation, at: time.Now()}
	return true
}

// forgetProcesses forgets those of which no message can be under way any more.
func (m *Master) forgetProcesses() {
	maps.DeleteFunc(m.former, func(_ formerProcess, at time.Time) bool { return time.Since(at) > leftRetention })
	maps.DeleteFunc(m.processes, func(gateway ident.NodeID, p gatewayProcess) bool {
		return m.sessions[gateway] == nil && time.Since(p.at) > leftRetention
	})
}

// wake makes the gateway's poll return.
func (s *session) wake() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// NewMaster starts a scheduler. The caller must stop it when the lease ends.
func NewMaster(pool ident.PoolName, epoch ident.Epoch, build func(now time.Duration) scheduler.Scheduler, observer Observer) *Master {
	m := &Master{
		pool:      pool,
		epoch:     epoch,
		origin:    time.Now(),
		stop:      make(chan struct{}),
		sched:     build(0),
		sessions:  make(map[ident.NodeID]*session),
		lastHeard: make(map[ident.NodeID]time.Time),
		left:      make(map[ident.NodeID]leftSession),
		processes: make(map[ident.NodeID]gatewayProcess),
		former:    make(map[formerProcess]time.Time),
		observer:  observer,
		spread:    spread{limits: make(map[ident.UpstreamName]spreadLimit)},
	}
	go m.run()
	return m
}

// SetSessionTimeout sets how long a gateway may send nothing before its session ends.
// Zero disables the timeout.
func (m *Master) SetSessionTimeout(timeout time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessionTimeout = timeout
}

// Pool returns the pool that the scheduler serves.
func (m *Master) Pool() ident.PoolName { return m.pool }

// Epoch returns the lease epoch of the scheduler.
func (m *Master) Epoch() ident.Epoch { return m.epoch }

// Stop stops the scheduler; it makes no more decisions.
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

// Sessions returns the number of gateways that the scheduler serves.
func (m *Master) Sessions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sessions)
}

// RequestEnds returns the latest ends of upstreams under requests that the scheduler's
// gateways saw.
func (m *Master) RequestEnds() []poison.End {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sched.RequestEnds(time.Since(m.origin))
}

// ClearAnswered passes on what was answered since upstreams had ended under it.
func (m *Master) ClearAnswered(answered poison.Answered) {
	if !answered.IsEmpty() {
		m.do(func(now time.Duration) { m.sched.ClearAnswered(answered, now) })
	}
}

// LastHeardFromOthers returns the time of the latest message from a gateway other than
// self, or the scheduler's start time if there is none. Every gateway polls
// continuously, so an old time means that no other gateway reaches this
// scheduler.
func (m *Master) LastHeardFromOthers(self ident.NodeID) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := m.origin
	for gateway, at := range m.lastHeard {
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
			timer.Reset(m.tickDelay())
		}
	}
}

// tick ends the sessions that timed out and runs the time-driven work of the
// scheduler.
func (m *Master) tick(now time.Duration) {
	for gateway, heard := range m.lastHeard {
		if m.sessionTimeout == 0 || time.Since(heard) <= m.sessionTimeout {
			continue
		}
		m.endSession(gateway, now)
	}
	maps.DeleteFunc(m.left, func(_ ident.NodeID, l leftSession) bool { return time.Since(l.at) > leftRetention })
	m.forgetProcesses()
	m.sched.Tick(now)
	m.spreadChanges()
}

// endSession removes a gateway and its session. The caller holds the lock.
func (m *Master) endSession(gateway ident.NodeID, now time.Duration) {
	delete(m.lastHeard, gateway)
	if s := m.sessions[gateway]; s != nil {
		delete(m.sessions, gateway)
		s.advance()
	}
	m.sched.Depart(gateway, now)
}

// leave ends a session that its gateway has left, or an earlier one. Registrations of these
// that arrive later are refused.
func (m *Master) leave(id Session) {
	m.do(func(now time.Duration) {
		s := m.sessions[id.Gateway]
		if s != nil && !supersedes(id, s.id) || supersedes(m.left[id.Gateway].Session, id) {
			return
		}
		m.left[id.Gateway] = leftSession{Session: id, at: time.Now()}
		if s != nil {
			m.endSession(id.Gateway, now)
		}
	})
}

// tickDelay returns the time until the next tick. A scheduler without waiting
// tickets decides when messages arrive and needs few ticks.
func (m *Master) tickDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.sched.Stats()
	switch {
	case stats.Waiting > 0:
		return TickInterval
	case stats.Running > 0:
		return runningTickInterval
	default:
		return idleTickInterval
	}
}

// do runs one step of the scheduler and distributes its decisions.
func (m *Master) do(step func(now time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Stopped() {
		return
	}
	step(time.Since(m.origin))
	m.distribute()
}
