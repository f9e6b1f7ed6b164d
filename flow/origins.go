package flow

import (
	"net/netip"
	"time"
)

// maxOrigins bounds the balancers that a table remembers.
const maxOrigins = 8

// originLifetime is how long a balancer is remembered after its last packet.
const originLifetime = 5 * time.Second

// origins remembers the balancers from which first packets arrived last. When a
// flow is displaced, all of them will send its packets to the wrong agent, and
// one hint to each now replaces a detour and a hint for each later.
type origins struct {
	addr   [maxOrigins]netip.AddrPort
	seen   [maxOrigins]time.Duration
	result [maxOrigins]netip.AddrPort
}

// note records a packet from a balancer in place of the one seen longest ago.
func (o *origins) note(now time.Duration, from netip.AddrPort) {
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

// others returns up to n recent balancers but one. The result is valid until the
// next call.
func (o *origins) others(now time.Duration, n int, but netip.AddrPort) []netip.AddrPort {
	found := 0
	for i, a := range o.addr {
		if found < n && a.IsValid() && a != but && now-o.seen[i] < originLifetime {
			o.result[found] = a
			found++
		}
	}
	return o.result[:found]
}
