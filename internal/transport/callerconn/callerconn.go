// Package callerconn makes the end of a caller's connection tell whether its answer is
// complete. An answer that is ended by its connection looks complete whenever the kernel
// closes the connection properly, also when it does so for a process that was killed.
package callerconn

import (
	"context"
	"net"
)

// MaxLengthAdded is the size up to which net/http may add a length to an answer that was
// not flushed, in bytes. Such an answer isn't ended by its connection.
const MaxLengthAdded = 2 << 10

type contextKey struct{}

// Context returns a context that holds the connection of a server, for
// http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// lingerer is a connection with the option SO_LINGER, such as *net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

// ResetUnlessEnded makes the connection of a request's context end with a reset from now
// on, whoever closes it: this process, or the kernel after its death. Ended restores the
// proper end; it must be called once all bytes of the answer were written to the
// connection. A connection that is no TCP connection stays as it is.
func ResetUnlessEnded(ctx context.Context) (ended func()) {
	conn, _ := ctx.Value(contextKey{}).(net.Conn)
	tcp := unwrap(conn)
	if tcp == nil || tcp.SetLinger(0) != nil {
		return func() {}
	}
	const systemDefault = -1
	return func() { _ = tcp.SetLinger(systemDefault) }
}

// unwrap returns the TCP connection below wrappers that have the method NetConn; nil if
// there is none.
func unwrap(conn net.Conn) lingerer {
	for conn != nil {
		if tcp, ok := conn.(lingerer); ok {
			return tcp
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}
