package gateway

import (
	"fmt"
	"io"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAttemptEnded_NamesFramingAndEnd checks that the line of an attempt tells an answer
// that was whole from one whose connection ended, which look alike to the caller.
func TestAttemptEnded_NamesFramingAndEnd(t *testing.T) {
	for _, c := range []struct {
		err  error
		f    Framing
		want string
	}{
		{io.EOF, FramedByLength, "with a length, all bytes came"},
		{io.EOF, FramedInChunks, "in chunks, last chunk came"},
		{io.EOF, FramedByConnection, "ended by its connection, connection closed"},
		{fmt.Errorf("read: %w", io.ErrUnexpectedEOF), FramedInChunks, "in chunks, connection closed"},
		{fmt.Errorf("read: %w", syscall.ECONNRESET), FramedByConnection, "ended by its connection, connection reset"},
		{io.ErrClosedPipe, FramedByLength, "with a length, given up"},
	} {
		sent := DispatchResult{Outcome: DispatchIncomplete, Status: 200, Framing: c.f, BytesEnd: EndOf(c.err, c.f), Events: 2, LastEvent: "5", WithinEvent: true, Conn: 7, ConnCalls: 3}
		text := describeAttempt(Dispatch{Target: Target{Name: "u"}}, "n2", "3", sent, attemptRetryElsewhere)
		must.Eq(t, `broken at u through n2 on connection 7 after 3 requests, status 200, 2 events after "3", the last one "5", `+c.want+" within an event; goes on elsewhere", text)
	}
}
