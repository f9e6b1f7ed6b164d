package flow

import "github.com/nutmegtrack/nutmegtrack/packet"

// The placement of a flow does not depend on its client's location, so most packets cross failure
// domains. This costs little for small requests. New flows of a service whose flows carry much data
// on average are placed in the balancer's own failure domain as long as an upstream there accepts
// flows. Each balancer computes the mean from the flows that it sees. A balancer in another domain
// that has no hint for such a flow may therefore send its packets to a different agent: the first
// choice in the balancer's domain if its mean is high too, otherwise the first choice among all
// upstreams. That agent handles them like packets of any flow that it does not own. Busy upstreams
// still hand new flows off, so a domain with few upstreams is not overloaded.

const (
	// minTrafficFlows is the number of flows from which on their mean is used. A wrong estimate
	// after a start only costs detours.
	minTrafficFlows = 4
	// trafficSlots is the number of flows whose data is counted. At 10 new flows per second
	// they cover a few seconds.
	trafficSlots = 32
)

// traffic counts the client data of one service, over some of the flows whose opening this
// balancer has seen. Flows opened before, as with a restart of the balancer, are left out:
// the data seen of them says nothing about their size.
type traffic struct {
	slots [trafficSlots]struct{ flow, bytes uint64 } // by hash of the flow; flow 0: unused
	flows uint64                                     // number of slots in use
	bytes uint64                                     // sum over all slots
	// arrivals counts the new flows of a service with a rate for cold upstreams.
	arrivals arrivals
}

// count adds the data of a client's packet.
func (t *traffic) count(hash uint64, in *packet.Info) {
	slot := &t.slots[hash%trafficSlots]
	switch {
	case slot.flow == hash:
		slot.bytes += uint64(len(in.Payload))
		t.bytes += uint64(len(in.Payload))
	case in.First:
		if slot.flow == 0 {
			t.flows++
		}
		t.bytes += uint64(len(in.Payload)) - slot.bytes
		slot.flow, slot.bytes = hash, uint64(len(in.Payload))
	}
}

// perFlow returns the mean number of bytes per flow, or 0 while there are too few flows.
func (t *traffic) perFlow() uint64 {
	if t.flows < minTrafficFlows {
		return 0
	}
	return t.bytes / t.flows
}

// trafficOf returns the counts of a service. They are kept when the view changes.
func (r *Router) trafficOf(id packet.ServiceID) *traffic {
	t := r.traffic[id]
	if t == nil {
		t = &traffic{}
		r.traffic[id] = t
	}
	return t
}

// localCandidates returns the candidates in a failure domain.
func localCandidates(upstreams []Upstream, candidates []candidate, domain string) (out []candidate) {
	for _, c := range candidates {
		if upstreams[c.upstream].FailureDomain == domain {
			out = append(out, c)
		}
	}
	return out
}

// preferred returns the candidates for the first choice of a flow of the service without a usable hint.
func (r *Router) preferred(s *routedService, among *candidates) []candidate {
	if len(among.local) > 0 && s.traffic.perFlow() >= r.cfg.LocalAbove {
		return among.local
	}
	return among.all
}
