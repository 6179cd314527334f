package rpcnet

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// startCutting forwards each connection to target and ends it properly after the given
// numbers of bytes of the calls and of the answers; negative means never. passed counts
// both.
func startCutting(t *testing.T, target string, calls, answers int) (address string, passed *[2]atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	passed = &[2]atomic.Int64{}
	forward := func(to, from net.Conn, limit int, passed *atomic.Int64) {
		defer to.Close()
		defer from.Close()
		for b := make([]byte, 1); passed.Load() != int64(limit); passed.Add(1) {
			if _, err := from.Read(b); err != nil {
				return
			}
			if _, err := to.Write(b); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = conn.Close()
				return
			}
			go forward(server, conn, calls, &passed[0])
			go forward(conn, server, answers, &passed[1])
		}
	}()
	return listener.Addr().String(), passed
}

// TestClient_MessageCutShort ends a connection properly after each number of bytes of a call
// and of its answer. A call that is not whole must not run, and an answer that is not whole
// must be an error.
func TestClient_MessageCutShort(t *testing.T) {
	server, echo := startEcho(t)
	client := NewClient()
	defer client.Close()
	call := func(calls, answers int) (*[2]atomic.Int64, error) {
		var reply EchoReply
		address, passed := startCutting(t, server.Address(), calls, answers)
		err := client.Call(t.Context(), address, "Echo.Say", &EchoArgs{Text: "text"}, &reply)
		if err == nil {
			must.Eq(t, "text", reply.Text)
		}
		return passed, err
	}
	whole, err := call(-1, -1)
	must.NoError(t, err)
	callBytes, answerBytes := int(whole[0].Load()), int(whole[1].Load())
	must.Greater(t, 50, callBytes)
	must.Greater(t, 50, answerBytes)
	for n := range callBytes {
		_, err := call(n, -1)
		must.Error(t, err, must.Sprint(n))
	}
	must.Eq(t, 1, echo.calls.Load())
	for n := range answerBytes {
		_, err := call(-1, n)
		must.Error(t, err, must.Sprint(n))
	}
}
