package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// leavingServer: model servers answer with streams that end with their connections. With the
// disruption the servers are replaced one after the other: a new one starts, the old one
// drains and leaves.
func leavingServer(f *fleet, trouble bool) (int, error) {
	const (
		perSecond = 3
		events    = 80
		gap       = 100 * time.Millisecond
		drain     = 3500 * time.Millisecond
		duration  = 40 * time.Second
	)
	for _, zone := range []string{"z1", "z2", "z3"} {
		f.add("core", zone, 280)
	}
	f.add("front", "z1", 284)
	f.add("front", "z2", 284)
	var mu sync.Mutex
	var models []*server
	add := func() error {
		s, err := startServer(f, llm, "z1", f.network+"."+strconv.Itoa(100+f.list.added), 8, 30, nil)
		if err != nil {
			return err
		}
		s.work = s.unframed(events, gap)
		mu.Lock()
		models = append(models, s)
		mu.Unlock()
		return nil
	}
	for range 4 {
		if err := add(); err != nil {
			return 0, err
		}
	}
	if _, err := startServer(f, app, "z1", f.network+".99", 6, 24, plain(15*time.Millisecond, 800)); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := f.startMachines(ctx, newManifest(1)); err != nil {
		return 0, err
	}
	d := &directory{f: f}
	go d.refresh(ctx)
	time.Sleep(time.Second)
	began := time.Now()
	var calls sync.WaitGroup
	if trouble {
		calls.Go(func() {
			for i := range 4 {
				time.Sleep(time.Until(began.Add(time.Duration(10+6*i) * time.Second)))
				if err := add(); err != nil {
					f.record.line("no new server: %v", err)
					return
				}
				calls.Go(func() { models[i].leave(drain) })
			}
		})
	}
	results := make(map[string]error)
	for i := 0; time.Since(began) < duration; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / perSecond)))
		calls.Go(func() {
			id := newAttempt()
			err := keptStream(d.pick(), id, events)
			f.record.line("stream %s: %v", id, err)
			mu.Lock()
			results[id] = err
			mu.Unlock()
		})
	}
	calls.Wait()
	whole, lost := 0, 0
	for id, err := range results {
		answered := slices.ContainsFunc(models, func(s *server) bool { return s.hasAnswered(id) })
		switch {
		case err == nil:
			whole++
		case answered:
			lost++
			f.record.say("stream %s: its server answered to the end, its client got: %v", id, err)
		}
	}
	f.record.say("%d streams, %d whole, %d whole at the server but not at the client", len(results), whole, lost)
	for _, m := range f.machines {
		if m.ownEnds > 0 {
			return 0, errors.New("a process ended by itself")
		}
	}
	if lost > 3 {
		return broken, nil
	}
	return held, nil
}

// keptStream sends a look-up and then, on the same connection, a request for a stream. It
// returns an error unless the stream comes whole and ends properly.
func keptStream(address, id string, events int) error {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	reader := bufio.NewReader(conn)
	fmt.Fprintf(conn, "GET /lookup/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nApi-Key: %s\r\n\r\n", host, newAttempt(), apiKey)
	first, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return fmt.Errorf("look-up: %w", err)
	}
	if _, err := io.Copy(io.Discard, first.Body); err != nil || first.Close {
		return fmt.Errorf("look-up: the connection isn't kept: %w", err)
	}
	body := strings.Repeat("x", 2000)
	fmt.Fprintf(conn, "POST /review/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Counts: 3780,320\r\nDeadline-Ms: 10000\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		host, id, apiKey, len(body), body)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	text, err := io.ReadAll(response.Body)
	got := strings.Count(string(text), "data:")
	switch {
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d", response.StatusCode)
	case err != nil:
		return fmt.Errorf("after %d of %d events: %w", got, events, err)
	case got != events:
		return fmt.Errorf("%d of %d events", got, events)
	}
	return nil
}
