package flow

import (
	"math/bits"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// hintWays is the number of entries per set of the hint table.
const hintWays = 4

// hint records which agent owns a flow: learned from a hint that an agent sent, or assumed from the
// router's own decision, when the agent may not own the flow. A zero owner marks an unused entry.
type hint struct {
	hash     uint64
	owner    packet.AgentID
	holder   uint32 // the owner's Upstream.holder when the hint was stored
	lastUsed uint32 // time of last use, seconds since process start
	learned  bool   // sent by the owner; otherwise assumed
	waiting  bool   // the flow waits at the owner for a slot, or did when the hint was sent
	opening  bool   // assumed from a SYN, and not used by another packet since
	placed   bool   // assumed from a first packet
}

// hintTable is a set-associative cache of fixed size.
type hintTable struct {
	entries []hint
	mask    uint64 // selects a set
}

// newHintTable returns a table with room for at least capacity hints.
func newHintTable(capacity int) hintTable {
	if capacity <= 0 {
		return hintTable{}
	}
	sets := (capacity + hintWays - 1) / hintWays
	sets = 1 << bits.Len(uint(sets-1))
	return hintTable{entries: make([]hint, sets*hintWays), mask: uint64(sets - 1)}
}

func (t *hintTable) set(hash uint64) []hint {
	if t.entries == nil {
		return nil
	}
	i := (hash & t.mask) * hintWays
	return t.entries[i : i+hintWays]
}

// find returns the flow's hint, or nil.
func (t *hintTable) find(hash uint64) *hint {
	set := t.set(hash)
	for i := range set {
		if set[i].hash == hash && set[i].owner != 0 {
			return &set[i]
		}
	}
	return nil
}

// put stores a hint. It replaces the flow's previous hint, an unused entry, or the entry of
// the set that is to be evicted first.
func (t *hintTable) put(now time.Duration, h hint) {
	set := t.set(h.hash)
	if set == nil {
		return
	}
	h.lastUsed = seconds(now)
	victim := &set[0]
	for i := range set {
		e := &set[i]
		if e.hash == h.hash || e.owner == 0 {
			*e = h
			return
		}
		if e.evictBefore(victim) {
			victim = e
		}
	}
	*victim = h
}

// evictBefore orders entries for eviction: assumed hints first, because without one the ranking
// usually selects the same upstream, then the least recently used.
func (h *hint) evictBefore(other *hint) bool {
	if h.learned != other.learned {
		return !h.learned
	}
	return h.lastUsed < other.lastUsed
}

func seconds(d time.Duration) uint32 { return uint32(d / time.Second) }
