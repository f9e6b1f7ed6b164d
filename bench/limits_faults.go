package bench

import (
	"net/netip"
	"time"
)

// faultInterval is the mean time between faults. A fault lasts half as long on average,
// so that two often overlap.
const faultInterval = 8 * time.Second

// scheduleFaults injects random faults at random intervals until the end of the run.
func (r *limitsRun) scheduleFaults() {
	wait := faultInterval/2 + time.Duration(r.rng.Int64N(int64(faultInterval)))
	r.net.After(netip.AddrPort{}, wait, func() {
		r.injectFault()
		r.scheduleFaults()
	})
}

func (r *limitsRun) injectFault() {
	agent := r.rng.IntN(r.o.Upstreams)
	length := time.Duration(r.rng.Int64N(int64(faultInterval)))
	switch r.rng.IntN(6) {
	case 0: // pause an agent
		r.paused[agent] = r.net.Now() + length
	case 1: // lose a VM, which a new one replaces at once
		r.restarts[agent]++
		r.paused[agent] = 0
		r.observer.agentLost(agent)
		r.admission.agentLost(agent)
	case 2: // partition an agent from one peer and from the grantor
		r.net.Cut(agentSegment(agent), "grantor")
		r.net.Cut(agentSegment(agent), agentSegment((agent+1)%r.o.Upstreams))
		r.net.After(netip.AddrPort{}, length, r.net.Heal)
	case 3: // lower a plan's limits while its connections are open
		customer := uint64(1 + r.rng.IntN(r.o.Customers))
		r.setLimit(customer, max(1, r.limits[2*(customer-1)].Tokens/2))
	case 4: // raise a plan's limits
		customer := uint64(1 + r.rng.IntN(r.o.Customers))
		r.setLimit(customer, r.limits[2*(customer-1)].Tokens+10)
	case 5: // stop the grantor; a successor takes over later
		if p, ok := r.admission.(*tokens); ok && p.grantor != nil {
			p.stopGrantor()
			r.net.After(netip.AddrPort{}, length, p.startGrantor)
		}
	}
}
