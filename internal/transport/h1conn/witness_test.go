package h1conn

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestWitnesses_ServerEnds checks that connections in use tell whether their server has ended,
// also if their ends were noticed first. Connections that were answered whole or that came
// later say nothing.
func TestWitnesses_ServerEnds(t *testing.T) {
	entered, proceed := make(chan bool), make(chan bool)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			entered <- true
			<-proceed
		}
	}))
	defer server.Close()
	defer close(proceed)
	address := strings.TrimPrefix(server.URL, "http://")
	client := New(DefaultDialTimeout)
	defer client.Close()
	begin := func(path string) *Answer {
		answer, err := client.Do(t.Context(), Call{Address: address, Method: http.MethodGet, Head: []byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")})
		must.NoError(t, err)
		return answer
	}
	end := func(a *Answer) {
		_, _ = io.Copy(io.Discard, a.Body)
		must.NoError(t, a.Body.Close())
	}
	check := func(w Witnesses, wantOpen, wantEnded int) {
		t.Helper()
		open, ended := w.Count()
		must.Eq(t, [2]int{wantOpen, wantEnded}, [2]int{open, ended})
	}
	check(client.Witnesses(address, "", time.Now()), 0, 0)
	first, second, third := begin("/"), begin("/"), begin("/")
	end(first)
	end(second)
	end(third)
	must.Len(t, 3, client.idleConns[address])
	w := client.Witnesses(address, "", time.Now())
	check(w, 3, 0)
	left := make(chan error)
	go func() {
		_, err := client.Do(t.Context(), Call{Address: address, Method: http.MethodGet, Head: []byte("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")})
		left <- err
	}()
	<-entered
	check(w, 3, 0)
	server.CloseClientConnections()
	must.Error(t, <-left)
	for open, _ := w.Count(); open > 0; open, _ = w.Count() {
		time.Sleep(time.Millisecond)
	}
	end(begin("/"))
	// What has ended before the call to Witnesses counts, as the order is open.
	later := client.Witnesses(address, "", time.Now())
	_, ended := w.Count()
	must.Positive(t, ended)
	open, ended := later.Count()
	must.Eq(t, [2]int{1, 1}, [2]int{open, ended})
	time.Sleep(2 * endSpread)
	check(client.Witnesses(address, "", time.Now()), 1, 0)
}

// TestWitnesses_EachAnswerEndsItsConnection checks that a server which ends a connection
// after each whole answer is not taken for one that has ended.
func TestWitnesses_EachAnswerEndsItsConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "answer")
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := New(DefaultDialTimeout)
	defer client.Close()
	for range 3 {
		answer, err := client.Do(t.Context(), Call{Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
		must.NoError(t, err)
		_, _ = io.Copy(io.Discard, answer.Body)
		time.Sleep(10 * time.Millisecond)
		must.NoError(t, answer.Body.Close())
		open, ended := client.Witnesses(address, "", time.Now()).Count()
		must.Eq(t, [2]int{}, [2]int{open, ended})
		must.MapEmpty(t, client.open)
	}
}

// TestWitnesses_IdleConnectionEnds checks that a server which ends idle connections is not
// taken for one that has ended.
func TestWitnesses_IdleConnectionEnds(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := New(DefaultDialTimeout)
	defer client.Close()
	answer, err := client.Do(t.Context(), Call{Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	must.NoError(t, err)
	_, _ = io.Copy(io.Discard, answer.Body)
	must.NoError(t, answer.Body.Close())
	server.CloseClientConnections()
	w := client.Witnesses(address, "", time.Now())
	for open, _ := w.Count(); open > 0; open, _ = w.Count() {
		time.Sleep(time.Millisecond)
	}
	_, ended := w.Count()
	must.Zero(t, ended)
}

// TestWitnesses_OtherProcess guards against connections that vouch for a process although they
// lead, or may lead, to the next one at its address: one that was established after the process
// was last heard of, and one whose server has answered that it is another one.
func TestWitnesses_OtherProcess(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/other" {
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := New(DefaultDialTimeout)
	defer client.Close()
	call := func(path string) {
		answer, err := client.Do(t.Context(), Call{Address: address, Method: http.MethodGet, Head: []byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")})
		must.NoError(t, err)
		_, _ = io.Copy(io.Discard, answer.Body)
		must.NoError(t, answer.Body.Close())
	}
	heard := time.Now()
	call("/")
	open, _ := client.Witnesses(address, "", heard).Count()
	must.Zero(t, open)
	open, _ = client.Witnesses(address, "", time.Now()).Count()
	must.Eq(t, 1, open)
	call("/other")
	open, _ = client.Witnesses(address, "", time.Now()).Count()
	must.Zero(t, open)
}
