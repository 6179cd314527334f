package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// directory knows the addresses of the fronts as the system tells clients.
type directory struct {
	f     *fleet
	mu    sync.Mutex
	addrs []string
}

// refresh asks up to three nodes for the addresses, once a second until ctx ends.
func (d *directory) refresh(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		for _, m := range d.f.of("front") {
			response, err := client.Get("http://" + m.ip + ":" + portDirectory + "/resolve?name=" + host + "&region=r1&zone=z1")
			if err != nil {
				continue
			}
			var answer struct {
				Addrs []string `json:"addrs"`
			}
			err = json.NewDecoder(response.Body).Decode(&answer)
			_ = response.Body.Close()
			if err == nil && response.StatusCode == 200 && len(answer.Addrs) > 0 {
				d.mu.Lock()
				d.addrs = answer.Addrs
				d.mu.Unlock()
				break
			}
		}
		time.Sleep(time.Second)
	}
}

// pick returns one address at random.
func (d *directory) pick() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.addrs) == 0 {
		return ""
	}
	return d.addrs[rand.IntN(len(d.addrs))]
}

var attempts atomic.Int64

// newAttempt returns an attempt id that was not used before.
func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07be0000000+attempts.Add(1)) }

// outcome is what a client got.
type outcome struct {
	status int
	body   []byte
	// err is set if no complete answer came.
	err error
}

// call is one request of a client on a new connection.
type call struct {
	address, method, path string
	deadline              time.Duration
	headers               map[string]string
	body                  []byte
	// perSecond is the rate of the client's uplink in bytes; 0 if it is fast.
	perSecond int
}

// do sends the request and reads the whole answer.
func (c call) do(id string) outcome {
	conn, err := net.DialTimeout("tcp4", c.address, time.Second)
	if err != nil {
		return outcome{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n", c.method, c.path, host, id, c.deadline.Milliseconds(), apiKey)
	for name, value := range c.headers {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(c.body))
	}
	head.WriteString("\r\n")
	if _, err := conn.Write(head.Bytes()); err != nil {
		return outcome{err: err}
	}
	if err := c.upload(conn); err != nil {
		return outcome{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return outcome{status: response.StatusCode, body: body, err: err}
}

// upload writes the body at the rate of the client's uplink.
func (c call) upload(conn net.Conn) error {
	const part = 64 << 10
	began := time.Now()
	for at := 0; at < len(c.body); at += part {
		if c.perSecond > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(float64(at) / float64(c.perSecond) * float64(time.Second)))))
		}
		if _, err := conn.Write(c.body[at:min(len(c.body), at+part)]); err != nil {
			return err
		}
	}
	return nil
}
