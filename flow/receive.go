package flow

import (
	"fmt"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Receive decides on a packet that this agent received with the header h. For Forward it
// updates h for the next agent.
func (t *Table) Receive(now time.Duration, h *packet.Header, in *packet.Info) Action {
	if h.Service != t.service {
		return t.drop(ReasonWrongService)
	}
	if h.HasVisited(t.self.ID) || !validPath(h) {
		return t.drop(ReasonBadPath)
	}
	hash := in.Key.Hash()
	e := t.flows.find(hash, &in.Key)
	if e == nil {
		return t.receiveUnowned(now, hash, h, in)
	}
	late, removed := t.mayBeReused(now, e, in), Closed
	switch {
	case late && e.isReused(now, in):
		removed = PortsReused
	case opensTCP(in) && e.isLateCopy(in) && (late || e.isOpen()):
		return t.drop(ReasonLateCopy)
	case t.isOpenElsewhere(e, in):
		removed = OpenElsewhere
	default:
		e.notePriority(h.Class.Priority())
		t.processClientPacket(now, e, in)
		return t.deliver(now, h, e)
	}
	t.removeFlow(now, hash, in, removed)
	return t.receiveUnowned(now, hash, h, in)
}

// receiveUnowned decides on a received packet of a flow that is not in the table.
func (t *Table) receiveUnowned(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) Action {
	// This copy of the first packet must not open the flow elsewhere while it may be admitted
	// here.
	if t.waiting.noteCopy(in) {
		return t.drop(ReasonWaiting)
	}
	if a, done := t.forwardToOwner(now, hash, h, in); done {
		return a
	}
	if in.First {
		return t.receiveFirst(now, hash, h, in)
	}
	if t.lost.has(now, hash) && t.lost.mayBeOf(hash, in) && !t.lost.mayBeElsewhere(now, hash, h) {
		return t.resetLost(now, hash, in)
	}
	t.noteArrival(now, hash, h, in)
	if a, done := t.probeUpstream(now, hash, h, in); done {
		return a
	}
	return t.forwardUnknown(now, hash, h, in)
}

// forwardUnknown decides on a packet of a flow that this agent's upstream does not hold or is
// not known to hold.
func (t *Table) forwardUnknown(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) Action {
	if a, done := t.forwardToOwner(now, hash, h, in); done {
		return a
	}
	t.markSuspect(now, hash, h, in)
	p := t.nextPeerToProbe(now, hash, h)
	var a Action
	if p != nil {
		a = t.forwardExpected(h, p)
	} else {
		if a = t.forwardAlongRanking(now, hash, h); a.Kind == Forward {
			t.noteForwarded(now, hash, h, in, a.To)
		}
	}
	f := t.unknownFlows[hash]
	h.Tried = max(h.Tried, f.triedExcept(a.To))
	return a
}

// validPath reports whether agents can have written the header's path: distinct entries
// without a gap, no more entries than hops, and hops within the limit. The header comes from
// the network, so a violation is invalid input and leads to a drop, not a panic.
func validPath(h *packet.Header) bool {
	n := lastVisited(h) + 1
	if h.Hops > packet.MaxHops || n > int(h.Hops) {
		return false
	}
	for i, id := range h.Visited[:n] {
		if id == 0 || slices.Contains(h.Visited[:i], id) {
			return false
		}
	}
	return true
}

// forwardToOwner applies rule 3: a peer is known, with the reservations stated there, to own the
// flow.
func (t *Table) forwardToOwner(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) (Action, bool) {
	if h.Hops >= packet.MaxHops {
		return Action{}, false
	}
	p := t.likelyOwner(now, hash, h)
	// An owner record may stem from a hand-off, so only the digest shows that an evacuated peer has the flow.
	if p != nil && opensTCP(in) && (p.State == Failed || p.Evacuated && !p.inbox.contains(fingerprint(hash))) {
		// The flow will be placed on another agent, so its next packets must not go to p.
		t.ownerRecords.forget(hash)
		p = nil
	}
	if p == nil {
		return Action{}, false
	}
	h.Flags &^= packet.FlagReturnIfUnknown | packet.FlagReturned
	a := t.forwardExpected(h, p)
	a.OwnerKnown = true
	return a, true
}

// lastResort reports whether this agent, in state Starting, may accept a flow that no other
// agent accepts: its upstream returns the packets of flows that it does not accept.
func (t *Table) lastResort() bool {
	return t.cfg.Rebuild > 0 && t.self.State == Starting && !t.self.Evacuated && len(t.flows.entries) < t.cfg.MaxFlows
}

// opensTCP reports whether the packet is a SYN. Its client has no connection yet, so a SYN
// whose upstream has failed is placed anew. Other packets still go to the failed upstream, in
// case it was marked as failed by mistake.
func opensTCP(in *packet.Info) bool {
	return in.First && in.Key.Proto == packet.ProtoTCP
}

// likelyOwner returns the unvisited peer that owns the flow according to its digest or to the
// recorded owner, or nil. It renews the record of an owner that has not failed.
func (t *Table) likelyOwner(now time.Duration, hash uint64, h *packet.Header) *peer {
	if p := t.ownerByDigest(fingerprint(hash), h); p != nil {
		return p
	}
	id := t.ownerRecords.find(now, hash)
	p := t.peers.get(id)
	if id == 0 || p == nil || p.State == Leaving || h.HasVisited(id) {
		return nil
	}
	if p.State != Failed {
		t.ownerRecords.record(now, hash, id)
	}
	return p
}

func (t *Table) ownerByDigest(fp uint32, h *packet.Header) *peer {
	if *t.filter.slot(fp) == 0 {
		return nil
	}
	for _, p := range t.peers.list {
		if p.inbox.contains(fp) && p.State != Leaving && !h.HasVisited(p.ID) {
			return p
		}
	}
	return nil
}

// receiveFirst applies rule 4: the packet may open a flow.
func (t *Table) receiveFirst(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) Action {
	if p := t.offeringPeer(h); p != nil {
		return t.declineOffer(now, hash, h, p)
	}
	t.recentBalancers.record(now, h.Origin)
	h.Flags &^= packet.FlagReturnIfUnknown
	// Numbered SYNs are not offered: the original, number 0, belongs to no existing flow, and a
	// later copy was sent because the agent that received an earlier one has not answered, so it
	// must not go to that agent.
	if p := t.possibleOwner(now, hash, h); p != nil && !in.Numbered {
		return t.offer(h, p)
	}
	next := t.nextChoice(hash, h)
	if t.shouldAccept(now, h.Hops, next) {
		if t.cfg.Gate != nil {
			return t.gate(now, hash, h, in, next)
		}
		return t.acceptIfAdmitted(now, hash, h, firstPacketOf(in))
	}
	if next == nil && t.lastResort() && !t.hasRoom(now) {
		return t.refuse(in, ReasonCold)
	}
	if next == nil && t.lastResort() {
		return t.acceptIfAdmitted(now, hash, h, firstPacketOf(in))
	}
	if next == nil {
		return t.refuseUnplaced(opensTCP(in) && in.Repeat == 0)
	}
	next.load.open++
	h.Flags &^= packet.FlagReturned
	return t.handOff(now, hash, h, next)
}

// handOff forwards a first packet to a peer that is to accept its flow.
func (t *Table) handOff(now time.Duration, hash uint64, h *packet.Header, next *peer) Action {
	t.ownerRecords.record(now, hash, next.ID)
	t.counters.HandedOff++
	a := t.forward(h, next)
	if t.self.Evacuated {
		t.counters.EvacuatedHandedOff++
		a.Reason = ReasonEvacuated
	}
	return a
}

// possibleOwner returns a peer that may already own the flow without this agent's knowledge: the
// flow's first choice in this agent's view or, in the settling time after a change, in another
// view. It returns nil if no upstream has been added or has changed its state within the settling
// time and this agent is the first choice. If it is not, the balancer may have received a change
// earlier than this agent.
func (t *Table) possibleOwner(now time.Duration, hash uint64, h *packet.Header) *peer {
	// An offer takes two hops, one to the peer and one back.
	if !t.accepts() || h.Hops+2 > packet.MaxHops {
		return nil
	}
	_, scoreToBeat := t.peers.best(hash, func(p *peer) bool { return p.acceptedFor(now, t.cfg.Settling) })
	ownScore := score(hash, t.seed)
	if t.selfSettled(now) {
		scoreToBeat = max(scoreToBeat, ownScore)
	}
	if now >= t.unsettledUntil && scoreToBeat == ownScore {
		return nil
	}
	p, _ := t.peers.best(hash, func(p *peer) bool {
		return p.mayBeSeenAccepting(now, t.cfg.Settling) && !p.State.Gone() && !p.Evacuated &&
			score(hash, p.seed) >= scoreToBeat && !h.HasVisited(p.ID)
	})
	return p
}

func (t *Table) selfSettled(now time.Duration) bool {
	return t.accepts() && (t.stateSince == never || now-t.stateSince >= t.cfg.Settling) && now-t.reopened >= t.cfg.Settling
}

// offer forwards a first packet to a peer that may already own the flow.
func (t *Table) offer(h *packet.Header, p *peer) Action {
	h.Flags = h.Flags&^packet.FlagReturned | packet.FlagReturnIfUnknown
	t.counters.Offered++
	return t.forward(h, p)
}

// offeringPeer returns the peer that offered the packet to this agent. It returns nil if the
// packet was not offered, can't be sent back or would go back to an evacuated peer. In that case this agent
// places the flow itself, and the peer finds it here when it offers the next packet.
func (t *Table) offeringPeer(h *packet.Header) *peer {
	i := lastVisited(h)
	if h.Flags&packet.FlagReturnIfUnknown == 0 || i < 0 || h.Hops >= packet.MaxHops {
		return nil
	}
	p := t.peers.get(h.Visited[i])
	if p != nil && p.Evacuated {
		return nil
	}
	return p
}

// declineOffer sends an offered packet back to the offering peer and removes that peer from the
// visited list, so that it may accept the flow. The peer will accept the flow or place it, so
// this agent forwards later packets of the flow to it.
func (t *Table) declineOffer(now time.Duration, hash uint64, h *packet.Header, offeringPeer *peer) Action {
	h.Visited[lastVisited(h)] = 0
	h.Flags = h.Flags&^packet.FlagReturnIfUnknown | packet.FlagReturned
	t.ownerRecords.record(now, hash, offeringPeer.ID)
	return t.forward(h, offeringPeer)
}

func lastVisited(h *packet.Header) int {
	for i := len(h.Visited) - 1; i >= 0; i-- {
		if h.Visited[i] != 0 {
			return i
		}
	}
	return -1
}

// nextChoice returns the highest-ranked accepting peer that the packet has not visited, a cold one only
// if there is no other. It returns nil if there is none or the packet has no hop left.
func (t *Table) nextChoice(hash uint64, h *packet.Header) *peer {
	if h.Hops >= packet.MaxHops {
		return nil
	}
	var p *peer
	if t.peers.anyCold {
		p, _ = t.peers.best(hash, func(p *peer) bool {
			return p.acceptsFlows() && !p.Cold && !h.HasVisited(p.ID)
		})
	}
	if p == nil {
		p, _ = t.peers.best(hash, func(p *peer) bool {
			return p.acceptsFlows() && !h.HasVisited(p.ID)
		})
	}
	return p
}

// forwardAlongRanking applies the last part of rule 5: the flow's owner is unknown. A flow so young
// that its fingerprint has not arrived yet is owned by an agent that has accepted flows recently,
// so the packet goes to such agents first. Agents that have been draining for longer have already
// sent their digests.
func (t *Table) forwardAlongRanking(now time.Duration, hash uint64, h *packet.Header) Action {
	if h.Hops >= packet.MaxHops {
		return t.drop(ReasonNoOwner)
	}
	p, _ := t.peers.best(hash, func(p *peer) bool {
		return p.mayBeSeenAccepting(now, t.cfg.Settling) && t.mayOwn(p) && !h.HasVisited(p.ID)
	})
	if p == nil {
		p, _ = t.peers.best(hash, func(p *peer) bool {
			return p.State != Starting && t.mayOwn(p) && !h.HasVisited(p.ID)
		})
	}
	// After a power failure all agents restart while their upstreams may still hold flows.
	if p == nil && t.cfg.Rebuild > 0 {
		p, _ = t.peers.best(hash, func(p *peer) bool { return p.State == Starting && !h.HasVisited(p.ID) })
	}
	if p == nil {
		return t.drop(ReasonNoOwner)
	}
	return t.forward(h, p)
}

// mayOwn reports whether the peer may own flows. If flows survive a restart of the agent, a
// failed peer may still own its flows, and their packets may go to no other upstream.
func (t *Table) mayOwn(p *peer) bool {
	return p.State != Leaving && (p.State != Failed || t.cfg.Rebuild > 0)
}

// forward adds this agent to the header's path. The checks hold by construction: a violation
// is a bug in this package, not invalid input.
func (t *Table) forward(h *packet.Header, p *peer) Action {
	if h.Hops >= packet.MaxHops {
		panic(fmt.Sprintf("flow: agent %08x forwards a packet beyond %d hops", t.self.ID, packet.MaxHops))
	}
	if p.ID == t.self.ID || h.HasVisited(p.ID) {
		panic(fmt.Sprintf("flow: agent %08x forwards a packet to agent %08x, which the packet has already visited", t.self.ID, p.ID))
	}
	slot := lastVisited(h) + 1
	if slot >= len(h.Visited) {
		panic(fmt.Sprintf("flow: agent %08x cannot extend the full visited list", t.self.ID))
	}
	h.Visited[slot] = t.self.ID
	h.Hops++
	h.Flags &^= packet.FlagExpected
	t.counters.Forwarded++
	return Action{Kind: Forward, To: p.ID, Addr: p.Addr}
}

// forwardExpected forwards the packet to an agent that owns or may own its flow.
func (t *Table) forwardExpected(h *packet.Header, p *peer) Action {
	a := t.forward(h, p)
	h.Flags |= packet.FlagExpected
	return a
}

// deliver passes the packet to the upstream. If the packet took a detour, the balancer is
// sent a hint.
func (t *Table) deliver(now time.Duration, h *packet.Header, e *entry) Action {
	if h.Service != t.service {
		panic(fmt.Sprintf("flow: agent %08x delivers a packet of service %016x to service %016x", t.self.ID, h.Service, t.service))
	}
	t.counters.Delivered++
	a := Action{Kind: Deliver}
	if h.Hops > 0 && !onlyOffered(h) {
		t.addHints(now, h, e, &a)
	}
	return a
}

// onlyOffered reports whether the balancer sent the packet to this agent directly and it has only
// been offered and sent back since. Each declined offer takes two hops and leaves one entry in
// Visited, the declining agent. Such a balancer needs no hint.
func onlyOffered(h *packet.Header) bool {
	return h.Flags&packet.FlagReturned != 0 && int(h.Hops) == 2*(lastVisited(h)+1)
}

// addHints adds hints for the packet's balancer and, with Rebuild, for the agents that have
// forwarded the packet, which would otherwise not know the flow's owner until the next digest.
// For a displaced flow, the first detoured packet adds hints for the other recent balancers
// too. Hints have no rate limit, because each missing hint costs another detour: in the flow
// benchmark, a limit of 96 per second increased both the detours and the control bytes.
func (t *Table) addHints(now time.Duration, h *packet.Header, e *entry, a *Action) {
	a.Hint = true
	also := t.extraHints[:0]
	if t.cfg.Rebuild > 0 {
		for _, id := range h.Visited {
			if p := t.peers.get(id); p != nil {
				also = append(also, p.Addr)
			}
		}
	}
	if e.target != 0 && e.flags&flagHinted == 0 {
		e.flags |= flagHinted
		also = append(also, t.recentBalancers.others(now, t.cfg.HintFanOut-1, h.Origin)...)
	}
	a.ExtraHints, t.extraHints = also, also
	t.counters.Hints += uint64(1 + len(also))
}

// HandleHint processes a peer's hint that it owns a flow.
func (t *Table) HandleHint(now time.Duration, k *packet.Key, owner packet.AgentID) {
	hash := k.Hash()
	if t.peers.get(owner) != nil && t.flows.find(hash, k) == nil {
		t.ownerRecords.record(now, hash, owner)
	}
}

func (t *Table) drop(r Reason) Action {
	t.counters.Dropped[r]++
	return Action{Kind: Drop, Reason: r}
}
