package balancer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/daemon"
	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd"
)

// storeReaders is the number of balancers of a failure domain that watch the
// store; the others fetch the lists from peers. At the target scale, 14 failure
// domains then hold 28 watches.
const storeReaders = 2

// listReader keeps the balancer's lists up to date. Its fields are used by the
// timer only.
type listReader struct {
	store   store.Store // nil without store endpoints
	fetcher *daemon.ListFetcher
	cancel  context.CancelFunc // ends the watch; nil when this balancer has none
}

// openStore returns the client of the store, or nil without endpoints.
func openStore(cfg settings.Store) (store.Store, error) {
	if len(cfg.Endpoints) == 0 {
		return nil, nil
	}
	return etcd.New(etcd.Config{Endpoints: cfg.Endpoints, Timeout: cfg.TimeoutSeconds.Duration()})
}

// stepLists watches the store when it is this balancer's turn, and fetches newer
// lists from the peer that has announced them.
func (b *Balancer) stepLists() {
	var (
		known  int64
		peer   netip.AddrPort
		reader bool
	)
	b.members.Do(func(_ time.Duration, n *member.Node) {
		known, peer = n.Revision()
		reader = isStoreReader(n)
		if !peer.IsValid() || rand.IntN(2) == 0 {
			// The announcing process may itself wait for the lists, or be gone.
			peer = randomBalancer(n)
		}
	})
	b.reader.fetcher.Step(b.life.Context(), known, peer)
	b.watchStore(reader && b.reader.store != nil)
}

func (b *Balancer) watchStore(wanted bool) {
	if wanted == (b.reader.cancel != nil) {
		return
	}
	if !wanted {
		b.reader.cancel()
		b.reader.cancel = nil
		return
	}
	ctx, cancel := context.WithCancel(b.life.Context())
	b.reader.cancel = cancel
	failed := daemon.NewQuiet(b.log, b.clock, event.StoreFailed)
	b.life.Spawn(func() {
		b.lists.WatchStore(ctx, b.reader.store, func(err error) { failed.Log("error", err) })
	})
}

// isStoreReader reports whether this balancer is among the first of its failure
// domain's live balancers by name.
func isStoreReader(n *member.Node) bool {
	before := 0
	self := n.Self()
	for _, r := range n.Table().Balancers() {
		if r.FailureDomain == self.FailureDomain && !r.Gone() && r.Name < self.Name {
			before++
		}
	}
	return before < storeReaders
}

// randomBalancer returns the control address of another live balancer.
func randomBalancer(n *member.Node) netip.AddrPort {
	var live []netip.AddrPort
	for _, r := range n.Table().Balancers() {
		if !r.Gone() && r.Name != n.Self().Name {
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
