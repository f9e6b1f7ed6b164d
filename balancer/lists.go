package balancer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

// storeReadersPerDomain is the number of store readers in a failure domain, which are the
// balancers that watch the store; the other balancers fetch the lists from peers. At the
// target scale of 14 failure domains this makes 28 watches.
const storeReadersPerDomain = 2

// openStore returns the store client and a function that closes it. The client is nil
// if no endpoints are configured.
func (b *Balancer) openStore() (store.Store, func(), error) {
	cfg := b.cfg.Store
	if b.options.OpenStore != nil {
		return b.options.OpenStore(b.log, newStoreMetrics(b.registry).observe), func() {}, nil
	}
	if len(cfg.Endpoints) == 0 {
		return nil, func() {}, nil
	}
	c, err := etcd.New(etcd.Config{Endpoints: cfg.Endpoints, Timeout: cfg.TimeoutSeconds.Duration(), Log: b.log})
	if err != nil {
		return nil, nil, err
	}
	return c, c.Close, nil
}

// stepLists advances the reading of the lists. A store reader watches the store. Other
// balancers fetch newer lists from the process that announced them or from a random
// balancer, because the announcing process may not have received them yet or may have
// exited.
func (b *Balancer) stepLists() {
	var (
		known        int64
		source, peer netip.AddrPort
		storeReader  bool
	)
	b.members.Do(func(_ time.Duration, n *member.Node) {
		known, source = n.Revision()
		storeReader = isStoreReader(n)
		if known > b.lists.Revision() {
			peer = randomBalancer(n)
		}
	})
	b.lists.Step(b.lifecycle.Context(), storeReader, known, source, peer)
}

// isStoreReader reports whether this balancer is among the first storeReadersPerDomain
// live balancers of its failure domain, ordered by name.
func isStoreReader(n *member.Node) bool {
	before := 0
	self := n.Self()
	for _, r := range n.Table().LiveBalancers() {
		if r.FailureDomain == self.FailureDomain && r.Name < self.Name {
			before++
		}
	}
	return before < storeReadersPerDomain
}

// randomBalancer returns the control address of another live balancer selected at
// random, or the zero value if there is none.
func randomBalancer(n *member.Node) netip.AddrPort {
	var live []netip.AddrPort
	for _, r := range n.Table().LiveBalancers() {
		if r.Name != n.Self().Name {
			live = append(live, r.Control)
		}
	}
	if len(live) == 0 {
		return netip.AddrPort{}
	}
	return live[rand.IntN(len(live))]
}

func (b *Balancer) listsActivated(revision int64) {
	b.members.Do(func(_ time.Duration, n *member.Node) { n.SetRevision(revision) })
}
