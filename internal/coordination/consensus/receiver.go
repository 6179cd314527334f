package consensus

import (
	"context"
	"errors"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/snap"
)

// ErrWrongAddress means that a message was meant for another replica, another
// incarnation or another cluster.
var ErrWrongAddress = errors.New("consensus: the message is addressed to another replica")

// maxSnapshotBytes bounds the state that a replica accepts.
const maxSnapshotBytes = 1 << 30

// incomingSnapshot assembles the chunks of one snapshot.
type incomingSnapshot struct {
	term  uint64
	index uint64
	data  []byte
}

// addressed reports whether a message is for exactly this replica.
func (r *replica) addressed(h Header) bool {
	return r.own.formed() && h.Cluster == r.own.Genesis.Cluster && h.To == r.own.Replica
}

// result is the answer to a request.
type result[T any] struct {
	reply T
	err   error
}

// ask lets the loop handle a request and waits for its answer.
func ask[T any](r *replica, handle func(now time.Time, answer func(needsSync bool, reply T, err error))) (T, error) {
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timing.Call)
	defer cancel()
	done := make(chan result[T], 1)
	err := r.post(ctx, func(now time.Time) {
		handle(now, func(needsSync bool, reply T, err error) {
			r.answer(needsSync, func() { done <- result[T]{reply, err} })
		})
	})
	var none T
	if err != nil {
		return none, err
	}
	select {
	case got := <-done:
		return got.reply, got.err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (r *replica) onVote(req *VoteRequest) (VoteReply, error) {
	return ask(r, func(now time.Time, answer func(bool, VoteReply, error)) {
		if !r.addressed(req.Header) {
			answer(false, VoteReply{}, ErrWrongAddress)
			return
		}
		reply := r.core.handleVote(now, req.Header.From, req)
		answer(r.core.replyNeedsSync(0), reply, nil)
	})
}

func (r *replica) onAppend(req *AppendRequest) (AppendReply, error) {
	return ask(r, func(now time.Time, answer func(bool, AppendReply, error)) {
		if !r.addressed(req.Header) {
			answer(false, AppendReply{}, ErrWrongAddress)
			return
		}
		r.takeAppend(now, req, func(now time.Time) {
			reply := r.core.handleAppend(now, req.Header.From, req)
			answer(r.core.replyNeedsSync(reply.Match), reply, nil)
		})
	})
}

func (r *replica) onElect(req *ElectRequest) (ElectReply, error) {
	return ask(r, func(now time.Time, answer func(bool, ElectReply, error)) {
		if !r.addressed(req.Header) {
			answer(false, ElectReply{}, ErrWrongAddress)
			return
		}
		answer(false, r.core.handleElect(now, req.Header.From, req), nil)
	})
}

func (r *replica) onSnapshot(req *SnapshotRequest) (SnapshotReply, error) {
	return ask(r, func(now time.Time, answer func(bool, SnapshotReply, error)) {
		if !r.addressed(req.Header) || req.Total > maxSnapshotBytes {
			answer(false, SnapshotReply{}, ErrWrongAddress)
			return
		}
		reply := r.takeChunk(now, req)
		match := uint64(0)
		if reply.Done {
			match = req.Index
		}
		answer(r.core.replyNeedsSync(match), reply, nil)
	})
}

// takeChunk adds a chunk and installs the snapshot once it is whole.
func (r *replica) takeChunk(now time.Time, req *SnapshotRequest) SnapshotReply {
	if !r.core.hearLeader(now, req.Header.From, req.Term) {
		return SnapshotReply{Term: r.core.term}
	}
	meta := snap.Meta{Index: req.Index, Term: req.SnapshotTerm, Members: req.Members}
	if !r.core.wantsSnapshot(meta) {
		return SnapshotReply{Term: r.core.term, Done: true}
	}
	in := &r.incoming
	if in.term != req.Term || in.index != req.Index || req.Offset == 0 {
		*in = incomingSnapshot{term: req.Term, index: req.Index}
	}
	if req.Offset == uint64(len(in.data)) {
		in.data = append(in.data, req.Data...)
	}
	if uint64(len(in.data)) < req.Total {
		return SnapshotReply{Term: r.core.term, Next: uint64(len(in.data))}
	}
	r.core.installSnapshot(snap.Snapshot{Meta: meta, Data: in.data})
	r.incoming = incomingSnapshot{}
	return SnapshotReply{Term: r.core.term, Done: true}
}
