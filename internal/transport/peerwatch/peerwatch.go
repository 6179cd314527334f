// Package peerwatch observes the processes behind answers that end with their connections.
// The kernel closes the connections of a process that was killed in the same way as the
// process does after a whole answer. A sentinel connection, which carries no answer and is kept
// open while such answers run, tells the two apart: it stays open as long as its process runs.
package peerwatch

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// retention is how long a process is watched after the last answer that it was watched
	// for.
	retention = time.Second
	// pollInterval is the time between two connections that show whether a leaving process
	// still accepts them.
	pollInterval = 250 * time.Millisecond
	// identifyInterval is the longest time between two questions who accepts the connections
	// of a leaving process. They are requests, of which a process may take few; the first ones
	// follow each other sooner, as a process hands its listener over when it begins to leave.
	identifyInterval = 2 * time.Second
	// maxBackoff is the number of times that the interval doubles while connections fail or
	// are closed at once: the process may accept no more of them for now.
	maxBackoff = 4
	// tickInterval is the time between two looks at what is to be done.
	tickInterval = 50 * time.Millisecond
	// dialTimeout bounds one connection, and identifyTimeout the question who accepted it.
	dialTimeout     = 700 * time.Millisecond
	identifyTimeout = 250 * time.Millisecond
	// maxPeers bounds the processes that are watched at a time, and maxEvents the ends and
	// refusals that are kept of each.
	maxPeers  = 512
	maxEvents = 32
)

// ErrRefused is wrapped by the error of a dial if nothing listens at the address.
var ErrRefused = errors.New("nothing accepts connections there")

// Identity says whether a connection leads to the process that is watched.
type Identity uint8

const (
	// IdentityUnknown means that the process at the other end did not say.
	IdentityUnknown Identity = iota
	// IdentitySame means that it is the one watched, and IdentityOther that it isn't.
	IdentitySame
	IdentityOther
)

// Peer is a process to watch.
type Peer struct {
	// Name tells this process from others, those at the same address included.
	Name string
	// Dial connects to its address.
	Dial func(ctx context.Context) (net.Conn, error)
	// Identify, if set, asks over a connection who accepted it. The connection stays usable.
	Identify func(ctx context.Context, conn net.Conn) Identity
	// Leaving reports whether the process is known to stop soon; nil if that is never known.
	Leaving func() bool
}

// Watcher watches processes. It is safe for concurrent use.
type Watcher struct {
	mu     sync.Mutex
	peers  map[string]*watchedPeer
	closed bool
	dialed uint64
}

// New returns a Watcher that watches nothing yet.
func New() *Watcher { return &Watcher{peers: make(map[string]*watchedPeer)} }

// Dialed returns the number of connections that were made.
func (w *Watcher) Dialed() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dialed
}

// Close ends the watching of all processes.
func (w *Watcher) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, p := range w.peers {
		p.stop()
	}
}

// Watch watches a process from the beginning of one of its answers, whose body follows, until
// the answer is released. It never blocks.
func (w *Watcher) Watch(p Peer) *Answer {
	a := &Answer{watcher: w, began: time.Now(), leavingAtStart: p.Leaving != nil && p.Leaving()}
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.peers[p.Name]
	if q == nil {
		if w.closed || len(w.peers) >= maxPeers {
			return a
		}
		ctx, stop := context.WithCancel(context.Background())
		q = &watchedPeer{Peer: p, watcher: w, stop: stop, wake: make(chan struct{}, 1)}
		w.peers[p.Name] = q
		go q.run(ctx)
	}
	q.answers++
	if q.stopped {
		// The answer comes after connections were refused: that is seen anew.
		q.stopped, q.nextDial = false, time.Time{}
		q.wakeUp()
	}
	a.peer = q
	return a
}

// watchedPeer is a process that is watched. The watcher's lock guards what follows wake.
type watchedPeer struct {
	Peer
	watcher *Watcher
	stop    context.CancelFunc
	wake    chan struct{}

	// answers counts those that are not released, and released is when the last one was.
	answers  int
	released time.Time
	// sentinel is the connection that is kept open; nil if there is none.
	sentinel *sentinelConn
	dials    int
	// leavingSince is when the process was first known to stop soon; zero if it isn't.
	leavingSince time.Time
	// nextDial is the earliest time of the next connection. None is made while stopped: the
	// process accepts no more.
	nextDial time.Time
	stopped  bool
	// failures counts the connections in a row that failed or were closed at once.
	failures int
	// nextIdentify is the earliest time of the next question who accepts the connections of a
	// leaving process, and identifyPause the time between the last one and that.
	nextIdentify  time.Time
	identifyPause time.Duration
	// ends holds the sentinels that have ended, refusals the times at which the process was
	// seen to accept no more, and answerEnds the ends of answers.
	ends       []sentinelEnd
	refusals   []time.Time
	answerEnds []answerEnd
}

