package fakes

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func startEngine(t *testing.T, options EngineOptions) *Engine {
	t.Helper()
	e, err := StartEngine(options)
	must.NoError(t, err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func post(t *testing.T, addr, path, id, body string) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set(upstreamapi.HeaderRequestID, id)
	return http.DefaultClient.Do(req)
}

// readEvents returns the data of a stream's events, and an error if the stream was
// cut off.
func readEvents(r io.Reader) ([]string, error) {
	var data []string
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if d, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			data = append(data, d)
		}
	}
	return data, lines.Err()
}

func TestEngine_CompleteAnswer(t *testing.T) {
	e := startEngine(t, EngineOptions{})
	body := `{"model":"m","max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`
	resp, err := post(t, e.Addr(), openai.PathChat, "r1", body)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.Eq(t, "r1", resp.Header.Get(upstreamapi.HeaderRequestID))
	var c openai.Completion
	must.NoError(t, json.NewDecoder(resp.Body).Decode(&c))
	must.Eq(t, 5, c.Usage.CompletionTokens)
	call, err := openai.ParseRequest([]byte(body))
	must.NoError(t, err)
	must.StrHasPrefix(t, EchoOf(call), c.Choices[0].Message.Content)
}

func TestEngine_BrokenStreamResumes(t *testing.T) {
	e := startEngine(t, EngineOptions{})
	e.BreakStreamsAfter(3)
	resp, err := post(t, e.Addr(), openai.PathCompletion, "r1", `{"model":"m","stream":true,"max_tokens":10,"prompt":"p"}`)
	must.NoError(t, err)
	defer resp.Body.Close()
	first, err := readEvents(resp.Body)
	must.Error(t, err)
	must.Len(t, 3, first)

	resumed, err := http.Get(fmt.Sprintf("http://%s%sr1?after=%d", e.Addr(), upstreamapi.PathStreams, len(first)))
	must.NoError(t, err)
	defer resumed.Body.Close()
	rest, err := readEvents(resumed.Body)
	must.NoError(t, err)
	must.Len(t, 10+closingEvents-3, rest)
	must.Eq(t, openai.DoneData, rest[len(rest)-1])
	must.Len(t, 1, e.Runs())
}

func TestEngine_SilencedConnectionStaysOpen(t *testing.T) {
	e := startEngine(t, EngineOptions{StepBase: 20 * time.Millisecond})
	resp, err := post(t, e.Addr(), openai.PathCompletion, "r1", `{"model":"m","stream":true,"max_tokens":10,"prompt":"p"}`)
	must.NoError(t, err)
	defer resp.Body.Close()
	e.Silence()
	readResult := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(resp.Body)
		readResult <- err
	}()
	client := &http.Client{Transport: &http.Transport{}}
	other, err := client.Get("http://" + e.Addr() + upstreamapi.PathLoad)
	must.NoError(t, err)
	must.NoError(t, other.Body.Close())
	for len(e.Runs()) == 0 || e.Runs()[0].State != RunFinished {
		time.Sleep(time.Millisecond)
	}
	select {
	case err := <-readResult:
		t.Fatalf("the silenced connection ended: %v", err)
	default:
	}
}

func TestEngine_RefusedConnections(t *testing.T) {
	e := startEngine(t, EngineOptions{})
	must.NoError(t, e.RefuseConnections(true))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	_, err := client.Get("http://" + e.Addr() + upstreamapi.PathLoad)
	must.Error(t, err)
	must.NoError(t, e.RefuseConnections(false))
	resp, err := client.Get("http://" + e.Addr() + upstreamapi.PathLoad)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
}

func TestEngine_CrossedAnswerHasOtherRequestID(t *testing.T) {
	e := startEngine(t, EngineOptions{})
	e.CrossAnswers(true)
	resp, err := post(t, e.Addr(), openai.PathCompletion, "r1", `{"model":"m","max_tokens":1,"prompt":"p"}`)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.NotEq(t, "r1", resp.Header.Get(upstreamapi.HeaderRequestID))
}

