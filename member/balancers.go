package member

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// balancerIndex caches the balancers, ordered by name, until a balancer's record or its
// reachability changes: every heartbeat ranks the balancers of the agent's failure domain.
type balancerIndex struct {
	all     []Record
	live    hashedBalancers             // neither gone nor unreachable
	domains map[string]*hashedBalancers // those of live, by failure domain
}

// Balancers returns the records of all balancers, ordered by name. The caller
// must not modify them.
func (t *Table) Balancers() []Record { return t.balancerIndex().all }

// LiveBalancers returns the balancers that are neither gone (see Record.Gone) nor unreachable
// from this process, ordered by name, draining ones included. Duties that are assigned by rank
// are assigned among them: a record alone does not show that its process still runs, as a mark
// as failed takes two observers and is limited (see Node.decideClaim). The caller must not modify
// them.
func (t *Table) LiveBalancers() []Record { return t.balancerIndex().live.records }

// UnreachableFor returns how long this process has been unable to reach a balancer, or 0 if
// its last check did not fail.
func (t *Table) UnreachableFor(control netip.AddrPort) time.Duration {
	if since, unreachable := t.unreachable[control]; unreachable {
		return t.now - since
	}
	return 0
}

func (t *Table) isUnreachable(control netip.AddrPort) bool {
	_, unreachable := t.unreachable[control]
	return unreachable
}

// noteUnreachable records that the pings of a balancer have failed.
func (t *Table) noteUnreachable(control netip.AddrPort) {
	if !t.isUnreachable(control) {
		t.unreachable[control] = t.now
		t.noteReachability(control, false)
	}
}

// noteReachable records a sign of life of a balancer.
func (t *Table) noteReachable(control netip.AddrPort) {
	if t.isUnreachable(control) {
		delete(t.unreachable, control)
		t.noteReachability(control, true)
	}
}

// Reachability describes, for the log, that a balancer has become reachable or unreachable.
type Reachability struct {
	Control   netip.AddrPort
	Reachable bool
}

// maxReachability limits the changes kept until they are taken.
const maxReachability = 64

func (t *Table) noteReachability(control netip.AddrPort, reachable bool) {
	t.balancers = nil
	if len(t.reachability) < maxReachability {
		t.reachability = append(t.reachability, Reachability{Control: control, Reachable: reachable})
	}
}

// TakeReachability returns the first maxReachability changes since its last call, oldest first.
func (n *Node) TakeReachability() []Reachability {
	out := n.table.reachability
	n.table.reachability = nil
	return out
}

// forgetUnreachable removes the addresses at which there is no live balancer any more.
func (t *Table) forgetUnreachable() {
	if len(t.unreachable) == 0 {
		return
	}
	recorded := make(map[netip.AddrPort]bool)
	for _, b := range t.Balancers() {
		recorded[b.Control] = recorded[b.Control] || !b.Gone()
	}
	maps.DeleteFunc(t.unreachable, func(control netip.AddrPort, _ time.Duration) bool { return !recorded[control] })
}

// domainBalancers returns the live balancers of a failure domain, or all live
// balancers if the domain has none.
func (t *Table) domainBalancers(domain string) *hashedBalancers {
	index := t.balancerIndex()
	if own := index.domains[domain]; own != nil {
		return own
	}
	return &index.live
}

// isBalancer reports whether a control address belongs to a balancer.
func (n *Node) isBalancer(control netip.AddrPort) bool {
	return slices.ContainsFunc(n.table.Balancers(), func(b Record) bool { return b.Control == control })
}

func (t *Table) balancerIndex() *balancerIndex {
	if t.balancers != nil {
		return t.balancers
	}
	l := &balancerIndex{domains: make(map[string]*hashedBalancers)}
	for _, e := range t.order {
		if e.record.Role == RoleBalancer {
			l.all = append(l.all, e.record)
		}
	}
	slices.SortFunc(l.all, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	for _, b := range l.all {
		if !b.Gone() && !t.isUnreachable(b.Control) {
			l.add(b)
		}
	}
	t.balancers = l
	return l
}

func (l *balancerIndex) add(b Record) {
	l.live.add(b)
	own := l.domains[b.FailureDomain]
	if own == nil {
		own = &hashedBalancers{}
		l.domains[b.FailureDomain] = own
	}
	own.add(b)
}
