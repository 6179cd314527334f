package opshttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// clientTimeout limits one attempt of a call. It exceeds callTimeout, so
	// that the server's limit applies first.
	clientTimeout     = 15 * time.Second
	clientDialTimeout = time.Second
	// clientRetryDelay is the delay before the next round over the addresses.
	clientRetryDelay = 300 * time.Millisecond
	// clientRounds is the maximum number of attempts per address.
	clientRounds = 3
)

// Client calls the operators' HTTP API of one or more nodes. All calls are safe to
// retry unchanged, so it tries the next node when one gives no answer.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// NewClient returns a client for the operators' listeners at addresses, each
// host:port.
func NewClient(addresses []string, token string) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: clientDialTimeout}).DialContext}
	return &Client{
		addresses: addresses,
		token:     token,
		http:      &http.Client{Transport: transport, Timeout: clientTimeout},
	}
}

// Apply replaces the configuration.
func (c *Client) Apply(ctx context.Context, request *opsapi.ApplyRequest) (*opsapi.ApplyReply, error) {
	return send[opsapi.ApplyReply](ctx, c, http.MethodPost, opsapi.PathConfig, request)
}

// Config returns the current configuration.
func (c *Client) Config(ctx context.Context) (*opsapi.ConfigReply, error) {
	return send[opsapi.ConfigReply](ctx, c, http.MethodGet, opsapi.PathConfig, nil)
}

// History returns the latest accepted configurations.
func (c *Client) History(ctx context.Context, limit int) (*opsapi.HistoryReply, error) {
	path := opsapi.PathHistory + "?limit=" + strconv.Itoa(limit)
	return send[opsapi.HistoryReply](ctx, c, http.MethodGet, path, nil)
}

// Status returns the state of the system.
func (c *Client) Status(ctx context.Context) (*opsapi.StatusReply, error) {
	return send[opsapi.StatusReply](ctx, c, http.MethodGet, opsapi.PathStatus, nil)
}

// Moves returns all moves.
func (c *Client) Moves(ctx context.Context) (*opsapi.MovesReply, error) {
	return send[opsapi.MovesReply](ctx, c, http.MethodGet, opsapi.PathMoves, nil)
}

// Timeline returns the latest events that the filter selects.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter, limit int) (*opsapi.TimelineReply, error) {
	query := url.Values{}
	query.Set("request", string(f.Request))
	query.Set("move", string(f.Move))
	query.Set("node", string(f.Node))
	query.Set("pool", string(f.Pool))
	query.Set("limit", strconv.Itoa(limit))
	return send[opsapi.TimelineReply](ctx, c, http.MethodGet, opsapi.PathTimeline+"?"+query.Encode(), nil)
}

// RemoveReplica removes a node's replica from the membership.
func (c *Client) RemoveReplica(ctx context.Context, node ident.NodeID) (*opsapi.RemoveReplicaReply, error) {
	request := &opsapi.RemoveReplicaRequest{Node: node}
	return send[opsapi.RemoveReplicaReply](ctx, c, http.MethodPost, opsapi.PathRemoveReplica, request)
}

// Drain asks a node to drain.
func (c *Client) Drain(ctx context.Context, node ident.NodeID) (*opsapi.DrainReply, error) {
	return send[opsapi.DrainReply](ctx, c, http.MethodPost, opsapi.PathDrain, &opsapi.DrainRequest{Node: node})
}

// Evacuate starts or ends the evacuation of a data centre.
func (c *Client) Evacuate(ctx context.Context, request *opsapi.EvacuateRequest) (*opsapi.EvacuateReply, error) {
	return send[opsapi.EvacuateReply](ctx, c, http.MethodPost, opsapi.PathEvacuate, request)
}

// Addresses returns the nodes that callers should use.
func (c *Client) Addresses(ctx context.Context) (*callerapi.AddressList, error) {
	return send[callerapi.AddressList](ctx, c, http.MethodGet, callerapi.PathAddresses, nil)
}

// send tries a call at each address in turn. The code of its error states whether
// the call may have taken effect: after one attempt with an uncertain outcome, the
// outcome of the call is uncertain.
func send[R any](ctx context.Context, c *Client, method, path string, request any) (*R, error) {
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return nil, fmt.Errorf("encode the call: %w", err)
		}
	}
	var lastErr *opsapi.Error
	for round := range clientRounds {
		if round > 0 && !waitRetryDelay(ctx) {
			break
		}
		for _, address := range c.addresses {
			reply := new(R)
			callErr := c.try(ctx, method, "http://"+address+path, body, reply)
			if callErr == nil {
				return reply, nil
			}
			if callErr.Code != opsapi.CodeUnavailable && callErr.Code != opsapi.CodeUncertain {
				return nil, callErr
			}
			if lastErr != nil && lastErr.Code == opsapi.CodeUncertain {
				callErr.Code = opsapi.CodeUncertain
			}
			lastErr = callErr
		}
	}
	if lastErr == nil {
		lastErr = &opsapi.Error{Code: opsapi.CodeUnavailable, Message: "no operators' addresses to call"}
	}
	return nil, lastErr
}

func waitRetryDelay(ctx context.Context) bool {
	timer := time.NewTimer(clientRetryDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// maxAnswerBytes limits the body of an answer, in bytes.
const maxAnswerBytes = 64 << 20

func (c *Client) try(ctx context.Context, method, target string, body []byte, reply any) *opsapi.Error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return &opsapi.Error{Code: opsapi.CodeBadRequest, Message: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(method, err)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(content) > maxAnswerBytes {
		err = fmt.Errorf("the answer exceeds %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return transportError(method, err)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, content)
	}
	if err := json.Unmarshal(content, reply); err != nil {
		return transportError(method, err)
	}
	return nil
}

// transportError returns an error with CodeUnavailable for a call that was not sent
// or that changes nothing, and with CodeUncertain for one whose outcome is unknown.
func transportError(method string, err error) *opsapi.Error {
	var opErr *net.OpError
	dialing := errors.As(err, &opErr) && opErr.Op == "dial"
	if dialing || method == http.MethodGet {
		return &opsapi.Error{Code: opsapi.CodeUnavailable, Message: err.Error()}
	}
	return &opsapi.Error{Code: opsapi.CodeUncertain, Message: err.Error()}
}

func statusError(status int, content []byte) *opsapi.Error {
	var callErr opsapi.Error
	if err := json.Unmarshal(content, &callErr); err != nil || callErr.Code == "" {
		callErr = opsapi.Error{Code: opsapi.CodeBadRequest, Message: fmt.Sprintf("unexpected answer with status %d", status)}
	}
	return &callErr
}
