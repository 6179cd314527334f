package arrival

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
)

// wrapped is a connection within a wrapper.
type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

func listen(t *testing.T, pauses *Pauses) (l *Listener, connect func()) {
	t.Helper()
	below, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = below.Close() })
	return NewListener(below.(*net.TCPListener), pauses), func() {
		conn, err := net.Dial("tcp4", below.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// accept returns the context of the next connection.
func accept(t *testing.T, l *Listener) context.Context {
	t.Helper()
	conn, err := l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return Context(t.Context(), wrapped{conn})
}

// TestListener_ConnectionsDuringPause guards against taking what was sent to a frozen process for
// sent after it was woken up.
func TestListener_ConnectionsDuringPause(t *testing.T) {
	pauses := &Pauses{}
	l, connect := listen(t, pauses)
	stopped := boottime.Now()
	pauses.Tick(stopped)
	connect()
	connect()
	time.Sleep(tolerance + TickInterval)

	// The first one is accepted before the process has noticed the pause.
	must.LessEq(t, stopped, SentAfter(accept(t, l)))
	pauses.Tick(boottime.Now())
	must.LessEq(t, stopped, SentAfter(accept(t, l)))

	awake := boottime.Now()
	pauses.Tick(awake)
	connect()
	must.Greater(t, awake, SentAfter(accept(t, l)))
}

// TestListener_FirstToNoticePause guards against a pause that a connection shows before the next
// tick does, and that then counts against connections made after it.
func TestListener_FirstToNoticePause(t *testing.T) {
	pauses := &Pauses{}
	l, connect := listen(t, pauses)
	stopped := boottime.Now()
	pauses.Tick(stopped)
	connect()
	time.Sleep(tolerance + TickInterval)
	must.LessEq(t, stopped, SentAfter(accept(t, l)))
	pauses.Tick(boottime.Now())
	time.Sleep(time.Millisecond)
	awake := boottime.Now()
	connect()
	must.Greater(t, awake, SentAfter(accept(t, l)))
}

// TestListener_ConnectionAfterUnnoticedQueue guards against a pause that is forgotten while
// connections from its time still wait to be accepted.
func TestListener_ConnectionAfterUnnoticedQueue(t *testing.T) {
	pauses := &Pauses{}
	l, connect := listen(t, pauses)
	stopped := boottime.Now()
	pauses.Tick(stopped)
	connect()
	time.Sleep(tolerance + TickInterval)
	for range 3 {
		pauses.Tick(boottime.Now())
		time.Sleep(TickInterval)
	}
	must.LessEq(t, stopped, SentAfter(accept(t, l)))
}

// TestListener_ConnectionLongAfterPause guards against a pause in which no connection came, and that
// counts against the first one after it.
func TestListener_ConnectionLongAfterPause(t *testing.T) {
	pauses := &Pauses{}
	l, connect := listen(t, pauses)
	stopped := boottime.Now()
	pauses.Tick(stopped)
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, _ := l.Accept()
		accepted <- conn
	}()
	time.Sleep(tolerance + TickInterval)
	for range 3 {
		pauses.Tick(boottime.Now())
		time.Sleep(TickInterval)
	}
	awake := boottime.Now()
	for range 5 {
		pauses.Tick(boottime.Now())
		time.Sleep(TickInterval)
	}
	connect()
	conn := <-accepted
	must.NotNil(t, conn)
	defer conn.Close()
	must.Greater(t, awake, SentAfter(Context(t.Context(), conn)))
}

// TestListener_Closed checks that a listener that is closed stops accepting.
func TestListener_Closed(t *testing.T) {
	l, _ := listen(t, &Pauses{})
	closed := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		closed <- err
	}()
	time.Sleep(2 * TickInterval)
	must.NoError(t, l.Close())
	must.ErrorIs(t, <-closed, net.ErrClosed)
}

// TestHandler_NextRequest guards against orders on kept connections that are never taken for new.
func TestHandler_NextRequest(t *testing.T) {
	pauses := &Pauses{}
	pauses.Tick(boottime.Now())
	l, connect := listen(t, pauses)
	connect()
	ctx := accept(t, l)
	established := SentAfter(ctx)
	must.Positive(t, established)
	var began, answered time.Duration
	serve := func(answer bool) {
		time.Sleep(time.Millisecond)
		Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			began = boottime.Now()
			if answer {
				time.Sleep(time.Millisecond)
				Answering(ctx)
				answered = boottime.Now()
			}
		})).ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil))
	}
	serve(false)
	first := SentAfter(ctx)
	must.Between(t, established+1, first, began)
	serve(true)
	must.Between(t, began+1, SentAfter(ctx), answered)
	must.Zero(t, SentAfter(t.Context()))
	Answering(t.Context())
}

// TestPauses_StoppedAt checks which pause counts, also when there were more than are kept.
func TestPauses_StoppedAt(t *testing.T) {
	s := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	p := &Pauses{}
	must.Eq(t, s(7), p.stoppedAt(s(1), s(7)))
	for _, at := range []float64{10, 10.1, 12, 12.3, 20, 20.1} {
		p.Tick(s(at))
	}
	must.Eq(t, s(10.1), p.stoppedAt(s(5), s(20.2)))
	must.Eq(t, s(11), p.stoppedAt(s(11), s(20.2)))
	must.Eq(t, s(12.3), p.stoppedAt(s(12), s(20.2)))
	must.Eq(t, s(20.2), p.stoppedAt(s(20.05), s(20.2)))
	must.Eq(t, s(20.2), p.stoppedAt(s(20.05), s(21)))
	must.Eq(t, s(21.1), p.stoppedAt(s(21), s(21.1)))
	for i := range 2 * maxPauses {
		p.Tick(s(30 + float64(i)))
	}
	must.SliceLen(t, maxPauses, p.recent)
	must.Eq(t, s(10.1), p.stoppedAt(s(5), s(100)))
	must.Eq(t, s(60), p.stoppedAt(s(60), s(100)))
}
