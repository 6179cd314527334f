// Package tcpinfo reads what the kernel knows of a TCP connection (TCP_INFO of linux/tcp.h).
package tcpinfo

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// established is the state of a connection that neither side has ended (TCP_ESTABLISHED of
// linux/tcp_states.h).
const established = 1

// maxEndAge is how long after its last bytes the end of a connection can be told from later
// acknowledgements: an idle connection gets none until its first keep-alive probe.
const maxEndAge = 900 * time.Millisecond

// Info is the state of a connection. Its times are multiples of Tick.
type Info struct {
	// Established is true if neither side has ended the connection.
	Established bool
	// SinceData is the time since the last bytes came, SinceAck since the last acknowledgement
	// came, which the end of the peer's side is too, and SinceSent since the last bytes were sent.
	SinceData, SinceAck, SinceSent time.Duration
}

// Of returns the state of a connection. It reports false if the connection isn't one of TCP, or
// is closed.
func Of(conn net.Conn) (Info, bool) {
	var info *unix.TCPInfo
	err := control(conn, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return Info{}, false
	}
	return Info{
		Established: info.State == established,
		SinceData:   time.Duration(info.Last_data_recv) * time.Millisecond,
		SinceAck:    time.Duration(info.Last_ack_recv) * time.Millisecond,
		SinceSent:   time.Duration(info.Last_data_sent) * time.Millisecond,
	}, true
}

// Unread returns how many bytes have come that were not read.
func Unread(conn net.Conn) (n int, known bool) {
	err := control(conn, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	return n, err == nil
}

// control calls f with the descriptor of a connection. It doesn't wait for a read that is under
// way.
func control(conn net.Conn, f func(fd int) error) error {
	sysConn, ok := conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = rawConn.Control(func(fd uintptr) { callErr = f(int(fd)) })
	return errors.Join(err, callErr)
}

// EndGap returns the time from the last bytes that came to the end of the peer's side, however
// late either was read. It is known only for a connection whose peer has ended its side, for
// maxEndAge, and if nothing was sent after the last bytes, whose acknowledgement might be later.
func (i Info) EndGap() (gap time.Duration, known bool) {
	if i.Established || i.SinceData > maxEndAge || i.SinceSent < i.SinceData {
		return 0, false
	}
	return max(0, i.SinceData-i.SinceAck), true
}

// Tick returns the precision of an Info's times: the kernel counts them in steps of its timer.
var Tick = sync.OnceValue(func() time.Duration {
	const longest = 10 * time.Millisecond
	var resolution unix.Timespec
	if err := unix.ClockGetres(unix.CLOCK_MONOTONIC_COARSE, &resolution); err != nil {
		return longest
	}
	return max(time.Millisecond, time.Duration(resolution.Nano()))
})
