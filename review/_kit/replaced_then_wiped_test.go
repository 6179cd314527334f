package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"
)

// replacedThenWiped: a machine of the core is replaced as planned, the new one first. Once the
// new one has had the time to catch up, the old one is removed without SIGTERM. With the
// disruption another machine loses its disk half a second later; without it, that machine is
// killed at the same moment and keeps its disk.
func replacedThenWiped(f *fleet, trouble bool) (int, error) {
	const (
		catchUp = 4 * time.Second
		recover = 12 * time.Second
		down    = time.Second
	)
	for _, zone := range []string{"z1", "z2", "z3"} {
		f.add("core", zone, 280)
	}
	sent := newManifest(7)
	if err := f.startMachines(context.Background(), sent); err != nil {
		return 0, err
	}
	f.record.say("manifest 7 is acknowledged")
	time.Sleep(3 * time.Second)
	struck, old := f.machines[0], f.machines[2]
	successor := f.addLater("core", old.zone, 280)
	if err := successor.start(); err != nil {
		return 0, err
	}
	f.record.say("%s starts with an empty disk, as the successor of %s", successor.name, old.name)
	time.Sleep(catchUp + 500*time.Millisecond)
	old.kill()
	f.record.say("%s is removed for good", old.name)
	time.Sleep(500 * time.Millisecond)
	struck.kill()
	if trouble {
		if err := os.RemoveAll(struck.dataDir()); err != nil {
			return 0, err
		}
	}
	f.record.say("%s is killed, its disk is lost: %t", struck.name, trouble)
	time.Sleep(down)
	if err := struck.start(); err != nil {
		return 0, err
	}
	f.record.say("%s is back", struck.name)
	time.Sleep(recover)
	o := newOperator(f)
	read, older := 0, 0
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, m := range []*machine{struck, f.machines[1], successor} {
			status, body := o.get(m)
			f.record.line("GET /config at %s: %d, %d bytes", m.name, status, len(body))
			switch {
			case status != http.StatusOK:
			case strings.TrimSpace(string(body)) == string(sent.encode()):
				read++
			default:
				older++
			}
		}
	}
	f.record.say("%d reads returned the manifest, %d something else", read, older)
	for _, m := range f.machines {
		if m.ownEnds > 0 {
			return 0, errors.New("a process ended by itself")
		}
	}
	if read == 0 || older > 0 {
		return broken, nil
	}
	return held, nil
}
