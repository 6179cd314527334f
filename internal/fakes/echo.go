package fakes

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
)

// Echo returns the text by which a fake's answer shows whose request it
// answers: a hash of the request's content. A fake engine sends it as the
// first token, a fake service as the field "echo".
func Echo(content []byte) string {
	return fmt.Sprintf("echo-%016x", xxhash.Sum64(content))
}

// EchoOf returns the Echo of a completion call: of its prompt and messages.
func EchoOf(r *openai.Request) string {
	content := append([]byte(nil), r.Prompt...)
	for _, m := range r.Messages {
		content = append(content, m.Role...)
		content = append(content, m.Content...)
	}
	return Echo(content)
}
