package peerwatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
)

// TestEnding_InStep checks which ends a process chooses.
func TestEnding_InStep(t *testing.T) {
	began := time.Now()
	const tick = 4 * time.Millisecond
	for _, c := range []struct {
		after, pause, precision time.Duration
		want                    bool
		telling                 bool
	}{
		{0, 0, 0, true, true},
		{3 * time.Millisecond, 0, 0, true, true},
		{8 * time.Millisecond, 0, 0, false, true},
		{50 * time.Millisecond, 100 * time.Millisecond, 0, false, true},
		{101 * time.Millisecond, 100 * time.Millisecond, 0, true, true},
		{104 * time.Millisecond, 100 * time.Millisecond, 0, false, true},
		{300 * time.Millisecond, 100 * time.Millisecond, 0, false, true},
		{71 * time.Millisecond, 71 * time.Millisecond, 0, true, false},
		{72 * time.Millisecond, 72 * time.Millisecond, 0, true, true},
		{3 * time.Millisecond, 60 * time.Millisecond, 0, true, true},
		{1 * time.Millisecond, 20 * time.Millisecond, 0, true, true},
		{3 * time.Millisecond, 20 * time.Millisecond, 0, true, false},
		{21 * time.Millisecond, 20 * time.Millisecond, 0, true, false},
		{3 * time.Millisecond, 8 * time.Millisecond, 0, true, false},
		// Times of the kernel.
		{0, 48 * time.Millisecond, tick, true, true},
		{0, 47 * time.Millisecond, tick, true, false},
		{4 * time.Millisecond, 96 * time.Millisecond, tick, true, true},
		{4 * time.Millisecond, 95 * time.Millisecond, tick, true, false},
		{143 * time.Millisecond, 143 * time.Millisecond, tick, true, false},
		{144 * time.Millisecond, 144 * time.Millisecond, tick, true, true},
		{0, 500 * time.Millisecond, tick, true, true},
		{4 * time.Millisecond, 500 * time.Millisecond, tick, true, true},
		{8 * time.Millisecond, 500 * time.Millisecond, tick, false, true},
		{104 * time.Millisecond, 100 * time.Millisecond, tick, true, false},
		{108 * time.Millisecond, 100 * time.Millisecond, tick, false, false},
		{10 * time.Millisecond, 500 * time.Millisecond, 10 * time.Millisecond, true, true},
		{0, 20 * time.Millisecond, tick, true, false},
	} {
		e := Ending{At: began.Add(c.after), LastData: began, Pause: c.pause, Precision: c.precision}
		must.Eq(t, c.want, e.isInStep(), must.Sprintf("%+v", c))
		must.Eq(t, c.telling, e.isTelling(), must.Sprintf("%+v", c))
	}
}

// TestEnding_ReadLate guards against cut answers taken for whole, and whole ones for cut, since a
// busy machine reads their last bytes or their end late.
func TestEnding_ReadLate(t *testing.T) {
	const tick, pause = 4 * time.Millisecond, 100 * time.Millisecond
	sent := time.Now()
	for name, c := range map[string]struct {
		// read and noticed are how late the last bytes and the end were read, gap is when the end came
		// after the last bytes, and endDelay how late a relay noticed that.
		read, noticed, gap, endDelay time.Duration
		want                         bool
	}{
		"whole, read at once":                   {0, 0, 0, 0, true},
		"whole, both read late":                 {50 * time.Millisecond, 50 * time.Millisecond, 0, 0, true},
		"whole, its end read late":              {0, 30 * time.Millisecond, 0, 0, true},
		"whole, its end read one pause late":    {0, pause, 0, 0, true},
		"whole, the relay late with its end":    {0, 30 * time.Millisecond, 0, 30 * time.Millisecond, true},
		"cut, read at once":                     {0, 0, pause / 2, 0, false},
		"cut, read with its end":                {pause / 2, 0, pause / 2, 0, false},
		"cut, both read late":                   {pause, pause / 2, pause / 2, 0, false},
		"cut, its end read one pause after":     {0, pause / 2, pause / 2, 0, false},
		"cut, the relay late, one pause after":  {0, pause / 2, pause / 2, pause / 2, false},
		"cut, read late and the relay late too": {pause / 4, pause / 4, pause / 2, pause / 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := Ending{LastData: sent.Add(c.read), At: sent.Add(c.gap + c.noticed), Pause: pause}
			came := sent.Add(c.gap + c.endDelay)
			e.correct(came.Add(-c.gap), came, tick)
			must.Eq(t, c.want, e.isInStep(), must.Sprintf("%s after", e.At.Sub(e.LastData)))
		})
	}
}

