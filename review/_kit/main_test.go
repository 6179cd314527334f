// Package main is built with `go test -c` and runs the scripts of the review: it starts the
// project's programs and small stand-ins of the platform, servers and clients on loopback
// addresses. It consists of test files, so that it may use the names of the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(f *fleet, trouble bool) (int, error){
	"replaced-then-wiped": replacedThenWiped,
	"core-memory":         coreMemory,
	"front-memory":        frontMemory,
}

// TestMain runs a case in place of tests.
func TestMain(*testing.M) { os.Exit(run()) }

// run runs a case by its name; its record is written to the given folder.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: kit CASE FOLDER")
		return couldNot
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	f, err := newFleet(r)
	if err != nil {
		fmt.Println(err)
		return couldNot
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		f.close()
		os.Exit(couldNot)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, with the disruption: %t", os.Args[1], trouble)
	code, err := cases[os.Args[1]](f, trouble)
	if err != nil {
		r.say("the case couldn't run: %v", err)
		return couldNot
	}
	r.say("exit %d", code)
	return code
}
