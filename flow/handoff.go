package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// handoff records the agent to which this agent forwarded a flow's first packet.
type handoff struct {
	to    packet.AgentID
	until time.Duration
}

type handoffExpiry struct {
	hash  uint64
	until time.Duration
}

// handoffRecords stores hand-offs for a fixed time. All records have the same lifetime, so a
// queue in order of insertion is also in order of expiry.
type handoffRecords struct {
	lifetime time.Duration
	max      int
	byHash   map[uint64]handoff
	queue    []handoffExpiry
	head     int
}

func newHandoffRecords(lifetime time.Duration, max int) handoffRecords {
	return handoffRecords{lifetime: lifetime, max: max, byHash: make(map[uint64]handoff)}
}

func (m *handoffRecords) record(now time.Duration, hash uint64, to packet.AgentID) {
	m.expire(now)
	if len(m.queue)-m.head >= m.max {
		m.pop()
	}
	until := now + m.lifetime
	m.byHash[hash] = handoff{to: to, until: until}
	m.queue = append(m.queue, handoffExpiry{hash: hash, until: until})
}

// find returns the agent to which the flow was handed off, or 0.
func (m *handoffRecords) find(now time.Duration, hash uint64) packet.AgentID {
	h, found := m.byHash[hash]
	if !found || h.until <= now {
		return 0
	}
	return h.to
}

func (m *handoffRecords) forget(hash uint64) { delete(m.byHash, hash) }

func (m *handoffRecords) expire(now time.Duration) {
	for m.head < len(m.queue) && m.queue[m.head].until <= now {
		m.pop()
	}
	if m.head > 1024 && 2*m.head > len(m.queue) {
		m.queue = append(m.queue[:0], m.queue[m.head:]...)
		m.head = 0
	}
}

// pop drops the oldest record. The flow's hand-off stays if it has been renewed since.
func (m *handoffRecords) pop() {
	e := m.queue[m.head]
	m.head++
	if h, found := m.byHash[e.hash]; found && h.until == e.until {
		delete(m.byHash, e.hash)
	}
}
