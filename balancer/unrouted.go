package balancer

import (
	"sync"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/route"
)

const (
	// maxRoutesAge is the age of the routes beyond which an address that is missing from them
	// is not treated as having no service, because newer routes may contain it. It is less
	// than the 3 s within which new routes must be active.
	maxRoutesAge = 2500 * time.Millisecond
	// peerConfirmationDelay is how much later than the read of the store the confirmation of a
	// peer may seem to be, because its age counts from its arrival. It is the time-out of a
	// control call.
	peerConfirmationDelay = time.Second
	// unroutedFlowLifetime is the time after which the record of a flow may be removed to make
	// room. Until then its client has retransmitted twice, at least every 1.6 s, since routes
	// that are regularly read were confirmed.
	unroutedFlowLifetime = maxRoutesAge + peerConfirmationDelay + 2*1600*time.Millisecond
	// maxUnroutedFlows bounds the recorded flows, to less than 1 MB. The packets of further flows are
	// dropped without a reset.
	maxUnroutedFlows = 1 << 14
)

// unroutedFlows records since when packets of flows without a route arrive. New routes are
// active at some balancers earlier than at others, so a flow may be open by routes that this
// balancer has not read. Only a read of the routes after a packet of the flow has arrived shows
// that the route is gone. It is safe for concurrent use.
type unroutedFlows struct {
	mu        sync.Mutex
	routes    *route.Document // the routes without these flows' addresses
	since     map[uint64]time.Duration
	expiredAt time.Duration // time of the last call of expire
}

// firstSeen returns when the first packet of the flow arrived under these routes. It returns now
// for a flow that cannot be recorded.
func (u *unroutedFlows) firstSeen(now time.Duration, routes *route.Document, k *packet.Key) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.routes != routes {
		u.routes, u.since = routes, make(map[uint64]time.Duration)
	}
	hash := k.Hash()
	if since, known := u.since[hash]; known {
		return since
	}
	// The lifetime of the entries also limits how often all of them are searched.
	if len(u.since) >= maxUnroutedFlows && now-u.expiredAt > unroutedFlowLifetime {
		u.expire(now)
	}
	if len(u.since) < maxUnroutedFlows {
		u.since[hash] = now
	}
	return now
}

func (u *unroutedFlows) expire(now time.Duration) {
	u.expiredAt = now
	for hash, since := range u.since {
		if now-since > unroutedFlowLifetime {
			delete(u.since, hash)
		}
	}
}

// mayReset reports whether a packet without a route may be answered with a reset, so that its
// client need not wait for its deadline. routes are the routes by which the packet was found to
// have none. They must be complete, the newest that this process knows, and recently confirmed. A packet
// of a flow that may be open, which is any but the original SYN, must also have arrived before
// the confirmation.
func (b *Balancer) mayReset(routes *route.Document, in *packet.Info) bool {
	if routes == nil || routes.Incomplete || b.routes.Active() != routes || b.routes.Age() >= maxRoutesAge {
		return false
	}
	if isOriginalSYN(in) {
		return true
	}
	since := b.unrouted.firstSeen(b.clock(), routes, &in.Key)
	return b.routes.ConfirmedAt()-peerConfirmationDelay > since
}
