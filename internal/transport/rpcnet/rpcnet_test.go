package rpcnet

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

type EchoArgs struct{ Text string }

type EchoReply struct{ Text string }

type Echo struct{ calls atomic.Int64 }

func (e *Echo) Say(args *EchoArgs, reply *EchoReply) error {
	e.calls.Add(1)
	reply.Text = args.Text
	return nil
}

func startEcho(t *testing.T) (*Server, *Echo) {
	t.Helper()
	server, err := Listen("127.0.0.1:0")
	must.NoError(t, err)
	echo := &Echo{}
	must.NoError(t, server.Register("Echo", echo))
	go server.Serve()
	t.Cleanup(server.Close)
	return server, echo
}

func TestClient_Call(t *testing.T) {
	server, _ := startEcho(t)
	client := NewClient()
	defer client.Close()
	var reply EchoReply
	must.NoError(t, client.Call(t.Context(), server.Address(), "Echo.Say", &EchoArgs{Text: "a"}, &reply))
	must.Eq(t, "a", reply.Text)
}

func TestClient_ConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	client := NewClient()
	defer client.Close()
	err = client.Call(t.Context(), address, "Echo.Say", &EchoArgs{}, &EchoReply{})
	must.ErrorIs(t, err, ErrUnsent)
}

// TestClient_SilentConnection checks that the client closes a connection that
// accepts data but never answers when the call misses its deadline, and that the
// next call uses a new connection.
func TestClient_SilentConnection(t *testing.T) {
	server, echo := startEcho(t)
	var silent atomic.Bool
	silent.Store(true)
	relay := startRelay(t, server.Address(), &silent)
	client := NewClient()
	defer client.Close()

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := client.Call(ctx, relay, "Echo.Say", &EchoArgs{Text: "lost"}, &EchoReply{})
	must.ErrorIs(t, err, context.DeadlineExceeded)
	must.False(t, errors.Is(err, ErrUnsent))
	must.Eq(t, 0, echo.calls.Load())

	silent.Store(false)
	var reply EchoReply
	must.NoError(t, client.Call(t.Context(), relay, "Echo.Say", &EchoArgs{Text: "b"}, &reply))
	must.Eq(t, "b", reply.Text)
	must.Eq(t, 1, client.Reconnects())
}

// startRelay forwards connections to target. It holds those that it accepts while
// silent is set open without reading from them.
func startRelay(t *testing.T, target string, silent *atomic.Bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if silent.Load() {
				t.Cleanup(func() { _ = conn.Close() })
				continue
			}
			go forward(conn, target)
		}
	}()
	return listener.Addr().String()
}

func forward(conn net.Conn, target string) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{}, 2)
	copyConn := func(dst, src net.Conn) {
		buffer := make([]byte, 4096)
		for {
			n, err := src.Read(buffer)
			if n > 0 {
				_, _ = dst.Write(buffer[:n])
			}
			if err != nil {
				done <- struct{}{}
				return
			}
		}
	}
	go copyConn(upstream, conn)
	go copyConn(conn, upstream)
	<-done
}
