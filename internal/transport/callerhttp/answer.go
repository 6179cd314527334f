package callerhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/transport/callerconn"
)

func (s *Server) serveAddresses(w http.ResponseWriter, r *http.Request) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.directory.AddressesFor(r.RemoteAddr))
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := newRequestID()
	w.Header().Set(callerapi.HeaderRequestID, string(id))
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Time{})
	parsed, refusal := s.parse(w, r, id, start)
	if refusal != nil {
		refusal.Outcome = outcomeOfUnparsed(r, refusal.Reason)
		s.writeRefusal(w, id, refusal)
		s.observer.Finished(FinishedRequest{Request: parsed, Refusal: refusal, Elapsed: time.Since(start)})
		return
	}
	sink := &sink{writer: w, control: control, request: r, stream: parsed.Stream}
	result := s.handler.Serve(r.Context(), parsed, sink)
	if result.Failure == nil {
		sink.end()
		s.observer.Finished(FinishedRequest{Request: parsed, Answer: sink.header, Elapsed: time.Since(start)})
		return
	}
	refusal = s.refusalFrom(r, parsed, result.Failure)
	s.observer.Finished(FinishedRequest{Request: parsed, Answer: sink.header, Refusal: refusal, Elapsed: time.Since(start)})
	if !result.Failure.Begun {
		s.writeRefusal(w, id, refusal)
		return
	}
	sink.abort(id, refusal)
}

// outcomeOfUnparsed returns the outcome of a request that parse refused. No request runs
// under a malformed key.
func outcomeOfUnparsed(r *http.Request, reason callerapi.Reason) callerapi.Outcome {
	if reason == callerapi.ReasonKeyMalformed {
		return callerapi.NotRun
	}
	return callerapi.Outcome(gateway.OutcomeBeforeParsing(r.Header.Get(callerapi.HeaderIdempotencyKey)))
}

// refusalFrom converts a failure of the gateway to the refusal that the caller gets.
func (s *Server) refusalFrom(r *http.Request, parsed *gateway.Request, f *gateway.Failure) *callerapi.RefusalError {
	refusal := &callerapi.RefusalError{
		Reason:            callerapi.Reason(f.Reason),
		Message:           f.Message,
		Outcome:           callerapi.Outcome(gateway.OutcomeOf(parsed, f)),
		Tier:              parsed.Tier,
		RetryAfterSeconds: f.RetryAfter.Seconds(),
	}
	if scheduler.Reason(f.Reason) == scheduler.ReasonCutOff || scheduler.Reason(f.Reason) == scheduler.ReasonDraining {
		refusal.Addresses = s.otherAddresses(r.RemoteAddr)
	}
	return refusal
}

func (s *Server) otherAddresses(caller string) []string {
	var addresses []string
	for _, a := range s.directory.AddressesFor(caller).Addresses {
		addresses = append(addresses, a.Address)
	}
	return addresses
}

func (s *Server) writeRefusal(w http.ResponseWriter, id ident.RequestID, refusal *callerapi.RefusalError) {
	refusal.RequestID = id
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(callerapi.HeaderOutcome, string(refusal.Outcome))
	if refusal.RetryAfterSeconds > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfterSeconds))))
	}
	if closesConnection(refusal.Reason) {
		header.Set("Connection", "close")
	}
	w.WriteHeader(refusal.Status())
	_ = json.NewEncoder(w).Encode(callerapi.Refusal{Error: *refusal})
}

// closesConnection reports whether the caller may still be sending a request body
// after a refusal with the reason, so that the connection can't be reused.
func closesConnection(reason callerapi.Reason) bool {
	return reason == callerapi.ReasonTooLarge || reason == callerapi.ReasonTooSlow
}

// sink writes an answer to a caller.
type sink struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	request *http.Request
	stream  bool
	header  gateway.AnswerHeader
	// written is the size of the body so far. ended, if set, allows a proper end of the
	// connection.
	written int
	ended   func()
	// aborted is true once writes are to fail.
	aborted atomic.Bool
}

// errWriteAborted is the error of a write after Abort.
var errWriteAborted = errors.New("the answer to the caller was ended")

// Abort implements gateway.Aborter. A write that has set its deadline before sees the flag, or
// gets the one set here.
func (s *sink) Abort() {
	s.aborted.Store(true)
	_ = s.control.SetWriteDeadline(time.Now())
}

// Begin implements gateway.Sink.
func (s *sink) Begin(h gateway.AnswerHeader) error {
	s.header = h
	header := s.writer.Header()
	header.Set("Content-Type", h.ContentType)
	if h.Upstream != "" {
		header.Set(callerapi.HeaderUpstream, string(h.Upstream))
		header.Set(callerapi.HeaderVersion, string(h.Version))
	}
	if h.Replayed {
		header.Set(callerapi.HeaderReplayed, "true")
	}
	if h.Framing == gateway.FramedByConnection {
		// net/http ends such an answer by its connection, without chunks.
		header.Set("Transfer-Encoding", "identity")
	}
	// A stream has a marker of its own that vouches for its end.
	if !s.stream && (h.Framing == gateway.FramedByConnection || !s.request.ProtoAtLeast(1, 1)) {
		s.ended = callerconn.ResetUnlessEnded(s.request.Context())
	}
	s.writer.WriteHeader(h.Status)
	return s.flush()
}

// Write implements gateway.Sink.
func (s *sink) Write(part []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(WriteTimeout))
	if s.aborted.Load() {
		return errWriteAborted
	}
	n, err := s.writer.Write(part)
	s.written += n
	if err != nil {
		return fmt.Errorf("caller: %w", err)
	}
	return s.flush()
}

// flush sends buffered data of a streamed answer to the caller. Other answers are
// left in the buffer of http.Server, so that a short one gets a Content-Length.
func (s *sink) flush() error {
	if !s.stream {
		return nil
	}
	return s.control.Flush()
}

// end allows the connection of an answer that was ended by it to end properly, after all
// bytes were handed to the kernel.
func (s *sink) end() {
	if s.ended == nil {
		return
	}
	small := s.written <= callerconn.MaxLengthAdded && s.header.Framing != gateway.FramedByConnection
	if small || s.control.Flush() == nil {
		s.ended()
	}
}

// abort ends an incomplete answer. It writes an error event if the answer is a
// stream, then breaks the connection, so that no caller mistakes it for a
// complete one.
func (s *sink) abort(id ident.RequestID, refusal *callerapi.RefusalError) {
	refusal.RequestID = id
	if s.stream {
		body, _ := json.Marshal(callerapi.Refusal{Error: *refusal})
		fmt.Fprintf(s.writer, "event: error\ndata: %s\n\n", body)
		_ = s.control.Flush()
	}
	panic(http.ErrAbortHandler)
}
