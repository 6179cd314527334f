package callerconn

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// wrapped is a connection within a wrapper.
type wrapped struct{ net.Conn }

func (w *wrapped) NetConn() net.Conn { return w.Conn }

// TestResetUnlessEnded_CloseWithoutEnd checks that the other side can tell an answer that
// was broken off from one that has ended, although both connections are only closed.
func TestResetUnlessEnded_CloseWithoutEnd(t *testing.T) {
	for name, complete := range map[string]bool{"broken off": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			defer listener.Close()
			caller, err := net.Dial("tcp4", listener.Addr().String())
			must.NoError(t, err)
			defer caller.Close()
			conn, err := listener.Accept()
			must.NoError(t, err)
			ended := ResetUnlessEnded(Context(t.Context(), &wrapped{conn}))
			_, err = io.WriteString(conn, "answer")
			must.NoError(t, err)
			part := make([]byte, 6)
			_, err = io.ReadFull(caller, part)
			must.NoError(t, err)
			if complete {
				ended()
			}
			must.NoError(t, conn.Close())
			_, err = caller.Read(part)
			must.Eq(t, complete, err == io.EOF)
			must.Eq(t, !complete, errors.Is(err, syscall.ECONNRESET), must.Sprint(err))
		})
	}
}

// TestResetUnlessEnded_NoConnection checks that a context without a TCP connection is
// accepted.
func TestResetUnlessEnded_NoConnection(t *testing.T) {
	ResetUnlessEnded(t.Context())()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	ResetUnlessEnded(Context(t.Context(), a))()
}
