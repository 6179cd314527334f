package gateway

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// AnswerHead is what the header of an upstream's answer says about its body.
type AnswerHead struct {
	Status      int
	ContentType string
	Framing     Framing
	// EventStream is true if the body consists of events.
	EventStream bool
	// ConnAge is how long before the sending the connection was opened; 0 if unknown.
	ConnAge time.Duration
}

// EventKind is what a part of a stream is that ends with an empty line.
type EventKind uint8

const (
	// EventData has an id or data.
	EventData EventKind = iota + 1
	// EventControl has comments and fields that hold nothing for the caller.
	EventControl
	// EventForeign is text that is no event.
	EventForeign
)

// StreamEvent is a part of a stream that ends with an empty line.
type StreamEvent struct {
	Kind EventKind
	// ID is the event's id; empty if it has none.
	ID string
	// Bytes holds the whole part. It is only valid during the call that passes it.
	Bytes []byte
}

// ContinuationError means that an answer does not go on with the stream that the caller
// has a part of.
type ContinuationError struct {
	// After is the id of the last event that the caller has.
	After, Reason string
}

// Error implements error.
func (e *ContinuationError) Error() string {
	return fmt.Sprintf("no continuation after %q: %s", e.After, e.Reason)
}

// streamPosition is how far a stream has come at the caller. It decides whether an answer
// goes on with it.
//
// Ids of one stream increase. What the ids can't show stays unnoticed: an event that is
// missing where the steps between ids varied before or none was seen, or where ids are
// no numbers.
type streamPosition struct {
	// last is the id of the last event that the caller has; empty if it has none.
	last string
	// events is the number of events that were passed on.
	events int
	// unnumbered is true if an event without an id was passed on after the last id: the
	// stream can't go on after it elsewhere.
	unnumbered bool
	// foreign is true if text that is no event was passed on: no other answer can be known
	// to go on with it.
	foreign bool
	// stride is the step between the ids of all events passed on; 0 if none was seen or
	// steps varied.
	stride  uint64
	strides int
}

// canContinue reports whether another answer can go on after the position.
func (p *streamPosition) canContinue() bool {
	return !p.foreign && (p.events == 0 || p.last != "" && !p.unnumbered)
}

// isFull reports whether a stream of at most so many tokens, 0 if unknown, can have no more
// events: each has one token or more.
func (p *streamPosition) isFull(maxTokens int) bool { return maxTokens > 0 && p.events >= maxTokens }

// checkHead returns why an answer can't go on with a stream that began with another
// answer; nil if it can.
func (p *streamPosition) checkHead(begun, next AnswerHead) error {
	switch {
	case next.Status != begun.Status:
		return p.refuse("status %d, the stream began with %d", next.Status, begun.Status)
	case !next.EventStream:
		return p.refuse("no event stream but content type %q", next.ContentType)
	case mediaType(next.ContentType) != mediaType(begun.ContentType):
		return p.refuse("content type %q, the stream began with %q", next.ContentType, begun.ContentType)
	}
	return nil
}

// mediaType returns a content type without its parameters.
func mediaType(contentType string) string {
	name, _, _ := strings.Cut(contentType, ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// checkNext returns why an event of an answer that goes on after the position is not the
// next one; nil if nothing shows that it isn't.
func (p *streamPosition) checkNext(e StreamEvent) error {
	if e.Kind == EventForeign {
		return p.refuse("text that is no event")
	}
	if e.ID == "" {
		return p.refuse("an event without an id")
	}
	if e.ID == p.last {
		return p.refuse("event %q comes twice", e.ID)
	}
	last, lastErr := strconv.ParseUint(p.last, 10, 64)
	next, nextErr := strconv.ParseUint(e.ID, 10, 64)
	switch {
	case lastErr != nil || nextErr != nil:
		return nil
	case next <= last:
		return p.refuse("event %q comes twice", e.ID)
	case p.stride > 0 && next-last > p.stride:
		return p.refuse("event %q follows, ids went up by %d before", e.ID, p.stride)
	}
	return nil
}

func (p *streamPosition) refuse(format string, values ...any) error {
	return &ContinuationError{After: p.last, Reason: fmt.Sprintf(format, values...)}
}

// advance records that an event is passed on.
func (p *streamPosition) advance(e StreamEvent) {
	if e.Kind != EventData {
		p.foreign = p.foreign || e.Kind == EventForeign
		return
	}
	p.events++
	if e.ID == "" {
		p.unnumbered = true
		return
	}
	last, lastErr := strconv.ParseUint(p.last, 10, 64)
	next, nextErr := strconv.ParseUint(e.ID, 10, 64)
	if lastErr == nil && nextErr == nil && next > last && !p.unnumbered {
		step := next - last
		if p.strides > 0 && step != p.stride {
			step = 0
		}
		p.stride = step
		p.strides++
	}
	p.last, p.unnumbered = e.ID, false
}
