package gateway

import (
	"errors"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

// MaxBufferedAnswer is the size up to which a non-streamed answer is buffered
// until it is complete, in bytes. A longer answer is forwarded as it arrives.
const MaxBufferedAnswer = 256 << 10

// errStatusChanged ends a stream that resumed with another HTTP status than it
// began with.
var errStatusChanged = errors.New("the rest of the stream came with another status")

// relay forwards an upstream's answer to the caller. An answer that is not
// streamed is buffered until it is complete, so that a broken one becomes a
// failure without a partial answer.
type relay struct {
	sink   Sink
	placer Placer
	r      *Request
	grant  *scheduler.Grant

	header   AnswerHeader
	fields   []HeaderField
	buffered []byte
	begun    bool
	silence  *silenceTimer
	// onNotice is called with what the header of an answer says about its upstream.
	onNotice func(n scheduler.UpstreamNotice)
	// complete is true when the latest dispatch returned its complete answer.
	complete bool
}

func newRelay(sink Sink, placer Placer, r *Request) *relay {
	return &relay{sink: sink, placer: placer, r: r}
}

// Notice implements AnswerSink.
func (rl *relay) Notice(n scheduler.UpstreamNotice) { rl.onNotice(n) }

// setGrant sets the grant and the silence timer of the next dispatch.
func (rl *relay) setGrant(grant *scheduler.Grant, silence *silenceTimer) {
	rl.grant, rl.silence = grant, silence
}

// hasBufferedAnswer reports whether a complete answer is buffered.
func (rl *relay) hasBufferedAnswer() bool { return !rl.begun && rl.header.Status != 0 && rl.complete }

// Begin implements AnswerSink.
func (rl *relay) Begin(status int, contentType string) error {
	if rl.begun && status != rl.header.Status {
		return errStatusChanged
	}
	if rl.begun {
		return nil
	}
	rl.buffered, rl.complete = nil, false
	rl.header = AnswerHeader{
		Fields:      rl.fields,
		Status:      status,
		ContentType: contentType,
		Upstream:    rl.grant.Upstream,
		Version:     rl.grant.Version,
	}
	if rl.r.Stream && status < firstServerError {
		return rl.start()
	}
	return nil
}

// Fields implements AnswerSink. A stream that resumes at another upstream keeps
// the header fields that it began with.
func (rl *relay) Fields(fields []HeaderField) {
	if !rl.begun {
		rl.fields = fields
	}
}

// FirstToken implements AnswerSink.
func (rl *relay) FirstToken() {
	rl.silence.stop()
	rl.placer.FirstToken(rl.r.ID, 0)
}

// Write implements AnswerSink.
func (rl *relay) Write(part []byte) error {
	if rl.begun {
		return rl.sink.Write(part)
	}
	rl.buffered = append(rl.buffered, part...)
	if len(rl.buffered) <= MaxBufferedAnswer {
		return nil
	}
	return rl.Flush()
}

// Flush sends the buffered answer.
func (rl *relay) Flush() error {
	if rl.begun {
		return nil
	}
	if err := rl.start(); err != nil {
		return err
	}
	held := rl.buffered
	rl.buffered = nil
	return rl.sink.Write(held)
}

func (rl *relay) start() error {
	rl.begun = true
	return rl.sink.Begin(rl.header)
}
