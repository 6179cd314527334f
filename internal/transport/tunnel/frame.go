package tunnel

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

// In a framed tunnel, what the upstream sends reaches the gateway in frames: a length of
// two bytes, big-endian, and as many bytes. The last frame has length 0 and is followed by
// one byte, the End of the upstream's side. Each read of the relay is passed on as a frame
// at once. The other direction is not framed.
//
// A gateway asks for frames in the CONNECT request, and a relay that sends them says so in
// its answer; otherwise the bytes pass as they are.
const (
	headerFrames = "Tunnel-Frames"
	framesV1     = "1"
	// frameHead is the size of a frame's length, in bytes.
	frameHead = 2
)

// appendLastFrame appends the frame that says how the upstream's side ended.
func appendLastFrame(b []byte, e End) []byte { return append(b, 0, 0, byte(e)) }

// frameReader reads what a relay sends in frames.
type frameReader struct {
	from *bufio.Reader
	// left is what is left of the current frame, in bytes.
	left int
	// end is how the upstream's side ended, once ended is true.
	end   End
	ended bool
}

// Read implements io.Reader. It returns io.EOF only if the upstream ended properly.
func (r *frameReader) Read(p []byte) (int, error) {
	if r.ended {
		return 0, r.end.err()
	}
	if r.left == 0 {
		head, err := r.from.Peek(frameHead)
		if err != nil {
			return 0, r.fail(err)
		}
		r.left = int(binary.BigEndian.Uint16(head))
		_, _ = r.from.Discard(frameHead)
		if r.left == 0 {
			code, err := r.from.ReadByte()
			if err != nil {
				return 0, r.fail(err)
			}
			r.ended, r.end = true, End(code)
			return 0, r.end.err()
		}
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	if err != nil {
		err = r.fail(err)
	}
	return n, err
}

// fail returns the error of a tunnel that ends without its last frame.
func (r *frameReader) fail(err error) error {
	r.ended, r.end = true, EndUnknown
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return EndUnknown.err()
	}
	return fmt.Errorf("relay: %w", err)
}
