package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Bits of entry.flags.
const (
	flagClientFIN uint8 = 1 << iota
	flagServerFIN
	flagReplies      // replies of the flow pass this agent
	flagLingering    // closed: removed at entry.lingerEnd unless a SYN reopens it
	flagHinted       // the recent balancers were sent a hint
	flagBusy         // the upstream is processing a request of the flow
	flagOpening      // the first request is expected soon
	flagNoRequestYet // accepted, and no request has arrived yet
)

// handshake is the part of a TCP handshake that has passed this agent.
type handshake uint8

const (
	handshakeDone handshake = iota
	handshakeSYN            // a SYN, and no packet of the upstream
	handshakeHalf           // a SYN+ACK, which no packet of the client has acknowledged
	// handshakeRestored: unfinished when an earlier process of this agent wrote its list of flows; it may
	// have passed the rest afterwards.
	handshakeRestored
)

// opened reports whether a client may have opened the flow here.
func (h handshake) opened() bool { return h == handshakeDone || h == handshakeRestored }

// unproven reports whether the client may have opened the flow at another upstream.
func (h handshake) unproven() bool { return h == handshakeHalf || h == handshakeRestored }

// entry is one flow of the agent's upstream; 96 bytes.
type entry struct {
	key          packet.Key
	flags        uint8
	priority     uint8 // of the flow's requests; 0 is the highest
	hash         uint64
	lastSeen     uint32         // time of the last packet, seconds since process start
	lingerEnd    uint32         // time of removal of a lingering flow, milliseconds since process start
	target       packet.AgentID // first choice, which has the flow's fingerprint; 0: see Table.targets
	futureTarget packet.AgentID // first choice once starting upstreams are ready; 0: see Table.targets
	next         uint32         // sequence number after the client's last byte
	began        uint32         // start of the request, or with flagNoRequestYet the time of acceptance; milliseconds since process start
	synSeq       uint32         // sequence number of the SYN by which this agent accepted the flow; 0 if unknown
	synAckSeq    uint32         // sequence number of the upstream's last SYN+ACK
	check        uint8          // Table.check when the agent last passed a SYN, or the upstream the flow's first known packet
	handshake    handshake
	entered      uint32 // time at which the flow entered the table, milliseconds since process start
	// customer is the customer for which the flow was admitted.
	customer uint64
}

// flowStore keeps entries densely in a slice and finds them through an open-addressing index,
// which takes less memory than a map of keys.
type flowStore struct {
	entries []entry
	index   []uint32 // position in entries plus 1; 0: unused
}

const minIndex = 64

func newFlowStore() flowStore {
	return flowStore{index: make([]uint32, minIndex)}
}

func (s *flowStore) slot(hash uint64) uint32 {
	return uint32(hash) & uint32(len(s.index)-1)
}

func (s *flowStore) next(slot uint32) uint32 {
	return (slot + 1) & uint32(len(s.index)-1)
}

// find returns the flow's entry, or nil. The pointer is valid until the next
// insert or remove.
func (s *flowStore) find(hash uint64, k *packet.Key) *entry {
	if i, found := s.position(hash, k); found {
		return &s.entries[i]
	}
	return nil
}

// position returns the position of the flow's entry.
func (s *flowStore) position(hash uint64, k *packet.Key) (int, bool) {
	for i := s.slot(hash); s.index[i] != 0; i = s.next(i) {
		if e := &s.entries[s.index[i]-1]; e.hash == hash && e.key == *k {
			return int(s.index[i] - 1), true
		}
	}
	return 0, false
}

// findHash returns the entry of a flow with the hash, or nil.
func (s *flowStore) findHash(hash uint64) *entry {
	for i := s.slot(hash); s.index[i] != 0; i = s.next(i) {
		if e := &s.entries[s.index[i]-1]; e.hash == hash {
			return e
		}
	}
	return nil
}

// hasHash reports whether the store contains a flow with the hash.
func (s *flowStore) hasHash(hash uint64) bool { return s.findHash(hash) != nil }

// insert adds a flow that the store does not contain.
func (s *flowStore) insert(now time.Duration, hash uint64, k *packet.Key) *entry {
	if 2*(len(s.entries)+1) > len(s.index) {
		s.grow()
	}
	s.entries = append(s.entries, entry{key: *k, hash: hash, lastSeen: seconds(now), entered: milliseconds(now)})
	s.place(len(s.entries) - 1)
	return &s.entries[len(s.entries)-1]
}

func (s *flowStore) place(position int) {
	i := s.slot(s.entries[position].hash)
	for s.index[i] != 0 {
		i = s.next(i)
	}
	s.index[i] = uint32(position + 1)
}

func (s *flowStore) grow() {
	s.index = make([]uint32, 2*len(s.index))
	for i := range s.entries {
		s.place(i)
	}
}

// remove deletes the entry at a position and moves the last entry there.
func (s *flowStore) remove(position int) {
	s.unplace(position)
	last := len(s.entries) - 1
	if position != last {
		s.unplace(last)
		s.entries[position] = s.entries[last]
		s.place(position)
	}
	s.entries = s.entries[:last]
}

// unplace clears the index slot of an entry and closes the gap in its probe sequence.
func (s *flowStore) unplace(position int) {
	gap := s.slot(s.entries[position].hash)
	for s.index[gap] != uint32(position+1) {
		gap = s.next(gap)
	}
	mask := uint32(len(s.index) - 1)
	for i := s.next(gap); s.index[i] != 0; i = s.next(i) {
		home := s.slot(s.entries[s.index[i]-1].hash)
		if (i-home)&mask >= (i-gap)&mask {
			s.index[gap] = s.index[i]
			gap = i
		}
	}
	s.index[gap] = 0
}
