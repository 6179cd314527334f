package h1conn

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/transport/peerwatch"
)

// Answer is the answer to a call. The caller must close its body. The connection
// is reused only if the body was read to the end.
type Answer struct {
	*http.Response
	client    *Client
	conn      *persistConn
	writeDone <-chan error
	// writeErr is the result of writeDone once wrote is true.
	writeErr      error
	wrote         bool
	stopAfterFunc func() bool
	releaseOnce   sync.Once
	sawEOF        bool
	// hasBody is false for an answer that never has one, such as that to HEAD.
	hasBody bool
	// pace records when the parts of the body came, and ending when it ended.
	pace   peerwatch.Pace
	ending peerwatch.Ending
}

// EndsWithConnection reports whether the body has neither a length nor chunks, so that
// it ends where the connection does.
func (a *Answer) EndsWithConnection() bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.hasBody
}

// receive reads the header of the answer that belongs to the call. It skips interim
// answers (1xx) and a limited number of answers to other requests.
func (pc *persistConn) receive(call Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	pc.head.limited, pc.head.left = true, maxHeadBytes
	defer func() { pc.head.limited = false }()
	for mismatched := 0; mismatched <= maxMismatched; {
		response, err := http.ReadResponse(pc.reader, request)
		if err != nil {
			return nil, fmt.Errorf("answer: %w", err)
		}
		if pc.calls > 1 && isSpliced(response) {
			return nil, fmt.Errorf("%w: the header of one that was broken off goes on with another's status line", ErrAnswerMismatch)
		}
		switch status := response.StatusCode; {
		case !IsAnswerStatus(status):
			return nil, fmt.Errorf("%w: %q", ErrMalformedStatus, response.Status)
		case status < http.StatusOK:
			continue
		}
		if call.Matches == nil || call.Matches(response.Header) {
			return response, nil
		}
		mismatched++
		if !pc.skipBody(response) {
			return nil, ErrAnswerMismatch
		}
	}
	return nil, ErrAnswerMismatch
}

// ErrMalformedStatus means that an answer has a status that no answer to the request has.
var ErrMalformedStatus = errors.New("malformed status")

// IsAnswerStatus reports whether an answer may have a status: three digits from 100 to 599,
// but for 101, which no request asks for. What follows another one is not known to be an
// answer.
func IsAnswerStatus(status int) bool {
	return status >= http.StatusContinue && status <= 599 && status != http.StatusSwitchingProtocols
}

// statusLine matches the beginning of an answer.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// isSpliced reports whether another answer begins within the header of an answer. A server
// that breaks off a second answer to an earlier call within its header leaves a field, or a
// status line, that goes on with the next answer.
func isSpliced(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// skipBody reads the body of an answer to another request. It reports whether the
// next answer may follow.
func (pc *persistConn) skipBody(response *http.Response) bool {
	pc.head.limited = false
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
	pc.head.limited = true
	return err == nil && n <= maxSkippedBytes && !response.Close
}

// eofTrackingBody records whether the answer's body was read to the end.
type eofTrackingBody struct {
	io.ReadCloser
	answer *Answer
}

// Read implements io.Reader.
func (b *eofTrackingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.answer.endsWithConn() {
		b.answer.pace.Read(n, b.answer.conn.Conn, time.Now())
	}
	if err == io.EOF && b.answer.endsWithConn() && !b.answer.sentWhole() {
		// The kernel reports a reset once: the write has it, and the read gets an end.
		err = fmt.Errorf("the connection ended while the request was sent: %w", io.ErrUnexpectedEOF)
	}
	if err == io.EOF {
		b.answer.sawEOF = true
		b.answer.ending = b.answer.pace.End(b.answer.conn.Conn, time.Now())
	}
	return n, err
}

// Ending returns when the body ended that was read to its end.
func (a *Answer) Ending() peerwatch.Ending { return a.ending }

// endsWithConn reports whether only the end of the connection ends the answer.
func (a *Answer) endsWithConn() bool { return a.ContentLength < 0 && len(a.TransferEncoding) == 0 }

// sentWhole reports whether the request was sent whole. It waits for writeEndTimeout if
// that isn't known.
func (a *Answer) sentWhole() bool {
	if !a.wrote {
		_ = a.conn.SetWriteDeadline(time.Now().Add(writeEndTimeout))
		a.wrote, a.writeErr = true, <-a.writeDone
	}
	return a.writeErr == nil
}

// Close implements io.Closer. It puts the connection back into the pool if the
// answer was read completely.
func (b *eofTrackingBody) Close() error {
	b.answer.releaseOnce.Do(b.answer.release)
	return nil
}

func (a *Answer) release() {
	notCanceled := a.stopAfterFunc()
	keep := notCanceled && a.sawEOF && !a.Response.Close && a.conn.reader.Buffered() == 0 && len(a.conn.carried) < maxCarried
	select {
	case a.writeErr = <-a.writeDone:
		a.wrote = true
	default:
	}
	keep = keep && a.wrote && a.writeErr == nil
	if !keep || !a.client.putIdle(a.conn, idleTimeoutFor(a.Header)) {
		a.conn.answered.Store(a.sawEOF)
		_ = a.conn.Close()
	}
}

// headLimiter passes reads through until a limit is set and reached. The limit is
// up to readBufferSize too generous, since the reader above it reads ahead.
type headLimiter struct {
	io.Reader
	limited bool
	left    int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
