package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func connect(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", address)
}

// startRelay returns a relay to one target, its address, and the tunnels that break.
func startRelay(t *testing.T, target string) (*Server, string, <-chan Ending) {
	t.Helper()
	broke := make(chan Ending, 10)
	s, err := Listen("127.0.0.1:0", 100*time.Millisecond, func(address string) error {
		if address != target {
			return errors.New("no upstream")
		}
		return nil
	}, func(e Ending) { broke <- e })
	must.NoError(t, err)
	go s.Serve()
	t.Cleanup(s.Close)
	return s, s.listener.Addr().String(), broke
}

// dial returns a connection through a relay, and how that ends.
func dial(t *testing.T, relay, target string) (net.Conn, <-chan Ending) {
	t.Helper()
	ended := make(chan Ending, 1)
	conn, err := Dial(t.Context(), relay, target, Options{
		Dial: connect, Origin: Origin{Gateway: "g1", Request: "r1"}, Ended: func(e Ending) { ended <- e },
	})
	must.NoError(t, err)
	return conn, ended
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
	s, relay, _ := startRelay(t, upstream.Addr().String())
	for _, word := range []string{"hello", "reset"} {
		conn, _ := dial(t, relay, upstream.Addr().String())
		_, err := conn.Write([]byte(word))
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
	_, relay, _ := startRelay(t, upstream.Addr().String())
	conn, _ := dial(t, relay, upstream.Addr().String())
	closed := time.Now()
	_ = conn.Close()
	must.Less(t, 500*time.Millisecond, (<-left).Sub(closed))
}

// TestTunnel_Refuses checks that a relay connects to upstreams only, and that it says so
// if it can't, so that nothing was sent.
func TestTunnel_Refuses(t *testing.T) {
	gone := listen(t, func(net.Conn) {})
	_ = gone.Close()
	s, relay, _ := startRelay(t, gone.Addr().String())
	var refused *RefusedError
	_, err := Dial(t.Context(), relay, gone.Addr().String(), Options{Dial: connect})
	must.True(t, errors.As(err, &refused))
	must.Eq(t, 502, refused.Status)
	_, err = Dial(t.Context(), relay, relay, Options{Dial: connect})
	must.True(t, errors.As(err, &refused))
	must.Eq(t, 403, refused.Status)
	s.Drain(t.Context())
	_, err = Dial(t.Context(), relay, gone.Addr().String(), Options{Dial: connect})
	must.True(t, errors.As(err, &refused))
	must.Eq(t, 503, refused.Status)
	_, err = Dial(t.Context(), gone.Addr().String(), relay, Options{Dial: connect})
	must.Error(t, err)
}

// TestTunnel_DrainWaits checks that a relay which stops lets open tunnels end.
func TestTunnel_DrainWaits(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	s, relay, _ := startRelay(t, upstream.Addr().String())
	conn, _ := dial(t, relay, upstream.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	s.Drain(ctx)
	must.Error(t, ctx.Err())
	must.Eq(t, int64(1), s.Open())
	_ = conn.Close()
	s.Drain(t.Context())
	must.Zero(t, s.Open())
}

// TestTunnel_TellsHowItEnded checks that both ends of a tunnel tell how its sides ended, and
// that the relay tells of the broken ones only, with the request that it was for.
func TestTunnel_TellsHowItEnded(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) {
		defer conn.Close()
		word := make([]byte, 5)
		_, _ = io.ReadFull(conn, word)
		_, _ = conn.Write([]byte("answer"))
		switch string(word) {
		case "reset":
			_ = conn.(*net.TCPConn).SetLinger(0)
		case "stays":
			_, _ = io.ReadAll(conn)
		}
	})
	target := upstream.Addr().String()
	s, relay, broke := startRelay(t, target)
	ask := func(word string) (net.Conn, <-chan Ending) {
		conn, ended := dial(t, relay, target)
		_, err := conn.Write([]byte(word))
		must.NoError(t, err)
		return conn, ended
	}
	conn, ended := ask("hello")
	_, _ = io.ReadAll(conn)
	_ = conn.Close()
	e := <-ended
	must.True(t, e.Proper())
	must.Eq(t, EndProper, e.Upstream)

	conn, ended = ask("reset")
	_, _ = io.ReadAll(conn)
	_ = conn.Close()
	must.Eq(t, EndReset, (<-ended).Upstream)
	e = <-broke
	must.Eq(t, EndReset, e.Upstream)
	must.Eq(t, Origin{Gateway: "g1", Request: "r1"}, e.Origin)
	must.Eq(t, target, e.Target)
	must.Eq(t, int64(5), e.Sent)

	conn, _ = ask("stays")
	_, err := io.ReadFull(conn, make([]byte, 6))
	must.NoError(t, err)
	s.Close()
	e = <-broke
	must.Eq(t, EndStopped, e.Upstream)
	must.Eq(t, int64(6), e.Received)
	must.Eq(t, uint64(2), s.Broken())
	_ = conn.Close()
}

