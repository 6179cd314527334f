package fakes

import (
	"io"
	"net/http"
	"strings"

	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 64 << 20

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call, err := openai.ParseRequest(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, loaded := e.versions.choose(ident.VersionName(r.Header.Get(callerapi.HeaderVersion)))
	if !loaded {
		http.Error(w, "no version is loaded", http.StatusServiceUnavailable)
		return
	}
	mode := e.faults.failMode()
	s := e.newSequence(r, call, version)
	if mode == FailReset {
		e.runLog.end(s.run, RunFailed)
		panic(http.ErrAbortHandler)
	}
	if mode == FailStatus || e.applyVersionFault(s) {
		e.runLog.end(s.run, RunFailed)
		w.Header().Set(upstreamapi.HeaderRequestID, string(s.id))
		http.Error(w, "the engine failed", http.StatusInternalServerError)
		return
	}
	if mode == FailMidStream {
		s.failAt = s.outputTokens/2 + 1
	}
	e.admit(s, call)
	if mode == FailAnswerLost {
		e.waitForEnd(r, s)
		panic(http.ErrAbortHandler)
	}
	e.writeAnswer(w, r, s, call.Stream)
}

// admit looks up the request's prompt in the prefix cache and adds the request to
// the batch.
func (e *Engine) admit(s *sequence, call *openai.Request) {
	s.cachedTokens = min(e.cache.lookupAndStore(call.Prefixes()), s.promptTokens-1)
	s.prefillLeft = s.promptTokens - s.cachedTokens
	e.streams.add(s)
	e.batch.admit(s)
	go e.recordEnd(s)
}

// writeAnswer writes the answer to a request or, while CrossAnswers is on, the
// answer to another request.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, s *sequence, stream bool) {
	if e.faults.crossesAnswers() {
		s = e.streams.otherThan(s)
	}
	if stream {
		e.writeStream(w, r, s, 0, e.faults.breakStreamsAfter())
		return
	}
	e.writeCompletion(w, r, s)
}

// newSequence records a run of the request and returns its sequence.
func (e *Engine) newSequence(r *http.Request, call *openai.Request, version ident.VersionName) *sequence {
	s := &sequence{
		id:           ident.RequestID(r.Header.Get(upstreamapi.HeaderRequestID)),
		chat:         r.URL.Path == openai.PathChat,
		model:        call.Model,
		echo:         EchoOf(call),
		path:         r.URL.Path,
		version:      version,
		promptTokens: call.PromptTokens(),
		outputTokens: call.OutputTokens(),
	}
	s.run = e.runLog.start(Run{
		RequestID:      s.id,
		IdempotencyKey: r.Header.Get(upstreamapi.HeaderIdempotencyKey),
		Path:           s.path,
		Version:        version,
		Echo:           s.echo,
	})
	return s
}

// applyVersionFault reports whether the request must fail at once because of its
// version's fault. If the version fails requests mid-stream, it sets failAt and
// returns false.
func (e *Engine) applyVersionFault(s *sequence) bool {
	f, applies := e.versionFault(s.version, s.path, s.model)
	if !applies || !e.faults.shouldFail(f.FailRate) {
		return false
	}
	if f.FailMidStream {
		s.failAt = s.outputTokens/2 + 1
		return false
	}
	return true
}

// recordEnd waits for the sequence to end and records its end state in the run log.
func (e *Engine) recordEnd(s *sequence) {
	for {
		p := e.batch.progress(s)
		if p.ended {
			e.runLog.end(s.run, s.endState())
			e.streams.removeAfterWindow(s)
			return
		}
		select {
		case <-p.changed:
		case <-e.batch.done:
			return
		}
	}
}

// endState returns the final state of a sequence that has ended.
func (s *sequence) endState() RunState {
	switch {
	case s.canceled:
		return RunCanceled
	case s.failed:
		return RunFailed
	default:
		return RunFinished
	}
}

// waitForEnd blocks until the sequence has ended and returns true, or returns false
// if the caller disconnects or the engine closes first.
func (e *Engine) waitForEnd(r *http.Request, s *sequence) bool {
	for {
		p := e.batch.progress(s)
		if p.ended {
			return true
		}
		select {
		case <-p.changed:
		case <-r.Context().Done():
			return false
		case <-e.batch.done:
			return false
		}
	}
}

// writeCompletion writes the answer to a request that is not streamed. It aborts
// the connection if the sequence fails.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, s *sequence) {
	if !e.waitForEnd(r, s) || s.failed {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(upstreamapi.HeaderRequestID, string(s.id))
	writeJSON(w, http.StatusOK, s.completion())
}

func (s *sequence) completion() openai.Completion {
	var text strings.Builder
	for i := range s.tokens {
		text.WriteString(s.token(i))
	}
	choice := openai.Choice{FinishReason: "length"}
	object := "text_completion"
	if s.chat {
		object = "chat.completion"
		choice.Message = openai.Delta{Role: "assistant", Content: text.String()}
	} else {
		choice.Text = text.String()
	}
	return openai.Completion{
		ID:      "cmpl-" + string(s.id),
		Object:  object,
		Model:   s.model,
		Choices: []openai.Choice{choice},
		Usage:   s.usage(),
	}
}

func (s *sequence) usage() *openai.Usage {
	return &openai.Usage{PromptTokens: s.promptTokens, CompletionTokens: s.tokens, CachedTokens: s.cachedTokens}
}
