// Package opshttp implements the operators' HTTP API: a server on a separate
// listener with JSON calls that are authenticated by a bearer token, metrics and
// health checks, and the client that the commands use.
package opshttp

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// Backend is the part of a node that the server uses. Errors wrap
// control.ErrUnavailable or control.ErrUncertain where they apply.
type Backend interface {
	ApplyConfig(ctx context.Context, args *control.ApplyConfigArgs) (control.ApplyConfigReply, error)
	ShowConfig(ctx context.Context) (control.ShowConfigReply, error)
	History(ctx context.Context, limit int) (control.HistoryReply, error)
	Status(ctx context.Context) (control.StatusReply, error)
	Drain(ctx context.Context, node ident.NodeID) (control.DrainReply, error)
	Evacuate(ctx context.Context, order evacuation.Order) (control.EvacuateReply, error)
	// InFlight returns the number of requests in flight to the upstreams of each data
	// centre, summed over the nodes that answered, and the nodes that did not. It asks
	// the given live nodes and those that it knows otherwise.
	InFlight(ctx context.Context, live []control.NodeStatus) (map[ident.Zone]int, []ident.NodeID)
	RemoveReplica(ctx context.Context, node ident.NodeID) (control.RemoveReplicaReply, error)
	// Timeline returns the merged events of all nodes, and the nodes that did
	// not answer.
	Timeline(ctx context.Context, filter timeline.Filter) ([]timeline.Event, []ident.NodeID)
	// Addresses returns the nodes that callers should use.
	Addresses() callerapi.AddressList
	// Ready returns nil while the node accepts callers' requests, and the reason
	// otherwise.
	Ready() error
}

// Limits of the operators' listener.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = time.Minute
	// maxHeaderBytes limits the header of a request, in bytes: a connection that sends no
	// end of it would otherwise take 1 MB.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes limits a request body, in bytes. The largest is that of an
	// apply, which takes more space as JSON than its files do.
	maxBodyBytes = 40 << 20
	// callTimeout limits one call. It exceeds the longest wait of an apply.
	callTimeout = 13 * time.Second
)

// Server is the operators' HTTP server.
type Server struct {
	backend Backend
	token   [sha256.Size]byte
	http    *http.Server
}

// New returns a server that accepts no connections yet. Operators authenticate
// with token. The metrics handler serves opsapi.PathMetrics.
func New(backend Backend, token string, metrics http.Handler) *Server {
	s := &Server{backend: backend, token: sha256.Sum256([]byte(token))}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+opsapi.PathConfig, s.authorized(s.showConfig))
	mux.HandleFunc("POST "+opsapi.PathConfig, s.authorized(s.applyConfig))
	mux.HandleFunc("GET "+opsapi.PathHistory, s.authorized(s.history))
	mux.HandleFunc("GET "+opsapi.PathStatus, s.authorized(s.status))
	mux.HandleFunc("GET "+opsapi.PathMoves, s.authorized(s.moves))
	mux.HandleFunc("GET "+opsapi.PathTimeline, s.authorized(s.timeline))
	mux.HandleFunc("POST "+opsapi.PathDrain, s.authorized(s.drain))
	mux.HandleFunc("POST "+opsapi.PathEvacuate, s.authorized(s.evacuate))
	mux.HandleFunc("POST "+opsapi.PathRemoveReplica, s.authorized(s.removeReplica))
	mux.HandleFunc("GET "+callerapi.PathAddresses, s.authorized(s.addresses))
	mux.HandleFunc("GET "+opsapi.PathHealth, s.health)
	mux.HandleFunc("GET "+opsapi.PathReady, s.ready)
	mux.Handle("GET "+opsapi.PathMetrics, metrics)
	s.http = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting and waits until every call has been answered or ctx has
// ended.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	return s.http.Close()
}

// handlerFunc handles a call and returns the reply or an error.
type handlerFunc func(ctx context.Context, r *http.Request) (any, error)

// authorized returns an HTTP handler that checks the token, in constant time, before
// it runs handle.
func (s *Server) authorized(handle handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(sum[:], s.token[:]) != 1 || !found {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, &opsapi.Error{Code: opsapi.CodeUnauthorized, Message: "the operators' token is missing or wrong"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		reply, err := handle(ctx, r)
		if err != nil {
			writeError(w, toError(err))
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

// toError converts err to an opsapi.Error and sets its code.
func toError(err error) *opsapi.Error {
	var known *opsapi.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, control.ErrUncertain):
		return &opsapi.Error{Code: opsapi.CodeUncertain, Message: err.Error()}
	default:
		return &opsapi.Error{Code: opsapi.CodeUnavailable, Message: err.Error()}
	}
}

func badRequest(message string) *opsapi.Error {
	return &opsapi.Error{Code: opsapi.CodeBadRequest, Message: message}
}

func writeError(w http.ResponseWriter, err *opsapi.Error) {
	writeJSON(w, err.Code.Status(), err)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.backend.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
