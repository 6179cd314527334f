package control

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// WatchHold limits how long a watch waits for a change.
const WatchHold = 1500 * time.Millisecond

// WatchArgs holds the configuration revision and the view of the members that a
// node has.
type WatchArgs struct {
	HaveRevision ident.Revision
	HaveView     uint64
}

// WatchReply answers a watch.
type WatchReply struct {
	Status
	// Changed means that the node is behind and should send a heartbeat now.
	Changed bool
}

// Watch waits until the node is behind the current configuration or members, for
// at most WatchHold. It renews no lease.
func (s *Service) Watch(args *WatchArgs, reply *WatchReply) error {
	timer := time.NewTimer(WatchHold)
	defer timer.Stop()
	for {
		if _, status := s.serving(); !status.OK() {
			reply.Status = status
			return nil
		}
		changed := s.machine.Changed()
		if reply.Changed = s.behind(args); reply.Changed {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		}
	}
}

func (s *Service) behind(args *WatchArgs) bool {
	_, revision, _ := s.machine.Config()
	return revision != args.HaveRevision || s.machine.ViewSequence() != args.HaveView
}
