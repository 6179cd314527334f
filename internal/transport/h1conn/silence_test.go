package h1conn

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// silentServer is a server whose side of one connection can be cut: nothing that the
// client sends is acknowledged then, and nothing is sent to it.
type silentServer struct {
	net.Listener
	conn net.Conn
}

func startSilentServer(t *testing.T) *silentServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return &silentServer{Listener: l}
}

func (s *silentServer) accept(t *testing.T) {
	t.Helper()
	conn, err := s.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	s.conn = conn
}

// drop makes the kernel drop what arrives on the connection, unacknowledged, or stop
// doing so.
func (s *silentServer) drop(t *testing.T, drop bool) {
	t.Helper()
	raw, err := s.conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	var optErr error
	must.NoError(t, raw.Control(func(fd uintptr) {
		if !drop {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		none := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &none[0]})
	}))
	must.NoError(t, optErr)
}

// silent lets 1.5 s pass, cut off or not.
func (s *silentServer) silent(t *testing.T, cut bool) {
	t.Helper()
	if cut {
		s.drop(t, true)
		defer s.drop(t, false)
	}
	time.Sleep(1500 * time.Millisecond)
}

// begin reads a request and writes the header of its answer and half of the body.
func (s *silentServer) begin(t *testing.T) {
	t.Helper()
	_, err := s.conn.Read(make([]byte, 4096))
	must.NoError(t, err)
	_, err = io.WriteString(s.conn, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nfirst half")
	must.NoError(t, err)
}

// TestSilence_OfASecondIsBorne checks that nothing ends a connection on which a server is
// silent for 1.5 s, before its answer or within it, whether its kernel acknowledges or
// not.
func TestSilence_OfASecondIsBorne(t *testing.T) {
	for name, cut := range map[string]bool{"acknowledging": false, "not acknowledging": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, s := New(DefaultDialTimeout), startSilentServer(t)
			defer c.Close()
			done := make(chan error, 1)
			go func() {
				a, err := c.Do(t.Context(), Call{Address: s.Addr().String(), Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")})
				if err == nil {
					defer a.Body.Close()
					_, err = io.ReadAll(a.Body)
				}
				done <- err
			}()
			s.accept(t)
			s.silent(t, cut)
			s.begin(t)
			s.silent(t, cut)
			_, err := io.WriteString(s.conn, "second one")
			must.NoError(t, err)
			must.NoError(t, <-done)
		})
	}
}

// TestSilence_UnacknowledgedRequestEnds checks that a request which is not acknowledged
// ends after userTimeout, and one that is acknowledged only with its context.
func TestSilence_UnacknowledgedRequestEnds(t *testing.T) {
	for name, cut := range map[string]bool{"acknowledging": false, "not acknowledging": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, s := New(DefaultDialTimeout), startSilentServer(t)
			defer c.Close()
			ctx, cancel := context.WithTimeout(t.Context(), userTimeout+2*time.Second)
			defer cancel()
			// The connection is made before the cut.
			conn, err := c.Connect(ctx, s.Addr().String())
			must.NoError(t, err)
			s.accept(t)
			if cut {
				s.drop(t, true)
			}
			began := time.Now()
			_, err = c.Do(ctx, Call{
				Address: s.Addr().String(), Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
				Dial: func(context.Context, string) (net.Conn, error) { return conn, nil },
			})
			must.Error(t, err)
			if !cut {
				must.True(t, errors.Is(err, context.DeadlineExceeded), must.Sprint(err))
				return
			}
			must.True(t, errors.Is(err, syscall.ETIMEDOUT), must.Sprint(err))
			must.Between(t, userTimeout-500*time.Millisecond, time.Since(began), userTimeout+1500*time.Millisecond)
		})
	}
}

// TestSilence_CutWithinAnAnswerEnds checks that an answer which has begun ends when the
// server stops acknowledging: userTimeout decides when keep-alive probes give up,
// whatever their count.
func TestSilence_CutWithinAnAnswerEnds(t *testing.T) {
	t.Parallel()
	c, s := New(DefaultDialTimeout), startSilentServer(t)
	defer c.Close()
	result := make(chan error, 1)
	go func() {
		a, err := c.Do(t.Context(), Call{Address: s.Addr().String(), Method: "GET", Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")})
		if err == nil {
			defer a.Body.Close()
			_, err = io.ReadAll(a.Body)
		}
		result <- err
	}()
	s.accept(t)
	s.begin(t)
	s.drop(t, true)
	began := time.Now()
	err := <-result
	must.True(t, errors.Is(err, syscall.ETIMEDOUT), must.Sprint(err))
	must.Between(t, userTimeout-time.Second, time.Since(began), userTimeout+2*time.Second)
}
