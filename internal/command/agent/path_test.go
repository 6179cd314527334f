package agent

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
)

const chatBody = `{"model":"writer-8b","max_tokens":8,"messages":[{"role":"user","content":"hello there"}]}`

// TestPath_AllRequestKindsAtEveryNode fetches the address list and sends a
// lookup, a chat completion and a streamed chat completion through every node.
func TestPath_AllRequestKindsAtEveryNode(t *testing.T) {
	c := startCluster(t, withRealDisks)
	for node := range c.nodes {
		c.eventually(t, "a list of all nodes", func() bool {
			list := c.send(node, call{method: http.MethodGet, path: callerapi.PathAddresses})
			return list.err == nil && strings.Count(list.body, `"node":`) == len(c.nodes)
		})

		lookup := c.send(node, call{method: http.MethodGet, path: "/lookup?item=3"})
		must.NoError(t, lookup.err)
		must.Eq(t, http.StatusOK, lookup.status, must.Sprint(lookup.body))

		chat := c.send(node, call{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody})
		must.NoError(t, chat.err)
		must.Eq(t, http.StatusOK, chat.status, must.Sprint(chat.body))

		stream := strings.Replace(chatBody, "{", `{"stream":true,`, 1)
		streamed := c.send(node, call{method: http.MethodPost, path: "/v1/chat/completions", body: stream})
		must.NoError(t, streamed.err)
		must.True(t, strings.HasSuffix(streamed.body, "data: [DONE]\n\n"), must.Sprint(streamed.body))
	}
}

// TestPath_ResendGetsTheSameAnswer sends a non-idempotent request through one
// node and again through another: the second gets the stored answer. The same
// key with another body is refused as not run.
func TestPath_ResendGetsTheSameAnswer(t *testing.T) {
	c := startCluster(t)
	submit := call{method: http.MethodPost, path: "/submit", body: `{"item":7}`, key: newKey()}
	first := c.send(0, submit)
	must.Eq(t, http.StatusOK, first.status, must.Sprint(first.body))
	second := c.send(1, submit)
	must.Eq(t, http.StatusOK, second.status, must.Sprint(second.body))
	must.Eq(t, first.body, second.body)
	must.Eq(t, "true", second.header.Get(callerapi.HeaderReplayed))
	must.Len(t, 1, c.submits())

	submit.body = `{"item":8}`
	other := c.send(2, submit)
	must.Eq(t, http.StatusUnprocessableEntity, other.status, must.Sprint(other.body))
	must.Eq(t, string(callerapi.NotRun), other.header.Get(callerapi.HeaderOutcome))
}
