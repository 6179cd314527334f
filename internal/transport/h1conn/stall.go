package h1conn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnacknowledged reports whether bytes that were sent to the server are not acknowledged
// by its kernel. That says nothing of the server's speed: a kernel acknowledges at once. It
// is false if the kernel can't tell.
func (pc *persistConn) hasUnacknowledged() bool {
	sysConn, ok := pc.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	queued, unsent := 0, 0
	var queuedErr, unsentErr error
	err = rawConn.Control(func(fd uintptr) {
		queued, queuedErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		unsent, unsentErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD)
	})
	return err == nil && queuedErr == nil && unsentErr == nil && queued > unsent
}
