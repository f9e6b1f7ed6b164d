package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// ownerRecord records the agent that probably owns a flow: the agent to which this agent handed
// the flow off or whose offer it declined (that agent may not have accepted the flow), or the owner
// according to a hint or to an answer to an inquiry.
type ownerRecord struct {
	to    packet.AgentID
	until time.Duration
}

// ownerExpiry is an entry of the expiry queue; a flow has one for each renewal.
type ownerExpiry struct {
	hash  uint64
	until time.Duration
}

// ownerRecords stores the probable owners of flows. A record lasts for lifetime and may be
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

func (r *ownerRecords) record(now time.Duration, hash uint64, to packet.AgentID) {
	r.expire(now)
	if len(r.queue)-r.head >= r.max {
		r.pop()
	}
	until := now + r.lifetime
	r.byHash[hash] = ownerRecord{to: to, until: until}
	r.queue = append(r.queue, ownerExpiry{hash: hash, until: until})
}

// find returns the recorded owner of the flow, or 0.
func (r *ownerRecords) find(now time.Duration, hash uint64) packet.AgentID {
	rec, found := r.byHash[hash]
	if !found || rec.until <= now {
		return 0
	}
	return rec.to
}

func (r *ownerRecords) forget(hash uint64) { delete(r.byHash, hash) }

func (r *ownerRecords) expire(now time.Duration) {
	for r.head < len(r.queue) && r.queue[r.head].until <= now {
		r.pop()
	}
	if r.head > 1024 && 2*r.head > len(r.queue) {
		r.queue = append(r.queue[:0], r.queue[r.head:]...)
		r.head = 0
	}
}

// pop removes the oldest queue entry, and the flow's record unless it was renewed after that
// entry.
func (r *ownerRecords) pop() {
	e := r.queue[r.head]
	r.head++
	if rec, found := r.byHash[e.hash]; found && rec.until == e.until {
		delete(r.byHash, e.hash)
	}
}