// sentinelConn is a connection that carries no answer.
type sentinelConn struct {
	net.Conn
	opened time.Time
	// identified is true if the process has said that it is the one watched.
	identified bool
}

// sentinelEnd is the end of a sentinelConn.
type sentinelEnd struct{ opened, at time.Time }

// wakeUp makes run look at what is to be done. The caller holds the lock.
func (q *watchedPeer) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run keeps a sentinel open, and checks whether a leaving process still accepts others.
func (q *watchedPeer) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer q.end()
	for {
		leaving := q.Leaving != nil && q.Leaving()
		isDue, isOver := q.due(time.Now(), leaving)
		if isOver {
			return
		}
		if isDue {
			q.dial(ctx, leaving)
		}
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-tick.C:
		}
	}
}

// due reports whether a connection is to be made now, and whether the watch is over.
func (q *watchedPeer) due(now time.Time, leaving bool) (isDue, isOver bool) {
	q.watcher.mu.Lock()
	defer q.watcher.mu.Unlock()
	switch {
	case !leaving:
		q.leavingSince = time.Time{}
	case q.leavingSince.IsZero():
		q.leavingSince = now
	}
	if q.answers == 0 {
		if now.Sub(q.released) > retention {
			delete(q.watcher.peers, q.Name)
			return false, true
		}
		return false, false
	}
	return !q.stopped && !now.Before(q.nextDial) && (q.sentinel == nil || leaving), false
}

// end closes the sentinel.
func (q *watchedPeer) end() {
	q.stop()
	q.watcher.mu.Lock()
	sentinel := q.sentinel
	q.sentinel = nil
	q.watcher.mu.Unlock()
	if sentinel != nil {
		_ = sentinel.Close()
	}
}

// dial makes a connection and records what it shows. It becomes the sentinel if there is none.
func (q *watchedPeer) dial(ctx context.Context, leaving bool) {
	w := q.watcher
	w.mu.Lock()
	q.dials++
	w.dialed++
	mustIdentify := q.sentinel == nil && q.dials > 1
	if now := time.Now(); leaving && !now.Before(q.nextIdentify) {
		mustIdentify = true
		q.identifyPause = min(max(2*q.identifyPause, pollInterval), identifyInterval)
		q.nextIdentify = now.Add(q.identifyPause)
	}
	w.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := q.Dial(dialCtx)
	cancel()
	opened := time.Now()
	identity := IdentityUnknown
	if err == nil && mustIdentify && q.Identify != nil {
		identifyCtx, cancel := context.WithTimeout(ctx, identifyTimeout)
		identity = q.Identify(identifyCtx, conn)
		cancel()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	q.nextDial = time.Now().Add(pollInterval)
	if err != nil {
		q.backOff()
	}
	switch {
	case errors.Is(err, ErrRefused), err == nil && identity == IdentityOther:
		q.refusals = keep(q.refusals, opened)
		q.stopped = true
	case err == nil && q.sentinel == nil && ctx.Err() == nil:
		q.sentinel = &sentinelConn{Conn: conn, opened: opened, identified: identity == IdentitySame}
		go q.awaitEnd(q.sentinel)
		return
	}
	if err == nil {
		_ = conn.Close()
	}
}

// awaitEnd records the end of a sentinel. Bytes that come on it are no answer to anything,
// and say that it is about to be closed.
func (q *watchedPeer) awaitEnd(c *sentinelConn) {
	var unasked [1]byte
	_, _ = c.Read(unasked[:])
	at := time.Now()
	_ = c.Close()
	q.watcher.mu.Lock()
	defer q.watcher.mu.Unlock()
	if q.sentinel != c {
		return
	}
	q.sentinel = nil
	q.ends = keep(q.ends, sentinelEnd{opened: c.opened, at: at})
	switch lived := at.Sub(c.opened); {
	case lived <= settled:
		q.backOff()
	case lived > pollInterval:
		// The listener may have been closed with it.
		q.nextDial, q.failures = at, 0
	}
	q.wakeUp()
}

// backOff delays the next connection after one that failed. The caller holds the lock.
func (q *watchedPeer) backOff() {
	q.nextDial = time.Now().Add(pollInterval << min(q.failures, maxBackoff))
	q.failures++
}

// keep adds an element to a list of at most maxEvents, of which the oldest yields.
func keep[T any](list []T, element T) []T {
	if len(list) >= maxEvents {
		list = append(list[:0], list[1:]...)
	}
	return append(list, element)
}