// TestPace_ReadLate checks that the time between the last bytes and the end is that of their arrival,
// and that an end counts as one at any moment where that can't be told any more.
func TestPace_ReadLate(t *testing.T) {
	const gap, pause = 50 * time.Millisecond, 100 * time.Millisecond
	for name, c := range map[string]struct {
		late, gap       time.Duration
		inStep, unknown bool
	}{
		"whole, read at once":        {0, 0, true, false},
		"whole, read late":           {2 * pause, 0, true, false},
		"cut, read at once":          {0, gap, false, false},
		"cut, read late":             {2 * pause, gap, false, false},
		"whole, read after a second": {time.Second, 0, false, true},
		"cut, read after a second":   {time.Second, gap, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, heldUp := endOfThreeParts(t, pause, c.late, c.gap)
			for plays := 1; heldUp > pauseTolerance && plays < 3; plays++ {
				t.Logf("played again: the end was sent %s late", heldUp)
				e, heldUp = endOfThreeParts(t, pause, c.late, c.gap)
			}
			must.Eq(t, c.inStep, e.isInStep(), must.Sprintf("%+v", e))
			must.Eq(t, c.unknown, e.Late)
		})
	}
}

// endOfThreeParts returns the end of an answer of three parts, whose process ends it so long after
// the last one, and of which the last one is read late. It also returns how much later than that the
// machine let the process end it.
func endOfThreeParts(t *testing.T, pause, late, gap time.Duration) (e Ending, heldUp time.Duration) {
	t.Helper()
	lag := make(chan time.Duration, 1)
	listener := process(t, func(conn net.Conn) {
		var sent time.Time
		for range 3 {
			time.Sleep(pause)
			sent = time.Now()
			_, _ = conn.Write([]byte("part"))
		}
		time.Sleep(gap)
		_ = conn.Close()
		lag <- time.Since(sent) - gap
	})
	conn, err := net.Dial("tcp4", listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	var pace Pace
	buffer := make([]byte, len("part"))
	for i := range 3 {
		if i == 2 && late > 0 {
			time.Sleep(pause + late)
		}
		n, err := io.ReadFull(conn, buffer)
		must.NoError(t, err)
		pace.Read(n, conn, time.Now())
	}
	_, err = conn.Read(buffer)
	must.ErrorIs(t, err, io.EOF)
	return pace.End(conn, time.Now()), <-lag
}

// process accepts connections and treats each as serve says.
func process(t *testing.T, serve func(conn net.Conn)) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn)
		}
	}()
	return listener
}

func peerAt(address string) Peer {
	return Peer{Name: "u", Dial: func(ctx context.Context) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return conn, err
	}}
}

// endAfter watches an answer that ends in step after a while, and returns what is known then.
func endAfter(w *Watcher, p Peer, while time.Duration) gateway.EndEvidence {
	a := w.Watch(p)
	defer a.Release()
	time.Sleep(while)
	now := time.Now()
	a.End(Ending{At: now, LastData: now})
	time.Sleep(gateway.EndCheckDelay)
	return a.Evidence()
}

// TestWatch_ConnectionsOneTooMany guards against whole answers taken for cut ones since the
// process closes the sentinel at once, as it does beyond its limit of connections.
func TestWatch_ConnectionsOneTooMany(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			w := New()
			defer w.Close()
			listener := process(t, func(conn net.Conn) {
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			})
			e := endAfter(w, peerAt(listener.Addr().String()), 1500*time.Millisecond)
			must.Eq(t, gateway.EndEvidence{Simultaneous: 1, InStep: true, Telling: true}, e)
			// At 0, 250 and 750 ms.
			must.LessEq(t, 3, w.Dialed())
			must.GreaterEq(t, 2, w.Dialed())
		})
	}
}

