package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// removal is a fingerprint to withdraw from a peer that is no longer the flow's first choice.
type removal struct {
	at          time.Duration
	peer        packet.AgentID
	incarnation uint64 // of the peer
	generation  uint32 // of the digest sent to it
	fp          uint32
}

// removalQueue holds removals in order of time: all have the same delay.
type removalQueue struct {
	list []removal
	head int
}

func (q *removalQueue) push(r removal) { q.list = append(q.list, r) }

// pop returns the next due removal.
func (q *removalQueue) pop(now time.Duration) (removal, bool) {
	if q.head == len(q.list) || q.list[q.head].at > now {
		q.compact()
		return removal{}, false
	}
	q.head++
	return q.list[q.head-1], true
}

func (q *removalQueue) compact() {
	if q.head > 0 {
		q.list = append(q.list[:0], q.list[q.head:]...)
		q.head = 0
	}
}

// targets returns the upstreams that need the flow's fingerprint: target is its current first
// choice for packets of open flows, which may be evacuated, futureTarget its first choice once the starting upstreams are ready. Either is 0 for this
// agent or if there is none; futureTarget is also 0 if it equals target.
func (t *Table) targets(hash uint64) (target, futureTarget packet.AgentID) {
	target, targetScore := t.firstChoiceAmong(hash, State.Accepts)
	if targetScore == 0 {
		target, targetScore = t.firstChoiceAmong(hash, func(s State) bool { return !s.Gone() })
	}
	if !t.peers.anyStarting {
		return target, 0
	}
	futureTarget, futureTargetScore := t.firstChoiceAmong(hash, func(s State) bool { return s == Starting })
	if futureTargetScore <= targetScore {
		futureTarget = 0
	}
	return target, futureTarget
}

// firstChoiceAmong returns the highest-ranked upstream for which include is true, with its score.
// The ID is zero for this agent or if there is none.
func (t *Table) firstChoiceAmong(hash uint64, include func(State) bool) (packet.AgentID, uint64) {
	var id packet.AgentID
	p, top := t.peers.best(hash, func(p *peer) bool { return include(p.State) })
	if p != nil {
		id = p.ID
	}
	own, state := score(hash, t.seed), t.self.State
	if t.accepts() {
		state = Ready
	}
	if include(state) && own > top {
		return 0, own
	}
	return id, top
}

// retargetAll recomputes the targets of all flows after a change of the fleet.
func (t *Table) retargetAll(now time.Duration) {
	for i := range t.flows.entries {
		t.retarget(now, &t.flows.entries[i])
	}
}

// retarget sends the flow's fingerprint to its new targets. Former targets keep it for the
// settling time, because balancers may still send them packets of the flow.
func (t *Table) retarget(now time.Duration, e *entry) {
	target, futureTarget := t.targets(e.hash)
	if target == e.target && futureTarget == e.futureTarget {
		return
	}
	fp := fingerprint(e.hash)
	for _, id := range [...]packet.AgentID{target, futureTarget} {
		if p := t.peers.get(id); p != nil && id != e.target && id != e.futureTarget {
			p.outbox.push(now, fp, false)
		}
	}
	for _, id := range [...]packet.AgentID{e.target, e.futureTarget} {
		if p := t.peers.get(id); p != nil && id != target && id != futureTarget {
			t.removals.push(removal{
				at: now + t.cfg.Settling, peer: id, incarnation: p.Incarnation, generation: p.outbox.generation, fp: fp,
			})
		}
	}
	e.target, e.futureTarget = target, futureTarget
	e.flags &^= flagHinted
}

// queueWholeDigest begins a new digest for a peer and queues all its fingerprints.
func (t *Table) queueWholeDigest(now time.Duration, p *peer) {
	p.outbox.beginDigest()
	for i := range t.flows.entries {
		e := &t.flows.entries[i]
		if e.target == p.ID || e.futureTarget == p.ID {
			p.outbox.push(now, fingerprint(e.hash), false)
		}
	}
}

// queueRemovals queues the due removals in the peers' outboxes. A removal from before the start of
// the current digest or of the peer is discarded: the new digest contains the fingerprint only if
// the peer is a target of the flow again.
func (t *Table) queueRemovals(now time.Duration) {
	for {
		r, due := t.removals.pop(now)
		if !due {
			return
		}
		if p := t.peers.get(r.peer); p != nil && p.Incarnation == r.incarnation && p.outbox.generation == r.generation {
			p.outbox.push(now, r.fp, true)
		}
	}
}

// digestRoom returns how many more fingerprints can be stored.
func (t *Table) digestRoom() int {
	room := t.cfg.MaxDigest
	for _, b := range t.inboxes {
		room -= int(b.count) + len(b.old)
	}
	return room
}
