package gateway

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

// MaxBufferedAnswer is the size up to which a non-streamed answer is buffered
// until it is complete, in bytes. A longer answer is forwarded as it arrives.
const MaxBufferedAnswer = 256 << 10

// maxHeldText is the size up to which text that comes before the first event of a stream
// is held back, in bytes.
const maxHeldText = 4 << 10

// relay forwards an upstream's answer to the caller. An answer that is not
// streamed is buffered until it is complete, so that a broken one becomes a
// failure without a partial answer.
type relay struct {
	sink   Sink
	placer Placer
	r      *Request
	grant  *scheduler.Grant

	// reservation accounts for the memory of what is buffered.
	reservation *Reservation

	header   AnswerHeader
	fields   []HeaderField
	buffered answerBuffer
	begun    bool
	silence  *silenceTimer
	// onNotice is called with what the header of an answer says about its upstream.
	onNotice func(n scheduler.UpstreamNotice)
	// head is that of the answer that began, and position how far its stream has come.
	head     AnswerHead
	position streamPosition
	// connAge is that of the latest answer.
	connAge time.Duration
	// continues is true while an answer has to go on after the position, joined if what
	// it goes on with is part of the same answer to the caller, and recognized once its
	// first event did.
	continues, joined, recognized bool
	// part holds the events that are passed on together.
	part []byte
	// held begins with text that is no event. It is passed on once an event or the end of
	// the answer follows, and dropped if the answer fails before.
	held []byte
	// complete is true when the latest dispatch returned its complete answer.
	complete bool
}

func newRelay(sink Sink, placer Placer, r *Request, reservation *Reservation) *relay {
	return &relay{sink: sink, placer: placer, r: r, reservation: reservation, position: streamPosition{last: r.ResumeAfter}}
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
func (rl *relay) Begin(head AnswerHead) error {
	rl.continues = rl.r.Resumable && head.EventStream && rl.position.last != ""
	rl.joined, rl.recognized = rl.begun && rl.position.events > 0, false
	rl.held, rl.connAge = nil, head.ConnAge
	if rl.begun {
		return rl.position.checkHead(rl.head, head)
	}
	rl.dropBuffered()
	rl.complete = false
	rl.head = head
	rl.header = AnswerHeader{
		Fields:      rl.fields,
		Status:      head.Status,
		ContentType: head.ContentType,
		Framing:     head.Framing,
		Upstream:    rl.grant.Upstream,
		Version:     rl.grant.Version,
	}
	if rl.r.Stream && head.Status < firstServerError {
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
	rl.placer.FirstToken(rl.r.ID, 0, rl.connAge)
}

// hasEndMark reports whether the answer to the caller has begun with a mark of its end that
// the end of a connection can't stand for.
func (rl *relay) hasEndMark() bool { return rl.begun && rl.head.Framing != FramedByConnection }

// canResume reports whether another upstream may go on with the answer.
func (rl *relay) canResume() bool {
	return !rl.begun || rl.head.EventStream && rl.position.canContinue()
}

// requireRest returns the result of a dispatch that was to go on with the answer to the
// caller. A rest without any event may be the truth, if the former upstream broke off right
// after its last event, or the answer of an upstream that doesn't know the stream. Nothing in
// it tells which, so it counts only if the stream can't have more events.
func (rl *relay) requireRest(sent DispatchResult) DispatchResult {
	if sent.Outcome == DispatchComplete && rl.joined && !rl.recognized && !rl.position.isFull(rl.r.MaxOutputTokens) {
		sent.Outcome, sent.Err = DispatchIncomplete, rl.position.refuse("nothing follows, %d events of at most %d tokens came", rl.position.events, rl.r.MaxOutputTokens)
	}
	return sent
}

// Events implements AnswerSink. Nothing of an answer that goes on with a stream is passed
// on before its first event has shown that it does.
func (rl *relay) Events(events []StreamEvent) (int, error) {
	recognized := rl.recognized
	passed := 0
	rl.part = rl.part[:0]
	var refused error
	for _, e := range events {
		if refused = rl.check(e); refused != nil {
			break
		}
		passed++
		if rl.joined && !rl.recognized && e.Kind != EventData {
			continue
		}
		if rl.holds(e) {
			rl.held = append(rl.held, e.Bytes...)
			continue
		}
		rl.recognized = rl.recognized || e.Kind == EventData
		rl.part = append(rl.part, rl.releaseHeld()...)
		rl.position.advance(e)
		rl.part = append(rl.part, e.Bytes...)
	}
	if rl.recognized && !recognized {
		rl.FirstToken()
	}
	if len(rl.part) > 0 {
		if err := rl.Write(rl.part); err != nil {
			return passed, err
		}
	}
	return passed, refused
}

// holds reports whether a part that comes before the first event of a stream is held back.
func (rl *relay) holds(e StreamEvent) bool {
	if !rl.begun || !rl.head.EventStream || rl.position.events > 0 || rl.position.foreign || e.Kind == EventData {
		return false
	}
	return (e.Kind == EventForeign || len(rl.held) > 0) && len(rl.held)+len(e.Bytes) <= maxHeldText
}

// releaseHeld returns the text that was held back, to be passed on.
func (rl *relay) releaseHeld() []byte {
	held := rl.held
	rl.held = nil
	rl.position.foreign = rl.position.foreign || len(held) > 0
	return held
}

// heldBack returns the size of the text that was held back, in bytes.
func (rl *relay) heldBack() int { return len(rl.held) }

// check returns why an event may not be passed on; nil if it may.
func (rl *relay) check(e StreamEvent) error {
	switch {
	case e.Kind == EventForeign && rl.head.EventStream && (rl.continues || rl.position.events > 0):
		return rl.position.refuse("text that is no event")
	case !rl.continues || e.Kind == EventControl || rl.recognized && e.ID == "":
		return nil
	default:
		return rl.position.checkNext(e)
	}
}

// Write implements AnswerSink.
func (rl *relay) Write(part []byte) error {
	if rl.begun {
		return rl.sink.Write(part)
	}
	if rl.buffered.size+len(part) <= MaxBufferedAnswer && rl.reservation.holdAnswer(len(part), time.Now()) {
		rl.buffered.add(part)
		return nil
	}
	if err := rl.Flush(); err != nil {
		return err
	}
	return rl.sink.Write(part)
}

// dropBuffered drops the answer that is buffered.
func (rl *relay) dropBuffered() {
	rl.buffered.clear()
	rl.reservation.dropAnswer()
}

// writeBuffered writes the answer that is buffered to the caller, and returns the memory of
// each piece as soon as the caller's connection has taken it.
func (rl *relay) writeBuffered() error {
	defer rl.dropBuffered()
	rl.reservation.writeAnswer(rl.sink, time.Now())
	for i, piece := range rl.buffered.pieces {
		err := rl.sink.Write(piece)
		if rl.reservation.isGivenUp() {
			return errSlowCaller
		}
		if err != nil {
			return err
		}
		rl.buffered.pieces[i] = nil
		rl.reservation.answerWritten(len(piece), time.Now())
	}
	return nil
}

// Flush sends what is buffered of the answer or was held back.
func (rl *relay) Flush() error {
	if rl.begun {
		if held := rl.releaseHeld(); len(held) > 0 {
			return rl.sink.Write(held)
		}
		return nil
	}
	if err := rl.start(); err != nil {
		return err
	}
	return rl.writeBuffered()
}

func (rl *relay) start() error {
	rl.begun = true
	return rl.sink.Begin(rl.header)
}