// TestTunnel_ServerClosesWithTunnelsOpen checks that a relay's end doesn't look like the end
// of an answer.
func TestTunnel_ServerClosesWithTunnelsOpen(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = conn.Write([]byte("a part"))
		_, _ = io.ReadAll(conn)
		_ = conn.Close()
	})
	for _, drain := range []bool{false, true} {
		s, relay, _ := startRelay(t, upstream.Addr().String())
		conn, _ := dial(t, relay, upstream.Addr().String())
		_, err := conn.Write([]byte("?"))
		must.NoError(t, err)
		_, err = io.ReadFull(conn, make([]byte, 6))
		must.NoError(t, err)
		if drain {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			s.Drain(ctx)
			cancel()
		}
		s.Close()
		_, err = io.ReadAll(conn)
		must.Error(t, err)
		must.Zero(t, s.Open())
		_ = conn.Close()
	}
}

// TestTunnel_UpstreamResetsWhileItIsSentTo checks that a reset is passed on that the write
// of the request notices before the read of the answer does: the kernel reports it once.
func TestTunnel_UpstreamResetsWhileItIsSentTo(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = conn.Write([]byte("a part"))
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	_, relay, _ := startRelay(t, upstream.Addr().String())
	whole := 0
	for range 300 {
		conn, _ := dial(t, relay, upstream.Addr().String())
		go func() {
			block := make([]byte, 64<<10)
			for {
				if _, err := conn.Write(block); err != nil {
					return
				}
			}
		}()
		if _, err := io.ReadAll(conn); err == nil {
			whole++
		}
		_ = conn.Close()
	}
	must.Zero(t, whole)
}

// TestTunnel_EndsWithoutItsLastFrame checks that a tunnel which ends anywhere before its last
// frame breaks the answer off, also if its connection ends properly.
func TestTunnel_EndsWithoutItsLastFrame(t *testing.T) {
	whole := append([]byte{0, 3, 'o', 'n', 'e', 0, 4, 'm', 'o', 'r', 'e'}, appendLastFrame(nil, EndProper)...)
	for n := range len(whole) + 1 {
		relay := listen(t, func(conn net.Conn) {
			defer conn.Close()
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 Connected\r\nTunnel-Frames: 1\r\n\r\n")
			_, _ = conn.Write(whole[:n])
		})
		conn, ended := dial(t, relay.Addr().String(), "10.0.0.1:80")
		got, err := io.ReadAll(conn)
		_ = conn.Close()
		if n == len(whole) {
			must.NoError(t, err)
			must.Eq(t, "onemore", string(got))
			must.Eq(t, EndProper, (<-ended).Upstream)
			continue
		}
		must.ErrorIs(t, err, io.ErrUnexpectedEOF, must.Sprint(n))
		must.Eq(t, EndUnknown, (<-ended).Upstream)
	}
}

