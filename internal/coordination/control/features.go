package control

import (
	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// raiseFeatures raises the committed feature level to the highest one that every voter and every
// live member supports. A voter that has not been heard of in this term holds it back: its build
// is unknown.
func (s *Service) raiseFeatures(term uint64) {
	for level := uint32(machine.FeatureLevel); level > s.machine.Features(); level-- {
		if s.allSupport(level) {
			_, _ = s.proposeIn(term, &machine.Command{SetFeatures: &machine.SetFeatures{Level: level}})
			return
		}
	}
}

// allSupport reports whether all voters and live members support a feature level.
func (s *Service) allSupport(level uint32) bool {
	if s.fleet != nil {
		return s.fleet.allSupport(s.members(), level)
	}
	nodes := s.machine.Nodes()
	return len(nodes) > 0 && len(s.nodesWithout(level)) == 0
}

// SetDocumentReader sets what reads the text of a numbered configuration. It must be called
// before the service serves.
func (s *Service) SetDocumentReader(read config.Reader) { s.readDocument = read }

// refreshDocument puts the configuration in force once more if a build below the feature
// level has read its text and this build reads something else in it, or fields that such a
// build has dropped.
func (s *Service) refreshDocument(term uint64) {
	document, number := s.machine.Document()
	level := s.machine.Features()
	if s.readDocument == nil || number == 0 || level == 0 || s.machine.DocumentLevel() >= level {
		return
	}
	if s.keptNumber == number {
		return
	}
	numbered, err := s.readDocument(document)
	if err != nil {
		// An older build has accepted what this one doesn't.
		klog.ErrorS(err, "the configuration in force can't be read, keeping it as it is", "number", number)
	}
	if err != nil || !s.readsMore(numbered.Config) {
		s.keptNumber = number
		return
	}
	numbered.Number, numbered.Document, numbered.Level = number, document, machine.FeatureLevel
	_, _ = s.proposeIn(term, &machine.Command{RefreshConfig: &config.Operation{Numbered: &numbered, Refresh: true}})
}

// readsMore reports whether c, which this build has read in the text of the configuration in
// force, is not what is in force at all nodes. The digest leaves out the fields of level 1.
func (s *Service) readsMore(c config.Config) bool {
	_, _, digest := s.machine.Config()
	return c.Digest() != digest || s.machine.DocumentLevel() < 1 && c.UsesLevel1()
}

// allSupport reports whether all voters are live members and all live members support a
// feature level.
func (f *fleet) allSupport(replicas []consensus.Member, level uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading || len(f.members.entries) == 0 {
		return false
	}
	for _, m := range f.members.entries {
		if m.value.Features < level {
			return false
		}
	}
	for _, r := range replicas {
		if _, live := f.members.entries[r.Replica.ID]; r.Role == consensus.RoleVoter && !live {
			return false
		}
	}
	return true
}
