package fleet

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// TestApplyDocument_InvalidTextLeavesAShortLine checks that a text which can't be read is refused as invalid
// and leaves one bounded line, although its error quotes the text.
func TestApplyDocument_InvalidTextLeavesAShortLine(t *testing.T) {
	n := &Node{events: timeline.NewRecorder("c1", nil, 10)}
	n.metrics = newMetrics(n)
	err := n.ApplyDocument(context.Background(), []byte("text"), func([]byte) (config.Numbered, error) {
		return config.Numbered{}, errors.New("route " + strings.Repeat("x", 1<<20))
	})
	must.ErrorIs(t, err, config.ErrInvalid)
	events := n.events.Events(timeline.Filter{})
	must.Len(t, 1, events)
	must.Eq(t, timeline.KindConfigChange, events[0].Kind)
	must.StrContains(t, events[0].Detail, "4 bytes")
	must.StrContains(t, events[0].Detail, "invalid configuration: route x")
	must.Less(t, 2*maxChangeError, len(events[0].Detail))
}
