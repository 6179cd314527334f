package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// breakWindow is how long before the check of an answer's end another answer of the
	// upstream may have broken off to count as broken off with it.
	breakWindow = 100 * time.Millisecond
	// EndCheckDelay is the time from the end of an answer to its check. The kernel may
	// close the listener of a killed upstream after its connections, the later the more it
	// has; until then, connections can be made.
	EndCheckDelay = breakWindow / 2
	// endCheckTimeout limits the connection that is made to check whether an upstream is
	// still there, through another gateway too.
	endCheckTimeout = 500 * time.Millisecond
)

// endEvidence is what is known of an upstream when an answer has ended with its
// connection.
type endEvidence struct {
	// ConnectErr is why no connection to the upstream could be made; nil if one was.
	ConnectErr error
	// Listed is true if the upstream is still one of its pool.
	Listed bool
	// OthersBroke is the number of other answers of the upstream that broke off in the
	// same instant.
	OthersBroke int
}

// doubt returns why the end of the connection is not taken for the end of the answer;
// nil if nothing speaks against it.
func (e endEvidence) doubt() error {
	switch {
	case !e.Listed:
		return errors.New("the answer ended with its connection, and the upstream is gone from the list")
	case e.ConnectErr != nil:
		return fmt.Errorf("the answer ended with its connection, and the upstream can't be reached: %w", e.ConnectErr)
	case e.OthersBroke > 0:
		return fmt.Errorf("the answer ended with its connection, and %d other answers of the upstream broke off with it", e.OthersBroke)
	}
	return nil
}

// answerBreaks knows which upstreams broke off answers in the last breakWindow, and a
// check that is under way.
type answerBreaks struct {
	mu sync.Mutex
	at map[ident.UpstreamName][]time.Time
}

// add records that an answer of an upstream broke off.
func (b *answerBreaks) add(upstream ident.UpstreamName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at == nil {
		b.at = make(map[ident.UpstreamName][]time.Time)
	}
	old := now.Add(-breakWindow - EndCheckDelay - endCheckTimeout)
	for name, times := range b.at {
		if times = slices.DeleteFunc(times, old.After); len(times) == 0 {
			delete(b.at, name)
		} else {
			b.at[name] = times
		}
	}
	if times := b.at[upstream]; len(times) < maxBreaks {
		b.at[upstream] = append(times, now)
	}
}

// maxBreaks bounds the breaks that are kept for one upstream: one is enough to decide.
const maxBreaks = 64

// since returns how many answers of an upstream broke off from a time on.
func (b *answerBreaks) since(upstream ident.UpstreamName, from time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, at := range b.at[upstream] {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// EndChecks returns how many connections were made to check the end of an answer, and how
// many of these ends were not taken for that of the answer.
func (g *Gateway) EndChecks() (checks, doubted uint64) {
	return g.endChecks.Load(), g.endsDoubted.Load()
}

// checkEnd decides whether the answer of a dispatch is complete that has ended with its
// connection. Only such answers pay for a connection more.
func (s *sending) checkEnd(ctx context.Context, d Dispatch, sent DispatchResult) DispatchResult {
	g := s.gateway
	prober, ok := g.upstreams.(Prober)
	if sent.Outcome != DispatchComplete || sent.Framing != FramedByConnection || sent.BytesEnd != EndClosed || !ok {
		return sent
	}
	ended := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), EndCheckDelay+endCheckTimeout)
	defer cancel()
	sleep(ctx, EndCheckDelay)
	g.endChecks.Add(1)
	evidence := endEvidence{ConnectErr: prober.Probe(ctx, d.Target, d.Relay)}
	evidence.Listed = slices.ContainsFunc(g.env.PoolUpstreams(s.request.Pool), func(t Target) bool { return t.Name == d.Target.Name })
	evidence.OthersBroke = g.breaks.since(d.Target.Name, ended.Add(-breakWindow))
	sent.EndChecked = true
	if err := evidence.doubt(); err != nil {
		g.endsDoubted.Add(1)
		sent.Outcome, sent.Broken, sent.Err = DispatchIncomplete, true, err
	}
	return sent
}
