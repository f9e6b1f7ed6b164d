package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// maxPeersWithoutHome is the number of peers above which idle tokens are kept at
// their home. With fewer peers a token is found with few requests anyway, and
// tokens that are spread over the holders are not all lost when one VM fails.
const maxPeersWithoutHome = 16

// usesHomes reports whether idle tokens are kept at their home.
func (h *Holder) usesHomes(accepting []Party) bool { return len(accepting) > maxPeersWithoutHome }

// homeScore returns the score of a holder in the rendezvous hashing of an account.
// Tokens without demand are kept at the holder with the highest score, the
// account's home, so that a holder that needs one finds it with one request even
// if a small limit is divided among many agents.
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

// byHomeScore returns the parties in the order of their scores for the account, the
// home first.
func byHomeScore(a Account, parties []Party) []Party {
	ranked := slices.Clone(parties)
	slices.SortFunc(ranked, func(x, y Party) int {
		return cmp.Compare(homeScore(a, y.ID), homeScore(a, x.ID))
	})
	return ranked
}

// home returns the account's home, or false if that is this holder.
func (h *Holder) home(a Account, peers []Party) (Party, bool) {
	best, score := Party{}, homeScore(a, h.self.ID)
	for _, p := range peers {
		if s := homeScore(a, p.ID); s > score {
			best, score = p, s
		}
	}
	return best, best != Party{}
}
