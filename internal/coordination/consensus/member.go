package consensus

import (
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// MaxMembers bounds the members of a cluster, including learners.
const MaxMembers = 8

// maxRetired bounds the removed replicas that a membership lists.
const maxRetired = 64

// ClusterID identifies a cluster. It is generated when the cluster is formed.
type ClusterID string

// Replica identifies one replica by its ID and the incarnation of its data
// folder. If the folder is lost, the node returns under the same ID with a new
// incarnation and counts as another replica.
type Replica struct {
	ID          ident.NodeID
	Incarnation ident.Incarnation
}

// String implements fmt.Stringer.
func (r Replica) String() string {
	return fmt.Sprintf("%s/%x", r.ID, uint64(r.Incarnation))
}

// Role is the role of a member.
type Role uint8

const (
	// RoleNone is the role of a replica that is not a member.
	RoleNone Role = iota
	// RoleLearner receives the log but does not count towards a quorum.
	RoleLearner
	// RoleVoter counts towards every quorum.
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
	// AutoPromote marks a learner that joined without an operator or lost its
	// vote while it was silent. Once it has caught up, it replaces the older
	// incarnations of its ID and becomes a voter.
	AutoPromote bool
	// Changing announces that the next membership may take or give the member's
	// vote.
	Changing bool `cbor:",omitempty"`
}

// Membership is the set of members at one position of the log. It is immutable:
// changes return a new value.
type Membership struct {
	Members []Member
	// Retired lists the most recently removed replicas, oldest first, at most
	// maxRetired. They can't join again.
	Retired []Replica
	// VotesChanged is true if this membership took or gave a vote. The next one, which may
	// be equal to it, shows that it is committed.
	VotesChanged bool `cbor:",omitempty"`
}

// String returns the members with their roles, as in "a/1f voter, b/2c learner".
func (m Membership) String() string {
	var text []string
	for _, member := range m.Members {
		text = append(text, fmt.Sprintf("%v %v", member.Replica, member.Role))
	}
	return strings.Join(text, ", ")
}

// Role returns the role of a replica.
func (m Membership) Role(r Replica) Role {
	return m.member(r).Role
}

// member returns the member with the given replica, or a zero Member if it is
// not listed.
func (m Membership) member(r Replica) Member {
	for _, member := range m.Members {
		if member.Replica == r {
			return member
		}
	}
	return Member{}
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

// changedVoters returns the replicas that vote in exactly one of two memberships.
func (m Membership) changedVoters(next Membership) []Replica {
	var changed []Replica
	for _, voter := range m.Voters() {
		if next.Role(voter) != RoleVoter {
			changed = append(changed, voter)
		}
	}
	for _, voter := range next.Voters() {
		if m.Role(voter) != RoleVoter {
			changed = append(changed, voter)
		}
	}
	return changed
}

// announcing returns the membership with exactly the given members marked as
// Changing.
func (m Membership) announcing(changing ...Replica) Membership {
	next := m
	next.VotesChanged = false
	next.Members = slices.Clone(m.Members)
	for i, member := range next.Members {
		next.Members[i].Changing = slices.Contains(changing, member.Replica)
	}
	return next
}

// changing returns the members that are marked as Changing.
func (m Membership) changing() []Replica {
	var marked []Replica
	for _, member := range m.Members {
		if member.Changing {
			marked = append(marked, member.Replica)
		}
	}
	return marked
}

// electorates returns the sets of voters that may be in effect at replicas that
// hold this membership or the one after it.
func (m Membership) electorates() [][]Replica {
	now := m.Voters()
	all := [][]Replica{now}
	for _, r := range m.changing() {
		if m.Role(r) == RoleVoter {
			all = append(all, slices.DeleteFunc(slices.Clone(now), func(other Replica) bool { return other == r }))
		} else {
			all = append(all, append(slices.Clone(now), r))
		}
	}
	return all
}

// quorum returns the size of a majority of the voters.
func (m Membership) quorum() int {
	return len(m.Voters())/2 + 1
}

// retired reports whether the replica is listed as removed.
func (m Membership) retired(r Replica) bool {
	return slices.Contains(m.Retired, r)
}

// withLearner returns the membership with a learner added and with older
// learners of the same ID removed.
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

// withMember returns the membership with one member replaced by a new value.
func (m Membership) withMember(changed Member) Membership {
	next := m
	next.Members = slices.Clone(m.Members)
	for i, member := range next.Members {
		if member.Replica == changed.Replica {
			next.Members[i] = changed
		}
	}
	return next
}

// without returns the membership with a replica removed.
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

// retire returns the membership with r added to Retired.
func (m Membership) retire(r Replica) Membership {
	retired := append(slices.Clone(m.Retired), r)
	m.Retired = retired[max(0, len(retired)-maxRetired):]
	return m
}

// encode returns the CBOR encoding of the membership, as stored in the log and
// in snapshots.
func (m Membership) encode() []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("consensus: encode membership: %v", err))
	}
	return data
}

// decodeMembership decodes the result of encode.
func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Membership{}, fmt.Errorf("consensus: decode membership: %w", err)
	}
	return m, nil
}
