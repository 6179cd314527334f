package upstreamhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// maxReportBytes limits the body of an answer to the calls in this file, in bytes.
const maxReportBytes = 8 << 20

// Load asks an engine for its load report.
func (s *Sender) Load(ctx context.Context, address string) (*upstreamapi.Load, error) {
	var load upstreamapi.Load
	if err := s.getJSON(ctx, "http://"+address+upstreamapi.PathLoad, &load); err != nil {
		return nil, fmt.Errorf("load report: %w", err)
	}
	return &load, nil
}

// CacheEvents asks an engine for its cache events after a sequence number.
func (s *Sender) CacheEvents(ctx context.Context, address string, after uint64) (*upstreamapi.CacheEvents, error) {
	var events upstreamapi.CacheEvents
	url := fmt.Sprintf("http://%s%s?after=%d", address, upstreamapi.PathCacheEvents, after)
	if err := s.getJSON(ctx, url, &events); err != nil {
		return nil, fmt.Errorf("cache events: %w", err)
	}
	return &events, nil
}

// Order sends an order to an engine on a new connection. After an error, the engine
// may or may not have carried out the order.
func (s *Sender) Order(ctx context.Context, address string, order upstreamapi.Order) (*upstreamapi.OrderReply, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, fmt.Errorf("order: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+upstreamapi.PathOrders, nil)
	if err != nil {
		return nil, fmt.Errorf("order: %w", err)
	}
	request.Body = &singleReadBody{rest: body}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := s.unpooled.Do(request)
	if err != nil {
		return nil, fmt.Errorf("order: %w", err)
	}
	defer response.Body.Close()
	var reply upstreamapi.OrderReply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&reply); err != nil {
		return nil, fmt.Errorf("order: %s: %w", response.Status, err)
	}
	return &reply, nil
}

// VMs asks the platform at address for its list of VMs.
func (s *Sender) VMs(ctx context.Context, address string) (*upstreamapi.VMList, error) {
	var list upstreamapi.VMList
	if err := s.getJSON(ctx, "http://"+address+upstreamapi.PathVMs, &list); err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	return &list, nil
}

// Status implements gateway.Upstreams. It returns nil, an unknown outcome, unless
// the service answers with status 200: a service that does not know the key yet
// may still receive the request.
func (s *Sender) Status(ctx context.Context, d gateway.Dispatch) *ledger.Answer {
	url := "http://" + d.Target.Upstream.Address + d.Request.StatusPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil
	}
	request.Header.Set(upstreamapi.HeaderRequestID, string(d.Request.ID))
	request.Header.Set(upstreamapi.HeaderIdempotencyKey, d.Request.Key)
	response, err := s.unpooled.Do(request)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes+1))
	if err != nil || len(body) > maxReportBytes || response.StatusCode != http.StatusOK {
		return nil
	}
	if framingOf(response) == gateway.FramedByConnection && !s.stillThere(ctx, d.Target) {
		// The body may be a part of the answer of a service that was killed.
		return nil
	}
	return &ledger.Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}
}

// stillThere reports whether a service can be reached after its answer has ended with its
// connection.
func (s *Sender) stillThere(ctx context.Context, t gateway.Target) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(gateway.EndCheckDelay):
		return s.Probe(ctx, t, "") == nil
	}
}

// Probe implements gateway.Prober. The daemon has no relays.
func (s *Sender) Probe(ctx context.Context, t gateway.Target, _ string) error {
	conn, err := dial(ctx, "tcp", t.Upstream.Address)
	if err != nil {
		return err
	}
	return conn.Close()
}

func (s *Sender) getJSON(ctx context.Context, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := s.pooled.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", url, response.Status)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(into)
}