func TestEngine_OldFence(t *testing.T) {
	for _, ignored := range []bool{false, true} {
		e := startEngine(t, EngineOptions{IgnoreFence: ignored})
		order := func(fence int) bool {
			resp, err := post(t, e.Addr(), upstreamapi.PathOrders, "", fmt.Sprintf(`{"kind":"role","fence":%d}`, fence))
			must.NoError(t, err)
			defer resp.Body.Close()
			var reply upstreamapi.OrderReply
			must.NoError(t, json.NewDecoder(resp.Body).Decode(&reply))
			return reply.Accepted
		}
		must.True(t, order(2))
		must.Eq(t, ignored, order(1))
	}
}

func TestEngine_LoadsThroughWeightStore(t *testing.T) {
	store, err := StartWeightStore(WeightStoreOptions{WeightBytes: 64 << 10})
	must.NoError(t, err)
	defer store.Close()
	e := startEngine(t, EngineOptions{WeightStore: store.Addr()})
	resp, err := post(t, e.Addr(), upstreamapi.PathOrders, "", `{"kind":"load","version":"v2","fence":1}`)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	for len(e.Versions()) < 2 {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, map[string]int{"v2": 1}, store.Loads())
}

func TestEngine_VersionFaultOnOnePath(t *testing.T) {
	e := startEngine(t, EngineOptions{
		Version: "bad",
		Faults:  map[ident.VersionName]VersionFault{"bad": {FailRate: 1, Path: openai.PathChat}},
	})
	status := func(path string) int {
		resp, err := post(t, e.Addr(), path, "r-"+path, `{"model":"m","max_tokens":1,"prompt":"p"}`)
		must.NoError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	must.Eq(t, http.StatusOK, status(openai.PathCompletion))
	must.Eq(t, http.StatusInternalServerError, status(openai.PathChat))
}

func TestPrefixCache_EvictsAndDropsEvents(t *testing.T) {
	c := newPrefixCache(2, 0, 2)
	must.Zero(t, c.lookupAndStore([]uint64{1, 2}))
	must.Positive(t, c.lookupAndStore([]uint64{1, 2}))
	c.lookupAndStore([]uint64{3})
	c.lookupAndStore([]uint64{4})
	got := c.eventsAfter(0).Events
	must.Len(t, 2, got)
	must.Eq(t, []uint64{1, 3}, []uint64{got[0].Sequence, got[1].Sequence})
	must.Zero(t, c.lookupAndStore([]uint64{1}))
}

func TestService_StatusAndCounts(t *testing.T) {
	s, err := StartService(ServiceOptions{})
	must.NoError(t, err)
	defer s.Close()
	send := func(method, path string) int {
		req, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.Addr()+path, strings.NewReader("{}"))
		must.NoError(t, err)
		req.Header.Set(upstreamapi.HeaderRequestID, "r1")
		req.Header.Set(upstreamapi.HeaderIdempotencyKey, "k1")
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	must.Eq(t, http.StatusNotFound, send(http.MethodGet, DefaultStatusPath))
	must.Eq(t, http.StatusOK, send(http.MethodPost, "/entries"))
	must.Eq(t, http.StatusOK, send(http.MethodGet, DefaultStatusPath))
	must.Eq(t, http.StatusOK, send(http.MethodPost, "/entries"))
	must.Eq(t, []string{"k1"}, CountRuns(s.Runs()).RepeatedKeys())
}

func TestPlatform_ListLags(t *testing.T) {
	p := &Platform{options: PlatformOptions{Lag: time.Hour}}
	p.SetLive("127.0.0.1:1")
	must.SliceEmpty(t, p.list().VMs)
	p.options.Lag = 0
	p.SetLeaving("127.0.0.1:1")
	must.Eq(t, upstreamapi.VMLeaving, p.list().VMs[0].State)
}
