package main

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// frontMemory: clients send requests with large bodies, within the limit of the manifest,
// over uplinks of 10 Mbit/s. With the disruption more users come at once.
func frontMemory(f *fleet, trouble bool) (int, error) {
	const (
		perFront  = 11.9 // requests to models a second at one front, as on yoldas-hq
		burst     = 1.8
		burstS    = 5 // of every 11 s
		uplink    = 1_250_000
		bodyBytes = 3 << 20
		duration  = 92 * time.Second
	)
	for _, zone := range []string{"z1", "z2", "z3"} {
		f.add("core", zone, 280)
	}
	f.add("front", "z1", 284)
	f.add("front", "z2", 284)
	var models []*server
	for i := range 4 {
		s, err := startServer(f, llm, "z1", f.network+"."+strconv.Itoa(100+i), 5, 30, streamOf(15, 40*time.Millisecond))
		if err != nil {
			return 0, err
		}
		models = append(models, s)
	}
	apps, err := startServer(f, app, "z1", f.network+".120", 6, 24, plain(15*time.Millisecond, 800))
	if err != nil {
		return 0, err
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.enforceMemory(ctx)
	first, stop := context.WithTimeout(ctx, 15*time.Second)
	defer stop()
	if newOperator(f).put(first, newManifest(1).encode()) != 200 {
		return 0, errors.New("the first manifest was not acknowledged")
	}
	d := &directory{f: f}
	go d.refresh(ctx)
	for d.pick() == "" && first.Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	body := make([]byte, bodyBytes)
	var calls sync.WaitGroup
	var reviews, served, lost, ranLost, submits, submitsLost atomic.Int64
	review := func() {
		id := newAttempt()
		c := call{
			address: d.pick(), method: http.MethodPost, path: "/review/2f", deadline: 10 * time.Second, body: body, perSecond: uplink,
			headers: map[string]string{"Model": "m", "Token-Counts": "3780,300"},
		}
		reviews.Add(1)
		got := c.do(id)
		f.record.line("review %s: %d %v", id, got.status, got.err)
		switch {
		case got.err != nil:
			lost.Add(1)
			if slices.ContainsFunc(models, func(s *server) bool { return s.hasRun(id) }) {
				ranLost.Add(1)
				f.record.line("review %s has run, and its client got no whole answer", id)
			}
		case got.status == 200:
			served.Add(1)
		}
	}
	submit := func() {
		id := newAttempt()
		submits.Add(1)
		got := call{address: d.pick(), method: http.MethodPost, path: "/submit/2f", deadline: 1500 * time.Millisecond, body: make([]byte, 600)}.do(id)
		f.record.line("submit %s: %d %v", id, got.status, got.err)
		if got.err != nil && apps.hasRun(id) {
			submitsLost.Add(1)
			f.record.line("submit %s has run, and its client got no answer", id)
		}
	}
	began := time.Now()
	every := func(perSecond func() float64, do func()) {
		calls.Go(func() {
			next := began
			for time.Since(began) < duration {
				next = next.Add(time.Duration(float64(time.Second) / perSecond()))
				time.Sleep(time.Until(next))
				calls.Go(do)
			}
		})
	}
	every(func() float64 {
		if trouble && int(time.Since(began).Seconds())%11 >= 11-burstS {
			return 2 * perFront * burst
		}
		return 2 * perFront
	}, review)
	every(func() float64 { return 4.9 }, submit)
	done := make(chan struct{})
	go func() {
		calls.Wait()
		close(done)
	}()
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		case <-time.After(5 * time.Second):
		}
		f.record.say("%3.0f s: %d reviews, %d served, %d without an answer; memory of the fronts: %.0f, %.0f MB", time.Since(began).Seconds(), reviews.Load(), served.Load(), lost.Load(),
			f.machines[3].memory(), f.machines[4].memory())
	}
	machines := 0
	for _, m := range f.of("front") {
		m.mu.Lock()
		f.record.say("%s: at most %.0f MB of %d MB, ended by itself %d times, of these %d times for memory", m.name, m.peakMB, m.memoryMB, m.ownEnds, m.overLimit)
		if m.ownEnds >= 3 {
			machines++
		}
		m.mu.Unlock()
	}
	f.record.say("%d reviews without a whole answer, %d of them had run", lost.Load(), ranLost.Load())
	f.record.say("%d submits, %d of them ran and were never answered", submits.Load(), submitsLost.Load())
	if machines >= 2 {
		return broken, nil
	}
	return held, nil
}
