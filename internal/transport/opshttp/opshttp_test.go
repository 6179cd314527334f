package opshttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const testToken = "0123456789abcdef"

// rpcCaller sends control calls over an in-memory net/rpc connection.
type rpcCaller struct{ client *rpc.Client }

func (c rpcCaller) Call(_ context.Context, _ ident.NodeID, method string, args, reply any) error {
	return c.client.Call(method, args, reply)
}

// testBackend is the backend of a node with the leader in the same process.
type testBackend struct {
	Control
	service *control.Service
	ready   error
	fail    error
}

func (b *testBackend) InFlight(_ context.Context, live []control.NodeStatus) (map[ident.Zone]int, []ident.NodeID) {
	return map[ident.Zone]int{"z1": 3, "z2": 7}, []ident.NodeID{live[0].ID}
}

func (b *testBackend) Status(ctx context.Context) (control.StatusReply, error) {
	if b.fail != nil {
		return control.StatusReply{}, b.fail
	}
	return b.Control.Status(ctx)
}

func (b *testBackend) Timeline(_ context.Context, f timeline.Filter) ([]timeline.Event, []ident.NodeID) {
	var events []timeline.Event
	for _, e := range []timeline.Event{{Node: "a"}, {Node: "b"}, {Node: "b"}} {
		if f.Matches(e) {
			events = append(events, e)
		}
	}
	return events, []ident.NodeID{"c"}
}

func (b *testBackend) Addresses() callerapi.AddressList {
	return callerapi.AddressList{Addresses: []callerapi.Address{{Node: "a"}}, TTLSeconds: 5}
}

func (b *testBackend) Ready() error { return b.ready }

// startServer serves a backend with one leased node. It returns the backend and the
// server's address.
func startServer(t *testing.T) (*testBackend, string) {
	t.Helper()
	state := machine.New(ledger.DefaultLimits())
	service := control.NewService("a", control.NewLocalProposer("a", state), state)
	service.Tick()
	var reply control.HeartbeatReply
	must.NoError(t, service.Heartbeat(&control.HeartbeatArgs{Node: lease.Node{ID: "a", Incarnation: 1}}, &reply))
	rpcServer := rpc.NewServer()
	must.NoError(t, rpcServer.RegisterName(control.ServiceName, service))
	clientConn, serverConn := net.Pipe()
	go rpcServer.ServeConn(serverConn)
	rpcClient := rpc.NewClient(clientConn)
	backend := &testBackend{service: service, Control: Control{Client: control.NewClient(rpcCaller{rpcClient}, []ident.NodeID{"a"})}}
	server := New(backend, testToken, http.NotFoundHandler())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.Close()
		_ = rpcClient.Close()
	})
	return backend, l.Addr().String()
}

func TestServer_RefusesWrongToken(t *testing.T) {
	_, address := startServer(t)
	for _, token := range []string{"", "0123456789abcdeX"} {
		_, err := NewClient([]string{address}, token).Status(t.Context())
		var failed *opsapi.Error
		must.True(t, errors.As(err, &failed))
		must.Eq(t, opsapi.CodeUnauthorized, failed.Code)
	}
}

func TestServer_ApplyShowHistory(t *testing.T) {
	_, address := startServer(t)
	c := NewClient([]string{address}, testToken)
	bad := &opsapi.ApplyRequest{ID: "1", Who: "w", Files: []opsapi.File{{Name: "a.yaml", Data: "tears: {}\n"}}}
	reply, err := c.Apply(t.Context(), bad)
	must.NoError(t, err)
	must.Len(t, 1, reply.Mistakes)
	must.Eq(t, "", reply.Verdict)

	good := &opsapi.ApplyRequest{
		ID: "2", Who: "w", WaitSeconds: 0.05,
		Files: []opsapi.File{{Name: "a.yaml", Data: "teams:\n  t1:\n    shares: 1\n"}},
	}
	for range 2 {
		reply, err = c.Apply(t.Context(), good)
		must.NoError(t, err)
		must.Eq(t, "accepted", reply.Verdict)
		must.Eq(t, 1, reply.Revision)
		must.Eq(t, []ident.NodeID{"a"}, reply.Waiting)
	}
	stale := *good
	stale.ID = "3"
	reply, err = c.Apply(t.Context(), &stale)
	must.NoError(t, err)
	must.Eq(t, "conflict", reply.Verdict)

	shown, err := c.Config(t.Context())
	must.NoError(t, err)
	must.StrContains(t, shown.YAML, "shares: 1")
	history, err := c.History(t.Context(), 10)
	must.NoError(t, err)
	must.Len(t, 1, history.Changes)
}

func TestServer_StatusTimelineDrain(t *testing.T) {
	_, address := startServer(t)
	c := NewClient([]string{address}, testToken)
	status, err := c.Status(t.Context())
	must.NoError(t, err)
	must.Eq(t, "a", status.Leader)
	must.Len(t, 1, status.Nodes)
	moves, err := c.Moves(t.Context())
	must.NoError(t, err)
	must.SliceEmpty(t, moves.Moves)
	events, err := c.Timeline(t.Context(), timeline.Filter{Node: "b"}, 1)
	must.NoError(t, err)
	must.Len(t, 1, events.Events)
	must.Eq(t, []ident.NodeID{"c"}, events.Missing)
	_, err = c.Drain(t.Context(), "a")
	must.NoError(t, err)
	_, err = c.Drain(t.Context(), "nobody")
	var failed *opsapi.Error
	must.True(t, errors.As(err, &failed))
	must.Eq(t, opsapi.CodeNotFound, failed.Code)
	list, err := c.Addresses(t.Context())
	must.NoError(t, err)
	must.Eq(t, 5, list.TTLSeconds)
}

func TestServer_ReadinessNeedsNoToken(t *testing.T) {
	backend, address := startServer(t)
	get := func(path string) int {
		resp, err := http.Get("http://" + address + path)
		must.NoError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	must.Eq(t, http.StatusOK, get(opsapi.PathReady))
	backend.ready = errors.New("cut off")
	must.Eq(t, http.StatusServiceUnavailable, get(opsapi.PathReady))
	must.Eq(t, http.StatusOK, get(opsapi.PathHealth))
}

func TestClient_FailsOverToNextNode(t *testing.T) {
	_, address := startServer(t)
	c := NewClient([]string{"127.0.0.1:1", address}, testToken)
	_, err := c.Status(t.Context())
	must.NoError(t, err)
}

func TestClient_UncertainOutcome(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = io.ReadAtLeast(conn, make([]byte, 16), 16)
			_ = conn.Close()
		}
	}()
	_, err = NewClient([]string{l.Addr().String(), "127.0.0.1:1"}, testToken).Drain(t.Context(), "a")
	var failed *opsapi.Error
	must.True(t, errors.As(err, &failed))
	must.Eq(t, opsapi.CodeUncertain, failed.Code)
	_, err = NewClient([]string{"127.0.0.1:1"}, testToken).Drain(t.Context(), "a")
	must.True(t, errors.As(err, &failed))
	must.Eq(t, opsapi.CodeUnavailable, failed.Code)
}
