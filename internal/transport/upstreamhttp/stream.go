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
	// StreamIdleTimeout is how long an engine's stream may bring no byte, heartbeat
	// comments included, before its connection is given up.
	StreamIdleTimeout = 3 * time.Second
	// MaxResumes bounds how often one broken stream is taken up again.
	MaxResumes = 5
	// ResumeDelay is the pause before a broken stream is taken up again.
	ResumeDelay = 50 * time.Millisecond
	// MaxEventBytes bounds one server-sent event.
	MaxEventBytes = 1 << 20
)

var (
	errStreamIdle     = errors.New("stream brought nothing within the limit on silence")
	errAnswerMismatch = errors.New("stream changed to another answer")
)

func isStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// streamReader passes on the events of one answer over one or more connections.
type streamReader struct {
	sink gateway.AnswerSink
	// status is that of the first response; zero before it.
	status int
	// events counts the data events passed on; a resume starts after them.
	events int
	tokens int
	// answerID is the id that every chunk of the answer carries.
	answerID string
	// writeErr marks a failure of the caller's side, which no resume can mend.
	writeErr error
}

// resumeUntilDone takes up a broken stream until it ends whole or can't be mended.
func (s *Sender) resumeUntilDone(ctx context.Context, d gateway.Dispatch, reader *streamReader, err error) gateway.DispatchResult {
	result := gateway.DispatchResult{Outcome: gateway.DispatchBroken}
	for reader.canResume(err) && result.Resumed < MaxResumes && ctx.Err() == nil {
		result.Resumed++
		s.resumed.Add(1)
		err = s.resume(ctx, d, reader)
	}
	result.Status = reader.status
	result.OutputTokens = reader.tokens
	result.Err = err
	switch {
	case err == nil:
		result.Outcome = gateway.DispatchWhole
	case errors.Is(err, errAnswerMismatch):
		result.Outcome = gateway.DispatchCrossed
	}
	return result
}

// resume takes up a broken stream at the same engine after the events that were
// passed on already. It is part of the same dispatch.
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
	return reader.forwardResponse(response)
}

// canResume reports whether another connection can bring the rest.
func (r *streamReader) canResume(err error) bool {
	return err != nil && r.writeErr == nil && !errors.Is(err, errAnswerMismatch)
}

// forwardResponse passes on what a response brings.
func (r *streamReader) forwardResponse(response *http.Response) error {
	if r.status == 0 {
		r.status = response.StatusCode
		r.writeErr = r.sink.Begin(response.StatusCode, response.Header.Get("Content-Type"))
		if r.writeErr != nil {
			return r.writeErr
		}
	}
	return r.forwardEvents(response.Body)
}

// forwardEvents passes on events until the stream's end mark. It returns nil only then.
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

// forwardEvent passes on one whole forwardEvent. It reports whether it was the end mark.
func (r *streamReader) forwardEvent(event []byte) (bool, error) {
	data, ok := eventData(event)
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

// matchesAnswer reports whether a chunk belongs to the answer that the stream began.
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

// eventData returns the data of an event; comments have none.
func eventData(event []byte) ([]byte, bool) {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return bytes.TrimSpace(data), true
		}
	}
	return nil, false
}
