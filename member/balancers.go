package member

import (
	"net/netip"
	"slices"
	"strings"
)

// balancerIndex caches the balancers, ordered by name, until a balancer's record
// changes: every heartbeat ranks the balancers of the agent's failure domain.
type balancerIndex struct {
	all     []Record
	live    hashedBalancers
	domains map[string]*hashedBalancers // live balancers by failure domain
}

// Balancers returns the records of all balancers, ordered by name. The caller
// must not modify them.
func (t *Table) Balancers() []Record { return t.balancerIndex().all }

// liveBalancers returns the live balancers (see Record.Gone), draining ones included. The
// caller must not modify them.
func (t *Table) liveBalancers() []Record { return t.balancerIndex().live.records }

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
		if !b.Gone() {
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
