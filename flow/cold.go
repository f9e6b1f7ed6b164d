package flow

import (
	"math"
	"time"

	"github.com/nutmegtrack/nutmegtrack/internal/rendezvous"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// A cold upstream can handle only a limited rate of requests, which its agent enforces (load.Warmup). The router
// places the flows beyond this rate at warm upstreams, so that few are passed on or refused at the agent. It sees only
// some of the flows, and assumes that the other balancers see as many.

// arrivals measures the rate of new flows. Flows are counted by the second; the rate is that of a sliding second, with
// the flows of the second before taken as evenly distributed.
type arrivals struct {
	second            int64
	current, previous uint32
}

func (a *arrivals) advance(now time.Duration) {
	second := int64(now / time.Second)
	switch {
	case second <= a.second:
		return
	case second == a.second+1:
		a.previous = a.current
	default:
		a.previous = 0
	}
	a.second, a.current = second, 0
}

func (a *arrivals) note(now time.Duration) {
	a.advance(now)
	a.current++
}

// perSecond returns the rate of new flows.
func (a *arrivals) perSecond(now time.Duration) float64 {
	a.advance(now)
	elapsed := min(1, max(0, (now-time.Duration(a.second)*time.Second).Seconds()))
	return float64(a.current) + (1-elapsed)*float64(a.previous)
}

// SetBalancers sets the number of live balancers.
func (r *Router) SetBalancers(n int) { r.balancers = max(1, n) }

// coldSeed is the seed of the scores by which flows stay at a cold first choice. The ranking of the flow does
// not depend on it.
var coldSeed = rendezvous.Seed(math.MaxUint64)

// coldShare returns the share of flows with a cold first choice that stay there.
func (r *Router) coldShare(now time.Duration, s *routedService) float64 {
	natural := s.traffic.arrivals.perSecond(now) * float64(r.balancers) / float64(len(s.fresh.all))
	if natural <= s.warmupRate {
		return 1
	}
	return s.warmupRate / natural
}

// newFlowChoice is choice for the SYN of a flow of a service with cold upstreams.
func (r *Router) newFlowChoice(now time.Duration, s *routedService, hash uint64, in *packet.Info) *Upstream {
	// All routers decide alike while they measure the same rate.
	share := r.coldShare(now, s)
	stays := share >= 1 || float64(score(hash, coldSeed)) < share*math.MaxUint64
	among, all := r.preferred(s, &s.fresh), s.fresh.all
	first := s.best(hash, among, nil)
	if !stays {
		first = s.warmInstead(hash, among, first, nil)
	}
	if in.Repeat < firstRedirectedCopy || len(all) < 2 {
		return first
	}
	next := s.best(hash, all, first)
	if !stays {
		next = s.warmInstead(hash, all, next, first)
	}
	return next
}

// warmInstead returns the highest-ranked warm upstream instead of a cold one, if there is one: among the given
// candidates or else among all. It does not return the upstream except.
func (s *routedService) warmInstead(hash uint64, among []candidate, u, except *Upstream) *Upstream {
	if u == nil || !u.Cold {
		return u
	}
	if warm := s.bestWarm(hash, among, except); warm != nil {
		return warm
	}
	if warm := s.bestWarm(hash, s.fresh.all, except); warm != nil {
		return warm
	}
	return u
}

// bestWarm returns the highest-ranked warm candidate except one upstream, which may be nil.
func (s *routedService) bestWarm(hash uint64, among []candidate, except *Upstream) (found *Upstream) {
	var top uint64
	for _, c := range among {
		u := &s.upstreams[c.upstream]
		if u.Cold || u == except {
			continue
		}
		if v := score(hash, c.seed); found == nil || v > top {
			top, found = v, u
		}
	}
	return found
}

// anyCold reports whether a candidate is cold.
func (s *routedService) anyCold() bool {
	for _, c := range s.fresh.all {
		if s.upstreams[c.upstream].Cold {
			return true
		}
	}
	return false
}
