package fleet

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// ApplyDocument reads the text of a numbered configuration and commits it. It also succeeds
// if a configuration with that number or a higher one has been committed already. The
// error wraps config.ErrInvalid if the text can't be read; after any other, the outcome
// is unknown.
func (n *Node) ApplyDocument(ctx context.Context, text []byte, read config.Reader) error {
	change := configChange{began: time.Now(), bytes: len(text)}
	err := n.applyDocument(ctx, text, read, &change)
	n.recordChange(&change, err)
	return err
}

// configChange describes an operator's call that changes the configuration.
type configChange struct {
	began  time.Time
	bytes  int
	number uint64
	// read and commit are the times that these steps took; 0 for one that was not reached.
	read, commit time.Duration
	verdict      config.Verdict
}

func (n *Node) applyDocument(ctx context.Context, text []byte, read config.Reader, change *configChange) error {
	c, err := n.readDocument(ctx, text, read)
	change.read = time.Since(change.began)
	if err != nil {
		return err
	}
	change.number = c.Number
	began := time.Now()
	args := &control.ApplyNumberedArgs{Numbered: c}
	if deadline, limited := ctx.Deadline(); limited {
		args.Patience = min(callTimeout, time.Until(deadline))
	}
	reply, err := control.Call[control.ApplyNumberedReply](ctx, n.control, "ApplyNumbered", args)
	change.commit = time.Since(began)
	change.verdict = reply.Outcome.Verdict
	if err == nil {
		n.documents.Committed(c.Number)
	}
	return err
}

// readDocument reads the text of a numbered configuration. For a text that this replica has
// as the committed one, it returns the number only.
func (n *Node) readDocument(ctx context.Context, text []byte, read config.Reader) (config.Numbered, error) {
	if n.replica != nil {
		if committed, number := n.replica.machine.Document(); number > 0 && bytes.Equal(committed, text) {
			return config.Numbered{Number: number}, nil
		}
	}
	return n.documents.Read(ctx, text, read)
}

// maxChangeError bounds the error in the line of a change, in bytes: it may quote the text.
const maxChangeError = 512

// recordChange records how an operator's call that changes the configuration has ended.
func (n *Node) recordChange(c *configChange, err error) {
	result := string(c.verdict)
	if err != nil {
		result = err.Error()
		result = result[:min(len(result), maxChangeError)]
	}
	n.events.Record(timeline.Event{Kind: timeline.KindConfigChange, Detail: fmt.Sprintf("number %d, %d bytes, read in %v, committed in %v: %s",
		c.number, c.bytes, c.read.Round(time.Microsecond), c.commit.Round(time.Microsecond), result)})
	n.metrics.changes.WithLabelValues("read").Observe(c.read.Seconds())
	if c.commit > 0 {
		n.metrics.changes.WithLabelValues("commit").Observe(c.commit.Seconds())
	}
}

// Document returns the text of the newest numbered configuration as it was
// submitted. The number is 0 if there is none.
func (n *Node) Document(ctx context.Context) (document []byte, number uint64, err error) {
	reply, err := control.Call[control.ReadDocumentReply](ctx, n.control, "ReadDocument", &control.ReadDocumentArgs{})
	return reply.Document, reply.Number, err
}
