package rpcnet

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
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

// TestServer_MessageWithoutEnd checks that a message far longer than any of the
// system's own is given up before its bytes are collected, by servers and clients.
func TestServer_MessageWithoutEnd(t *testing.T) {
	// The length is 1 GB less one byte, the most that the decoder accepts.
	message := append([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff}, make([]byte, 64<<10)...)
	flood := func(conn net.Conn) (taken int) {
		for {
			n, err := conn.Write(message)
			if taken += n; err != nil {
				return taken
			}
		}
	}
	server, _ := startEcho(t)
	conn, err := net.Dial("tcp", server.Address())
	must.NoError(t, err)
	defer conn.Close()
	must.Less(t, MaxMessageBytes, flood(conn))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	taken := make(chan int, 1)
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			taken <- 0
			return
		}
		taken <- flood(accepted)
	}()
	client := NewClient()
	defer client.Close()
	began := time.Now()
	must.Error(t, client.Call(t.Context(), listener.Addr().String(), "Echo.Say", &EchoArgs{}, &EchoReply{}))
	must.Less(t, DefaultCallTimeout, time.Since(began))
	must.Less(t, MaxMessageBytes, <-taken)
}

// FuzzFrameLimiter checks that the lengths of messages are followed in the same way
// however a stream is split into reads.
func FuzzFrameLimiter(f *testing.F) {
	f.Add([]byte{3, 1, 2, 3, 0xfe, 1, 0, 9}, 2)
	f.Add([]byte{0xf7, 1, 2}, 1)
	f.Add([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff}, 5)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		if size < 1 {
			return
		}
		left, right := net.Pipe()
		defer left.Close()
		defer right.Close()
		whole, split := frameLimiter{Conn: left}, frameLimiter{Conn: right}
		wholeErr := whole.follow(stream)
		var splitErr error
		for at := 0; at < len(stream) && splitErr == nil; at += size {
			splitErr = split.follow(stream[at:min(len(stream), at+size)])
		}
		must.Eq(t, wholeErr == nil, splitErr == nil)
		must.Eq(t, whole.payload, split.payload)
		if wholeErr == nil {
			must.LessEq(t, uint64(MaxMessageBytes), whole.payload)
		}
	})
}

// FuzzServer_AnyBytes checks that bytes which are no messages, also types and values that
// refer to themselves, end only their connection: the server goes on.
func FuzzServer_AnyBytes(f *testing.F) {
	var good bytes.Buffer
	encoder := gob.NewEncoder(&good)
	must.NoError(f, encoder.Encode(&rpc.Request{ServiceMethod: "Echo.Say", Seq: 1}))
	must.NoError(f, encoder.Encode(&EchoArgs{Text: "a"}))
	f.Add(good.Bytes())
	type nested struct{ Next *nested }
	deep := &nested{}
	for range 20_000 {
		deep = &nested{Next: deep}
	}
	var chain bytes.Buffer
	encoder = gob.NewEncoder(&chain)
	must.NoError(f, encoder.Encode(&rpc.Request{ServiceMethod: "Echo.Say", Seq: 1}))
	must.NoError(f, encoder.Encode(deep))
	f.Add(chain.Bytes())
	f.Add([]byte{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	server, err := Listen("127.0.0.1:0")
	must.NoError(f, err)
	must.NoError(f, server.Register("Echo", &Echo{}))
	go server.Serve()
	defer server.Close()
	client := NewClient()
	defer client.Close()
	f.Fuzz(func(t *testing.T, message []byte) {
		conn, err := net.Dial("tcp", server.Address())
		must.NoError(t, err)
		_, _ = conn.Write(message)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		var reply EchoReply
		must.NoError(t, client.Call(t.Context(), server.Address(), "Echo.Say", &EchoArgs{Text: "b"}, &reply))
		must.Eq(t, "b", reply.Text)
	})
}
