// Package callerhttp is the callers' HTTP edge: it checks and parses requests,
// bounds what a caller can use up, and writes answers and refusals.
package callerhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/coordination/routing"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Limits bounds what callers can use up.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes bound one request.
	MaxBodyBytes   int64
	MaxHeaderBytes int64
	// MaxConnections bounds open connections; more are closed at once.
	MaxConnections int
	// MaxReadingBytes bounds the bodies that are being read at one time.
	MaxReadingBytes int64
	// Timeouts bound the reading of a header and a body, and idle connections.
	ReadHeaderTimeout time.Duration
	ReadBodyTimeout   time.Duration
	IdleTimeout       time.Duration
}

// WriteTimeout bounds one write to a caller that does not read.
const WriteTimeout = 10 * time.Second

// Directory is what the edge needs to know of the node's present view.
type Directory interface {
	// Routes returns the routes in force; nil before the first configuration.
	Routes() *routing.Table
	// Team returns a configured team.
	Team(name ident.TeamName) (config.Team, bool)
	// AddressesFor returns the nodes that a caller should use. Callers of one
	// address get the same order, others another one.
	AddressesFor(caller string) callerapi.AddressList
}

// Handler serves one parsed request; gateway.Gateway implements it.
type Handler interface {
	Serve(ctx context.Context, r *gateway.Request, sink gateway.Sink) gateway.Result
}

// Ended describes a request that ended.
type Ended struct {
	// Request is nil when it could not be parsed.
	Request *gateway.Request
	// Answer is the header of an answer; its status is zero after a refusal.
	Answer gateway.AnswerHeader
	// Refusal is nil after a whole answer.
	Refusal *callerapi.RefusalError
	// Elapsed is the time since the request's header was read.
	Elapsed time.Duration
}

// Observer counts what the edge does. All methods are safe for concurrent use.
type Observer interface {
	// Finished tells of each ended request.
	Finished(e Ended)
	// Rejected tells of each connection closed at the limit.
	Rejected()
}

// Server is the callers' edge.
type Server struct {
	http      *http.Server
	limits    Limits
	directory Directory
	handler   Handler
	observer  Observer
	bodyBytes *semaphore.Weighted
}

// New returns a server that does not listen yet.
func New(limits Limits, directory Directory, handler Handler, observer Observer) *Server {
	s := &Server{
		limits:    limits,
		directory: directory,
		handler:   handler,
		observer:  observer,
		bodyBytes: semaphore.NewWeighted(limits.MaxReadingBytes),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+callerapi.PathAddresses, s.serveAddresses)
	mux.HandleFunc("/", s.serveRequest)
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    int(limits.MaxHeaderBytes),
	}
	return s
}

// Serve accepts callers until Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(newLimitListener(listener, s.limits.MaxConnections, s.observer.Rejected))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting and waits until every request has its answer.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// SetKeepAlives chooses whether connections are kept after an answer. A
// draining node does not keep them, so that callers go elsewhere.
func (s *Server) SetKeepAlives(keep bool) {
	s.http.SetKeepAlivesEnabled(keep)
}

// Close breaks all connections.
func (s *Server) Close() error {
	return s.http.Close()
}
