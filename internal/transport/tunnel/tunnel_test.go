package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func connect(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", address)
}

// startRelay returns the address of a relay to one target.
func startRelay(t *testing.T, target string) (*Server, string) {
	t.Helper()
	s, err := Listen("127.0.0.1:0", 100*time.Millisecond, func(address string) error {
		if address != target {
			return errors.New("no upstream")
		}
		return nil
	})
	must.NoError(t, err)
	go s.Serve()
	t.Cleanup(s.Close)
	return s, s.listener.Addr().String()
}

func listen(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l
}

// TestTunnel_CarriesBothWays checks that bytes, the end of a connection and a reset pass
// through a relay.
func TestTunnel_CarriesBothWays(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) {
		defer conn.Close()
		line := make([]byte, 5)
		if _, err := io.ReadFull(conn, line); err != nil {
			return
		}
		_, _ = conn.Write(line)
		if string(line) == "reset" {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	s, relay := startRelay(t, upstream.Addr().String())
	for _, word := range []string{"hello", "reset"} {
		conn, err := Dial(t.Context(), connect, relay, upstream.Addr().String())
		must.NoError(t, err)
		_, err = conn.Write([]byte(word))
		must.NoError(t, err)
		got, err := io.ReadAll(conn)
		if word == "reset" {
			must.Error(t, err)
		} else {
			must.NoError(t, err)
			must.Eq(t, word, string(got))
		}
		_ = conn.Close()
	}
	must.Eq(t, uint64(2), s.Total())
}

// TestTunnel_ClosesWithItsCaller checks that an upstream sees a caller leave at once.
func TestTunnel_ClosesWithItsCaller(t *testing.T) {
	left := make(chan time.Time, 1)
	upstream := listen(t, func(conn net.Conn) {
		_, _ = io.ReadAll(conn)
		left <- time.Now()
	})
	_, relay := startRelay(t, upstream.Addr().String())
	conn, err := Dial(t.Context(), connect, relay, upstream.Addr().String())
	must.NoError(t, err)
	closed := time.Now()
	_ = conn.Close()
	must.Less(t, 500*time.Millisecond, (<-left).Sub(closed))
}

// TestTunnel_Refuses checks that a relay connects to upstreams only, and that it says so
// if it can't, so that nothing was sent.
func TestTunnel_Refuses(t *testing.T) {
	gone := listen(t, func(net.Conn) {})
	_ = gone.Close()
	s, relay := startRelay(t, gone.Addr().String())
	var refused *RefusedError
	_, err := Dial(t.Context(), connect, relay, gone.Addr().String())
	must.True(t, errors.As(err, &refused))
	must.Eq(t, 502, refused.Status)
	_, err = Dial(t.Context(), connect, relay, relay)
	must.True(t, errors.As(err, &refused))
	must.Eq(t, 403, refused.Status)
	s.Drain(t.Context())
	_, err = Dial(t.Context(), connect, relay, gone.Addr().String())
	must.True(t, errors.As(err, &refused))
	must.Eq(t, 503, refused.Status)
	_, err = Dial(t.Context(), connect, gone.Addr().String(), relay)
	must.Error(t, err)
}

// TestTunnel_DrainWaits checks that a relay which stops lets open tunnels end.
func TestTunnel_DrainWaits(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	s, relay := startRelay(t, upstream.Addr().String())
	conn, err := Dial(t.Context(), connect, relay, upstream.Addr().String())
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	s.Drain(ctx)
	must.Error(t, ctx.Err())
	must.Eq(t, int64(1), s.Open())
	_ = conn.Close()
	s.Drain(t.Context())
	must.Zero(t, s.Open())
}
