package standins

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slowreaders"] = slowReaders }

const (
	// answerBytes is the size of each answer, and memoryMB the limit in the settings of a gateway.
	answerBytes = 240 << 10
	memoryMB    = 284
	// slowClients is the number of clients at each gateway, of the 2,460 connections that it accepts.
	slowClients = 1200
)

// anonymousMB returns the memory of a process without its file pages, in MiB; 0 if it doesn't run.
func (m *machine) anonymousMB() float64 {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// slowReaders lets clients pause for seconds while they read their answers; without trouble, they
// read at once. A gateway that uses more than its memory is killed, as the platform does.
func slowReaders(s *system, trouble bool) int {
	answer := bytes.Repeat([]byte("0123456789abcdef"), answerBytes/16)
	for range 3 {
		if _, err := s.newServer("entries-app", 6, func(c *serverConn, r *http.Request, _ []byte) {
			time.Sleep(3 * time.Millisecond)
			c.sealed(r, answer)
		}); err != nil {
			s.say("%v", err)
			return unusable
		}
	}
	manifest := manifestText(1, []tenant{{"name": "lautoka", "apiKeys": []string{"key"}, "priority": 1, "unit": "token_stream", "plainTokens": 200}},
		[]service{appService()}, []route{appRoute("draw-sheet", "/sheet/", "idempotent", 12000, 2000, 2)})
	if err := s.up(manifest); err != nil {
		s.say("%v", err)
		return unusable
	}
	pause := 8 * time.Second
	if !trouble {
		pause = 0
	}
	var whole, cut, refused, failed atomic.Int64
	var kills atomic.Int64
	stop := make(chan struct{})
	var watched sync.WaitGroup
	peaks := make([]float64, len(s.fronts))
	for i, m := range s.fronts {
		watched.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				used := m.anonymousMB()
				peaks[i] = max(peaks[i], used)
				if used > memoryMB {
					// As the platform does with a process that uses more than its memory.
					s.say("%s uses %.0f MiB of %d: killed", m.name, used, memoryMB)
					kills.Add(1)
					m.kill()
					time.Sleep(300 * time.Millisecond)
					_ = m.start()
				}
			}
		})
	}
	var clients sync.WaitGroup
	end := time.Now().Add(30 * time.Second)
	for i := range slowClients * len(s.fronts) {
		clients.Go(func() {
			m := s.fronts[i%len(s.fronts)]
			time.Sleep(time.Duration(i) * time.Millisecond)
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				r, err := readSlowly(m.front(), fmt.Sprintf("slow-%d-%d", i, n), pause)
				switch {
				case err == nil && r.status == http.StatusOK && r.bytes == answerBytes:
					whole.Add(1)
				case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests:
					refused.Add(1)
				case r.status == http.StatusOK:
					cut.Add(1)
				default:
					failed.Add(1)
				}
				s.say("slow-%d-%d at %s: status %d, %d bytes, %v, after %.1f s", i, n, m.name, r.status, r.bytes, err, time.Since(began).Seconds())
				time.Sleep(max(0, 9*time.Second-time.Since(began)))
			}
		})
	}
	clients.Wait()
	close(stop)
	watched.Wait()
	s.say("answers: %d whole, %d broken off, %d refused, %d failed; peaks in MiB: %.0f", whole.Load(), cut.Load(), refused.Load(), failed.Load(), peaks)
	s.say("%d times a gateway was over its memory", kills.Load())
	if kills.Load() >= 3 {
		return broken
	}
	return held
}

// readSlowly sends a request and reads its answer after a pause within it, over a connection
// with small windows.
func readSlowly(address, id string, pause time.Duration) (reply, error) {
	dialer := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
		})
	}}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return reply{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	if _, err := io.WriteString(conn, requestText(http.MethodGet, "/sheet/1", id, map[string]string{"Api-Key": "key"}, "", 12*time.Second)); err != nil {
		return reply{}, err
	}
	answer, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), &http.Request{Method: http.MethodGet})
	if err != nil {
		return reply{}, err
	}
	defer answer.Body.Close()
	r := reply{status: answer.StatusCode, header: answer.Header}
	piece := make([]byte, 4<<10)
	for {
		n, err := answer.Body.Read(piece)
		r.bytes += n
		if err == io.EOF {
			return r, nil
		}
		if err != nil {
			return r, err
		}
		if pause > 0 {
			time.Sleep(pause)
			pause = 0
		}
	}
}
