package h1conn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// TestDo_BytesUnacknowledged checks that a call whose bytes the server's kernel does not
// acknowledge is told from one that the server is slow to answer.
func TestDo_BytesUnacknowledged(t *testing.T) {
	for name, silent := range map[string]bool{"silent path": true, "slow server": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := listenOnce(t, silent, 400*time.Millisecond)
			client := New(DefaultDialTimeout)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var stalls atomic.Int32
			// The filter is attached once the connection is accepted.
			answer, err := client.Do(ctx, Call{
				Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
				OnConn:  func(ConnUse) { time.Sleep(100 * time.Millisecond) },
				OnStall: func() { stalls.Add(1) }, StallAfter: 200 * time.Millisecond,
			})
			if silent {
				must.Error(t, err)
				must.Eq(t, 1, stalls.Load())
				return
			}
			must.NoError(t, err)
			must.NoError(t, answer.Body.Close())
			must.Zero(t, stalls.Load())
		})
	}
}

// listenOnce serves one request after a delay. A silent server's kernel drops all that
// arrives on the connection, without an acknowledgement.
func listenOnce(t *testing.T, silent bool, delay time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		if silent {
			raw, _ := conn.(*net.TCPConn).SyscallConn()
			dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
			})
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		time.Sleep(delay)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}()
	return listener.Addr().String()
}
