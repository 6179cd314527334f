package tcpinfo

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	must.NoError(t, err)
	accepted, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// TestEndGap_ReadLate checks that the time from the last bytes to the end doesn't depend on when
// they are read.
func TestEndGap_ReadLate(t *testing.T) {
	const late = 150 * time.Millisecond
	for _, gap := range []time.Duration{0, 20 * time.Millisecond, 80 * time.Millisecond} {
		client, server := connect(t)
		_, err := client.Write([]byte("go"))
		must.NoError(t, err)
		_, err = io.ReadFull(server, make([]byte, len("go")))
		must.NoError(t, err)
		time.Sleep(3 * Tick())
		_, err = server.Write([]byte("hello"))
		must.NoError(t, err)
		sent := time.Now()
		time.Sleep(gap)
		lasted := time.Since(sent)
		must.NoError(t, server.Close())
		closed := time.Since(sent)
		time.Sleep(late)
		unread, known := Unread(client)
		must.True(t, known)
		must.Eq(t, len("hello"), unread)
		info, known := Of(client)
		must.True(t, known)
		must.False(t, info.Established)
		got, known := info.EndGap()
		must.True(t, known)
		must.GreaterEq(t, lasted-Tick(), got)
		must.LessEq(t, closed+Tick(), got)
		must.GreaterEq(t, late-Tick(), info.SinceAck)
		_, err = io.ReadAll(client)
		must.NoError(t, err)
	}
}

// TestEndGap_Unknown checks that no time is told that could be that of something else.
func TestEndGap_Unknown(t *testing.T) {
	for name, prepare := range map[string]func(client, server *net.TCPConn){
		"open": func(*net.TCPConn, *net.TCPConn) {},
		"bytes acknowledged after the end": func(client, server *net.TCPConn) {
			_ = server.CloseWrite()
			time.Sleep(3 * Tick())
			_, _ = client.Write([]byte("more"))
			time.Sleep(3 * Tick())
		},
		"noticed after a keep-alive probe may have been sent": func(_, server *net.TCPConn) {
			_ = server.CloseWrite()
			time.Sleep(maxEndAge + 3*Tick())
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client, server := connect(t)
			_, err := server.Write([]byte("hello"))
			must.NoError(t, err)
			time.Sleep(3 * Tick())
			prepare(client, server)
			info, known := Of(client)
			must.True(t, known)
			_, known = info.EndGap()
			must.False(t, known)
		})
	}
}

// TestOf_OtherConnections checks that nothing is told of a connection that isn't one of TCP or was
// closed.
func TestOf_OtherConnections(t *testing.T) {
	pipe, other := net.Pipe()
	defer other.Close()
	closed, _ := connect(t)
	_ = closed.Close()
	for _, conn := range []net.Conn{nil, pipe, closed} {
		_, known := Of(conn)
		must.False(t, known)
		_, known = Unread(conn)
		must.False(t, known)
	}
}
