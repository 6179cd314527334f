package upstreamhttp

import (
	"net/http/httptrace"
	"sync"
	"time"
)

// uploadEndTimeout bounds the wait for the end of an upload once the answer has ended with
// its connection.
const uploadEndTimeout = 250 * time.Millisecond

// upload records whether a request was written whole. The kernel reports a reset once: if the
// write has it, the answer seems to end properly.
type upload struct {
	once sync.Once
	done chan struct{}
	err  error
}

func newUpload() *upload { return &upload{done: make(chan struct{})} }

// record records the end of the write, for httptrace.ClientTrace.
func (u *upload) record(info httptrace.WroteRequestInfo) {
	u.once.Do(func() {
		u.err = info.Err
		close(u.done)
	})
}

// sentWhole reports whether the request was written whole. It waits for uploadEndTimeout if
// that isn't known.
func (u *upload) sentWhole() bool {
	timer := time.NewTimer(uploadEndTimeout)
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err == nil
	case <-timer.C:
		return false
	}
}
