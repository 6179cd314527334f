package rpcnet

import (
	"fmt"
	"net"

	"github.com/flamingohaven/flamingohaven/internal/transport/connguard"
)

// MaxMessageBytes limits one message, in bytes. The largest legitimate one carries a
// whole configuration.
const MaxMessageBytes = 32 << 20

// frameLimiter follows the framing of the gob stream that is read from a connection
// and fails at a message longer than MaxMessageBytes, before the decoder collects
// it. A message is its length and as many bytes. A length below 128 is one byte; any
// other is the negated count of its bytes, then these, the most significant first.
type frameLimiter struct {
	net.Conn
	// lengthBytes is the number of bytes of the length that are still to come, and
	// length what has come of it. payload is the rest of the current message.
	lengthBytes int
	length      uint64
	payload     uint64
	// ready is true once a whole message has come.
	ready bool
}

// Read implements net.Conn.
func (f *frameLimiter) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if frameErr := f.follow(p[:n]); frameErr != nil {
		return 0, frameErr
	}
	return n, err
}

func (f *frameLimiter) follow(read []byte) error {
	for len(read) > 0 {
		if f.payload > 0 {
			skipped := min(f.payload, uint64(len(read)))
			f.payload -= skipped
			read = read[skipped:]
			if f.payload == 0 && !f.ready {
				f.markReady()
			}
			continue
		}
		if err := f.followLength(read[0]); err != nil {
			return err
		}
		read = read[1:]
	}
	return nil
}

// markReady tells the guard of the connection that a whole message has come.
func (f *frameLimiter) markReady() {
	f.ready = true
	if guarded, ok := f.Conn.(*connguard.Conn); ok {
		guarded.Ready()
	}
}

// followLength processes one byte of a length.
func (f *frameLimiter) followLength(b byte) error {
	const maxOneByte, maxLengthBytes = 0x7f, 8
	switch {
	case f.lengthBytes > 0:
		f.length = f.length<<8 | uint64(b)
		if f.lengthBytes--; f.lengthBytes > 0 {
			return nil
		}
		f.payload = f.length
	case b <= maxOneByte:
		f.payload = uint64(b)
	default:
		f.lengthBytes, f.length = -int(int8(b)), 0
		if f.lengthBytes > maxLengthBytes {
			return fmt.Errorf("rpc from %s: a message length of %d bytes", f.RemoteAddr(), f.lengthBytes)
		}
	}
	if f.payload > MaxMessageBytes {
		return fmt.Errorf("rpc from %s: a message of %d bytes, at most %d are read", f.RemoteAddr(), f.payload, MaxMessageBytes)
	}
	return nil
}
