package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
)

// Initial and maximum size of the buffer for one line of a stream, in bytes.
const (
	initialLineBytes = 4 << 10
	maxEventBytes    = 1 << 20
)

var (
	errTruncated   = errors.New("the answer was cut short")
	errWrongAnswer = errors.New("the answer belongs to another request")
)

// refusedError is a refusal sent as an event of a stream. It ends the attempt.
type refusedError struct {
	refusal callerapi.RefusalError
}

// Error implements error.
func (e *refusedError) Error() string {
	return fmt.Sprintf("refused: %s (%s)", e.refusal.Reason, e.refusal.Outcome)
}

// content is the text of an answer, its length in tokens and the arrival time of
// its first part. Of a stream, text and tokens are collected only to verify it.
type content struct {
	text    string
	tokens  int
	firstAt time.Time
}

// readAnswer reads an upstream's answer to its end and checks that it is
// complete. With verify it also checks that the answer belongs to this request.
// It returns errTruncated, errWrongAnswer or a refusedError, possibly wrapped.
func readAnswer(resp *http.Response, j *job, verify bool) (*content, error) {
	var c *content
	var err error
	switch {
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		c, err = readStream(resp.Body, verify)
	case j.class.Model != "":
		c, err = readCompletion(resp.Body)
	default:
		c, err = readService(resp.Body)
	}
	if err != nil {
		return nil, err
	}
	if !verify {
		return c, nil
	}
	if !strings.HasPrefix(c.text, j.echo) {
		return nil, errWrongAnswer
	}
	if j.class.Model != "" && c.tokens != j.outputTokens {
		return nil, fmt.Errorf("%w: %d of %d tokens", errTruncated, c.tokens, j.outputTokens)
	}
	return c, nil
}

// streamEvent is one event of a stream: a chunk, or a refusal that ends the stream.
type streamEvent struct {
	openai.Chunk
	Error *callerapi.RefusalError `json:"error"`
}

func readStream(body io.Reader, countTokens bool) (*content, error) {
	c := &content{}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxEventBytes)
	done := false
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data:")
		if !isData {
			continue
		}
		if c.firstAt.IsZero() {
			c.firstAt = time.Now()
		}
		if data = strings.TrimSpace(data); data == openai.DoneData {
			done = true
			continue
		}
		if err := c.addEvent(data, countTokens); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	if !done {
		return nil, errTruncated
	}
	return c, nil
}

// addEvent adds the text and the token of one event, if countTokens is set.
func (c *content) addEvent(data string, countTokens bool) error {
	var event streamEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return fmt.Errorf("decode stream event: %w", err)
	}
	if event.Error != nil {
		return &refusedError{refusal: *event.Error}
	}
	for _, choice := range event.Choices {
		if part := choice.Delta.Content + choice.Text; part != "" && countTokens {
			c.text += part
			c.tokens++
		}
	}
	return nil
}

func readCompletion(body io.Reader) (*content, error) {
	var completion openai.Completion
	if err := json.NewDecoder(body).Decode(&completion); err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	_, _ = io.Copy(io.Discard, body)
	c := &content{firstAt: time.Now()}
	if len(completion.Choices) > 0 {
		c.text = completion.Choices[0].Message.Content + completion.Choices[0].Text
	}
	if completion.Usage != nil {
		c.tokens = completion.Usage.CompletionTokens
	}
	return c, nil
}

func readService(body io.Reader) (*content, error) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errTruncated, err)
	}
	var answer fakes.ServiceAnswer
	_ = json.Unmarshal(raw, &answer)
	return &content{text: answer.Echo, firstAt: time.Now()}, nil
}
