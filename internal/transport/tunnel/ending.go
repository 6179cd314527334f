package tunnel

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// End is how a side of a tunnel ended.
type End uint8

// Ends of a side. The values are sent between nodes.
const (
	// EndOpen means that the other side ended first.
	EndOpen End = iota
	// EndProper is the proper end of a connection.
	EndProper
	EndReset
	EndTimeout
	// EndStopped means that the relay stopped first.
	EndStopped
	// EndUnknown means that the tunnel ended without its last frame.
	EndUnknown
)

// String implements fmt.Stringer.
func (e End) String() string {
	switch e {
	case EndOpen:
		return "was open"
	case EndProper:
		return "ended properly"
	case EndReset:
		return "broke off"
	case EndTimeout:
		return "timed out"
	case EndStopped:
		return "was open when the relay stopped"
	case EndUnknown:
		return "ended in an unknown way, as the relay broke off"
	default:
		return fmt.Sprintf("ended in way %d", uint8(e))
	}
}

// endOf returns how a connection ended from the error of reading it.
func endOf(err error) End {
	var timeout net.Error
	switch {
	case errors.Is(err, net.ErrClosed):
		return EndOpen
	case err == nil, errors.Is(err, io.EOF):
		return EndProper
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, syscall.ETIMEDOUT), errors.As(err, &timeout) && timeout.Timeout():
		return EndTimeout
	default:
		return EndReset
	}
}

// err returns what the reader of a tunnel gets if the upstream's side ended so.
func (e End) err() error {
	switch e {
	case EndProper:
		return io.EOF
	case EndReset:
		return fmt.Errorf("through a relay: the upstream %s: %w", e, syscall.ECONNRESET)
	case EndTimeout:
		return fmt.Errorf("through a relay: the upstream %s: %w", e, syscall.ETIMEDOUT)
	default:
		return fmt.Errorf("through a relay: the upstream's side %s: %w", e, io.ErrUnexpectedEOF)
	}
}

// Ending describes a tunnel that has ended.
type Ending struct {
	Origin Origin
	// Target is the host:port of the upstream.
	Target string
	// Gateway and Upstream are how the sides ended.
	Gateway, Upstream End
	// Sent and Received are the numbers of bytes to and from the upstream.
	Sent, Received int64
	Lasted         time.Duration
}

// Proper reports whether no side ended otherwise than properly.
func (e Ending) Proper() bool { return e.Gateway <= EndProper && e.Upstream <= EndProper }

// String implements fmt.Stringer.
func (e Ending) String() string {
	return fmt.Sprintf("%s: the upstream's side %s, the gateway's side %s; %d bytes to the upstream, %d bytes from it in %.3f s",
		e.Target, e.Upstream, e.Gateway, e.Sent, e.Received, e.Lasted.Seconds())
}
