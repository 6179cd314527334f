// Package rpcnet carries net/rpc calls between the system's own processes.
// Every call has a deadline. A connection that misses one is closed, and the
// next call dials anew, since a connection can go silent for good while new
// ones work.
package rpcnet

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds the making of one connection.
	DialTimeout = time.Second
	// UserTimeout bounds how long sent data may stay unacknowledged.
	UserTimeout = 4 * time.Second
	// KeepAliveInterval is the time between probes of an idle connection.
	KeepAliveInterval = time.Second
	// KeepAliveCount is the number of lost probes that ends a connection.
	KeepAliveCount = 4
)

// Dial connects to address with the package's limits on silence. A failed dial
// has sent nothing.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dial(ctx, address, DialTimeout)
}

// DialWithin returns a Dial that takes no longer than the timeout. A packet that
// opens a connection is sent again after a second: where nodes come back within
// that time, a new try is sooner than the same.
func DialWithin(timeout time.Duration) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dial(ctx, address, timeout)
	}
}

func dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     KeepAliveInterval,
			Interval: KeepAliveInterval,
			Count:    KeepAliveCount,
		},
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