// TestTunnel_LastFrameSaysHowTheUpstreamEnded checks that a reset and a timeout stay what
// they are, and that a way of a later version is no proper end.
func TestTunnel_LastFrameSaysHowTheUpstreamEnded(t *testing.T) {
	for end, want := range map[End]error{
		EndReset: syscall.ECONNRESET, EndTimeout: syscall.ETIMEDOUT, EndStopped: io.ErrUnexpectedEOF,
		EndOpen: io.ErrUnexpectedEOF, 200: io.ErrUnexpectedEOF,
	} {
		r := &frameReader{from: bufio.NewReader(bytes.NewReader(appendLastFrame([]byte{0, 1, 'x'}, end)))}
		got, err := io.ReadAll(r)
		must.Eq(t, "x", string(got))
		must.ErrorIs(t, err, want)
		_, err = r.Read(make([]byte, 1))
		must.ErrorIs(t, err, want)
	}
}

// TestTunnel_OlderNodes checks that nodes without frames and those with them work together.
func TestTunnel_OlderNodes(t *testing.T) {
	upstream := listen(t, func(conn net.Conn) {
		defer conn.Close()
		word := make([]byte, 5)
		_, _ = io.ReadFull(conn, word)
		_, _ = conn.Write(word)
		if string(word) == "reset" {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	target := upstream.Addr().String()
	oldRelay := listen(t, func(conn net.Conn) {
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 Connected\r\n\r\n")
		_, _ = io.Copy(conn, io.LimitReader(conn, 5))
	})
	conn, _ := dial(t, oldRelay.Addr().String(), target)
	_, err := conn.Write([]byte("hello"))
	must.NoError(t, err)
	got, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.Eq(t, "hello", string(got))

	_, relay, _ := startRelay(t, target)
	for _, word := range []string{"hello", "reset"} {
		conn, err := connect(t.Context(), relay)
		must.NoError(t, err)
		_, err = fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n%s", target, target, word)
		must.NoError(t, err)
		got, err := io.ReadAll(conn)
		if word == "reset" {
			must.Error(t, err)
			continue
		}
		must.NoError(t, err)
		must.Eq(t, "HTTP/1.1 200 Connected\r\n\r\nhello", string(got))
	}
}

// BenchmarkTunnel sends answers of 1 MiB and of one short event, in frames and raw.
func BenchmarkTunnel(b *testing.B) {
	for _, size := range []int{64, 1 << 20} {
		block := make([]byte, size)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		must.NoError(b, err)
		defer l.Close()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					ask := make([]byte, 1)
					for {
						if _, err := conn.Read(ask); err != nil {
							return
						}
						_, _ = conn.Write(block)
					}
				}()
			}
		}()
		for _, framed := range []bool{false, true} {
			b.Run(fmt.Sprintf("size=%d/framed=%t", size, framed), func(b *testing.B) {
				s, err := Listen("127.0.0.1:0", time.Second, func(string) error { return nil }, func(Ending) {})
				must.NoError(b, err)
				go s.Serve()
				defer s.Close()
				var conn net.Conn
				if framed {
					conn, err = Dial(b.Context(), s.listener.Addr().String(), l.Addr().String(), Options{Dial: connect})
					must.NoError(b, err)
				} else {
					conn, err = connect(b.Context(), s.listener.Addr().String())
					must.NoError(b, err)
					_, _ = fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: a\r\n\r\n", l.Addr())
					_, err = io.ReadFull(conn, make([]byte, len("HTTP/1.1 200 Connected\r\n\r\n")))
					must.NoError(b, err)
				}
				defer conn.Close()
				got := make([]byte, size)
				b.SetBytes(int64(size))
				for b.Loop() {
					_, _ = conn.Write(got[:1])
					_, err := io.ReadFull(conn, got)
					must.NoError(b, err)
				}
			})
		}
	}
}
