package main

import (
	"context"
	"net/http"
	"time"
)

// firstVersion: the operator sends the first manifest. With the disruption its version is 0.
func firstVersion(f *fleet, trouble bool) (int, error) {
	for _, zone := range []string{"z1", "z2", "z3"} {
		f.add("core", zone, 280)
	}
	f.add("front", "z1", 284)
	f.add("front", "z2", 284)
	if _, err := startServer(f, app, "z1", f.network+".99", 6, 24, plain(15*time.Millisecond, 800)); err != nil {
		return 0, err
	}
	version := 1
	if trouble {
		version = 0
	}
	first := newManifest(version)
	if err := f.startMachines(context.Background(), first); err != nil {
		return 0, err
	}
	f.record.say("manifest %d is acknowledged", version)
	time.Sleep(5 * time.Second)
	o := newOperator(f)
	read, served := 0, 0
	for range 10 {
		for _, m := range f.of("core") {
			status, body := o.get(m)
			f.record.line("GET /config at %s: %d, %d bytes", m.name, status, len(body))
			if status == http.StatusOK && string(body) == string(first.encode()) {
				read++
			}
		}
		for _, m := range f.of("front") {
			got := call{address: m.ip + ":" + portFront, method: http.MethodGet, path: "/lookup/2f", deadline: 1500 * time.Millisecond}.do(newAttempt())
			f.record.line("look-up at %s: %d %v", m.name, got.status, got.err)
			if got.status == http.StatusOK {
				served++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	f.record.say("%d of 30 reads returned the manifest, %d of 20 look-ups were served", read, served)
	if read == 0 {
		return broken, nil
	}
	return held, nil
}
