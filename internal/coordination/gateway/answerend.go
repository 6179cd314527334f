package gateway

import (
	"errors"
	"io"
	"syscall"
)

// Framing is how an upstream marks the end of an answer's body.
type Framing uint8

const (
	// FramedByLength means that the header says how long the body is, or that the
	// answer has none.
	FramedByLength Framing = iota + 1
	// FramedInChunks means that a last chunk ends the body.
	FramedInChunks
	// FramedByConnection means that the body ends where its connection does. Nothing
	// vouches for such an end: the kernel of an upstream that was killed closes its
	// connections like one that has finished.
	FramedByConnection
	// FramedByMarker means that a marker within the body ends it.
	FramedByMarker
)

var framingNames = map[Framing]string{
	FramedByLength: "with a length", FramedInChunks: "in chunks", FramedByConnection: "ended by its connection",
	FramedByMarker: "with an end marker",
}

// String implements fmt.Stringer.
func (f Framing) String() string { return framingNames[f] }

// BytesEnd is how the bytes of an answer ended.
type BytesEnd uint8

const (
	// EndMarked means that the length was reached or the last chunk came.
	EndMarked BytesEnd = iota + 1
	// EndClosed means that the upstream's side closed the connection, and EndReset that
	// it was reset.
	EndClosed
	EndReset
	// EndOther means that the answer was given up, or that its bytes are none.
	EndOther
)

// EndOf returns how the bytes of an answer ended whose last read returned err.
func EndOf(err error, f Framing) BytesEnd {
	switch {
	case err == io.EOF && f != FramedByConnection:
		return EndMarked
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return EndClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return EndReset
	default:
		return EndOther
	}
}

// describe says how the bytes of an answer with a framing ended.
func (e BytesEnd) describe(f Framing) string {
	switch e {
	case EndMarked:
		switch f {
		case FramedInChunks:
			return "last chunk came"
		case FramedByMarker:
			return "marker came"
		}
		return "all bytes came"
	case EndClosed:
		return "connection closed"
	case EndReset:
		return "connection reset"
	default:
		return "given up"
	}
}

// errNoEndMark ends an answer that began with a length or in chunks and whose rest came in
// one that is ended by its connection.
var errNoEndMark = errors.New("the rest ended with its connection, and nothing marks its end")

// requireEndMark returns the result of a dispatch whose end may not stand for that of the
// caller's answer: hasEndMark is true if that has a mark of its end.
func requireEndMark(sent DispatchResult, hasEndMark bool) DispatchResult {
	if sent.Outcome == DispatchComplete && sent.Framing == FramedByConnection && sent.BytesEnd == EndClosed && hasEndMark {
		sent.Outcome, sent.Err = DispatchIncomplete, errNoEndMark
	}
	return sent
}

// streamFault returns why the end of a stream's bytes is not the end of the stream; nil
// if it may be.
func streamFault(sent DispatchResult) error {
	switch {
	case sent.WithinEvent:
		return errors.New("the stream ended within an event")
	case sent.BytesEnd == EndClosed && sent.Events == 0:
		return errors.New("the connection ended before the first event")
	}
	return nil
}
