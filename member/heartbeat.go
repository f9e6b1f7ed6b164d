package member

import "net/netip"

// spareHomes is the number of balancers sent to an agent in addition to its homes,
// so that it can switch to them immediately when all homes have failed.
const spareHomes = 2

// serveHeartbeat records that an agent is alive. It returns this balancer's version of
// the agent's record if it differs, so that the agent can refute it, the record of an earlier
// process of the agent that this heartbeat replaces, and what the agent lacks: its home
// balancers, the members of its service and a grantor with a higher term.
func (n *Node) serveHeartbeat(m Message) Message {
	n.mergeAndPushAll(m.Records)
	e := n.table.byHash[m.ID]
	if e == nil {
		return Message{Resend: true, Records: n.removedRecords(m.Records), Incomplete: true, ShortHistory: true}
	}
	n.markAlive(e.record.Name)
	reply := Message{
		Grantor: n.newerGrantor(e.record.Service, m.Term), Incomplete: !n.Complete(), ShortHistory: true,
		IdleLimit: secondsUp(n.idle.longest(n.now)),
	}
	// Agents may know orders that all balancers have lost, by restarts while the store was unavailable.
	reply.Resend = m.EvacuationRevision > n.evacuations.Set().Revision
	n.addWarmup(e.record.Service, &m, &reply)
	if uint32(e.sum) != m.Sum {
		reply.Resend = true
		reply.Records = append(reply.Records, e.record)
	}
	// A heartbeat carries the agent's record until one is confirmed, so the reply that carried this one may be lost.
	if len(m.Records) > 0 && e.earlier != nil {
		reply.Records = append(reply.Records, *e.earlier)
	}
	if n.table.membersSum(e.record.Service) != m.Members {
		reply.Records = append(reply.Records, n.table.ServiceMembers(e.record.Service)...)
	}
	homes := controlAddresses(n.table.homes(e.record.Name, e.record.FailureDomain, n.cfg.Homes+spareHomes))
	if hashHomes(homes) != m.HomeSum {
		reply.Homes = homes
	}
	return reply
}

func controlAddresses(records []Record) []netip.AddrPort {
	out := make([]netip.AddrPort, len(records))
	for i := range records {
		out[i] = records[i].Control
	}
	return out
}
