package control

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestUpdate_EmptySurvivesGob encodes, as net/rpc does, the update of an apply
// that changes nothing and a full update to an empty configuration.
func TestUpdate_EmptySurvivesGob(t *testing.T) {
	digest := config.Config{}.Digest()
	updates := []*config.Update{
		{From: 1, To: 2, Digest: digest, Delta: &config.Delta{}},
		{To: 3, Digest: digest, Full: &config.Config{}},
	}
	f := newFakeNode("n", nil)
	for _, update := range updates {
		var wire bytes.Buffer
		must.NoError(t, gob.NewEncoder(&wire).Encode(&HeartbeatReply{TTL: NodeTTL, Update: update}))
		var reply HeartbeatReply
		must.NoError(t, gob.NewDecoder(&wire).Decode(&reply))
		resend, err := f.HandleReply(localTime(), &reply)
		must.NoError(t, err)
		must.True(t, resend)
		_, revision := f.Config()
		must.Eq(t, ident.Revision(update.To), revision)
	}
}
