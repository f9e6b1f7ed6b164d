package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// ownerRecord records the agent that probably owns a flow: the one to which this agent handed
// the flow off or declined its offer, which may not have accepted it, or the owner according to a
// hint or to an answer to an inquiry.
type ownerRecord struct {
	to    packet.AgentID
	until time.Duration
}

// ownerExpiry is an entry of the expiry queue; a flow has one for each renewal.
type ownerExpiry struct {
	hash  uint64
	until time.Duration
}

// ownerRecords stores the known owners of flows. A record lasts for lifetime and may be
// renewed. A renewal adds a queue entry, so the queue is in order of expiry. max limits the queue
// entries, not the records: renewals of one record can displace records of other flows.
type ownerRecords struct {
	lifetime time.Duration
	max      int
	byHash   map[uint64]ownerRecord
	queue    []ownerExpiry
	head     int
}

func newOwnerRecords(lifetime time.Duration, max int) ownerRecords {
	return ownerRecords{lifetime: lifetime, max: max, byHash: make(map[uint64]ownerRecord)}
}

func (m *ownerRecords) record(now time.Duration, hash uint64, to packet.AgentID) {
	m.expire(now)
	if len(m.queue)-m.head >= m.max {
		m.pop()
	}
	until := now + m.lifetime
	m.byHash[hash] = ownerRecord{to: to, until: until}
	m.queue = append(m.queue, ownerExpiry{hash: hash, until: until})
}

// find returns the recorded owner of the flow, or 0.
func (m *ownerRecords) find(now time.Duration, hash uint64) packet.AgentID {
	h, found := m.byHash[hash]
	if !found || h.until <= now {
		return 0
	}
	return h.to
}

func (m *ownerRecords) forget(hash uint64) { delete(m.byHash, hash) }

func (m *ownerRecords) expire(now time.Duration) {
	for m.head < len(m.queue) && m.queue[m.head].until <= now {
		m.pop()
	}
	if m.head > 1024 && 2*m.head > len(m.queue) {
		m.queue = append(m.queue[:0], m.queue[m.head:]...)
		m.head = 0
	}
}

// pop removes the oldest queue entry, and the flow's record unless it was renewed after that
// entry.
func (m *ownerRecords) pop() {
	e := m.queue[m.head]
	m.head++
	if h, found := m.byHash[e.hash]; found && h.until == e.until {
		delete(m.byHash, e.hash)
	}
}
