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
	// EndSettleTime is the time from the end of an answer until the ends of other connections of
	// its process have arrived, also those that were lost on the way once: TCP sends them again
	// after 200 ms at least, and the time of a round trip.
	EndSettleTime = 350 * time.Millisecond
)

// ErrInconclusive is wrapped by the error of a Prober if the attempt says nothing of the
// upstream, such as that of a relay which opens no connections now.
var ErrInconclusive = errors.New("the attempt to connect shows nothing")

// ErrNextStart is wrapped by the error of DispatchResult.Reconnect if another process accepts
// connections at the address of the upstream.
var ErrNextStart = errors.New("another process accepts connections there")

// EndEvidence is what is known of the process of an upstream once one of its answers has
// ended with its connection.
type EndEvidence struct {
	// Alive is true if another connection to the process, made before the end, looks open. The
	// end of one that was lost on the way comes later.
	Alive bool
	// BrokenOff is true if the process ended answers in that moment that were not complete.
	BrokenOff bool
	// ListenerClosed is true if the process had stopped accepting connections while it went
	// on with the answer, as one does that stops in good order.
	ListenerClosed bool
	// Leaving is true if the process was known to stop soon before it sent the last bytes.
	Leaving bool
	// SentinelEnded is true if a connection that was kept open for this ended with the answer.
	SentinelEnded bool
	// Simultaneous is the number of answers that ended with their connections in that moment,
	// this one included. InStep is true if each of them ended with its last bytes, or one
	// pause between two of its parts after them.
	// Telling is true if a kill ends an answer of this pace in step by chance in one of twelve
	// cases at most.
	Simultaneous    int
	InStep, Telling bool
}

// EndBasis names what decides whether an answer that has ended with its connection is whole.
type EndBasis string

// The bases, each with what it stands for.
const (
	// EndProcessLives takes the answer for whole: its process goes on.
	EndProcessLives EndBasis = "process_lives"
	// EndOthersBroken, for broken: the process ended answers that were not complete.
	EndOthersBroken EndBasis = "others_broken"
	// EndStopping, for whole: a process that had stopped accepting connections, or was known
	// to stop soon and has ended, ended it in step.
	EndStopping EndBasis = "stopping"
	// EndStoppingOutOfStep, for broken: such a process ended it, or others in that moment, at
	// a time that no engine chooses.
	EndStoppingOutOfStep EndBasis = "stopping_out_of_step"
	// EndUnreachable, for broken: no connection can be made any more.
	EndUnreachable EndBasis = "unreachable"
	// EndNextStart, for broken: another process accepts connections at the address now, as it
	// says itself or as the process has ended its other connections too.
	EndNextStart EndBasis = "next_start"
	// EndCutTogether, for broken: answers ended in one moment that no engine chooses.
	EndCutTogether EndBasis = "cut_together"
	// EndReachable, for whole: nothing speaks against it.
	EndReachable EndBasis = "reachable"
)

// EndBases lists all bases.
var EndBases = []EndBasis{EndProcessLives, EndOthersBroken, EndStopping, EndStoppingOutOfStep, EndUnreachable, EndNextStart, EndCutTogether, EndReachable}

// errOf holds why an answer is broken off by a basis; nil if it is whole.
var errOf = map[EndBasis]error{
	EndOthersBroken:      errors.New("the answer ended with its connection, and the upstream ended all others"),
	EndStoppingOutOfStep: errors.New("the answer ended with its connection between two of its parts, and the upstream accepts no others"),
	EndNextStart:         errors.New("the answer ended with its connection, and another process accepts connections at the address of the upstream"),
	EndCutTogether:       errors.New("the answer ended with its connection between two of its parts, and others with it"),
	EndUnreachable:       errors.New("the answer ended with its connection, and the upstream can't be reached"),
}

// EndCheck finds out whether an answer that has ended with its connection is whole.
type EndCheck struct {
	// Evidence returns what is known of the process now.
	Evidence func() EndEvidence
	// Dial makes a connection to the address. Connect also asks who accepted it, where that is
	// possible, and returns ErrNextStart if it was another process. They are called only
	// where that decides.
	Dial, Connect func() error
	// Settle waits until EndSettleTime after the end.
	Settle func()
}

