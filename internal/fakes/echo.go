package fakes

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
)

// Echo returns a text with a hash of a request's content. Fakes include it in
// their answers, so that tests can verify which request an answer belongs to: a
// fake engine sends it as the first token, a fake service as the field "echo".
func Echo(content []byte) string {
	return fmt.Sprintf("echo-%016x", xxhash.Sum64(content))
}

// EchoOf returns the Echo of a completion request, of its prompt and messages.
func EchoOf(r *openai.Request) string {
	content := append([]byte(nil), r.Prompt...)
	for _, m := range r.Messages {
		content = append(content, m.Role...)
		content = append(content, m.Content...)
	}
	return Echo(content)
}
