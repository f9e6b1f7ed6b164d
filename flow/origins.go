package flow

import (
	"net/netip"
	"time"
)

// maxOrigins is the maximum number of recent balancers that a table records.
const maxOrigins = 8

// originLifetime is how long a balancer counts as recent after its last packet.
const originLifetime = 5 * time.Second

// origins records the balancers that sent the most recent first packets. When a flow is
// displaced, all of them will send its packets to the wrong agent, and one hint to each now
// saves a detour and a hint for each later.
type origins struct {
	addr   [maxOrigins]netip.AddrPort
	seen   [maxOrigins]time.Duration
	result [maxOrigins]netip.AddrPort
}

// record stores a packet from a balancer. If the table is full, it replaces the least recently
// seen balancer.
func (o *origins) record(now time.Duration, from netip.AddrPort) {
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
func (o *origins) others(now time.Duration, n int, except netip.AddrPort) []netip.AddrPort {
	found := 0
	for i, a := range o.addr {
		if found < n && a.IsValid() && a != except && now-o.seen[i] < originLifetime {
			o.result[found] = a
			found++
		}
	}
	return o.result[:found]
}
