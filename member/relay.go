package member

import (
	"maps"
	"slices"

	"github.com/nutmegtrack/nutmegtrack/flow"
)

// queueRelay queues an upstream's new record for the agents of its service that this
// balancer watches, so that they do not have to wait for their next heartbeat. The next
// step sends all queued records in one message per agent. One call per record and agent
// would be tens of thousands of calls while a fleet starts, because every upstream then
// changes a few times within a second and a seed is briefly the home of all agents.
func (n *Node) queueRelay(r Record) {
	if r.Role != RoleUpstream {
		return
	}
	names := n.relays[r.Service]
	if names == nil {
		names = make(map[string]bool)
		n.relays[r.Service] = names
	}
	names[r.Name] = true
}

// sendRelays pushes the queued records, in one message per agent.
func (n *Node) sendRelays() {
	for _, service := range slices.Sorted(maps.Keys(n.relays)) {
		names := n.relays[service]
		delete(n.relays, service)
		g := n.table.groups[service]
		if g == nil {
			continue
		}
		records := g.recordsOf(names)
		for _, e := range g.entries {
			if _, watched := n.detector.awaitedSince[e.record.Name]; !watched {
				continue
			}
			others := records
			// An agent needs its own record only to refute a mark as failed.
			if names[e.record.Name] && e.record.State != flow.Failed {
				others = slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return r.Name == e.record.Name })
			}
			if len(others) > 0 {
				n.enqueue(e.record.Control, Message{Kind: KindPush, Records: others})
			}
		}
	}
}

// recordsOf returns the records of the given upstreams, ordered by name.
func (g *group) recordsOf(names map[string]bool) []Record {
	var out []Record
	for _, e := range g.entries {
		if names[e.record.Name] {
			out = append(out, e.record)
		}
	}
	return out
}
