package member

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rank orders balancers for a key by rendezvous hashing and returns the first n.
func rank(key string, balancers []Record, n int) []Record {
	type scored struct {
		score uint64
		index int
	}
	best := make([]scored, 0, n+1)
	seed := nameHash(key)
	for i := range balancers {
		s := scored{mix(seed ^ nameHash(balancers[i].Name)), i}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
		})
		if at < n {
			best = slices.Insert(best, at, s)[:min(len(best)+1, n)]
		}
	}
	out := make([]Record, len(best))
	for i, s := range best {
		out[i] = balancers[s.index]
	}
	return out
}

// mix spreads the bits of x, so that names that differ little rank independently.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// homes returns the live balancers that an agent sends its heartbeats to: those
// of its failure domain, or any when the domain has none.
func (t *Table) homes(name, domain string, n int) []Record {
	return rank(name, t.domainBalancers(domain), n)
}

func hashHomes(homes []netip.AddrPort) uint32 {
	var b []byte
	for _, a := range homes {
		b = a.AppendTo(b)
		b = append(b, ' ')
	}
	return uint32(xxhash.Sum64(b))
}
