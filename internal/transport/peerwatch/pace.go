package peerwatch

import (
	"net"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/transport/tcpinfo"
)

// stepTolerance is how long after its last bytes an answer may end that its process ends with
// them, and pauseTolerance how far from one pause after them.
const stepTolerance, pauseTolerance = 4 * time.Millisecond, 2 * time.Millisecond

// Ending is when an answer ended.
type Ending struct {
	// At is when its end came, and LastData when its last bytes did.
	At, LastData time.Time
	// Precision is how far the time between the two may be off, where it is the kernel's; 0 if
	// both were noticed at once.
	Precision time.Duration
	// Pause is the time between its last two parts; 0 if unknown.
	Pause time.Duration
	// Late is true if its last bytes were read so late that nothing tells when its end came.
	Late bool
}

// isInStep reports whether an answer ended when its process had something to say: with its
// last bytes, or one pause after them, as an engine does whose last step has no text. A
// process that is killed ends its answers at any moment.
func (e Ending) isInStep() bool {
	after := e.At.Sub(e.LastData)
	return !e.Late && (after <= max(stepTolerance, e.Precision) || e.Pause > 0 && (after-e.Pause).Abs() <= max(pauseTolerance, e.Precision))
}

// chance is one in so many kills that end an answer in step at most, where the end is telling.
const chance = 12

// isTelling reports whether the answer's end in step is hardly by chance: the span in which it
// came is short, compared with the pauses between parts.
func (e Ending) isTelling() bool {
	switch span := max(stepTolerance, 2*e.Precision) + max(pauseTolerance, e.Precision); {
	case e.Pause == 0, e.Pause >= chance*span:
		return true
	default:
		return e.At.Sub(e.LastData)+e.Precision <= e.Pause/chance
	}
}

// Times are what a connection knows of the latest moments on it, however late these are read, in
// steps of tcpinfo.Tick.
type Times struct {
	// DataAge is the time since the last bytes came.
	DataAge time.Duration
	// Ended is true if the peer's side has ended. EndGap is the time from the last bytes to its end,
	// and EndAge the time since that came, where EndKnown is true.
	Ended, EndKnown bool
	EndGap, EndAge  time.Duration
	// Late is true if a relay read the last bytes so late that it can't tell when the end came.
	Late bool
}

// Timer is a connection that isn't one of TCP and knows its times nevertheless.
type Timer interface {
	Times() (t Times, known bool)
}

// timesOf returns the times of a connection, which may be nil. It reports false if it knows none.
func timesOf(conn net.Conn) (Times, bool) {
	if timer, ok := conn.(Timer); ok {
		return timer.Times()
	}
	info, known := tcpinfo.Of(conn)
	t := Times{DataAge: info.SinceData, Ended: !info.Established, EndAge: info.SinceAck}
	t.EndGap, t.EndKnown = info.EndGap()
	return t, known
}

// Pace records when the parts of a body come that ends with its connection.
type Pace struct {
	ending Ending
	// dataCame and endCame are when the last bytes and the end came, by the connection; zero if it
	// doesn't know.
	dataCame, endCame time.Time
}

// Read records that n bytes were read from conn, which may be nil.
func (p *Pace) Read(n int, conn net.Conn, now time.Time) {
	if n == 0 {
		return
	}
	t, known := timesOf(conn)
	p.observe(t, known, now)
	e := &p.ending
	last := e.LastData
	e.LastData, e.Precision, e.Late = now, 0, false
	if known && t.DataAge > tcpinfo.Tick() {
		e.LastData, e.Precision = now.Add(-t.DataAge), tcpinfo.Tick()
		e.Late = t.Ended && !t.EndKnown
	}
	if after := e.LastData.Sub(last); !last.IsZero() && after > e.Precision {
		e.Pause = after
	}
}

// observe records when the end came, if that is known.
func (p *Pace) observe(t Times, known bool, now time.Time) {
	if known && t.EndKnown {
		p.endCame = now.Add(-t.EndAge)
		p.dataCame = p.endCame.Add(-t.EndGap)
	}
}

// End records that the connection has ended, and returns when. Where the last bytes or the end
// were read late, the times are those at which they came, if conn knows them.
func (p *Pace) End(conn net.Conn, now time.Time) Ending {
	e := &p.ending
	if !e.At.IsZero() {
		return *e
	}
	e.At = now
	if e.LastData.IsZero() {
		e.LastData = now
	}
	if p.endCame.IsZero() {
		t, known := timesOf(conn)
		p.observe(t, known, now)
		e.Late = e.Late || t.Late
	}
	if !p.endCame.IsZero() {
		e.correct(p.dataCame, p.endCame, tcpinfo.Tick())
	}
	return *e
}

// correct moves what was read more than a tick late to when it came.
func (e *Ending) correct(dataCame, endCame time.Time, tick time.Duration) {
	if e.LastData.Sub(dataCame) > tick {
		e.LastData, e.Precision = dataCame, tick
	}
	if e.At.Sub(endCame) > tick {
		e.At, e.Precision = endCame, tick
	}
	// A relay may have been late itself with the end.
	if gap := endCame.Sub(dataCame); e.At.Sub(e.LastData) > gap+tick {
		e.At, e.Precision = e.LastData.Add(gap), tick
	}
}
