package timeline

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// lineQueueSize is how many lines may wait for a slow output.
	lineQueueSize = 1024
	// maxLinesPerSecond bounds the volume of one process; a line takes about
	// 200 bytes.
	maxLinesPerSecond = 2000
)

// Lines writes events as structured lines, one an event, without ever blocking
// those who record them. Lines beyond the bounds are dropped and counted.
type Lines struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	// second and written bound the lines of one second.
	second  atomic.Int64
	written atomic.Int64
}

// NewLines returns lines that go to out. Run must be called.
func NewLines(out io.Writer) *Lines {
	return &Lines{out: out, queue: make(chan []byte, lineQueueSize)}
}

// Dropped returns how many lines were dropped.
func (l *Lines) Dropped() uint64 { return l.dropped.Load() }

// Run writes lines until done is closed, then those that wait.
func (l *Lines) Run(done <-chan struct{}) {
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

func (l *Lines) flush() {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		default:
			return
		}
	}
}

// write sends a line with those that wait behind it in one call.
func (l *Lines) write(line []byte) {
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

// batchBytes is the size from which a write is not filled further, in bytes.
const batchBytes = 4 << 10

// Add queues an event's line.
func (l *Lines) Add(e Event) {
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

// format lays an event out as key=value pairs.
func (l *Lines) format(e Event) []byte {
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
