package timeline

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// lineQueueSize is the maximum number of lines that wait for a slow output.
	lineQueueSize = 1024
	// maxLinesPerSecond limits the output of one process. A line has about 200
	// bytes.
	maxLinesPerSecond = 2000
)

// LineWriter writes events as structured log lines, one per event. It never blocks the
// goroutines that add events: lines that exceed the queue or the rate limit are
// dropped and counted.
type LineWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	// second is the current Unix second, and written the number of lines added in
	// it. They implement the rate limit.
	second  atomic.Int64
	written atomic.Int64
}

// NewLineWriter returns a LineWriter that writes to out. Nothing is written until Run is called.
func NewLineWriter(out io.Writer) *LineWriter {
	return &LineWriter{out: out, queue: make(chan []byte, lineQueueSize)}
}

// Dropped returns the number of lines dropped so far. A failed write of several lines
// counts as one.
func (l *LineWriter) Dropped() uint64 { return l.dropped.Load() }

// Run writes lines until done is closed, then writes the queued ones and returns.
func (l *LineWriter) Run(done <-chan struct{}) {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		case <-done:
			l.flush()
			return
		}
	}
}

func (l *LineWriter) flush() {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		default:
			return
		}
	}
}

// write writes a line in one call with the lines queued behind it, up to about
// batchBytes.
func (l *LineWriter) write(line []byte) {
	for len(line) < batchBytes {
		select {
		case next := <-l.queue:
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	if _, err := l.out.Write(line); err != nil {
		l.dropped.Add(1)
	}
}

// batchBytes is the size in bytes from which no further lines are added to a write.
const batchBytes = 4 << 10

// Add queues the line of an event, or drops it if a limit is exceeded.
func (l *LineWriter) Add(e Event) {
	second := time.Now().Unix()
	if l.second.Swap(second) != second {
		l.written.Store(0)
	}
	if l.written.Add(1) > maxLinesPerSecond {
		l.dropped.Add(1)
		return
	}
	select {
	case l.queue <- l.format(e):
	default:
		l.dropped.Add(1)
	}
}

// format returns the line of an event: its time, followed by key=value pairs.
func (l *LineWriter) format(e Event) []byte {
	line := make([]byte, 0, 192)
	field := func(name, value string) {
		if value == "" {
			return
		}
		line = append(line, ' ')
		line = append(line, name...)
		line = append(line, '=')
		line = strconv.AppendQuote(line, value)
	}
	line = time.Unix(0, e.Stamp.Wall).UTC().AppendFormat(line, "2006-01-02T15:04:05.000000Z")
	line = append(line, " event="...)
	line = append(line, e.Kind...)
	field("node", string(e.Node))
	field("request", string(e.Request))
	field("pool", string(e.Pool))
	field("move", string(e.Move))
	if e.Revision != 0 {
		field("revision", strconv.FormatUint(uint64(e.Revision), 10))
	}
	field("detail", e.Detail)
	if dropped := l.dropped.Load(); dropped > 0 {
		field("droppedLines", strconv.FormatUint(dropped, 10))
	}
	return append(line, '\n')
}
