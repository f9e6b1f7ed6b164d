package plan

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// maxPeers bounds how many peers a reader remembers; any one of them is enough.
const maxPeers = 32

// peerState is what a reader knows of one peer.
type peerState struct {
	revision int64
	retry    time.Duration // before which it is not asked again
}

type peerSet map[netip.AddrPort]peerState

// heard keeps the peer's revision. When there are too many peers the one with the
// lowest revision is forgotten.
func (p peerSet) heard(peer netip.AddrPort, revision int64) {
	state := p[peer]
	state.revision = revision
	p[peer] = state
	if len(p) > maxPeers {
		delete(p, p.sorted()[0])
	}
}

// failed postpones the next question to the peer.
func (p peerSet) failed(peer netip.AddrPort, retry time.Duration) {
	if state, ok := p[peer]; ok {
		state.retry = retry
		p[peer] = state
	}
}

// sorted returns the peers by revision, the lowest first, and then by address, so
// that runs with the same seed choose the same peers.
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

// choose returns a random one of the peers with the highest revision above the given
// one that may be asked now.
func (p peerSet) choose(now time.Duration, above int64, rng *rand.Rand) (netip.AddrPort, bool) {
	var best []netip.AddrPort
	for _, peer := range p.sorted() {
		state := p[peer]
		if state.revision <= above || state.retry > now {
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
