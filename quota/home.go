package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// homePeers is the number of peers above which idle tokens rest at their home.
// Among fewer peers a token is found with few asks anyway, and tokens that are
// spread out are not lost together with one VM.
const homePeers = 16

// usesHomes reports whether idle tokens rest at their home.
func (h *Holder) usesHomes(accepting []Party) bool { return len(accepting) > homePeers }

// homeScore ranks the holders of an account by rendezvous hashing. Tokens that
// nobody needs rest at the first of the ranking, the account's home, so that a
// holder that needs one finds it with one ask even when a small plan is spread
// over many agents.
func homeScore(a Account, id packet.AgentID) uint64 {
	var b [16]byte
	for i := range 8 {
		b[i] = byte(a.Customer >> (8 * i))
	}
	b[8] = byte(a.Kind)
	for i := range 4 {
		b[9+i] = byte(id >> (8 * i))
	}
	return xxhash.Sum64(b[:])
}

// rank orders parties by their score for the account, the home first.
func rank(a Account, parties []Party) []Party {
	ranked := slices.Clone(parties)
	slices.SortFunc(ranked, func(x, y Party) int {
		return cmp.Compare(homeScore(a, y.ID), homeScore(a, x.ID))
	})
	return ranked
}

// home returns the peer that ranks above this holder and all other peers, if any.
func (h *Holder) home(a Account, peers []Party) (Party, bool) {
	best, score := Party{}, homeScore(a, h.self.ID)
	for _, p := range peers {
		if s := homeScore(a, p.ID); s > score {
			best, score = p, s
		}
	}
	return best, best != Party{}
}
