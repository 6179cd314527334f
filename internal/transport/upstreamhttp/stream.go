package upstreamhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
)

const (
	// StreamIdleTimeout is how long an engine's stream may go without any data,
	// heartbeat comments included, before its connection is closed.
	StreamIdleTimeout = 3 * time.Second
	// MaxResumes limits the attempts to resume one stream.
	MaxResumes = 5
	// ResumeDelay is the delay before each attempt to resume a stream.
	ResumeDelay = 50 * time.Millisecond
	// MaxEventBytes limits the size of one server-sent event.
	MaxEventBytes = 1 << 20
)

var (
	errStreamIdle     = errors.New("no data from the stream within the idle timeout")
	errAnswerMismatch = errors.New("the stream continues with another answer")
	errNoStream       = errors.New("the rest of the stream is no event stream")
	errForeignText    = errors.New("text that is no event within the stream")
)

func isStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// streamReader forwards the events of one answer, which may arrive over several
// connections, to a sink.
type streamReader struct {
	sink gateway.AnswerSink
	// status is the HTTP status of the first response; zero before it.
	status int
	// events is the number of data events forwarded; a resumed stream continues
	// after them.
	events int
	tokens int
	// framing is that of the latest response.
	framing gateway.Framing
	// answerID is the id that all chunks of the answer have.
	answerID string
	// writeErr is the error of the last write to the sink. A stream is not
	// resumed after a failed write, since the failure is on the caller's side.
	writeErr error
	// cutErr is the first error that cut the stream.
	cutErr error
}

// resumeUntilDone resumes a stream that ended with err until it is complete, can't
// be resumed or MaxResumes is reached, and returns the result of the dispatch.
func (s *Sender) resumeUntilDone(ctx context.Context, d gateway.Dispatch, reader *streamReader, err error) gateway.DispatchResult {
	result := gateway.DispatchResult{Outcome: gateway.DispatchIncomplete}
	for reader.canResume(err) && result.Resumed < MaxResumes && ctx.Err() == nil {
		result.Resumed++
		s.resumed.Add(1)
		err = s.resume(ctx, d, reader)
	}
	result.Status = reader.status
	result.OutputTokens, result.Events = reader.tokens, reader.events
	result.Framing, result.BytesEnd = reader.framing, reader.end(err)
	result.Err = err
	result.Broken = reader.writeErr == nil && isBrokenOff(reader.cutErr)
	switch {
	case err == nil:
		result.Outcome = gateway.DispatchComplete
	case errors.Is(err, errAnswerMismatch):
		result.Outcome = gateway.DispatchMismatched
	}
	return result
}

// resume asks the same engine for the rest of a broken stream, after the events
// that were forwarded already. It is part of the same dispatch.
func (s *Sender) resume(ctx context.Context, d gateway.Dispatch, reader *streamReader) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(ResumeDelay):
	}
	url := fmt.Sprintf("%s?after=%d", streamURL(d), reader.events)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("resume: %w", err)
	}
	response, err := s.unpooled.Do(request)
	if err != nil {
		return fmt.Errorf("resume: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("resume: engine answered %s", response.Status)
	}
	if response.Header.Get(upstreamapi.HeaderRequestID) != string(d.Request.ID) {
		return errAnswerMismatch
	}
	if !isStream(response) {
		return fmt.Errorf("%w: content type %q", errNoStream, response.Header.Get("Content-Type"))
	}
	reader.sink.Notice(noticeOf(response))
	return reader.forwardResponse(response)
}

// end returns how the bytes of the answer ended; zero if none came.
func (r *streamReader) end(err error) gateway.BytesEnd {
	switch {
	case r.framing == 0:
		return 0
	case err == nil:
		return gateway.EndMarked
	default:
		return gateway.EndOf(err, gateway.FramedByConnection)
	}
}

// canResume reports whether the rest of the stream may be available over another
// connection after err.
func (r *streamReader) canResume(err error) bool {
	if r.cutErr == nil {
		r.cutErr = err
	}
	return err != nil && r.writeErr == nil && !errors.Is(err, errAnswerMismatch)
}

// forwardResponse forwards the header, if it is that of the first response, and the
// events of a response.
func (r *streamReader) forwardResponse(response *http.Response) error {
	r.framing = framingOf(response)
	if r.status == 0 {
		r.status = response.StatusCode
		r.writeErr = r.sink.Begin(headOf(response))
		if r.writeErr != nil {
			return r.writeErr
		}
	}
	return r.forwardEvents(response.Body)
}

// forwardEvents forwards events up to and including the end marker of the stream.
// It returns nil only if it reached the marker.
func (r *streamReader) forwardEvents(body io.ReadCloser) error {
	idleTimer := time.AfterFunc(StreamIdleTimeout, func() { _ = body.Close() })
	defer idleTimer.Stop()
	lines := bufio.NewReaderSize(body, copyBufferSize)
	var event []byte
	for {
		line, err := lines.ReadSlice('\n')
		if !idleTimer.Stop() {
			return errStreamIdle
		}
		idleTimer.Reset(StreamIdleTimeout)
		event = append(event, line...)
		if len(event) > MaxEventBytes {
			return fmt.Errorf("event exceeds %d bytes", MaxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return fmt.Errorf("stream cut after %d events: %w", r.events, err)
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		done, err := r.forwardEvent(event)
		if done || err != nil {
			return err
		}
		event = event[:0]
	}
}

// forwardEvent forwards one complete event and reports whether it was the end marker.
func (r *streamReader) forwardEvent(event []byte) (bool, error) {
	data, ok := eventData(event)
	if !ok && r.events > 0 && isForeign(event) {
		return false, errForeignText
	}
	if !ok {
		return false, r.writeToSink(event)
	}
	if string(data) == openai.DoneData {
		return true, r.writeToSink(event)
	}
	if !r.matchesAnswer(data) {
		return false, errAnswerMismatch
	}
	if r.events == 0 {
		r.sink.FirstToken()
	}
	if err := r.writeToSink(event); err != nil {
		return false, err
	}
	r.events++
	r.tokens++
	return false, nil
}

func (r *streamReader) writeToSink(event []byte) error {
	r.writeErr = r.sink.Write(event)
	return r.writeErr
}

// matchesAnswer reports whether a chunk has the same id as the first chunk of the
// answer.
func (r *streamReader) matchesAnswer(data []byte) bool {
	var chunk struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &chunk) != nil {
		return false
	}
	if r.answerID == "" {
		r.answerID = chunk.ID
	}
	return chunk.ID == r.answerID
}

// isForeign reports whether a part of a stream without data is text that is no event: it
// has lines other than comments and the fields of an event.
func isForeign(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "", "event", "id", "retry":
		default:
			return true
		}
	}
	return false
}

// eventData returns the data of an event's first data line. It reports false if
// there is none, as in a comment.
func eventData(event []byte) ([]byte, bool) {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimSpace(data), true
		}
	}
	return nil, false
}
