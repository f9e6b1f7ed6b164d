package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// maxUnlistedInboxes limits the number of agents that are not listed as peers yet and whose
// digests are kept.
const maxUnlistedInboxes = 1024

// pauseReadTime is the time after a pause of this process in which the packets that have arrived meanwhile are read:
// some step intervals. Until then, flows of which a packet waits seem idle.
const pauseReadTime = 500 * time.Millisecond

// Step runs the timers and returns the messages to send. Call it about once per second; more
// frequent calls reduce the delay of digests.
func (t *Table) Step(now time.Duration) []Message {
	if t.pausedSinceStep(now) {
		t.resumedAt = now
	}
	if now-t.resumedAt >= pauseReadTime {
		t.sweep(now)
	}
	t.expireWaiting(now)
	t.refuseExpired(now)
	t.expireOpenings(now)
	t.ownerRecords.expire(now)
	t.expireUnknownFlows(now)
	t.lost.expire(now)
	t.expireDenials(now)
	t.updateMeans(now)
	t.queueRemovals(now)
	t.noteStepGap(now)
	t.refillBudget(now)
	t.addLoads(now)
	t.addDigests(now)
	t.addResendRequests(now)
	t.addHandover(now)
	t.addKeptLists(now)
	return t.collect()
}

// refillBudget adds the digest budget for the time since the last step, limited to one
// second, so that a paused process does not send a burst.
func (t *Table) refillBudget(now time.Duration) {
	elapsed := min(now-t.lastStep, time.Second)
	t.lastStep = now
	t.digestBudget += int(elapsed * time.Duration(t.cfg.DigestRate) / time.Second)
	t.digestBudget = min(t.digestBudget, t.cfg.DigestRate)
}

// messageTo returns the message that is being built for a peer.
func (t *Table) messageTo(p *peer) *Message {
	if p.message == nil {
		p.message = &Message{
			From: t.self.ID, To: p.ID, Incarnation: t.self.Incarnation, Start: t.self.Start,
			Complete: t.tableComplete(t.lastStep),
		}
	}
	return p.message
}

// addLoads sends this agent's load to a few random peers, or to all peers of a small service.
// An agent that does not accept flows sends none, since no flows are handed off to it.
func (t *Table) addLoads(now time.Duration) {
	if now-t.loadSent < t.cfg.LoadInterval || !t.accepts() {
		return
	}
	t.loadSent = now
	limit := t.limit(now)
	live := make([]*peer, 0, len(t.peers.list))
	for _, p := range t.peers.list {
		if p.acceptsFlows() {
			live = append(live, p)
		}
	}
	for i := range min(t.cfg.LoadPeers, len(live)) {
		j := i + t.rng.IntN(len(live)-i)
		live[i], live[j] = live[j], live[i]
		m := t.messageTo(live[i])
		m.HasLoad, m.Open, m.Limit = true, uint32(t.Open()), uint32(limit)
	}
}

// addDigests adds pending digest changes and checks within the budget.
func (t *Table) addDigests(now time.Duration) {
	n := len(t.peers.list)
	for i := range n {
		p := t.peers.list[(t.nextDigestPeer+i)%n]
		if p.State.Gone() || !p.outbox.due(now, t.cfg.DigestDelay, t.cfg.CheckInterval) {
			continue
		}
		if t.digestBudget <= 0 {
			t.nextDigestPeer = (t.nextDigestPeer + i) % n
			return
		}
		m := t.messageTo(p)
		t.digestBudget -= messageWire + p.outbox.take(now, m, t.digestBudget)
		p.outbox.check(now, t.cfg.CheckInterval, m)
	}
}

// addResendRequests asks peers whose digest has a mismatch to send the whole digest again.
func (t *Table) addResendRequests(now time.Duration) {
	for _, p := range t.peers.list {
		if !p.State.Gone() && p.inbox.needsResend(now, t.cfg.ResyncDelay) {
			p.inbox.resendRequested = now
			t.messageTo(p).Resync = true
		}
	}
}

// collect returns the messages built so far, in order of receiver.
func (t *Table) collect() []Message {
	var out []Message
	for _, p := range t.peers.list {
		if p.message != nil {
			out = append(out, *p.message)
			p.message = nil
		}
	}
	return out
}

// Handle processes a message from another agent. It ignores messages addressed to other
// agents.
func (t *Table) Handle(now time.Duration, m Message) {
	if m.To != t.self.ID || m.From == t.self.ID || m.From == 0 {
		return
	}
	p := t.peers.get(m.From)
	if p != nil {
		p.noteHeard(now)
	}
	if p != nil && m.HasLoad {
		p.load = loadReport{known: true, open: int(m.Open), limit: int(m.Limit)}
	}
	if p != nil && m.Resync {
		t.queueWholeDigest(now, p)
	}
	if p != nil {
		t.noteSuccessor(m.From, m.Incarnation)
		t.handleKept(m.From, m.Kept)
		t.handleRestored(m.From, m.Restored)
		t.keepLists(now, p, m.Keep)
		t.restoreLists(now, p, m.Return)
	}
	for i := range m.Suspects {
		t.receiveSuspect(now, &m.Suspects[i])
	}
	if m.Seq != 0 {
		t.receiveDigest(now, m.From, &m)
	}
}

func (t *Table) receiveDigest(now time.Duration, from packet.AgentID, m *Message) {
	if t.inboxes[from] == nil && len(t.inboxes) >= maxUnlistedInboxes+len(t.peers.list) {
		return
	}
	t.inbox(from).apply(now, m, t.digestRoom(), t.rebuildTime())
}

// HandleUndelivered is called when a message may not have reached its receiver. The next Steps
// send the receiver a new digest. Without this call the receiver detects the gap at
// the next message or check.
func (t *Table) HandleUndelivered(now time.Duration, m Message) {
	if p := t.peers.get(m.To); p != nil && m.Seq != 0 {
		t.queueWholeDigest(now, p)
	}
}
