package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// DefaultServiceLatency is the default of ServiceOptions.Latency.
const DefaultServiceLatency = 5 * time.Millisecond

// DefaultStatusPath is the default of ServiceOptions.StatusPath.
const DefaultStatusPath = "/status"

// ServiceOptions sets a service's speed and faults. Zero fields take the defaults.
type ServiceOptions struct {
	// Listen is the address to listen on, as host:port; empty selects a free
	// loopback port.
	Listen string
	// Latency is the duration of one call.
	Latency time.Duration
	// Workers is the maximum number of concurrent calls; zero means no limit.
	Workers int
	// StatusPath is the path of the status query, a GET request that gives the key
	// of a call in the header Idempotency-Key. The status is 200 with the answer of
	// the call if it has finished, 404 if no call with this key was received, and
	// 202 otherwise, also if the call has failed.
	StatusPath string
	// Version is recorded with every run.
	Version ident.VersionName
	// FailRate is the fraction of calls that fail with 500, 0 to 1.
	FailRate float64
}

// Service is a fake service other than a model engine. It runs every call that it
// receives, including repeated calls with the same idempotency key.
type Service struct {
	*server
	*runLog
	faults
	options ServiceOptions
	// workers is a semaphore for running calls; nil means no limit.
	workers chan struct{}

	mu sync.Mutex
	// answers holds the answers by idempotency key; nil means that no call with the
	// key has finished.
	answers map[string]*ServiceAnswer
}

// ServiceAnswer is the body of a service's answer.
type ServiceAnswer struct {
	RequestID ident.RequestID `json:"request_id"`
	// Echo identifies the content of the request; see Echo.
	Echo string `json:"echo"`
	// Run is the number of the run, counted from 1 in this service.
	Run int `json:"run"`
}

// StartService starts a service that listens on options.Listen.
func StartService(options ServiceOptions) (*Service, error) {
	if options.Latency <= 0 {
		options.Latency = DefaultServiceLatency
	}
	if options.StatusPath == "" {
		options.StatusPath = DefaultStatusPath
	}
	s := &Service{runLog: &runLog{}, options: options, answers: map[string]*ServiceAnswer{}}
	if options.Workers > 0 {
		s.workers = make(chan struct{}, options.Workers)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+options.StatusPath, s.serveStatus)
	mux.HandleFunc("/", s.serveCall)
	started, err := startServer(options.Listen, mux)
	if err != nil {
		return nil, err
	}
	s.server = started
	return s, nil
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	mode := s.faults.failMode()
	run, answer := s.record(r, body)
	if mode == FailReset {
		s.runLog.end(run, RunFailed)
		panic(http.ErrAbortHandler)
	}
	s.process()
	if mode == FailStatus || s.faults.shouldFail(s.options.FailRate) {
		s.runLog.end(run, RunFailed)
		w.Header().Set(upstreamapi.HeaderRequestID, string(answer.RequestID))
		http.Error(w, "the service failed", http.StatusInternalServerError)
		return
	}
	s.runLog.end(run, RunFinished)
	s.storeAnswer(r.Header.Get(upstreamapi.HeaderIdempotencyKey), answer)
	if mode != FailNone {
		panic(http.ErrAbortHandler)
	}
	if s.faults.crossesAnswers() {
		answer = &ServiceAnswer{RequestID: "crossed-" + answer.RequestID, Echo: Echo(nil), Run: answer.Run}
	}
	w.Header().Set(upstreamapi.HeaderRequestID, string(answer.RequestID))
	writeJSON(w, http.StatusOK, answer)
}

// record adds the call to the run log and returns the index of the run and the
// answer to the call.
func (s *Service) record(r *http.Request, body []byte) (int, *ServiceAnswer) {
	key := r.Header.Get(upstreamapi.HeaderIdempotencyKey)
	content := body
	if len(body) == 0 {
		content = []byte(r.URL.RequestURI())
	}
	answer := &ServiceAnswer{
		RequestID: ident.RequestID(r.Header.Get(upstreamapi.HeaderRequestID)),
		Echo:      Echo(content),
	}
	run := s.runLog.start(Run{
		RequestID:      answer.RequestID,
		IdempotencyKey: key,
		Path:           r.URL.Path,
		Version:        s.options.Version,
		Echo:           answer.Echo,
	})
	answer.Run = run + 1
	if key != "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, known := s.answers[key]; !known {
			s.answers[key] = nil
		}
	}
	return run, answer
}

// process waits for a free worker and then for the duration of one call. It does not
// stop when the caller disconnects.
func (s *Service) process() {
	if s.workers != nil {
		s.workers <- struct{}{}
		defer func() { <-s.workers }()
	}
	time.Sleep(time.Duration(float64(s.options.Latency) * s.faults.slowFactor()))
}

// storeAnswer stores the answer for status queries. A call without a key has none.
func (s *Service) storeAnswer(key string, answer *ServiceAnswer) {
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[key] = answer
}

func (s *Service) serveStatus(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	answer, known := s.answers[r.Header.Get(upstreamapi.HeaderIdempotencyKey)]
	s.mu.Unlock()
	w.Header().Set(upstreamapi.HeaderRequestID, r.Header.Get(upstreamapi.HeaderRequestID))
	switch {
	case !known:
		writeJSON(w, http.StatusNotFound, struct{}{})
	case answer == nil:
		writeJSON(w, http.StatusAccepted, struct{}{})
	default:
		_ = json.NewEncoder(w).Encode(answer)
	}
}
