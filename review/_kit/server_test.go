package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server stands in for a sound server: it works on some requests at once, lets a few more
// wait and says so of those that it didn't run.
type server struct {
	id      string
	address string
	record  *record
	slots   chan struct{}
	waiting atomic.Int64
	queue   int64
	// work answers one request.
	work func(w http.ResponseWriter, r *http.Request)

	mu   sync.Mutex
	runs map[string]int
}

// startServer starts a server and puts it on the platform's list.
func startServer(f *fleet, service, zone, ip string, slots int, queue int64, work func(w http.ResponseWriter, r *http.Request)) (*server, error) {
	s := &server{
		id: "i-" + fmt.Sprintf("%08x", 0x7f3a9100+f.list.added), address: ip + ":" + portServer, record: f.record,
		slots: make(chan struct{}, slots), queue: queue, work: work, runs: make(map[string]int),
	}
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, s) }()
	f.list.put(instance{ID: s.id, Service: service, Address: s.address, Zone: zone, Version: "v1", Slots: slots, State: "ready", Born: time.Now().UnixMilli()})
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if s.waiting.Add(1) > s.queue+int64(cap(s.slots)) {
		s.waiting.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	s.runs[id]++
	times := s.runs[id]
	s.mu.Unlock()
	s.record.line("server %s runs %s (%s), time %d", s.id, id, r.URL.Path, times)
	w.Header().Set("Response-Seal", "3e1b."+id)
	s.work(w, r)
}

// hasRun reports whether the server ran a request.
func (s *server) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id] > 0
}

// streamOf returns work that answers with events at even gaps.
func streamOf(events int, gap time.Duration) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for i := 1; i <= events && r.Context().Err() == nil; i++ {
			time.Sleep(gap)
			fmt.Fprintf(w, "id: %d\ndata: tokens\n\n", i)
			_ = control.Flush()
		}
	}
}

// plain returns work that takes some time and answers with a body.
func plain(took time.Duration, size int) func(w http.ResponseWriter, r *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(took)
		_, _ = w.Write(make([]byte, size))
	}
}
