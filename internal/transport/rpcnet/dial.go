// Package rpcnet makes and serves net/rpc calls between the system's processes.
// Every call has a deadline. When a call misses it, the connection is closed and
// the next call dials a new one, because a connection can stop delivering data for
// good while new connections work.
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
	// DialTimeout limits the time to establish a connection.
	DialTimeout = time.Second
	// UserTimeout limits how long sent data may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	UserTimeout = 4 * time.Second
	// KeepAliveInterval is the time between keep-alive probes of an idle
	// connection.
	KeepAliveInterval = time.Second
	// KeepAliveCount is the number of unanswered keep-alive probes after which
	// a connection is closed.
	KeepAliveCount = 4
)

// Dial connects to address with DialTimeout, UserTimeout and the keep-alive
// settings above. A failed dial has sent no data.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dial(ctx, address, DialTimeout)
}

// DialWithTimeout returns a DialFunc with the given timeout. TCP retransmits a lost SYN
// after one second. Where nodes come back in less time, giving up earlier and
// dialing again connects sooner than waiting for the retransmission.
func DialWithTimeout(timeout time.Duration) DialFunc {
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
