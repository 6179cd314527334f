// Package upstreamhttp sends requests to engines and plain services over HTTP,
// reads their answers and streams, and asks for their load, cache events and
// outcomes. No request is sent twice: the HTTP client's automatic retries are
// prevented.
package upstreamhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/transport/h1conn"
	"github.com/flamingohaven/flamingohaven/internal/transport/httphead"
	"github.com/flamingohaven/flamingohaven/internal/transport/peerwatch"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

const (
	// IdleTimeout is how long an idle connection to an upstream is kept. It is
	// short because an idle connection can stop working without an error.
	IdleTimeout = 2 * time.Second
	// MaxIdlePerUpstream limits the idle connections to one upstream.
	MaxIdlePerUpstream = 64
	// CancelTimeout limits the call that cancels a request at an engine.
	CancelTimeout = 2 * time.Second
	// MaxAnswerBytes limits the body of an answer that is not a stream.
	MaxAnswerBytes = 64 << 20
	// maxHeadBytes limits the header of an answer.
	maxHeadBytes = 64 << 10
)

// Sender sends requests to upstreams. It is safe for concurrent use.
type Sender struct {
	pooled   *http.Client // reuses connections
	unpooled *http.Client // opens a new connection for each request
	// watcher watches the upstreams whose answers end with their connections.
	watcher *peerwatch.Watcher

	resumed  atomic.Uint64
	canceled atomic.Uint64
}

// NewSender returns a sender.
func NewSender() *Sender {
	return &Sender{
		pooled:   &http.Client{Transport: newTransport(false), CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: newTransport(true), CheckRedirect: noRedirect},
		watcher:  peerwatch.New(),
	}
}

