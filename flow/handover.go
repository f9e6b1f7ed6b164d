package flow

import (
	"maps"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/internal/rendezvous"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// An agent that restarts beside its upstream starts with an empty table, while the upstream keeps its
// flows. Before a planned stop it therefore hands a list of them to a few peers, its keepers, and the
// keepers return the list to the agent's next process. A keeper that stops as well hands the lists that
// it keeps to others.

const (
	// handoverKeepers is the number of peers that are to keep a list: one may fail, or stop and not pass
	// it on, before the agent is back, and the list still counts as complete.
	handoverKeepers = 3
	// handoverRetryInterval is the time after which an unconfirmed list is sent again. A round trip
	// between failure domains takes a few milliseconds, and a busy agent answers within 100 ms.
	handoverRetryInterval = 250 * time.Millisecond
	// handoverAttempts is the number of times a list is sent to one keeper before another is chosen.
	handoverAttempts = 2
	// keptListRetention is how long a keeper keeps a list. The platform kills an agent 6 s after the stop
	// request, and a client's flow lives for at most a minute without being discarded.
	keptListRetention = MaxFlowAge
	// listWait is how long after its start an agent waits for the list of its predecessor before it probes
	// its upstream as a first choice. Keepers that are restarted meanwhile are back within two seconds.
	listWait = 2 * time.Second
	// maxKeptFlows limits the flows in all lists that an agent keeps for others.
	maxKeptFlows = 1 << 16
)

// FlowList lists the flows of an upstream. It is gob-encodable.
type FlowList struct {
	Owner       packet.AgentID // the agent beside the upstream
	Incarnation uint64         // of the agent process that wrote the list
	Version     uint32         // increases with each change of the list
	Start       uint64         // of the upstream; 0 when unknown
	// Complete says that the upstream held no other flows, and accepted none later, because only its
	// agent can pass it new ones.
	Complete bool
	// Quorum is the number of keepers that must return this version before it counts as complete: a keeper
	// may have missed a later one. 0, of an earlier version of this program, means 1.
	Quorum uint8
	// Keeper is the peer that has got this copy from the list's owner; 0 on the way there. Copies that it has
	// passed on to several others count once.
	Keeper   packet.AgentID
	Flows    []packet.Key
	HalfOpen []HalfOpenFlow
	Probed   []ProbedFlow
}

// HalfOpenFlow is a flow of which no packet has passed its agent that acknowledges the upstream's SYN+ACK:
// the client may open it at another upstream.
type HalfOpenFlow struct {
	Flow packet.Key
	Seq  uint32 // of the SYN+ACK; 0 if it has not passed
}

func (l *FlowList) len() int { return len(l.Flows) + len(l.HalfOpen) + len(l.Probed) }

// ListID identifies a FlowList.
type ListID struct {
	Owner       packet.AgentID
	Incarnation uint64
	Version     uint32
}

// keeper returns the peer that has got the list from its owner, where another one sends it on. A copy of an
// earlier version of this program does not name it.
func (l *FlowList) keeper(sender packet.AgentID) packet.AgentID {
	if l.Keeper != 0 {
		return l.Keeper
	}
	return sender
}

func (l *FlowList) id() ListID { return ListID{l.Owner, l.Incarnation, l.Version} }

// keptList is a list that this agent keeps for a peer.
type keptList struct {
	FlowList
	until     time.Duration
	successor uint64        // incarnation of the process to which the list is returned; 0: not started yet
	sentAt    time.Duration // when it was last sent to this process
}

// outgoingList is a list that a stopping agent hands to its keepers.
type outgoingList struct {
	FlowList
	sent      map[packet.AgentID]int // number of times that it was sent to a peer
	sentAt    time.Duration
	confirmed int // number of keepers that have it
	// outdated are the peers to which an earlier version was sent, and that have not confirmed this one.
	outdated map[packet.AgentID]bool
}

// restoredList describes the list that a keeper has returned to this agent.
type restoredList struct {
	incarnation, start uint64
	version            uint32
	complete           bool
	quorum             int
	returnedBy         map[packet.AgentID]bool // keepers that have returned this version
}

// isComplete reports whether the list names all flows that the upstream held.
func (r *restoredList) isComplete() bool { return r.complete && len(r.returnedBy) >= r.quorum }

// BeginHandover begins to hand this agent's flows, and the lists that it keeps for others, to other
// agents. Call it before a planned stop beside a running upstream, after SetState(AgentRestarting);
// the next Steps send the messages.
func (t *Table) BeginHandover(now time.Duration) {
	if t.cfg.Rebuild == 0 || t.handingOver {
		return
	}
	t.handingOver, t.stepDue = true, true
	own := FlowList{
		Owner: t.self.ID, Incarnation: t.self.Incarnation, Start: t.self.Start,
		Complete: t.knowsAllFlows() && !t.lost.anyUnconfirmed(now), Quorum: uint8(t.wantedKeepers()/2 + 1),
	}
	for i := range t.flows.entries {
		if e := &t.flows.entries[i]; e.handshake != handshakeDone {
			own.HalfOpen = append(own.HalfOpen, HalfOpenFlow{e.key, e.synAckSeq})
		} else {
			own.Flows = append(own.Flows, e.key)
		}
	}
	own.Probed = t.probedFlows()
	t.addOutgoing(own)
	for _, k := range t.kept {
		t.addOutgoing(k.FlowList)
	}
	t.kept = nil
}

func (t *Table) addOutgoing(l FlowList) {
	t.outgoing = append(t.outgoing, &outgoingList{FlowList: l, sent: map[packet.AgentID]int{}, sentAt: never, outdated: map[packet.AgentID]bool{}})
}

// amendHandover adds a flow to the list that is being handed over: the upstream holds it although the agent
// did not know it, so that it may hold others too.
func (t *Table) amendHandover(k *packet.Key) {
	if !t.handingOver {
		return
	}
	l := t.outgoing[0]
	l.Flows = append(l.Flows, *k)
	l.Version++
	l.Complete = false
	for id := range l.sent {
		l.outdated[id] = true
	}
	l.sent, l.sentAt, l.confirmed = map[packet.AgentID]int{}, never, 0
	t.stepDue = true
}

// HandoverDone reports whether this agent need not wait for its handover any longer: each list has as
// many keepers as there are peers to keep it, at most handoverKeepers, and too few peers have an outdated
// version to return it as complete.
func (t *Table) HandoverDone() bool {
	wanted := t.wantedKeepers()
	return !slices.ContainsFunc(t.outgoing, func(l *outgoingList) bool {
		return l.confirmed < wanted || len(l.outdated) >= max(int(l.Quorum), 1)
	})
}

// wantedKeepers returns the number of peers that are to keep a list.
func (t *Table) wantedKeepers() int { return min(handoverKeepers, len(t.possibleKeepers(t.self.ID))) }

// HandedOver returns the number of flows in this agent's own list and the number of its keepers.
func (t *Table) HandedOver() (flows, keepers int) {
	if len(t.outgoing) == 0 {
		return 0, 0
	}
	return t.outgoing[0].len(), t.outgoing[0].confirmed
}

// possibleKeepers returns the peers that run and are not about to stop, in the owner's order of
// preference: it begins with the highest-ranked peer of each other failure domain.
func (t *Table) possibleKeepers(owner packet.AgentID) []*peer {
	var ranked, out []*peer
	for _, p := range t.peers.list {
		if !p.State.Gone() && p.State != AgentRestarting && p.ID != owner {
			ranked = append(ranked, p)
		}
	}
	rank := rendezvous.Mix(uint64(owner))
	slices.SortFunc(ranked, func(a, b *peer) int {
		if score(rank, a.seed) > score(rank, b.seed) {
			return -1
		}
		return 1
	})
	domains := map[string]bool{t.self.FailureDomain: true}
	for _, p := range ranked {
		if !domains[p.FailureDomain] {
			domains[p.FailureDomain] = true
			out = append(out, p)
		}
	}
	for _, p := range ranked {
		if !slices.Contains(out, p) {
			out = append(out, p)
		}
	}
	return out
}

// addHandover adds the lists to the messages to their keepers.
func (t *Table) addHandover(now time.Duration) {
	for _, l := range t.outgoing {
		if l.confirmed >= handoverKeepers && len(l.outdated) == 0 || now-l.sentAt < handoverRetryInterval {
			continue
		}
		l.sentAt = now
		missing := handoverKeepers - l.confirmed
		for _, p := range t.possibleKeepers(l.Owner) {
			n := l.sent[p.ID]
			if l.outdated[p.ID] || missing > 0 && n >= 0 && n < handoverAttempts {
				l.sent[p.ID]++
				missing--
				m := t.messageTo(p)
				m.Keep = append(m.Keep, l.FlowList)
			}
		}
	}
}

// keepConfirmed is outgoingList.sent of a peer that has confirmed the list.
const keepConfirmed = -1

// handleKept records that a peer keeps lists of this agent.
func (t *Table) handleKept(from packet.AgentID, ids []ListID) {
	for _, l := range t.outgoing {
		if slices.Contains(ids, l.id()) && l.sent[from] > 0 {
			l.sent[from] = keepConfirmed
			l.confirmed++
			delete(l.outdated, from)
		}
	}
}

// keepLists stores lists for other agents and confirms them. An agent that is stopping keeps none.
func (t *Table) keepLists(now time.Duration, from *peer, lists []FlowList) {
	if t.handingOver || t.cfg.Rebuild == 0 {
		return
	}
	room := maxKeptFlows
	for _, k := range t.kept {
		room -= k.len()
	}
	for _, l := range lists {
		if l.Owner == t.self.ID || l.Owner == 0 || l.len() > room {
			continue
		}
		known := slices.IndexFunc(t.kept, func(k *keptList) bool { return k.Owner == l.Owner && k.Incarnation == l.Incarnation })
		if known >= 0 && t.kept[known].Version < l.Version {
			t.kept = slices.Delete(t.kept, known, known+1)
			known = -1
		}
		if known < 0 {
			room -= l.len()
			l.Keeper = l.keeper(t.self.ID)
			t.kept = append(t.kept, &keptList{FlowList: l, until: now + keptListRetention, sentAt: never})
			if p := t.peers.get(l.Owner); p != nil {
				t.noteSuccessor(p.ID, p.Incarnation)
			}
		}
		m := t.messageTo(from)
		m.Kept = append(m.Kept, l.id())
	}
	t.stepDue = true
}

// noteSuccessor records that a process of an agent runs. Lists of its earlier processes are returned to it.
func (t *Table) noteSuccessor(owner packet.AgentID, incarnation uint64) {
	for _, k := range t.kept {
		if k.Owner != owner || k.Incarnation == incarnation || k.successor == incarnation {
			continue
		}
		// The upstream may have accepted flows from the process in between.
		k.Complete = k.Complete && k.successor == 0
		k.successor, k.sentAt = incarnation, never
		t.stepDue = true
	}
}

// addKeptLists adds the lists that are due to the messages to their owners.
func (t *Table) addKeptLists(now time.Duration) {
	t.kept = slices.DeleteFunc(t.kept, func(k *keptList) bool {
		p := t.peers.get(k.Owner)
		return now >= k.until || p != nil && (p.State == Leaving || p.Start != 0 && k.Start != 0 && p.Start != k.Start)
	})
	for _, k := range t.kept {
		if p := t.peers.get(k.Owner); p != nil && k.successor != 0 && now-k.sentAt >= handoverRetryInterval {
			k.sentAt = now
			m := t.messageTo(p)
			m.Return = append(m.Return, k.FlowList)
		}
	}
}

// handleRestored forgets the lists that their owner has back.
func (t *Table) handleRestored(from packet.AgentID, ids []ListID) {
	t.kept = slices.DeleteFunc(t.kept, func(k *keptList) bool { return k.Owner == from && slices.Contains(ids, k.id()) })
}

// restoreLists adds the flows of this agent's earlier process to the table and confirms the lists. An
// upstream that does not hold a flow any more returns its next packet.
func (t *Table) restoreLists(now time.Duration, from *peer, lists []FlowList) {
	for i := range lists {
		l := &lists[i]
		if l.Owner != t.self.ID || l.Incarnation == t.self.Incarnation {
			continue
		}
		t.restore(now, from.ID, l)
		m := t.messageTo(from)
		m.Restored = append(m.Restored, l.id())
		t.stepDue = true
	}
}

func (t *Table) restore(now time.Duration, from packet.AgentID, l *FlowList) {
	known := t.restored.incarnation == l.Incarnation && t.restored.version >= l.Version
	if known && t.restored.version == l.Version && l.Complete && t.restored.returnedBy != nil {
		t.restored.returnedBy[l.keeper(from)] = true
		t.suspectsDue = true
	}
	if t.cfg.Rebuild == 0 || known || t.self.Start != 0 && l.Start != 0 && t.self.Start != l.Start {
		return
	}
	if !t.restored.complete || t.restored.incarnation == l.Incarnation || t.restored.incarnation != t.predecessor {
		t.restored = restoredList{
			incarnation: l.Incarnation, version: l.Version, start: l.Start, complete: l.Complete,
			quorum: int(l.Quorum), returnedBy: map[packet.AgentID]bool{l.keeper(from): true},
		}
	}
	for i := range l.Flows {
		// The upstream held the flow: if it ends, the flow is lost.
		if e := t.restoreFlow(now, &l.Flows[i]); e != nil {
			e.flags |= flagReplies
		}
	}
	for i := range l.HalfOpen {
		if e := t.restoreFlow(now, &l.HalfOpen[i].Flow); e != nil {
			e.flags |= flagReplies
			e.handshake, e.synAckSeq = handshakeRestored, l.HalfOpen[i].Seq
		}
	}
	for i := range l.Probed {
		t.restoreProbed(now, &l.Probed[i], l.Start != 0 && l.Start == t.self.Start)
	}
	t.suspectsDue = true
}

// restoreFlow adds a flow to the table unless the upstream is known not to hold it. It returns nil if the
// flow is not added.
func (t *Table) restoreFlow(now time.Duration, k *packet.Key) *entry {
	hash := k.Hash()
	if t.unknownFlows[hash].returned || t.lost.has(now, hash) || t.flows.find(hash, k) != nil {
		return nil
	}
	if len(t.flows.entries) >= t.cfg.MaxFlows {
		t.noteMissedFlow(now)
		return nil
	}
	t.counters.Restored++
	t.restoredTo[endpointKey{addr: k.Dst, port: k.DstPort, proto: k.Proto}] = *k
	return t.takeOwnership(now, hash, k)
}

// TakeRestored returns a restored flow of each address to which flows were restored since its last call.
func (t *Table) TakeRestored() []packet.Key {
	out := slices.Collect(maps.Values(t.restoredTo))
	clear(t.restoredTo)
	return out
}

// SetPredecessor sets the incarnation of the process of this agent before this one, as balancers know
// it; 0 when unknown. A list of another process does not name the flows that this process has passed to
// the upstream.
func (t *Table) SetPredecessor(incarnation uint64) { t.predecessor = incarnation }

// ExpectList records whether the predecessor has announced its stop, so that it has handed over its list.
func (t *Table) ExpectList(expected bool) { t.listExpected = expected }

// listMissing reports whether the list that this agent's predecessor has handed over has not arrived.
func (t *Table) listMissing() bool {
	arrived := t.restored.incarnation == t.predecessor && t.restored.complete == t.restored.isComplete()
	return t.listExpected && !arrived
}

// awaitsList reports whether the list of this agent's predecessor may still arrive.
func (t *Table) awaitsList(now time.Duration) bool {
	return t.listMissing() && now < t.rebuildStarted+listWait
}

// knowsAllFlows reports whether this agent has seen all flows of its upstream, or the list of its
// predecessor has named them.
func (t *Table) knowsAllFlows() bool {
	r := &t.restored
	return !t.missedFlows && (t.noEarlierFlows || r.isComplete() && r.start != 0 && r.start == t.self.Start && r.incarnation == t.predecessor)
}
