package pool

import (
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// Service makes the schedulers on this node available to all gateways. It is
// registered with net/rpc under ServiceName.
type Service struct {
	clock *timeline.Clock

	mu      sync.Mutex
	masters map[ident.PoolName]*Master
}

// NewService returns a service without schedulers. Its replies carry the
// timeline's clock, which may be nil.
func NewService(clock *timeline.Clock) *Service {
	return &Service{clock: clock, masters: make(map[ident.PoolName]*Master)}
}

// Submit applies a gateway's message and returns the pending decisions for the
// gateway.
func (s *Service) Submit(args *SubmitArgs, reply *Reply) error {
	s.clock.Observe(args.Stamp)
	master := s.find(args.Session)
	if master == nil {
		reply.Refused = true
		return nil
	}
	*reply = master.submit(args)
	reply.Stamp = s.clock.Now(time.Now())
	return nil
}

// Poll waits up to PollHold for decisions.
func (s *Service) Poll(args *PollArgs, reply *Reply) error {
	master := s.find(args.Session)
	if master == nil {
		reply.Refused = true
		return nil
	}
	*reply = master.poll(args)
	reply.Stamp = s.clock.Now(time.Now())
	return nil
}

// Leave ends the session of a gateway that has switched to another scheduler.
func (s *Service) Leave(args *LeaveArgs, reply *Reply) error {
	if master := s.find(args.Session); master != nil {
		master.leave(args.Session)
	}
	reply.Stamp = s.clock.Now(time.Now())
	return nil
}

// Put installs the scheduler of a pool and stops the one that it replaces.
func (s *Service) Put(m *Master) {
	s.mu.Lock()
	old := s.masters[m.pool]
	s.masters[m.pool] = m
	s.mu.Unlock()
	if old != nil {
		old.Stop()
	}
}

// Remove stops and removes the scheduler of a pool.
func (s *Service) Remove(pool ident.PoolName) {
	s.mu.Lock()
	old := s.masters[pool]
	delete(s.masters, pool)
	s.mu.Unlock()
	if old != nil {
		old.Stop()
	}
}

// Masters returns the schedulers that this node runs.
func (s *Service) Masters() []*Master {
	s.mu.Lock()
	defer s.mu.Unlock()
	masters := make([]*Master, 0, len(s.masters))
	for _, m := range s.masters {
		masters = append(masters, m)
	}
	return masters
}

func (s *Service) find(session Session) *Master {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.masters[session.Pool]
	if m == nil || m.epoch != session.Epoch {
		return nil
	}
	return m
}
