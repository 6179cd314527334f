package tunnel

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"github.com/flamingohaven/flamingohaven/internal/transport/peerwatch"
)

// In a framed tunnel, what the upstream sends reaches the gateway in frames: a length of
// two bytes, big-endian, and as many bytes. The last frame has length 0 and is followed by
// one byte, the End of the upstream's side. Each read of the relay is passed on as a frame
// at once. The other direction is not framed. A timed last frame goes on with an endGap.
//
// A gateway asks for frames, and for a timed last one, in the CONNECT request, and a relay that
// sends them says so in its answer; otherwise the bytes pass as they are.
const (
	headerFrames = "Tunnel-Frames"
	framesV1     = "1"
	headerTimed  = "Tunnel-End-Times"
	timedV1      = "1"
	// frameHead is the size of a frame's length, in bytes.
	frameHead = 2
)

// appendLastFrame appends the frame that says how the upstream's side ended.
func appendLastFrame(b []byte, e End) []byte { return append(b, 0, 0, byte(e)) }

// endGap is the time from the last bytes of the upstream to its end, as the relay knows it: four
// bytes, big-endian, in milliseconds.
type endGap uint32

// endGapLate is sent where the relay read the last bytes so late that it can't tell.
const (
	endGapLate  endGap = math.MaxUint32
	endGapBytes        = 4
)

// endGapOf returns that of an upstream's side.
func endGapOf(e peerwatch.Ending) endGap {
	if e.Late {
		return endGapLate
	}
	return endGap(min(max(0, e.At.Sub(e.LastData)).Milliseconds(), int64(endGapLate)-1))
}

// frameReader reads what a relay sends in frames.
type frameReader struct {
	from *bufio.Reader
	// left is what is left of the current frame, in bytes.
	left int
	// end is how the upstream's side ended, once ended is true.
	end   End
	ended bool
	// timed is true if the last frame goes on with gap, and gapKnown once that has come.
	timed, gapKnown bool
	gap             endGap
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
			if gap := make([]byte, endGapBytes); r.timed {
				if _, err := io.ReadFull(r.from, gap); err == nil {
					r.gap, r.gapKnown = endGap(binary.BigEndian.Uint32(gap)), true
				}
			}
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
