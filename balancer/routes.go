package balancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/route"
)

// stepRoutes passes the version of this balancer's routes to the membership node, takes
// the highest version known there, starts a fetch from a peer that has a newer version,
// and updates this balancer's position among the store readers. A version is confirmed when
// the store shows that it is the newest; knownConfirmedAt is when this last happened in any
// process for the version known.
func (b *Balancer) stepRoutes() {
	var (
		known            int64
		source           netip.AddrPort
		knownConfirmedAt time.Duration
		position         int
		fleetSize        int
	)
	// These are read before the membership is locked, because routesInstalled locks the
	// membership while the routes are locked.
	version, confirmedAt := b.routes.Version(), b.routes.ConfirmedAt()
	active := b.routes.Active()
	b.members.Do(func(_ time.Duration, n *member.Node) {
		known, source = n.Routes()
		if !source.IsValid() || b.routes.FetchFailed() {
			source = randomBalancer(n)
		}
		fleetSize = len(n.Table().LiveBalancers())
		n.SetRoutes(version, confirmedAt)
		if active != nil {
			n.SetIdleLimit(active.IdleTimeout)
			b.setWarmup(n, active)
		}
		knownConfirmedAt = n.RoutesChecked()
		position = storeReaderPosition(n)
	})
	b.routes.SetFleetSize(fleetSize)
	b.router.do(func(_ time.Duration, r *flow.Router) { r.SetBalancers(fleetSize) })
	b.routes.Step(b.lifecycle.Context(), position, known, source)
	if version := b.routes.Version(); version > 0 && version >= known {
		b.routes.Confirm(knownConfirmedAt)
	}
	b.updateLearnedAddressUse(known)
}

// setWarmup passes the rates of cold upstreams to the membership node if the active routes have changed.
func (b *Balancer) setWarmup(n *member.Node, active *route.Document) {
	if active == b.warmupFrom {
		return
	}
	b.warmupFrom = active
	n.ResetWarmup()
	for i := range active.Services {
		s := &active.Services[i]
		n.SetWarmup(s.Name, s.WarmupRate, s.Warmup)
	}
}

// updateLearnedAddressUse decides whether new flows are placed by learned addresses. This
// is the last resort if all balancers restart while the store is unavailable: without it
// no client could connect until the store is available again. Operators cannot change a
// route during that time, but may have changed it before. A balancer that knows of a
// process with routes waits for them.
func (b *Balancer) updateLearnedAddressUse(known int64) {
	learned := known == 0 && b.routes.MissingAndUnreadable()
	if b.useLearnedAddresses.Swap(learned) != learned {
		b.log.Log(event.RoutesUnreadable, "active", learned, "routes", b.routes.Version())
	}
}

// storeReaderPosition returns this balancer's position among the store readers, or -1 if
// it is not one of them. The store readers are the first live balancers of each failure
// domain by name. The first store readers of all domains precede the second ones, so that
// the failure of a domain removes few consecutive positions.
func storeReaderPosition(n *member.Node) int {
	self := n.Self()
	rank, found := 0, false
	byRank := make([][]string, storeReadersPerDomain) // names by rank in their domain
	domains := make(map[string]int)
	for _, r := range n.Table().LiveBalancers() {
		at := domains[r.FailureDomain]
		if at >= storeReadersPerDomain {
			continue
		}
		domains[r.FailureDomain]++
		byRank[at] = append(byRank[at], r.Name)
		if r.Name == self.Name {
			rank, found = at, true
		}
	}
	if !found {
		return -1
	}
	position := slices.Index(byRank[rank], self.Name)
	for _, names := range byRank[:rank] {
		position += len(names)
	}
	return position
}

// routesInstalled announces a new version of the routes and triggers a step that installs
// it in the router. It does not wait for the next tick, because the fabric already sends
// packets to a balancer that has just started.
func (b *Balancer) routesInstalled(d *route.Document) {
	b.members.Do(func(_ time.Duration, n *member.Node) { n.SetRoutes(d.Version, 0) })
	b.wake.Wake()
}
