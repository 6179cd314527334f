// Package callerhttp implements the HTTP server for callers: it validates and
// parses requests, limits the resources that callers can use, and writes answers
// and refusals.
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
	"github.com/flamingohaven/flamingohaven/internal/transport/callerconn"
)

// Limits are the limits on the resources that callers can use.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes limit the size of one request.
	MaxBodyBytes   int64
	MaxHeaderBytes int64
	// MaxConnections limits the open connections; further ones are closed
	// immediately.
	MaxConnections int
	// MaxReadingBytes limits the total size of the bodies that are being read.
	MaxReadingBytes int64
	// Timeouts for reading a header, for reading a body and for idle
	// connections.
	ReadHeaderTimeout time.Duration
	ReadBodyTimeout   time.Duration
	IdleTimeout       time.Duration
}

// WriteTimeout limits one write to a caller that does not read.
const WriteTimeout = 10 * time.Second

// Directory provides the node's current configuration and list of nodes.
type Directory interface {
	// Routes returns the routes in force; nil before the first configuration.
	Routes() *routing.Table
	// Team returns a configured team.
	Team(name ident.TeamName) (config.Team, bool)
	// AddressesFor returns the nodes that a caller should use. Callers with
	// the same address get the same order, others may get a different one.
	AddressesFor(caller string) callerapi.AddressList
}

// Handler serves one parsed request; gateway.Gateway implements it.
type Handler interface {
	Serve(ctx context.Context, r *gateway.Request, sink gateway.Sink) gateway.Result
}

// FinishedRequest describes a finished request.
type FinishedRequest struct {
	// Request is nil when it could not be parsed.
	Request *gateway.Request
	// Answer is the header of an answer; its status is zero after a refusal.
	Answer gateway.AnswerHeader
	// Refusal is nil after a complete answer.
	Refusal *callerapi.RefusalError
	// Elapsed is the time since the request's header was read.
	Elapsed time.Duration
}

// Observer is notified of the server's events. All methods are safe for concurrent
// use.
type Observer interface {
	// Finished is called for each finished request.
	Finished(e FinishedRequest)
	// Rejected is called for each connection that is closed because
	// MaxConnections is reached.
	Rejected()
}

// Server is the HTTP server for callers.
type Server struct {
	http      *http.Server
	limits    Limits
	directory Directory
	handler   Handler
	observer  Observer
	bodyBytes *semaphore.Weighted
}

// New returns a server that accepts no connections yet.
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
		ConnContext:       callerconn.Context,
	}
	return s
}

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(newLimitListener(listener, s.limits.MaxConnections, s.observer.Rejected))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting and waits until every request has been answered or ctx
// has ended.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// SetKeepAlives sets whether connections are kept open after an answer. A draining
// node closes them, so that callers connect to other nodes.
func (s *Server) SetKeepAlives(keep bool) {
	s.http.SetKeepAlivesEnabled(keep)
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	return s.http.Close()
}
