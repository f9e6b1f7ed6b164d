package balancer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/route"
)

// stepRoutes reads the store's routes when it is this balancer's turn, and otherwise
// fetches newer ones from the process that announced them.
func (b *Balancer) stepRoutes() {
	var (
		known   int64
		source  netip.AddrPort
		checked time.Duration
		turn    int
	)
	// Read before the membership is locked: a new document is announced there while the
	// routes are locked.
	version, confirmed := b.routes.Version(), b.routes.ConfirmedAt()
	b.members.Do(func(_ time.Duration, n *member.Node) {
		known, source = n.Routes()
		if !source.IsValid() {
			source = randomBalancer(n)
		}
		n.SetRoutes(version, confirmed)
		checked = n.RoutesChecked()
		turn = storeReaderTurn(n)
	})
	b.routes.Step(b.life.Context(), turn, known, source)
	if version := b.routes.Version(); version > 0 && version >= known {
		b.routes.Confirm(checked)
	}
	b.followStore(known)
}

// followStore decides whether new flows are placed by the addresses that agents have
// learned from open flows. That is the last resort after a restart of all balancers while
// the store is away: without it nobody could connect until the store is back, and as long as
// it is away operators cannot change a route. A balancer that knows of a process with routes
// waits for them.
func (b *Balancer) followStore(known int64) {
	learned := known == 0 && b.routes.MissingAndUnreadable()
	if b.learnedOnly.Swap(learned) != learned {
		b.log.Log(event.RoutesUnreadable, "active", learned, "routes", b.routes.Version())
	}
}

// storeReaderTurn returns this balancer's position among those that read the store, -1
// when it is none of them. The readers are the first of each failure domain by name; the
// first ones of all domains come before the second ones, so that the loss of a domain
// takes few of those that come next.
func storeReaderTurn(n *member.Node) int {
	self := n.Self()
	round, found := 0, false
	rounds := make([][]string, storeReaders) // names by position in their domain
	domains := make(map[string]int)
	for _, r := range n.Table().Balancers() {
		at := domains[r.FailureDomain]
		if r.Gone() || at >= storeReaders {
			continue
		}
		domains[r.FailureDomain]++
		rounds[at] = append(rounds[at], r.Name)
		if r.Name == self.Name {
			round, found = at, true
		}
	}
	if !found {
		return -1
	}
	turn := slices.Index(rounds[round], self.Name)
	for _, names := range rounds[:round] {
		turn += len(names)
	}
	return turn
}

// routesInstalled spreads a new version and routes by it at once. The fabric sends packets
// to a balancer that has just started.
func (b *Balancer) routesInstalled(d *route.Document) {
	b.members.Do(func(_ time.Duration, n *member.Node) { n.SetRoutes(d.Version, 0) })
	b.wake.Wake()
}
