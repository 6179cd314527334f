package callerhttp

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
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
		s.writeRefusal(w, id, refusal)
		s.observer.Finished(FinishedRequest{Request: parsed, Refusal: refusal, Elapsed: time.Since(start)})
		return
	}
	sink := &sink{writer: w, control: control, stream: parsed.Stream}
	result := s.handler.Serve(r.Context(), parsed, sink)
	if result.Failure == nil {
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

// refusalFrom converts a failure of the gateway to the refusal that the caller gets.
func (s *Server) refusalFrom(r *http.Request, parsed *gateway.Request, f *gateway.Failure) *callerapi.RefusalError {
	refusal := &callerapi.RefusalError{
		Reason:            callerapi.Reason(f.Reason),
		Message:           f.Message,
		Outcome:           callerapi.MayHaveRun,
		Tier:              parsed.Tier,
		RetryAfterSeconds: f.RetryAfter.Seconds(),
	}
	if f.NotRun {
		refusal.Outcome = callerapi.NotRun
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
	stream  bool
	header  gateway.AnswerHeader
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
	s.writer.WriteHeader(h.Status)
	return s.flush()
}

// Write implements gateway.Sink.
func (s *sink) Write(part []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(WriteTimeout))
	if _, err := s.writer.Write(part); err != nil {
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
