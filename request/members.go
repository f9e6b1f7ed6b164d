package request

import (
	"cmp"
	"slices"

	"github.com/nutmegtrack/nutmegtrack/internal/rendezvous"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Member is one running agent of the service.
type Member struct {
	ID            packet.AgentID
	Incarnation   uint64
	FailureDomain string
	// Registrar is set if the agent is ranked for keys. Starting and draining agents are
	// not ranked, but their records are pulled.
	Registrar bool
	// Version changes each time the agent rejoins after peers marked it as failed.
	// Peers may meanwhile have granted its keys without its knowledge.
	Version uint64
}

// view is one membership. It is immutable.
type view struct {
	Members []Member // ordered by ID
	hash    uint64
}

func newView(members []Member) *view {
	v := &view{Members: slices.Clone(members)}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, m := range v.Members {
		state := uint64(0)
		if m.Registrar {
			state = 1
		}
		v.hash = rendezvous.Mix(v.hash ^ rendezvous.Mix(uint64(m.ID)<<1|state))
		v.hash = rendezvous.Mix(v.hash ^ m.Incarnation)
		v.hash = rendezvous.Mix(v.hash ^ m.Version)
	}
	return v
}

// contains reports whether the view contains the agent with this incarnation.
func (v *view) contains(id packet.AgentID, incarnation uint64) bool {
	m, found := v.find(id)
	return found && m.Incarnation == incarnation
}

func (v *view) find(id packet.AgentID) (Member, bool) {
	i, found := slices.BinarySearchFunc(v.Members, id, func(m Member, id packet.AgentID) int { return cmp.Compare(m.ID, id) })
	if !found {
		return Member{}, false
	}
	return v.Members[i], true
}

// Process identifies one run of an agent's process.
type Process struct {
	ID          packet.AgentID
	Incarnation uint64
}

// Pair holds the two registrars of a key: the highest-ranked agent and the
// highest-ranked agent of another failure domain. Both are equal if the service has one
// agent. The zero value means that there is no registrar.
type Pair [2]RegistrarID

// RegistrarID identifies an agent as a registrar. It changes when the agent restarts or
// rejoins.
type RegistrarID struct {
	Process
	Version uint64
}

// Has reports whether the process is in the pair.
func (p Pair) Has(x Process) bool { return p[0].Process == x || p[1].Process == x }

// registrarID returns the pair's entry for the process, or zero if it is not in the pair.
func (p Pair) registrarID(x Process) RegistrarID {
	for _, s := range p {
		if s.Process == x {
			return s
		}
	}
	return RegistrarID{}
}

// pair ranks the members for a key. If there is no agent in a second failure domain, the
// second registrar is the next-ranked agent of the same domain.
func (v *view) pair(k Key) Pair {
	var first, otherDomain, sameDomain rankedMember
	h := k.hash()
	for i := range v.Members {
		if m := &v.Members[i]; m.Registrar {
			first = first.max(rankedMember{member: m, score: rendezvous.Score(h, rendezvous.Seed(uint64(m.ID)))})
		}
	}
	if first.member == nil {
		return Pair{}
	}
	for i := range v.Members {
		m := &v.Members[i]
		if !m.Registrar || m == first.member {
			continue
		}
		r := rankedMember{member: m, score: rendezvous.Score(h, rendezvous.Seed(uint64(m.ID)))}
		sameDomain = sameDomain.max(r)
		if m.FailureDomain != first.member.FailureDomain {
			otherDomain = otherDomain.max(r)
		}
	}
	second := first
	if otherDomain.member != nil {
		second = otherDomain
	} else if sameDomain.member != nil {
		second = sameDomain
	}
	return Pair{first.registrarID(), second.registrarID()}
}

type rankedMember struct {
	member *Member
	score  uint64
}

func (r rankedMember) max(o rankedMember) rankedMember {
	if r.member == nil || o.score > r.score {
		return o
	}
	return r
}

func (r rankedMember) registrarID() RegistrarID {
	return RegistrarID{Process: Process{ID: r.member.ID, Incarnation: r.member.Incarnation}, Version: r.member.Version}
}