func newTransport(disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: MaxIdlePerUpstream,
		IdleConnTimeout:     IdleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// noRedirect makes the HTTP client return a redirect as the answer: following it
// would dispatch the request a second time.
func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// dialError is the error of a dial that failed, so that nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return e.err.Error() }

func (e *dialError) Unwrap() error { return e.err }

func dial(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := rpcnet.Dial(ctx, address)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return conn, nil
}

// Close closes idle connections.
func (s *Sender) Close() {
	s.watcher.Close()
	s.pooled.CloseIdleConnections()
	s.unpooled.CloseIdleConnections()
}

// Resumed returns the number of attempts to resume a broken stream.
func (s *Sender) Resumed() uint64 { return s.resumed.Load() }

// Canceled returns the number of requests canceled at an engine.
func (s *Sender) Canceled() uint64 { return s.canceled.Load() }

// Send implements gateway.Upstreams.
func (s *Sender) Send(ctx context.Context, d gateway.Dispatch, sink gateway.AnswerSink) gateway.DispatchResult {
	result := s.send(ctx, d, sink)
	if result.Outcome == gateway.DispatchIncomplete && d.Request.Engine {
		// The engine may not respond, and the caller should not wait for it.
		go s.cancel(ctx, d)
	}
	return result
}

func (s *Sender) send(ctx context.Context, d gateway.Dispatch, sink gateway.AnswerSink) gateway.DispatchResult {
	sendCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	upload := newUpload()
	request, err := newRequest(httptrace.WithClientTrace(sendCtx, &httptrace.ClientTrace{WroteRequest: upload.record}), d)
	if err != nil {
		return gateway.DispatchResult{Outcome: gateway.DispatchUnwritable, Err: err}
	}
	response, err := s.roundTrip(request, d, cancel)
	if err != nil && errors.Is(context.Cause(sendCtx), errStreamIdle) {
		return s.resumeUntilDone(ctx, d, &streamReader{sink: sink}, errStreamIdle)
	}
	if err != nil {
		return failureResult(err)
	}
	defer response.Body.Close()
	if !h1conn.IsAnswerStatus(response.StatusCode) {
		return gateway.DispatchResult{Outcome: gateway.DispatchIncomplete, Err: fmt.Errorf("%w: %q", h1conn.ErrMalformedStatus, response.Status)}
	}
	if response.Header.Get(upstreamapi.HeaderRequestID) != string(d.Request.ID) {
		err := fmt.Errorf("answer carries request id %q", response.Header.Get(upstreamapi.HeaderRequestID))
		return gateway.DispatchResult{Outcome: gateway.DispatchMismatched, Err: err}
	}
	sink.Notice(noticeOf(response))
	if isStream(response) {
		reader := &streamReader{sink: sink}
		return s.resumeUntilDone(ctx, d, reader, reader.forwardResponse(response))
	}
	if framingOf(response) == gateway.FramedByConnection {
		return s.forwardWatched(d, response, upload, sink)
	}
	return forwardWhole(response, upload, sink, &peerwatch.Pace{})
}

// forwardWatched forwards an answer that ends with its connection, and watches the process
// that it comes from.
func (s *Sender) forwardWatched(d gateway.Dispatch, response *http.Response, upload *upload, sink gateway.AnswerSink) gateway.DispatchResult {
	address := d.Target.Upstream.Address
	watched := s.watcher.Watch(peerwatch.Peer{
		Name:    fmt.Sprintf("%s at %s", d.Target.Name, address),
		Leaving: d.Leaving,
		Dial: func(ctx context.Context) (net.Conn, error) {
			conn, err := rpcnet.Dial(ctx, address)
			if errors.Is(err, syscall.ECONNREFUSED) {
				return nil, fmt.Errorf("%w: %w", peerwatch.ErrRefused, err)
			}
			return conn, err
		},
	})
	defer watched.Release()
	var pace peerwatch.Pace
	result := forwardWhole(response, upload, sink, &pace)
	if result.BytesEnd == gateway.EndClosed {
		watched.End(pace.End(nil, time.Now()))
		result.Evidence = watched.Evidence
	}
	return result
}

// noticeOf decodes what an answer says about its upstream.
func noticeOf(response *http.Response) scheduler.UpstreamNotice {
	n := upstreamapi.ParseNotice(response.Header.Values(upstreamapi.HeaderRateLimit), response.Header.Values(upstreamapi.HeaderBrittle))
	n = upstreamapi.WithLeaving(n, response.Header.Values(upstreamapi.HeaderLeaving))
	if response.StatusCode == http.StatusServiceUnavailable {
		n = upstreamapi.WithPause(n, response.Header.Values(upstreamapi.HeaderPause))
	}
	return n
}

// roundTrip sends the request and returns the answer as soon as its header has been
// read. An engine answers a streaming call immediately and then sends heartbeats.
// If no header arrives within StreamIdleTimeout, the connection is considered
// dead and the call is canceled with errStreamIdle.
func (s *Sender) roundTrip(request *http.Request, d gateway.Dispatch, cancel context.CancelCauseFunc) (*http.Response, error) {
	if !d.Request.Engine || !d.Request.Stream {
		return s.client(d).Do(request)
	}
	idleTimer := time.AfterFunc(StreamIdleTimeout, func() { cancel(errStreamIdle) })
	defer idleTimer.Stop()
	return s.client(d).Do(request)
}

// client returns the HTTP client for a request. A request that must not run twice
// gets a new connection.
func (s *Sender) client(d gateway.Dispatch) *http.Client {
	if d.Request.Idempotent {
		return s.pooled
	}
	return s.unpooled
}

func failureResult(err error) gateway.DispatchResult {
	var dialErr *dialError
	if errors.As(err, &dialErr) {
		return gateway.DispatchResult{Outcome: gateway.DispatchUnsent, Err: err}
	}
	return gateway.DispatchResult{Outcome: gateway.DispatchIncomplete, Broken: isBrokenOff(err), Err: err}
}

// isBrokenOff reports whether an error means that the upstream ended the connection.
func isBrokenOff(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func newRequest(ctx context.Context, d gateway.Dispatch) (*http.Request, error) {
	r := d.Request
	url := "http://" + d.Target.Upstream.Address + r.Path
	request, err := http.NewRequestWithContext(ctx, r.Method, url, nil)
	if err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	request.Body = &singleReadBody{rest: r.Body}
	request.ContentLength = int64(len(r.Body))
	if r.ContentType != "" {
		request.Header.Set("Content-Type", r.ContentType)
	}
	request.Header.Set(upstreamapi.HeaderRequestID, string(r.ID))
	request.Header.Set(callerapi.HeaderVersion, string(d.Version))
	if r.Key != "" {
		request.Header.Set(upstreamapi.HeaderIdempotencyKey, r.Key)
	}
	// The HTTP client would refuse them as well, with an error that does not say that nothing
	// was sent.
	if err := httphead.CheckHeader(request.Header); err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	return request, nil
}

// singleReadBody is a request body that can't be read twice. When a reused
// connection breaks, http.Transport retries a GET and any request with an
// Idempotency-Key on its own, unless it can't rewind the body.
type singleReadBody struct{ rest []byte }

func (b *singleReadBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *singleReadBody) Close() error { return nil }

// forwardWhole forwards an answer that is not an event stream, and records its pace.
func forwardWhole(response *http.Response, upload *upload, sink gateway.AnswerSink, pace *peerwatch.Pace) gateway.DispatchResult {
	result := gateway.DispatchResult{
		Outcome: gateway.DispatchIncomplete, Status: response.StatusCode,
		Framing: framingOf(response), BytesEnd: gateway.EndOther,
	}
	if result.Err = sink.Begin(headOf(response)); result.Err != nil {
		return result
	}
	sink.FirstToken()
	buffer := make([]byte, copyBufferSize)
	body := io.LimitReader(response.Body, MaxAnswerBytes+1)
	total := 0
	for {
		n, err := body.Read(buffer)
		pace.Read(n, nil, time.Now())
		total += n
		if n > 0 {
			if result.Err = sink.Write(buffer[:n]); result.Err != nil {
				return result
			}
		}
		if err == io.EOF && result.Framing == gateway.FramedByConnection && !upload.sentWhole() {
			err = fmt.Errorf("the connection ended while the request was sent: %w", io.ErrUnexpectedEOF)
		}
		if err == io.EOF && total <= MaxAnswerBytes {
			result.Outcome, result.BytesEnd = gateway.DispatchComplete, gateway.EndOf(err, result.Framing)
			return result
		}
		if err != nil {
			result.BytesEnd = gateway.EndOf(err, result.Framing)
			result.Broken, result.Err = isBrokenOff(err), fmt.Errorf("answer cut after %d bytes: %w", total, err)
			return result
		}
	}
}

func headOf(response *http.Response) gateway.AnswerHead {
	return gateway.AnswerHead{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"),
		Framing: framingOf(response), EventStream: isStream(response),
	}
}

// framingOf returns how the end of an answer's body is marked.
func framingOf(response *http.Response) gateway.Framing {
	switch {
	case isStream(response):
		return gateway.FramedByMarker
	case len(response.TransferEncoding) > 0:
		return gateway.FramedInChunks
	case response.ContentLength < 0 && response.Body != http.NoBody:
		return gateway.FramedByConnection
	default:
		return gateway.FramedByLength
	}
}

// copyBufferSize is the size of the buffer for reading an answer, in bytes.
const copyBufferSize = 16 << 10

// cancel asks an engine to stop a request whose answer is no longer needed.
func (s *Sender) cancel(ctx context.Context, d gateway.Dispatch) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), CancelTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(d), nil)
	if err != nil {
		return
	}
	response, err := s.unpooled.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
	s.canceled.Add(1)
}

func streamURL(d gateway.Dispatch) string {
	return "http://" + d.Target.Upstream.Address + upstreamapi.PathStreams + string(d.Request.ID)
}
