package fakes

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// closingEvents is the number of events after the tokens: the final chunk with the
// usage, and openai.DoneData.
const closingEvents = 2

// streamSet holds the requests that can be resumed or canceled.
type streamSet struct {
	// window is how long a request is kept after its end.
	window time.Duration

	mu   sync.Mutex
	byID map[ident.RequestID]*sequence
}

func newStreamSet(window time.Duration) *streamSet {
	return &streamSet{window: window, byID: map[ident.RequestID]*sequence{}}
}

func (t *streamSet) add(s *sequence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[s.id] = s
}

func (t *streamSet) get(id ident.RequestID) *sequence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id]
}

// otherThan returns a request other than s or, if there is none, a placeholder that
// has ended.
func (t *streamSet) otherThan(s *sequence) *sequence {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.byID {
		if o != s {
			return o
		}
	}
	placeholder := &sequence{id: "crossed-" + s.id, chat: s.chat, model: s.model, echo: Echo(nil), tokens: 1, ended: true}
	placeholder.changed = make(chan struct{})
	close(placeholder.changed)
	return placeholder
}

// removeAfterWindow removes an ended request when its window has passed.
func (t *streamSet) removeAfterWindow(s *sequence) {
	time.AfterFunc(t.window, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.byID[s.id] == s {
			delete(t.byID, s.id)
		}
	})
}

// serveResume streams the events of a request, except the first n, where n is the
// value of the parameter after.
func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	s := e.streams.get(ident.RequestID(r.PathValue("id")))
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	after, err := strconv.Atoi(r.FormValue("after"))
	if err != nil || after < 0 {
		http.Error(w, "after is not a number of events", http.StatusBadRequest)
		return
	}
	e.writeStream(w, r, s, after, 0)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	s := e.streams.get(ident.RequestID(r.PathValue("id")))
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.batch.cancel(s)
	w.WriteHeader(http.StatusNoContent)
}

// writeStream streams the events of a request, except the first sent ones. If
// breakAfter is positive, it aborts the connection before event breakAfter, counted
// from 0. It also aborts the connection if the sequence fails or the engine closes.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *sequence, sent, breakAfter int) {
	w.Header().Set(upstreamapi.HeaderRequestID, string(s.id))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	heartbeat := time.NewTicker(e.options.Heartbeat)
	defer heartbeat.Stop()
	for {
		p := e.batch.progress(s)
		ready, total := p.tokens, math.MaxInt
		if p.ended && !p.failed {
			ready, total = p.tokens+closingEvents, p.tokens
		}
		for ; sent < ready; sent++ {
			if breakAfter > 0 && sent >= breakAfter {
				_ = flush()
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(w, "data: %s\n\n", s.event(sent, total))
		}
		_ = flush()
		if p.ended {
			if p.failed {
				panic(http.ErrAbortHandler)
			}
			return
		}
		select {
		case <-p.changed:
		case <-heartbeat.C:
			fmt.Fprintf(w, "%s\n\n", upstreamapi.HeartbeatComment)
		case <-r.Context().Done():
			return
		case <-e.batch.done:
			panic(http.ErrAbortHandler)
		}
	}
}

// event returns the data of event i, counted from 0, of an answer with total
// tokens. The events are one per token, a final chunk with the usage, and
// openai.DoneData.
func (s *sequence) event(i, total int) string {
	if i > total {
		return openai.DoneData
	}
	chunk := openai.Chunk{ID: "cmpl-" + string(s.id), Object: "text_completion", Model: s.model}
	choice := openai.ChunkChoice{}
	if s.chat {
		chunk.Object = "chat.completion.chunk"
	}
	switch {
	case i == total:
		reason := "length"
		choice.FinishReason = &reason
		chunk.Usage = s.usage()
	case s.chat:
		choice.Delta.Content = s.token(i)
	default:
		choice.Text = s.token(i)
	}
	chunk.Choices = []openai.ChunkChoice{choice}
	encoded, err := json.Marshal(chunk)
	if err != nil {
		panic(err)
	}
	return string(encoded)
}
