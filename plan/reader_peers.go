package plan

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// maxPeers is the maximum number of peers in a peerSet; a reader needs only one of them.
const maxPeers = 32

// peerState is what a reader has recorded about one peer.
type peerState struct {
	revision int64         // qualified
	retryAt  time.Duration // time before which no fetch is sent to it
}

type peerSet map[netip.AddrPort]peerState

// setRevision records the peer's revision. If there are more than maxPeers peers, it removes
// the one with the lowest revision.
func (p peerSet) setRevision(peer netip.AddrPort, revision int64) {
	state := p[peer]
	state.revision = revision
	p[peer] = state
	if len(p) > maxPeers {
		delete(p, p.sorted()[0])
	}
}

// postpone delays the next fetch from the peer.
func (p peerSet) postpone(peer netip.AddrPort, retryAt time.Duration) {
	if state, ok := p[peer]; ok {
		state.retryAt = retryAt
		p[peer] = state
	}
}

// sorted returns the peers sorted by ascending revision and then by address, so that
// runs with the same seed choose the same peers.
func (p peerSet) sorted() []netip.AddrPort {
	var peers []netip.AddrPort
	for peer := range p {
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b netip.AddrPort) int {
		return cmp.Or(cmp.Compare(p[a].revision, p[b].revision), a.Compare(b))
	})
	return peers
}

// choose returns a random peer among those with the highest revision. It considers only
// peers whose revision is greater than above and whose retry time has passed.
func (p peerSet) choose(now time.Duration, above int64, rng *rand.Rand) (netip.AddrPort, bool) {
	var best []netip.AddrPort
	for _, peer := range p.sorted() {
		state := p[peer]
		if state.revision <= above || state.retryAt > now {
			continue
		}
		if len(best) > 0 && state.revision > p[best[0]].revision {
			best = best[:0]
		}
		best = append(best, peer)
	}
	if len(best) == 0 {
		return netip.AddrPort{}, false
	}
	return best[rng.IntN(len(best))], true
}
