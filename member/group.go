package member

import (
	"bytes"
	"slices"
	"strings"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// group holds the upstreams of one service. It caches the service's part of the
// view, because sorting 48,000 upstreams for each of 72,000 changes per day would
// exceed the CPU budget of a balancer.
type group struct {
	entries   []*entry // ordered by name
	built     flow.Service
	conflicts []Conflict
	clean     bool // built and conflicts are up to date
}

// Conflict is a pair of upstreams of one service whose names map to the same
// AgentID. Packets could not be attributed to one of them, so the view contains
// only the first name.
type Conflict struct {
	Service string
	Kept    string
	Hidden  string
	ID      packet.AgentID
}

func byName(a, b *entry) int { return strings.Compare(a.record.Name, b.record.Name) }

func (t *Table) addToGroup(e *entry) {
	if e.record.Role != RoleUpstream {
		return
	}
	t.view = nil
	g := t.groups[e.record.Service]
	if g == nil {
		g = &group{}
		t.groups[e.record.Service] = g
		i, _ := slices.BinarySearch(t.services, e.record.Service)
		t.services = slices.Insert(t.services, i, e.record.Service)
	}
	g.clean = false
	if i, found := slices.BinarySearchFunc(g.entries, e, byName); !found {
		g.entries = slices.Insert(g.entries, i, e)
	}
}

func (t *Table) removeFromGroup(e *entry) {
	g := t.groups[e.record.Service]
	if e.record.Role != RoleUpstream || g == nil {
		return
	}
	t.view = nil
	g.clean = false
	g.entries = slices.DeleteFunc(g.entries, func(x *entry) bool { return x == e })
	if len(g.entries) > 0 {
		return
	}
	delete(t.groups, e.record.Service)
	if i, found := slices.BinarySearch(t.services, e.record.Service); found {
		t.services = slices.Delete(t.services, i, i+1)
	}
}

// ServiceMembers returns the records of a service's upstreams, ordered by name.
func (t *Table) ServiceMembers(service string) []Record {
	g := t.groups[service]
	if g == nil {
		return nil
	}
	return appendRecords(make([]Record, 0, len(g.entries)), g.entries)
}

// membersSum returns a hash of the records of a service's upstreams.
func (t *Table) membersSum(service string) uint32 {
	var sum uint32
	if g := t.groups[service]; g != nil {
		for _, e := range g.entries {
			sum ^= uint32(e.sum)
		}
	}
	return sum
}

// View returns the services of the table ordered by name, each with its upstreams
// ordered by name. It is rebuilt only after a change.
func (t *Table) View() *flow.View {
	if t.view != nil {
		return t.view
	}
	v := &flow.View{Services: make([]flow.Service, 0, len(t.services))}
	for _, name := range t.services {
		v.Services = append(v.Services, t.groups[name].service(name))
	}
	t.view = v
	return v
}

// Conflicts returns the pairs of upstreams that share an AgentID within a service.
func (t *Table) Conflicts() []Conflict {
	t.View()
	var out []Conflict
	for _, name := range t.services {
		out = append(out, t.groups[name].conflicts...)
	}
	return out
}

func (g *group) service(name string) flow.Service {
	if g.clean {
		return g.built
	}
	s := flow.Service{ID: packet.ServiceIDOf(name), Name: name, Endpoints: g.endpoints()}
	owner := make(map[packet.AgentID]string, len(g.entries))
	g.conflicts = nil
	for _, e := range g.entries {
		u := upstream(&e.record)
		u.StateSource = e.source
		if kept, taken := owner[u.ID]; taken {
			g.conflicts = append(g.conflicts, Conflict{Service: name, Kept: kept, Hidden: u.Name, ID: u.ID})
			continue
		}
		owner[u.ID] = u.Name
		s.Upstreams = append(s.Upstreams, u)
	}
	g.built, g.clean = s, true
	return s
}

// endpoints returns the union of the endpoints announced by upstreams that may hold flows, or by
// all upstreams if none does. An upstream that is marked as failed may hold its flows.
func (g *group) endpoints() []flow.Endpoint {
	var holding, all []flow.Endpoint
	for _, e := range g.entries {
		all = append(all, e.record.Endpoints...)
		if e.record.State != flow.Leaving {
			holding = append(holding, e.record.Endpoints...)
		}
	}
	if len(holding) == 0 {
		holding = all
	}
	slices.SortFunc(holding, compareEndpoints)
	return slices.Compact(holding)
}

func compareEndpoints(a, b flow.Endpoint) int {
	if c := a.Addr.Compare(b.Addr); c != 0 {
		return c
	}
	return bytes.Compare([]byte{a.Proto}, []byte{b.Proto})
}

func upstream(r *Record) flow.Upstream {
	return flow.Upstream{
		ID:            packet.AgentIDOf(r.Name),
		Name:          r.Name,
		Incarnation:   r.Incarnation,
		Start:         r.Start,
		Addr:          r.Data,
		State:         r.State,
		FailureDomain: r.FailureDomain,
		Cold:          r.Cold,
	}
}