// TestWatch_IdleTimeout guards against an answer taken for cut or for one of a process that
// stops since its process closes idle connections, and against another process at the address
// that vouches for it.
func TestWatch_IdleTimeout(t *testing.T) {
	var mu sync.Mutex
	var conns []net.Conn
	listener := process(t, func(conn net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, conn)
		if len(conns) == 1 {
			time.AfterFunc(200*time.Millisecond, func() { _ = conn.Close() })
		}
	})
	for name, c := range map[string]struct {
		identity Identity
		want     gateway.EndEvidence
	}{
		"unknown": {IdentityUnknown, gateway.EndEvidence{Simultaneous: 1, InStep: true, Telling: true}},
		"same":    {IdentitySame, gateway.EndEvidence{Alive: true, Simultaneous: 1, InStep: true, Telling: true}},
		"other":   {IdentityOther, gateway.EndEvidence{ListenerClosed: true, Simultaneous: 1, InStep: true, Telling: true}},
	} {
		t.Run(name, func(t *testing.T) {
			mu.Lock()
			conns = nil
			mu.Unlock()
			w := New()
			defer w.Close()
			p := peerAt(listener.Addr().String())
			p.Identify = func(context.Context, net.Conn) Identity { return c.identity }
			must.Eq(t, c.want, endAfter(w, p, 600*time.Millisecond))
		})
	}
}

// TestWatch_ListenerHandedOver guards against whole answers taken for cut ones since the next
// start takes over the listener after the process was asked whether it still accepts
// connections, and against a request for each connection of a process that takes long to leave.
func TestWatch_ListenerHandedOver(t *testing.T) {
	for name, first := range map[string]Identity{"answered before": IdentitySame, "connection lost": IdentityUnknown} {
		t.Run(name, func(t *testing.T) {
			w := New()
			defer w.Close()
			p := peerAt(process(t, func(net.Conn) {}).Addr().String())
			p.Leaving = func() bool { return true }
			asked := 0
			p.Identify = func(context.Context, net.Conn) Identity {
				if asked++; asked == 1 {
					return first
				}
				return IdentityOther
			}
			must.True(t, endAfter(w, p, 700*time.Millisecond).ListenerClosed)
		})
	}
	t.Run("accepted throughout", func(t *testing.T) {
		w := New()
		defer w.Close()
		p := peerAt(process(t, func(net.Conn) {}).Addr().String())
		p.Leaving = func() bool { return true }
		var asked atomic.Int64
		p.Identify = func(context.Context, net.Conn) Identity {
			asked.Add(1)
			return IdentitySame
		}
		must.False(t, endAfter(w, p, 3*time.Second).ListenerClosed)
		// At 0.25, 0.5, 1 and 2 s; the first sentinel needs none.
		must.Between(t, 3, asked.Load(), 5)
	})
}

// TestWatch_Ends checks that a process is no longer watched a while after its last answer,
// and that its connection is closed then.
func TestWatch_Ends(t *testing.T) {
	closed := make(chan struct{})
	listener := process(t, func(conn net.Conn) {
		go func() {
			_, _ = conn.Read(make([]byte, 1))
			close(closed)
		}()
	})
	w := New()
	defer w.Close()
	must.True(t, endAfter(w, peerAt(listener.Addr().String()), 50*time.Millisecond).Alive)
	select {
	case <-closed:
	case <-time.After(retention + 2*time.Second):
		t.Fatal("the connection is kept open")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	must.MapEmpty(t, w.peers)
}

// TestWatch_KnownToLeave guards against the last answer of a process that leaves and ends with it,
// which is taken for broken, and against one of a process of which that is known only once it has
// sent the last bytes, as of one that was killed.
func TestWatch_KnownToLeave(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		want  bool
	}{"before the answer": {0, true}, "during it": {150 * time.Millisecond, true}, "at its end": {390 * time.Millisecond, false}, "after it": {420 * time.Millisecond, false}, "never": {time.Hour, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := New()
			defer w.Close()
			listener := process(t, func(net.Conn) {})
			began := time.Now()
			p := peerAt(listener.Addr().String())
			p.Leaving = func() bool { return time.Since(began) >= c.after }
			must.Eq(t, c.want, endAfter(w, p, 400*time.Millisecond).Leaving)
		})
	}
}
