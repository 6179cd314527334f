package gateway

import (
	"errors"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

// MaxBufferedAnswer bounds how much of an answer that the caller does not want
// streamed is held back until it is whole, in bytes.
const MaxBufferedAnswer = 1 << 20

// errOtherStatus ends a stream whose rest another upstream failed.
var errOtherStatus = errors.New("the rest of the stream came with another status")

// relay passes an upstream's answer to the caller. An answer that is not
// streamed is held back until it is whole, so that a broken one becomes a
// clean failure.
type relay struct {
	sink   Sink
	placer Placer
	r      *Request
	grant  *scheduler.Grant

	header AnswerHeader
	fields []HeaderField
	held   []byte
	begun  bool
	watch  *silenceWatch
	// whole is true once a dispatch brought its whole answer.
	whole bool
}

func newRelay(sink Sink, placer Placer, r *Request) *relay {
	return &relay{sink: sink, placer: placer, r: r}
}

// under names the grant of the next dispatch and what watches for its silence.
func (y *relay) under(grant *scheduler.Grant, watch *silenceWatch) {
	y.grant, y.watch = grant, watch
}

// holdsAnswer tells whether a whole answer was held back.
func (y *relay) holdsAnswer() bool { return !y.begun && y.header.Status != 0 && y.whole }

// Begin implements AnswerSink.
func (y *relay) Begin(status int, contentType string) error {
	if y.begun && status != y.header.Status {
		return errOtherStatus
	}
	if y.begun {
		return nil
	}
	y.held, y.whole = nil, false
	y.header = AnswerHeader{
		Fields:      y.fields,
		Status:      status,
		ContentType: contentType,
		Upstream:    y.grant.Upstream,
		Version:     y.grant.Version,
	}
	if y.r.Stream && status < firstServerError {
		return y.start()
	}
	return nil
}

// Fields implements AnswerSink. A stream that goes on elsewhere keeps those of
// its beginning.
func (y *relay) Fields(fields []HeaderField) {
	if !y.begun {
		y.fields = fields
	}
}

// FirstToken implements AnswerSink.
func (y *relay) FirstToken() {
	y.watch.stop()
	y.placer.FirstToken(y.r.ID, 0)
}

// Write implements AnswerSink.
func (y *relay) Write(part []byte) error {
	if y.begun {
		return y.sink.Write(part)
	}
	y.held = append(y.held, part...)
	if len(y.held) <= MaxBufferedAnswer {
		return nil
	}
	return y.Flush()
}

// Flush sends what was held back.
func (y *relay) Flush() error {
	if y.begun {
		return nil
	}
	if err := y.start(); err != nil {
		return err
	}
	held := y.held
	y.held = nil
	return y.sink.Write(held)
}

func (y *relay) start() error {
	y.begun = true
	return y.sink.Begin(y.header)
}
