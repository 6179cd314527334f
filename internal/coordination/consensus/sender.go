package consensus

import (
	"context"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/snap"
)

// snapshotChunkBytes is the size of one chunk of a streamed snapshot, in bytes.
const snapshotChunkBytes = 256 << 10

// callContext returns a context that bounds one call to a peer.
func (r *replica) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.ctx, r.opts.Timing.CallTimeout)
}

// header returns the header of a message to a peer.
func (r *replica) header(to Replica) Header {
	return Header{Cluster: r.view.Load().genesis.Cluster, From: r.view.Load().self, To: to}
}

// send starts the call for a message in a goroutine. The reply is posted to the
// loop as an event.
func (r *replica) send(msg outbound) {
	header := r.header(msg.to)
	switch {
	case msg.vote != nil:
		msg.vote.Header = header
		r.spawn(func() { r.sendVote(msg) })
	case msg.append != nil:
		msg.append.Header = header
		r.spawn(func() { r.sendAppend(msg) })
	case msg.elect != nil:
		msg.elect.Header = header
		r.spawn(func() { r.sendElect(msg) })
	}
}

func (r *replica) sendVote(msg outbound) {
	ctx, cancel := r.callContext()
	defer cancel()
	reply, err := r.opts.Peers.Vote(ctx, msg.to.ID, msg.vote)
	if err != nil {
		return
	}
	_ = r.post(r.ctx, func(now time.Time) {
		r.core.handleVoteReply(now, msg.to, msg.vote, reply)
	})
}

func (r *replica) sendAppend(msg outbound) {
	ctx, cancel := r.callContext()
	defer cancel()
	reply, err := r.opts.Peers.Append(ctx, msg.to.ID, msg.append)
	_ = r.post(r.ctx, func(now time.Time) {
		if err != nil {
			r.core.appendFailed(now, msg.to, msg.sent)
			return
		}
		r.core.handleAppendReply(now, msg.to, msg.sent, msg.append, reply)
	})
}

func (r *replica) sendElect(msg outbound) {
	ctx, cancel := r.callContext()
	defer cancel()
	// The result does not matter: without this call the successor campaigns
	// after its election timeout.
	_, _ = r.opts.Peers.Elect(ctx, msg.to.ID, msg.elect)
}

// startSnapshotStream starts sending the newest snapshot to a peer and reports
// the result to the core.
func (r *replica) startSnapshotStream(to Replica, term uint64) {
	header := r.header(to)
	r.spawn(func() {
		index, ok := r.streamSnapshot(header, term)
		_ = r.post(r.ctx, func(now time.Time) {
			r.core.snapshotDone(now, to, term, index, ok)
		})
	})
}

// streamSnapshot sends the newest snapshot in chunks and returns its index once
// the peer has installed it. ok is false if the peer did not.
func (r *replica) streamSnapshot(header Header, term uint64) (index uint64, ok bool) {
	r.storeSem <- struct{}{}
	snapshot, found, err := r.store.Latest()
	<-r.storeSem
	if err != nil || !found {
		return 0, false
	}
	var offset uint64
	for {
		reply, err := r.sendChunk(chunk(header, term, snapshot, offset))
		if err != nil || reply.Term > term {
			return 0, false
		}
		if reply.Done {
			return snapshot.Meta.Index, true
		}
		if reply.Next <= offset {
			return 0, false
		}
		offset = reply.Next
	}
}

func (r *replica) sendChunk(req *SnapshotRequest) (*SnapshotReply, error) {
	ctx, cancel := r.callContext()
	defer cancel()
	return r.opts.Peers.Snapshot(ctx, req.Header.To.ID, req)
}

// chunk returns the request for the snapshot data that begins at offset.
func chunk(header Header, term uint64, s snap.Snapshot, offset uint64) *SnapshotRequest {
	total := uint64(len(s.Data))
	offset = min(offset, total)
	end := min(offset+snapshotChunkBytes, total)
	return &SnapshotRequest{
		Header: header, Term: term,
		Index: s.Meta.Index, SnapshotTerm: s.Meta.Term, Members: s.Meta.Members,
		Offset: offset, Total: total, Data: s.Data[offset:end],
	}
}
