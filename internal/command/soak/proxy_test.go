package soak

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/command/load"
)

// SampleReport returns a small report for the test of WritePage, which is in the
// external test package.
func SampleReport() *Report {
	return &Report{
		Report:  &load.Report{Duration: 2, Counts: load.Counts{Sent: 3, Answered: 3}},
		Faults:  []Fault{{Kind: FaultPause, At: time.Second, For: time.Second}},
		Goodput: []load.Series{{Tier: "urgent", Answered: []int{1, 0}, Sent: []int{1, 2}}},
	}
}

// startEchoServer starts a server that sends back all data and returns its address.
func startEchoServer(t *testing.T) string {
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
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// roundTrip sends a line and returns the line received in answer.
func roundTrip(conn net.Conn, text string) (string, error) {
	if _, err := io.WriteString(conn, text+"\n"); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

// TestProxy_Conditions checks that a proxy forwards data, withholds it while a
// direction is silent and delivers it afterwards, and resets existing and new
// connections.
func TestProxy_Conditions(t *testing.T) {
	p, err := startProxy(startEchoServer(t))
	must.NoError(t, err)
	defer p.close()
	conn, err := net.Dial("tcp", p.address())
	must.NoError(t, err)
	defer conn.Close()
	back, err := roundTrip(conn, "one")
	must.NoError(t, err)
	must.Eq(t, "one\n", back)

	p.setCondition(condition{Silent: [2]bool{toClient: true}})
	answered := make(chan string, 1)
	go func() {
		back, _ := roundTrip(conn, "two")
		answered <- back
	}()
	select {
	case <-answered:
		t.Fatal("received an answer through a silent direction")
	case <-time.After(50 * time.Millisecond):
	}
	p.setCondition(condition{})
	must.Eq(t, "two\n", <-answered)

	p.setCondition(condition{Reset: true})
	_, err = roundTrip(conn, "three")
	must.Error(t, err)
	// The reset may come before Dial returns or after it.
	conn2, err := net.Dial("tcp", p.address())
	if err != nil {
		must.ErrorIs(t, err, syscall.ECONNRESET)
		return
	}
	defer conn2.Close()
	_, err = roundTrip(conn2, "four")
	must.Error(t, err)
}

// TestProxy_PassesEndsOn checks that a proxy passes the reset of its target on as a reset:
// as a proper end, a part of an answer without length would look whole.
func TestProxy_PassesEndsOn(t *testing.T) {
	for _, reset := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		defer listener.Close()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "a part")
			_, _ = conn.Read(make([]byte, 1))
			if reset {
				abort(conn)
			}
			_ = conn.Close()
		}()
		p, err := startProxy(listener.Addr().String())
		must.NoError(t, err)
		defer p.close()
		conn, err := net.Dial("tcp", p.address())
		must.NoError(t, err)
		defer conn.Close()
		_, err = io.ReadFull(conn, make([]byte, len("a part")))
		must.NoError(t, err)
		_, err = conn.Write([]byte("?"))
		must.NoError(t, err)
		_, err = io.ReadAll(conn)
		if reset {
			must.ErrorIs(t, err, syscall.ECONNRESET)
		} else {
			must.NoError(t, err)
		}
	}
}
