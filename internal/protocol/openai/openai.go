// Package openai defines the part of the OpenAI completion API that the system
// reads and writes: chat and text completions, streamed or not.
package openai

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Paths of the completion calls.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

// DoneData is the data of the last event of a stream.
const DoneData = "[DONE]"

// Request holds the fields of a completion call that scheduling depends on.
type Request struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt,omitempty"`
	Messages  []Message       `json:"messages,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the increment of one choice.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	Text         string  `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is new content of a chat answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Completion is an answer that is not streamed.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one choice of a Completion.
type Choice struct {
	Index        int    `json:"index"`
	Message      Delta  `json:"message"`
	Text         string `json:"text,omitempty"`
	FinishReason string `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// ErrNoModel means that a completion call names no model.
var ErrNoModel = errors.New(`field "model" is missing`)

// ParseRequest decodes a completion call. It ignores unknown fields: only the
// upstream needs them.
func ParseRequest(body []byte) (*Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("body is not a completion call: %w", err)
	}
	if r.Model == "" {
		return nil, ErrNoModel
	}
	if r.MaxTokens < 0 {
		return nil, fmt.Errorf("max_tokens is %d, want 0 or more", r.MaxTokens)
	}
	return &r, nil
}

// BytesPerToken is the mean length of a token of text, in bytes.
const BytesPerToken = 4

// DefaultOutputTokens is the estimated length, in tokens, of the answer to a call
// without max_tokens.
const DefaultOutputTokens = 256

// PromptBytes returns the length of the prompt text, in bytes.
func (r *Request) PromptBytes() int {
	n := len(r.Prompt)
	for _, m := range r.Messages {
		n += len(m.Content)
	}
	return n
}

// PromptTokens estimates the prompt's length in tokens.
func (r *Request) PromptTokens() int {
	return r.PromptBytes()/BytesPerToken + 1
}

// OutputTokens estimates the answer's length in tokens.
func (r *Request) OutputTokens() int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return DefaultOutputTokens
}
