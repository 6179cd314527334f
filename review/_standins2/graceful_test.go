package standins

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["graceful"] = gracefulStop }

// gracefulStop sends streams that end with their connections. With trouble, servers are replaced one by one:
// each is shown as draining, serves on for a while, closes its listener, finishes its streams and ends.
func gracefulStop(s *system, trouble bool) int {
	var mu sync.Mutex
	whole := make(map[string]bool)
	running := make(map[*server]int)
	answer := func(c *serverConn, r *http.Request, _ []byte) {
		mu.Lock()
		running[c.server]++
		mu.Unlock()
		defer func() {
			mu.Lock()
			running[c.server]--
			mu.Unlock()
		}()
		if strings.HasPrefix(r.URL.Path, "/review/short") {
			c.stream(r, 2, 20*time.Millisecond)
			return
		}
		attempt := r.Header.Get("Attempt-Id")
		id, _ := c.server.identity()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, id, attempt)
		events, _ := strconv.Atoi(strings.Split(r.Header.Get("Token-Counts"), ",")[1])
		for i := range events / 4 {
			time.Sleep(100 * time.Millisecond)
			if _, err := fmt.Fprintf(c, "id: %d\ndata: event %d\n\n", i+1, i+1); err != nil {
				return
			}
		}
		mu.Lock()
		whole[attempt] = true
		mu.Unlock()
		_ = c.Close()
	}
	var servers []*server
	for range 8 {
		v, err := s.newServer("entries-llm", 5, answer)
		if err != nil {
			s.say("%v", err)
			return unusable
		}
		servers = append(servers, v)
	}
	manifest := manifestText(1, []tenant{{"name": "lautoka", "apiKeys": []string{"key"}, "priority": 1, "unit": "token_stream", "plainTokens": 200}},
		[]service{llmService()}, []route{llmRoute("review", "/review/", 10000, 800, 1, false)})
	if err := s.up(manifest); err != nil {
		s.say("%v", err)
		return unusable
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	streams, cut, other := 0, 0, 0
	for i := range 32 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				m := s.fronts[(i+n)%3]
				id := fmt.Sprintf("stream-%d-%d", i, n)
				first, second := callTwice(m.front(), id, 50+(i*7+n*5)%30)
				mu.Lock()
				streams++
				switch {
				case first.status == http.StatusOK && second.status == http.StatusOK && second.err != nil && whole[id]:
					cut++
					s.say("%s at %s: %s after all events that its server sent (%d bytes)", id, m.name, second, len(second.body))
				case second.err != nil || second.status != http.StatusOK:
					other++
					s.say("%s at %s: %s, then %s; whole at its server: %t", id, m.name, first, second, whole[id])
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, old := range servers {
			v, err := s.newServer("entries-llm", 5, answer)
			if err != nil {
				s.say("%v", err)
				return unusable
			}
			servers = append(servers, v)
			old.mu.Lock()
			old.draining = true
			old.mu.Unlock()
			s.say("%s drains", old.address)
			go func() {
				time.Sleep(3500 * time.Millisecond)
				old.mu.Lock()
				_ = old.listener.Close()
				old.mu.Unlock()
				mu.Lock()
				left := running[old]
				mu.Unlock()
				s.say("%s has closed its listener and finishes %d streams", old.address, left)
				time.Sleep(8 * time.Second)
				s.cloud.remove(old)
				old.end()
			}()
			time.Sleep(3 * time.Second)
		}
		time.Sleep(6 * time.Second)
	} else {
		time.Sleep(30 * time.Second)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.say("%d of %d streams that their servers had sent whole, on kept connections, were broken off; %d others failed", cut, streams, other)
	if cut > 3 {
		return broken
	}
	return held
}

// callTwice sends a short request and then one for a stream on one connection.
func callTwice(address, id string, events int) (first, second reply) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return reply{err: err}, reply{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(conn)
	send := func(path, id string, output int) reply {
		fields := map[string]string{"Api-Key": "key", "Model": "m", "Token-Counts": fmt.Sprintf("400,%d", output), "Prompt-Prefix": "aa01:60,c" + id[len(id)-1:] + ":340"}
		if _, err := io.WriteString(conn, requestText(http.MethodPost, path, id, fields, "prompt", 10*time.Second)); err != nil {
			return reply{err: err}
		}
		return readReply(reader, http.MethodPost)
	}
	first = send("/review/short", id+"-short", 8)
	return first, send("/review/long", id, 4*events)
}
