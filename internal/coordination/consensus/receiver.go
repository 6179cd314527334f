package consensus

import (
	"context"
	"errors"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/snap"
)

// ErrWrongRecipient means that a message is addressed to another replica,
// incarnation or cluster.
var ErrWrongRecipient = errors.New("consensus: the message is addressed to another replica")

// maxSnapshotBytes bounds the size of a snapshot that a replica accepts, in
// bytes.
const maxSnapshotBytes = 1 << 30

// incomingSnapshot assembles the chunks of one snapshot.
type incomingSnapshot struct {
	term  uint64
	index uint64
	data  []byte
}

// isRecipient reports whether a message is addressed to this incarnation of
// this replica in its cluster.
func (r *replica) isRecipient(h Header) bool {
	return r.identity.formed() && h.Cluster == r.identity.Genesis.Cluster && h.To == r.identity.Replica
}

// result is the reply to a request or the error that replaces it.
type result[T any] struct {
	reply T
	err   error
}

// callLoop runs handle in the event loop and waits for its answer, at most
// CallTimeout. handle must call answer once, possibly later; with needsSync
// set, the answer is delayed until the pending output is durable.
func callLoop[T any](r *replica, handle func(now time.Time, answer func(needsSync bool, reply T, err error))) (T, error) {
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timing.CallTimeout)
	defer cancel()
	done := make(chan result[T], 1)
	err := r.post(ctx, func(now time.Time) {
		handle(now, func(needsSync bool, reply T, err error) {
			r.queueReply(needsSync, func() { done <- result[T]{reply, err} })
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
	return callLoop(r, func(now time.Time, answer func(bool, VoteReply, error)) {
		if !r.isRecipient(req.Header) {
			answer(false, VoteReply{}, ErrWrongRecipient)
			return
		}
		reply := r.core.handleVote(now, req.Header.From, req)
		answer(r.core.replyNeedsSync(0), reply, nil)
	})
}

func (r *replica) onAppend(req *AppendRequest) (AppendReply, error) {
	return callLoop(r, func(now time.Time, answer func(bool, AppendReply, error)) {
		if !r.isRecipient(req.Header) {
			answer(false, AppendReply{}, ErrWrongRecipient)
			return
		}
		r.handleInOrder(now, req, func(now time.Time) {
			reply := r.core.handleAppend(now, req.Header.From, req)
			answer(r.core.replyNeedsSync(reply.Match), reply, nil)
		})
	})
}

func (r *replica) onElect(req *ElectRequest) (ElectReply, error) {
	return callLoop(r, func(now time.Time, answer func(bool, ElectReply, error)) {
		if !r.isRecipient(req.Header) {
			answer(false, ElectReply{}, ErrWrongRecipient)
			return
		}
		answer(false, r.core.handleElect(now, req.Header.From, req), nil)
	})
}

func (r *replica) onRecover(req *RecoverRequest) (RecoverReply, error) {
	return callLoop(r, func(now time.Time, answer func(bool, RecoverReply, error)) {
		if !r.identity.formed() || req.Cluster != r.identity.Genesis.Cluster {
			answer(false, RecoverReply{}, ErrWrongRecipient)
			return
		}
		reply := r.core.handleRecover(now, req)
		answer(r.core.replyNeedsSync(r.core.log.last()), reply, nil)
	})
}

func (r *replica) onSnapshot(req *SnapshotRequest) (SnapshotReply, error) {
	return callLoop(r, func(now time.Time, answer func(bool, SnapshotReply, error)) {
		if !r.isRecipient(req.Header) || req.Total > maxSnapshotBytes {
			answer(false, SnapshotReply{}, ErrWrongRecipient)
			return
		}
		reply := r.handleChunk(now, req)
		match := uint64(0)
		if reply.Done {
			match = req.Index
		}
		answer(r.core.replyNeedsSync(match), reply, nil)
	})
}

// handleChunk appends a chunk to the incoming snapshot and installs the
// snapshot once it is complete.
func (r *replica) handleChunk(now time.Time, req *SnapshotRequest) SnapshotReply {
	if !r.core.acceptLeader(now, req.Header.From, req.Term) {
		return SnapshotReply{Term: r.core.term}
	}
	meta := snap.Meta{Index: req.Index, Term: req.SnapshotTerm, Members: req.Members}
	if r.core.holdsSnapshot(meta) {
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
