package gateway

import (
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

// MaxBufferedAnswer bounds how much of an answer that the caller does not want
// streamed is held back until it is whole, in bytes.
const MaxBufferedAnswer = 1 << 20

// relay passes an upstream's answer to the caller. An answer that is not
// streamed is held back until it is whole, so that a broken one becomes a
// clean failure.
type relay struct {
	sink   Sink
	placer Placer
	r      *Request
	grant  *scheduler.Grant

	header AnswerHeader
	held   []byte
	begun  bool
}

func newRelay(sink Sink, placer Placer, r *Request, grant *scheduler.Grant) *relay {
	return &relay{sink: sink, placer: placer, r: r, grant: grant}
}

// Begin implements AnswerSink.
func (y *relay) Begin(status int, contentType string) error {
	y.header = AnswerHeader{
		Status:      status,
		ContentType: contentType,
		Upstream:    y.grant.Upstream,
		Version:     y.grant.Version,
	}
	if y.r.Stream {
		return y.start()
	}
	return nil
}

// FirstToken implements AnswerSink.
func (y *relay) FirstToken() {
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
