package flow

import (
	"net/netip"
	"time"
)

// maxRecentBalancers is the maximum number of recent balancers that a table records.
const maxRecentBalancers = 8

// recentBalancerLifetime is how long a balancer counts as recent after its last first packet.
const recentBalancerLifetime = 5 * time.Second

// recentBalancers records the balancers that sent the most recent first packets. Any of them may
// send packets of a displaced flow to an agent that does not own it. Sending one hint to each
// balancer at once avoids a detour, and a hint after it, per balancer.
type recentBalancers struct {
	addr   [maxRecentBalancers]netip.AddrPort
	seen   [maxRecentBalancers]time.Duration
	result [maxRecentBalancers]netip.AddrPort
}

// record notes that a balancer has sent a first packet. If maxRecentBalancers are recorded, it
// replaces the least recently seen one.
func (o *recentBalancers) record(now time.Duration, from netip.AddrPort) {
	if !from.IsValid() {
		return
	}
	oldest := 0
	for i := range o.addr {
		if o.addr[i] == from {
			o.seen[i] = now
			return
		}
		if !o.addr[i].IsValid() || (o.addr[oldest].IsValid() && o.seen[i] < o.seen[oldest]) {
			oldest = i
		}
	}
	o.addr[oldest], o.seen[oldest] = from, now
}

// others returns up to n recent balancers except one. The result is valid until the next
// call.
func (o *recentBalancers) others(now time.Duration, n int, except netip.AddrPort) []netip.AddrPort {
	found := 0
	for i, a := range o.addr {
		if found < n && a.IsValid() && a != except && now-o.seen[i] < recentBalancerLifetime {
			o.result[found] = a
			found++
		}
	}
	return o.result[:found]
}
