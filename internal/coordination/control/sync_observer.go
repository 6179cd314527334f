package control

// ObserveSyncs makes the service call observe with each node that sends it a sync, also while
// it does not lead. It must be called before the service serves.
func (s *Service) ObserveSyncs(observe func(m Member)) { s.syncObserver = observe }

func (s *Service) observeSync(m Member) {
	if s.syncObserver != nil {
		s.syncObserver(m)
	}
}