// Judge decides whether the answer is whole. What shows that the process goes on counts most,
// then what its other connections show.
func (c *EndCheck) Judge() (EndBasis, error) {
	e := c.Evidence()
	if e.Alive && !c.isCredible(&e) {
		c.Settle()
		e = c.Evidence()
	}
	switch {
	case e.Alive:
		return EndProcessLives, nil
	case e.BrokenOff:
		return EndOthersBroken, errOf[EndOthersBroken]
	case e.ListenerClosed && e.InStep:
		return EndStopping, nil
	case e.ListenerClosed:
		return EndStoppingOutOfStep, errOf[EndStoppingOutOfStep]
	}
	err := c.Connect()
	isOther := errors.Is(err, ErrNextStart)
	isRefused := err != nil && !isOther && !errors.Is(err, ErrInconclusive)
	switch {
	case e.Leaving && e.InStep && e.Telling && (isOther || isRefused || e.SentinelEnded):
		return EndStopping, nil
	case isOther:
		return EndNextStart, errOf[EndNextStart]
	case isRefused:
		return EndUnreachable, fmt.Errorf("%w: %w", errOf[EndUnreachable], err)
	case e.SentinelEnded:
		return EndNextStart, errOf[EndNextStart]
	case e.Simultaneous > 1 && !e.InStep:
		return EndCutTogether, errOf[EndCutTogether]
	}
	return EndReachable, nil
}

// isCredible reports whether a connection that looks open shows that the process goes on.
// Where anything else says that it has ended, the end of that connection may have been lost.
func (c *EndCheck) isCredible(e *EndEvidence) bool {
	switch {
	case e.BrokenOff || e.SentinelEnded:
		return false
	case e.ListenerClosed:
		return e.InStep
	case e.InStep:
		return c.Dial() == nil
	default:
		// The next start of the process may accept connections already.
		return c.Connect() == nil
	}
}

// EndChecks returns how many ends of answers were checked, and how many of them were not
// taken for that of the answer.
func (g *Gateway) EndChecks() (checks, doubted uint64) {
	for _, basis := range EndBases {
		n := g.EndsBy(basis)
		checks += n
		if errOf[basis] != nil {
			doubted += n
		}
	}
	return checks, doubted
}

// EndsBy returns how many checks of ends were decided by a basis.
func (g *Gateway) EndsBy(basis EndBasis) uint64 {
	g.endsMu.Lock()
	defer g.endsMu.Unlock()
	return g.ends[basis]
}

// IsDoubt reports whether the basis takes an answer for broken.
func (b EndBasis) IsDoubt() bool { return errOf[b] != nil }

// checkEnd decides whether the answer of a dispatch is complete that has ended with its
// connection.
func (s *sending) checkEnd(ctx context.Context, d Dispatch, sent DispatchResult) DispatchResult {
	g := s.gateway
	prober, ok := g.upstreams.(Prober)
	if sent.Outcome != DispatchComplete || sent.Framing != FramedByConnection || sent.BytesEnd != EndClosed || !ok {
		return sent
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), EndSettleTime+endCheckTimeout)
	defer cancel()
	began := time.Now()
	sleep(ctx, EndCheckDelay)
	check := EndCheck{
		Evidence: func() EndEvidence {
			if sent.Evidence == nil {
				return EndEvidence{Simultaneous: 1, InStep: true}
			}
			return sent.Evidence()
		},
		Dial: func() error {
			ctx, cancel := context.WithDeadline(ctx, began.Add(EndSettleTime))
			defer cancel()
			return prober.Probe(ctx, d.Target, d.Relay)
		},
		Connect: func() error {
			ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
			defer cancel()
			if sent.Reconnect != nil {
				return sent.Reconnect(ctx)
			}
			return prober.Probe(ctx, d.Target, d.Relay)
		},
		Settle: func() { sleep(ctx, EndSettleTime-time.Since(began)) },
	}
	basis, err := check.Judge()
	g.countEnd(basis)
	sent.EndBasis, sent.CheckTime = basis, time.Since(began)
	if err != nil {
		sent.Outcome, sent.Broken, sent.Err = DispatchIncomplete, true, err
	}
	return sent
}

// countEnd counts a check that was decided by a basis.
func (g *Gateway) countEnd(basis EndBasis) {
	g.endsMu.Lock()
	defer g.endsMu.Unlock()
	g.ends[basis]++
}
