package consensus

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// MaxMembers bounds the replicas of a cluster, learners included.
const MaxMembers = 8

// maxRetired bounds the removed replicas that a membership remembers.
const maxRetired = 64

// ClusterID names one cluster. It is drawn when the cluster forms.
type ClusterID string

// Replica is one life of one data folder. A lost folder comes back under the
// same ID with another incarnation and is another replica.
type Replica struct {
	ID          ident.NodeID
	Incarnation ident.Incarnation
}

// String implements fmt.Stringer.
func (r Replica) String() string {
	return fmt.Sprintf("%s/%x", r.ID, uint64(r.Incarnation))
}

// Role is what a member takes part in.
type Role uint8

const (
	// RoleNone marks a replica that is no member.
	RoleNone Role = iota
	// RoleLearner receives the log and counts in no quorum.
	RoleLearner
	// RoleVoter counts in every quorum.
	RoleVoter
)

// String implements fmt.Stringer.
func (r Role) String() string {
	switch r {
	case RoleLearner:
		return "learner"
	case RoleVoter:
		return "voter"
	default:
		return "none"
	}
}

// Member is one replica of a cluster.
type Member struct {
	Replica Replica
	Role    Role
	// AutoPromote marks a learner that joined by itself: it replaces the older
	// incarnations of its ID once it has caught up.
	AutoPromote bool
}

// Membership is the set of replicas at one position of the log. It is
// immutable: changes return a new value.
type Membership struct {
	Members []Member
	// Retired lists the replicas removed last, oldest first. They never return.
	Retired []Replica
}

// Role returns the role of a replica.
func (m Membership) Role(r Replica) Role {
	for _, member := range m.Members {
		if member.Replica == r {
			return member.Role
		}
	}
	return RoleNone
}

// Voters returns the voting replicas.
func (m Membership) Voters() []Replica {
	var voters []Replica
	for _, member := range m.Members {
		if member.Role == RoleVoter {
			voters = append(voters, member.Replica)
		}
	}
	return voters
}

// quorum returns the size of a majority of the voters.
func (m Membership) quorum() int {
	return len(m.Voters())/2 + 1
}

// retired reports whether the replica was removed.
func (m Membership) retired(r Replica) bool {
	return slices.Contains(m.Retired, r)
}

// withLearner adds a learner and drops older learners of the same ID.
func (m Membership) withLearner(r Replica, auto bool) Membership {
	next := m
	next.Members = nil
	for _, member := range m.Members {
		if member.Replica.ID == r.ID && member.Role == RoleLearner {
			next = next.retire(member.Replica)
			continue
		}
		next.Members = append(next.Members, member)
	}
	learner := Member{Replica: r, Role: RoleLearner, AutoPromote: auto}
	next.Members = append(next.Members, learner)
	return next
}

// withVoter turns a learner into a voter.
func (m Membership) withVoter(r Replica) Membership {
	next := m
	next.Members = slices.Clone(m.Members)
	for i, member := range next.Members {
		if member.Replica == r {
			next.Members[i] = Member{Replica: r, Role: RoleVoter}
		}
	}
	return next
}

// without removes a replica.
func (m Membership) without(r Replica) Membership {
	next := m.retire(r)
	next.Members = nil
	for _, member := range m.Members {
		if member.Replica != r {
			next.Members = append(next.Members, member)
		}
	}
	return next
}

// retire remembers a removed replica.
func (m Membership) retire(r Replica) Membership {
	retired := append(slices.Clone(m.Retired), r)
	m.Retired = retired[max(0, len(retired)-maxRetired):]
	return m
}

// encode returns the membership as stored in the log and in snapshots.
func (m Membership) encode() []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("consensus: encode membership: %v", err))
	}
	return data
}

// decodeMembership reverses encode.
func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Membership{}, fmt.Errorf("consensus: decode membership: %w", err)
	}
	return m, nil
}
