package member

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/internal/rendezvous"
)

// hashedBalancers is a list of balancers with the hashes of their names, from which
// rank computes scores. The hashes are cached because every heartbeat needs them.
type hashedBalancers struct {
	records []Record
	hashes  []uint64
}

func (l *hashedBalancers) add(r Record) {
	l.records = append(l.records, r)
	l.hashes = append(l.hashes, nameHash(r.Name))
}

// rank returns the n balancers with the highest rendezvous-hash scores for a key,
// best first.
func (l *hashedBalancers) rank(key string, n int) []Record {
	best := make([]int, 0, n+1)
	scores := make([]uint64, 0, n+1)
	seed := nameHash(key)
	for i, h := range l.hashes {
		score := rendezvous.Score(seed, h)
		if len(best) == n && score <= scores[n-1] {
			continue
		}
		at := 0
		for at < len(scores) && scores[at] >= score {
			at++
		}
		best = slices.Insert(best, at, i)
		scores = slices.Insert(scores, at, score)
		best, scores = best[:min(len(best), n)], scores[:min(len(scores), n)]
	}
	out := make([]Record, len(best))
	for i, b := range best {
		out[i] = l.records[b]
	}
	return out
}

// homes returns the n live balancers that rank highest for an agent: its home balancers
// and, if n is larger than Config.Homes, spare ones. They are balancers of the agent's failure domain, or of any domain if the agent's
// domain has none.
func (t *Table) homes(name, domain string, n int) []Record {
	return t.domainBalancers(domain).rank(name, n)
}

func hashHomes(homes []netip.AddrPort) uint32 {
	var b []byte
	for _, a := range homes {
		b = a.AppendTo(b)
		b = append(b, ' ')
	}
	return uint32(xxhash.Sum64(b))
}
