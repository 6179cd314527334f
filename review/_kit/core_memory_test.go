package main

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// coreMemory: an operator makes hundreds of changes of the manifest. With the disruption the
// manifest has grown by many routes before, three times.
func coreMemory(f *fleet, trouble bool) (int, error) {
	const (
		growth   = 380
		growths  = 3
		gap      = 80 * time.Millisecond
		duration = 95 * time.Second
		parallel = 8
	)
	for _, zone := range []string{"z1", "z2", "z3"} {
		f.add("core", zone, 280)
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return 0, err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.enforceMemory(ctx)
	o := newOperator(f)
	first, stop := context.WithTimeout(ctx, 15*time.Second)
	defer stop()
	content := newManifest(1)
	if o.put(first, content.encode()) != 200 {
		return 0, errors.New("the first manifest was not acknowledged")
	}
	f.record.say("manifest 1 acknowledged, %d routes, %d bytes", len(content.Routes), len(content.encode()))
	if trouble {
		content.grow(growths * growth)
	}
	var acknowledged atomic.Int64
	var highest atomic.Int64
	slots := make(chan struct{}, parallel)
	var calls sync.WaitGroup
	began := time.Now()
	changes, cancelChanges := context.WithDeadline(ctx, began.Add(duration+4*time.Second))
	defer cancelChanges()
	nextReport := began
	for version := 2; time.Since(began) < duration; version++ {
		time.Sleep(time.Until(began.Add(time.Duration(version-2) * gap)))
		content.Version = version
		content.Routes[3].TimeoutMs = 1500 + version%7
		text := content.encode()
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			status := o.put(changes, text)
			f.record.line("manifest %d, %d bytes: %d", version, len(text), status)
			if status == 200 {
				acknowledged.Add(1)
				for {
					old := highest.Load()
					if int64(version) <= old || highest.CompareAndSwap(old, int64(version)) {
						break
					}
				}
			}
		})
		if time.Now().After(nextReport) {
			nextReport = nextReport.Add(10 * time.Second)
			for _, m := range f.machines {
				f.record.line("%s uses %.0f MB", m.name, m.memory())
			}
			f.record.say("%3.0f s: %d changes acknowledged; memory of the core: %.0f, %.0f, %.0f MB", time.Since(began).Seconds(), acknowledged.Load(),
				f.machines[0].memory(), f.machines[1].memory(), f.machines[2].memory())
		}
	}
	calls.Wait()
	// Machines counts those whose processes ended three times.
	ends, machines := 0, 0
	for _, m := range f.machines {
		m.mu.Lock()
		f.record.say("%s: at most %.0f MB of %d MB, ended by itself %d times, of these %d times for memory", m.name, m.peakMB, m.memoryMB, m.ownEnds, m.overLimit)
		if m.ownEnds >= 3 {
			machines++
		}
		ends += m.ownEnds
		m.mu.Unlock()
	}
	f.record.say("%d changes acknowledged, the highest is %d", acknowledged.Load(), highest.Load())
	f.record.say("%d ends in all; on %d of %d machines of the core three or more", ends, machines, len(f.machines))
	if 2*machines >= len(f.machines) {
		return broken, nil
	}
	return held, nil
}
