package daemon

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

// fetchRetry is the pause after a fetch from a peer that brought nothing newer.
const fetchRetry = 500 * time.Millisecond

// ListFetcher fetches lists from a peer whenever a newer revision is known to exist.
type ListFetcher struct {
	lists     *Lists
	transport Transport
	clock     Clock
	spawn     func(func())
	failed    func(netip.AddrPort, error)

	mu   sync.Mutex
	busy bool
	next time.Duration
}

// NewListFetcher returns a fetcher; spawn runs a fetch in the background and
// failed is told of each error.
func NewListFetcher(l *Lists, t Transport, clock Clock, spawn func(func()), failed func(netip.AddrPort, error)) *ListFetcher {
	return &ListFetcher{lists: l, transport: t, clock: clock, spawn: spawn, failed: failed}
}

// Step begins a fetch from the peer when the known revision is newer than the
// active one, no fetch is in progress and the pause after the last one is over.
func (f *ListFetcher) Step(ctx context.Context, known int64, peer netip.AddrPort) {
	if known <= f.lists.Revision() || !peer.IsValid() || !f.begin() {
		return
	}
	f.spawn(func() {
		err := f.lists.Update(ctx, PeerLists{Transport: f.transport, Control: peer})
		if err != nil {
			f.failed(peer, err)
		}
		f.end(f.lists.Revision() >= known)
	})
}

func (f *ListFetcher) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy || f.clock() < f.next {
		return false
	}
	f.busy = true
	return true
}

func (f *ListFetcher) end(done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy = false
	if !done {
		f.next = f.clock() + fetchRetry
	}
}
