package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRequest_Fingerprint checks that a fingerprint depends on the whole content of a
// request and on nothing else.
func TestRequest_Fingerprint(t *testing.T) {
	fingerprint := func(change func(r *Request)) uint64 {
		r := &Request{ID: "a", Team: "t", Route: "r", Host: "h", Method: "GET", Path: "/p?q", Body: []byte("b")}
		change(r)
		r.setFingerprint()
		return r.fingerprint
	}
	same := fingerprint(func(*Request) {})
	must.Eq(t, same, fingerprint(func(r *Request) { r.ID, r.Route, r.Pool = "b", "s", "p" }))
	// A caller that retries has a new id and less time left.
	must.Eq(t, same, fingerprint(func(r *Request) {
		r.ID, r.Deadline, r.Objective, r.CallerTimeout, r.GiveUpAt = "b", time.Unix(9, 0), time.Unix(8, 0), time.Second, time.Unix(7, 0)
	}))
	prompted := &Request{Team: "t", Host: "h", Method: "GET", Path: "/p?q", Body: []byte("b"), Parts: []uint64{1}}
	prompted.setFingerprint()
	must.Eq(t, same, prompted.content)
	must.NotEq(t, same, prompted.fingerprint)
	seen := map[uint64]bool{same: true}
	for _, change := range []func(r *Request){
		func(r *Request) { r.Team = "u" },
		func(r *Request) { r.Host = "i" },
		func(r *Request) { r.Method = "PUT" },
		func(r *Request) { r.Path = "/p" },
		func(r *Request) { r.Body = nil },
		func(r *Request) { r.Path, r.Body = "/p?", []byte("qb") },
		func(r *Request) { r.Team, r.Host = "th", "" },
	} {
		f := fingerprint(change)
		must.False(t, seen[f])
		seen[f] = true
	}
}
