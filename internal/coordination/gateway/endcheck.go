package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// EndCheckDelay is the time from the end of an answer to its check. The kernel may
	// close the listener of a killed upstream after its connections, the later the more it
	// has; until then, connections can be made.
	EndCheckDelay = 50 * time.Millisecond
	// endCheckTimeout limits the connection that is made to check whether an upstream is
	// still there, through another gateway too.
	endCheckTimeout = 500 * time.Millisecond
)

// ErrInconclusive is wrapped by the error of a Prober if the attempt says nothing of the
// upstream, such as that of a relay which opens no connections now.
var ErrInconclusive = errors.New("the attempt to connect shows nothing")

// doubtEnd returns why the end of a connection is not taken for the end of its answer; nil if
// nothing speaks against it. ConnectErr is why no connection to the upstream could be made
// afterwards; nil if one was. An upstream that leaves accepts connections until it ends. That
// an upstream which can be reached broke off some other answers is no evidence: it may have
// broken off these alone.
func doubtEnd(connectErr error) error {
	if connectErr == nil || errors.Is(connectErr, ErrInconclusive) {
		return nil
	}
	return fmt.Errorf("the answer ended with its connection, and the upstream can't be reached: %w", connectErr)
}

// errAllEnded speaks against the end of an answer.
var errAllEnded = errors.New("the answer ended with its connection, and the upstream ended all others")

// EndChecks returns how many ends of answers were checked, and how many of them were not
// taken for that of the answer.
func (g *Gateway) EndChecks() (checks, doubted uint64) {
	return g.endChecks.Load(), g.endsDoubted.Load()
}

// checkEnd decides whether the answer of a dispatch is complete that has ended with its
// connection. It is not if the upstream ended all others with it, or can't be reached: the next
// start of an upstream that has ended may accept connections already.
func (s *sending) checkEnd(ctx context.Context, d Dispatch, sent DispatchResult) DispatchResult {
	g := s.gateway
	prober, ok := g.upstreams.(Prober)
	if sent.Outcome != DispatchComplete || sent.Framing != FramedByConnection || sent.BytesEnd != EndClosed || !ok {
		return sent
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), EndCheckDelay+endCheckTimeout)
	defer cancel()
	count := func() (open, ended int) { return 0, 0 }
	if witnesser, ok := g.upstreams.(Witnesser); ok && d.Relay == "" {
		count = witnesser.Witnesses(d.Target)
	}
	began := time.Now()
	sleep(ctx, EndCheckDelay)
	g.endChecks.Add(1)
	sent.EndChecked = true
	var err error
	if open, ended := count(); open == 0 && ended > 0 {
		err = errAllEnded
	} else {
		err = doubtEnd(prober.Probe(ctx, d.Target, d.Relay))
	}
	sent.CheckTime = time.Since(began)
	if err != nil {
		g.endsDoubted.Add(1)
		sent.Outcome, sent.Broken, sent.Err = DispatchIncomplete, true, err
	}
	return sent
}
