package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/transport/httphead"
	"github.com/flamingohaven/flamingohaven/internal/transport/peerwatch"
	"github.com/flamingohaven/flamingohaven/internal/transport/tcpinfo"
)

// RefusedError is the answer of a relay that opened no tunnel.
type RefusedError struct {
	Relay, Target string
	Status        int
	Reason        string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("relay %s opened no tunnel to %s: %d %s", e.Relay, e.Target, e.Status, e.Reason)
}

// Options are those of Dial.
type Options struct {
	// Dial connects to the relay.
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Origin Origin
	// Ended, if set, is called when the connection is closed.
	Ended func(Ending)
}

// Dial opens a tunnel to target through the relay at an address. If it fails, nothing has
// reached the target.
func Dial(ctx context.Context, relay, target string, o Options) (net.Conn, error) {
	conn, err := o.Dial(ctx, relay)
	if err != nil {
		return nil, fmt.Errorf("relay %s: %w", relay, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	fail := func(err error) (net.Conn, error) {
		_ = conn.Close()
		return nil, err
	}
	head, err := connectHead(target, o.Origin)
	if err != nil {
		return fail(fmt.Errorf("relay %s: %w", relay, err))
	}
	if _, err := conn.Write(head); err != nil {
		return fail(fmt.Errorf("relay %s: %w", relay, err))
	}
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return fail(fmt.Errorf("relay %s: %w", relay, err))
	}
	framed := answer.Header.Get(headerFrames) == framesV1
	if answer.StatusCode != http.StatusOK || !framed && reader.Buffered() > 0 {
		reason, _ := io.ReadAll(io.LimitReader(answer.Body, 256))
		return fail(&RefusedError{Relay: relay, Target: target, Status: answer.StatusCode, Reason: string(reason)})
	}
	_ = conn.SetDeadline(time.Time{})
	t := &tunneled{Conn: conn, from: conn, began: time.Now(), ended: o.Ended, ending: Ending{Origin: o.Origin, Target: target}}
	if framed {
		t.from = &frameReader{from: reader, timed: answer.Header.Get(headerTimed) == timedV1}
	}
	return t, nil
}

// connectHead returns the request that asks a relay for a tunnel. It fails if the target can't
// be written into a head; an origin that can't is left out.
func connectHead(target string, o Origin) ([]byte, error) {
	head := httphead.New(http.MethodConnect, target)
	head.Field("Host", target)
	head.Field(headerFrames, framesV1)
	head.Field(headerTimed, timedV1)
	for name, value := range map[string]string{headerGateway: o.Gateway, headerRequest: o.Request} {
		if value != "" && httphead.CheckField(name, value) == nil {
			head.Field(name, value)
		}
	}
	return head.Bytes()
}

// tunneled is the gateway's end of a tunnel.
type tunneled struct {
	net.Conn
	from           io.Reader
	began          time.Time
	ended          func(Ending)
	sent, received atomic.Int64
	// end is how the upstream's side ended, as far as it was read.
	end  atomic.Uint32
	once sync.Once
	// ending is complete once the connection is closed.
	ending Ending
}

// Read implements io.Reader.
func (t *tunneled) Read(p []byte) (int, error) {
	n, err := t.from.Read(p)
	t.received.Add(int64(n))
	if err != nil && !errors.Is(err, net.ErrClosed) {
		end := endOf(err)
		if frames, ok := t.from.(*frameReader); ok && frames.ended && end != EndTimeout {
			end = frames.end
		}
		t.end.Store(uint32(end))
	}
	return n, err
}

// Times implements peerwatch.Timer. Those of the end are known once the last frame was read. It
// must not be called while Read runs.
func (t *tunneled) Times() (peerwatch.Times, bool) {
	info, known := tcpinfo.Of(t.Conn)
	times := peerwatch.Times{DataAge: info.SinceData}
	if frames, ok := t.from.(*frameReader); ok && frames.gapKnown && frames.end == EndProper {
		times.Ended, times.EndKnown, times.Late = true, frames.gap != endGapLate, frames.gap == endGapLate
		times.EndGap, times.EndAge = time.Duration(frames.gap)*time.Millisecond, info.SinceData
	}
	return times, known
}

// Write implements io.Writer.
func (t *tunneled) Write(p []byte) (int, error) {
	n, err := t.Conn.Write(p)
	t.sent.Add(int64(n))
	return n, err
}

// Close implements io.Closer.
func (t *tunneled) Close() error {
	err := t.Conn.Close()
	t.once.Do(func() {
		t.ending.Sent, t.ending.Received, t.ending.Lasted = t.sent.Load(), t.received.Load(), time.Since(t.began)
		t.ending.Upstream = End(t.end.Load())
		if t.ended != nil {
			t.ended(t.ending)
		}
	})
	return err
}
