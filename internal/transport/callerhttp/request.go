package callerhttp

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/coordination/routing"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// newRequestID returns a UUIDv7 in text form.
func newRequestID() ident.RequestID {
	return ident.RequestID(uuid.Must(uuid.NewV7()).String())
}

// parse validates a caller's request and reads its body. The refusal has no outcome yet;
// a send that is refused here reaches no upstream.
func (s *Server) parse(w http.ResponseWriter, r *http.Request, id ident.RequestID, now time.Time) (*gateway.Request, *callerapi.RefusalError) {
	table := s.directory.Routes()
	if table == nil {
		return nil, refuse(callerapi.Reason(scheduler.ReasonCutOff), "no configuration is in force at this node yet")
	}
	if !table.HasPath(r.URL.Path) {
		return nil, refuse(callerapi.ReasonUnknownRoute, fmt.Sprintf("no route has the path %q", r.URL.Path))
	}
	team := ident.TeamName(r.Header.Get(callerapi.HeaderTeam))
	configured, ok := s.directory.Team(team)
	if !ok {
		return nil, refuse(callerapi.ReasonUnknownTeam, fmt.Sprintf("header %s names no configured team: %q", callerapi.HeaderTeam, team))
	}
	requestedDeadline, err := callerapi.ParseDeadline(r.Header.Get(callerapi.HeaderDeadline))
	if err != nil {
		return nil, refuse(callerapi.ReasonBadDeadline, err.Error())
	}
	body, refusal := s.readBody(w, r)
	if refusal != nil {
		return nil, refusal
	}
	parsed := &gateway.Request{
		ID:          id,
		Team:        team,
		Method:      r.Method,
		Path:        r.URL.RequestURI(),
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
	}
	parsed.TeamWaitingBytes = configured.MaxWaitingBytes
	match, refusal := matchRoute(table, r, parsed)
	if refusal != nil {
		return nil, refusal
	}
	setRoute(parsed, match)
	parsed.Deadline = now.Add(match.Deadline(requestedDeadline))
	return parsed, setIdempotencyKey(parsed, r)
}

// matchRoute finds the request's route. For a completion call it also sets the
// fields of parsed that depend on the body.
func matchRoute(table *routing.Table, r *http.Request, parsed *gateway.Request) (*routing.Match, *callerapi.RefusalError) {
	model := ""
	if table.NeedsModel(r.URL.Path) {
		if r.Method != http.MethodPost {
			return nil, refuse(callerapi.ReasonMethod, "completion calls use POST")
		}
		call, err := openai.ParseRequest(parsed.Body)
		if err != nil {
			return nil, refuse(callerapi.ReasonBadRequest, err.Error())
		}
		model = call.Model
		parsed.Stream = call.Stream
		parsed.PromptTokens = call.PromptTokens()
		parsed.OutputTokens = call.OutputTokens()
		parsed.Prefixes = call.Prefixes()
		parsed.Parts = call.Parts()
	}
	match, err := table.Match(r.URL.Path, ident.RouteName(r.Header.Get(callerapi.HeaderRoute)), model)
	switch {
	case errors.Is(err, routing.ErrUnknownModel):
		return nil, refuse(callerapi.ReasonUnknownModel, err.Error())
	case errors.Is(err, routing.ErrAmbiguous):
		return nil, refuse(callerapi.ReasonBadRequest, err.Error()+" in header "+callerapi.HeaderRoute)
	case err != nil:
		return nil, refuse(callerapi.ReasonUnknownRoute, err.Error())
	}
	return match, nil
}

func setRoute(parsed *gateway.Request, match *routing.Match) {
	parsed.Route = match.Name
	parsed.Pool = match.Route.Pool
	parsed.Tier = match.Route.Tier
	parsed.Rank = match.Tier.Rank
	parsed.Idempotent = match.Route.Idempotent
	parsed.StatusPath = match.Route.StatusPath
	parsed.Engine = match.Engine()
}

// setIdempotencyKey checks and sets the idempotency key and the digest of a request
// that must not run twice.
func setIdempotencyKey(parsed *gateway.Request, r *http.Request) *callerapi.RefusalError {
	if parsed.Idempotent {
		return nil
	}
	parsed.Key = r.Header.Get(callerapi.HeaderIdempotencyKey)
	if parsed.Key == "" {
		return refuse(callerapi.ReasonKeyMissing, "route "+string(parsed.Route)+" needs the header "+callerapi.HeaderIdempotencyKey+" with a UUIDv7")
	}
	key, err := uuid.Parse(parsed.Key)
	if err != nil || key.Version() != 7 || key.String() != parsed.Key {
		return refuse(callerapi.ReasonKeyMalformed, "the idempotency key is not a UUIDv7 in its usual text form")
	}
	parsed.Digest = requestDigest(parsed)
	return nil
}

func requestDigest(parsed *gateway.Request) ledger.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(parsed.Method), []byte(parsed.Path), parsed.Body} {
		fmt.Fprintf(h, "%d:", len(part))
		h.Write(part)
	}
	return ledger.Digest(h.Sum(nil))
}

// readBody reads the whole body within the limits on its size, on the time to read
// it and on the bytes of all bodies being read.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *callerapi.RefusalError) {
	if r.ContentLength > s.limits.MaxBodyBytes {
		return nil, s.tooLarge()
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = s.limits.MaxBodyBytes
	}
	if !s.bodyBytes.TryAcquire(reserved) {
		refusal := refuse(callerapi.Reason(scheduler.ReasonMemory), "the node's limit on bodies being read is reached")
		refusal.RetryAfterSeconds = 1
		return nil, refusal
	}
	defer s.bodyBytes.Release(reserved)
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(s.limits.ReadBodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.limits.MaxBodyBytes))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLargeErr *http.MaxBytesError
	switch {
	case errors.As(err, &tooLargeErr):
		return nil, s.tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuse(callerapi.ReasonTooSlow, "the body did not arrive within "+s.limits.ReadBodyTimeout.String())
	case err != nil:
		return nil, refuse(callerapi.ReasonBadRequest, "the body can't be read: "+err.Error())
	}
	return body, nil
}

func (s *Server) tooLarge() *callerapi.RefusalError {
	return refuse(callerapi.ReasonTooLarge, fmt.Sprintf("the body exceeds %d bytes", s.limits.MaxBodyBytes))
}

func refuse(reason callerapi.Reason, message string) *callerapi.RefusalError {
	return &callerapi.RefusalError{Reason: reason, Message: message}
}
