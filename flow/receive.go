package flow

import (
	"fmt"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Receive decides what happens to a packet that arrived at this agent under the
// header. For Forward it updates the header, which then goes to the next agent.
func (t *Table) Receive(now time.Duration, h *packet.Header, in *packet.Info) Action {
	if h.Service != t.service {
		return t.drop(ReasonWrongService)
	}
	if h.HasVisited(t.self.ID) || !validPath(h) {
		return t.drop(ReasonBadPath)
	}
	hash := in.Key.Hash()
	if e := t.flows.find(hash, &in.Key); e != nil {
		t.refresh(now, e, in)
		return t.deliver(now, h, e)
	}
	// A second packet must not open the flow elsewhere while it may be admitted here.
	if t.waiting.holds(&in.Key) {
		return t.drop(ReasonWaiting)
	}
	if a, done := t.forwardToHolder(now, hash, h, in); done {
		return a
	}
	if in.First {
		return t.receiveFirst(now, hash, h, in)
	}
	if t.lost.has(now, hash) {
		return t.resetLost(in)
	}
	if a, done := t.try(now, hash, h, in); done {
		return a
	}
	return t.passOn(now, hash, h, in)
}

// passOn decides about a packet of a flow that this agent's upstream does not hold, or
// is not known to hold.
func (t *Table) passOn(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) Action {
	if a, done := t.forwardToHolder(now, hash, h, in); done {
		return a
	}
	if tr := t.trials[hash]; t.complete(now) || tr.returned {
		t.suspectLost(now, hash, h, in)
	}
	if p := t.askDoubtful(now, hash, h); p != nil {
		return t.forward(h, p)
	}
	return t.forwardAlongRanking(now, hash, h)
}

// validPath reports whether the header's path can have been written by agents:
// distinct entries without a gap, not more of them than hops, hops within the limit.
// The header comes from the network, so a violation is input to drop, not a fault.
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

// forwardToHolder applies rule 3: the flow is known to be held by a peer.
func (t *Table) forwardToHolder(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) (Action, bool) {
	if h.Hops >= packet.MaxHops {
		return Action{}, false
	}
	p := t.holder(now, hash, h)
	if p != nil && p.State == Failed && opensTCP(in) {
		// The flow will be elsewhere, so its next packets must not go to p.
		t.handoffs.forget(hash)
		p = nil
	}
	if p == nil {
		return Action{}, false
	}
	h.Flags &^= packet.FlagReturnIfUnknown | packet.FlagReturned
	a := t.forward(h, p)
	a.Known = true
	return a, true
}

// lastResort reports whether this agent takes flows although it is not ready: it has
// just started, nobody else accepts, and its upstream returns what it does not accept.
func (t *Table) lastResort() bool {
	return t.cfg.Rebuild > 0 && t.self.State == Starting && len(t.flows.entries) < t.cfg.MaxFlows
}

// opensTCP reports whether the packet is a SYN. Its client has no connection yet, so
// a SYN for a failed upstream is placed anew, where other packets still go there in
// case the upstream was marked failed by mistake.
func opensTCP(in *packet.Info) bool {
	return in.First && in.Key.Proto == packet.ProtoTCP
}

// holder returns the unvisited peer that holds the flow by its digest or by this
// agent's hand-off memory.
func (t *Table) holder(now time.Duration, hash uint64, h *packet.Header) *peer {
	if p := t.digestHolder(fingerprint(hash), h); p != nil {
		return p
	}
	id := t.handoffs.find(now, hash)
	p := t.peers.get(id)
	if id == 0 || p == nil || p.State == Leaving || h.HasVisited(id) {
		return nil
	}
	if p.State != Failed {
		t.handoffs.remember(now, hash, id)
	}
	return p
}

func (t *Table) digestHolder(fp uint32, h *packet.Header) *peer {
	if *t.filter.slot(fp) == 0 {
		return nil
	}
	for _, p := range t.peers.list {
		if p.in.holds(fp) && p.State != Leaving && !h.HasVisited(p.ID) {
			return p
		}
	}
	return nil
}

// receiveFirst applies rule 4: the packet may open a flow.
func (t *Table) receiveFirst(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) Action {
	if p := t.asker(h); p != nil {
		return t.giveBack(now, hash, h, p)
	}
	t.origins.note(now, h.Origin)
	h.Flags &^= packet.FlagReturnIfUnknown
	// The first copy of a SYN belongs to no older flow, and later copies must not go
	// back to an agent that has not answered.
	if p := t.previousOwner(now, hash, h); p != nil && !in.Numbered {
		return t.offer(h, p)
	}
	next := t.nextChoice(hash, h)
	if t.takes(now, h.Hops, next) {
		if t.cfg.Gate != nil {
			return t.gate(now, hash, h, in, next)
		}
		return t.admit(now, hash, h, &in.Key)
	}
	if next == nil && t.lastResort() {
		return t.admit(now, hash, h, &in.Key)
	}
	if next == nil {
		return t.drop(ReasonNoUpstream)
	}
	t.handoffs.remember(now, hash, next.ID)
	next.load.open++
	h.Flags &^= packet.FlagReturned
	t.counters.HandedOff++
	return t.forward(h, next)
}

// previousOwner returns a peer that may already hold the flow although this agent
// does not know it: one that is the flow's first choice in this agent's view or, in
// the settling time after a change, in another. An agent whose own view is settled
// and shows another first choice must ask too: the balancer may have learned of a
// change before it.
func (t *Table) previousOwner(now time.Duration, hash uint64, h *packet.Header) *peer {
	// An offer takes two hops, there and back.
	if !t.accepts() || h.Hops+2 > packet.MaxHops {
		return nil
	}
	_, floor := t.peers.best(hash, func(p *peer) bool { return p.settled(now, t.cfg.Settling) })
	own := score(hash, t.seed)
	if t.selfSettled(now) {
		floor = max(floor, own)
	}
	if now >= t.unsettled && floor == own {
		return nil
	}
	p, _ := t.peers.best(hash, func(p *peer) bool {
		return p.recent(now, t.cfg.Settling) && !p.State.Gone() &&
			score(hash, p.seed) >= floor && !h.HasVisited(p.ID)
	})
	return p
}

func (t *Table) selfSettled(now time.Duration) bool {
	return t.accepts() && (t.stateSince == never || now-t.stateSince >= t.cfg.Settling)
}

// offer sends a first packet to a possible previous owner.
func (t *Table) offer(h *packet.Header, p *peer) Action {
	h.Flags = h.Flags&^packet.FlagReturned | packet.FlagReturnIfUnknown
	t.counters.Offered++
	return t.forward(h, p)
}

// asker returns the peer that offered the packet to this agent, or nil when the
// packet was not offered or cannot be returned. In that case this agent places the
// flow itself, and the asker finds it here when it offers the next packet.
func (t *Table) asker(h *packet.Header) *peer {
	i := lastVisited(h)
	if h.Flags&packet.FlagReturnIfUnknown == 0 || i < 0 || h.Hops >= packet.MaxHops {
		return nil
	}
	return t.peers.get(h.Visited[i])
}

// giveBack returns an offered packet to the asker and takes that agent's entry out
// of the visited list, so that it may decide about the packet. The asker will take
// the flow or place it, so this agent sends later packets of the flow there.
func (t *Table) giveBack(now time.Duration, hash uint64, h *packet.Header, asker *peer) Action {
	h.Visited[lastVisited(h)] = 0
	h.Flags = h.Flags&^packet.FlagReturnIfUnknown | packet.FlagReturned
	t.handoffs.remember(now, hash, asker.ID)
	return t.forward(h, asker)
}

func lastVisited(h *packet.Header) int {
	for i := len(h.Visited) - 1; i >= 0; i-- {
		if h.Visited[i] != 0 {
			return i
		}
	}
	return -1
}

// nextChoice returns the highest-ranked accepting peer that the packet has not
// visited, or nil when there is none or the packet has no hop left.
func (t *Table) nextChoice(hash uint64, h *packet.Header) *peer {
	if h.Hops >= packet.MaxHops {
		return nil
	}
	p, _ := t.peers.best(hash, func(p *peer) bool {
		return p.State.Accepts() && !h.HasVisited(p.ID)
	})
	return p
}

// forwardAlongRanking applies rule 5: the packet belongs to a flow whose owner is
// not known. A flow too young for its digest to have arrived is held by an agent
// that accepted flows a moment ago, so these agents are tried first; agents that
// have been draining for longer have sent their digests.
func (t *Table) forwardAlongRanking(now time.Duration, hash uint64, h *packet.Header) Action {
	if h.Hops >= packet.MaxHops {
		return t.drop(ReasonNoOwner)
	}
	p, _ := t.peers.best(hash, func(p *peer) bool {
		return p.recent(now, t.cfg.Settling) && t.mayHold(p) && !h.HasVisited(p.ID)
	})
	if p == nil {
		p, _ = t.peers.best(hash, func(p *peer) bool {
			return p.State != Starting && t.mayHold(p) && !h.HasVisited(p.ID)
		})
	}
	// After a power failure all agents start anew beside upstreams that hold flows.
	if p == nil && t.cfg.Rebuild > 0 {
		p, _ = t.peers.best(hash, func(p *peer) bool { return p.State == Starting && !h.HasVisited(p.ID) })
	}
	if p == nil {
		return t.drop(ReasonNoOwner)
	}
	return t.forward(h, p)
}

// mayHold reports whether the peer may hold flows. Where flows survive a restart of
// the agent, a failed one may hold them still: its packets go there and nowhere else.
func (t *Table) mayHold(p *peer) bool {
	return p.State != Leaving && (p.State != Failed || t.cfg.Rebuild > 0)
}

// forward adds this agent to the header's path. The checks hold by construction:
// a failure is a fault of this package, not of the input.
func (t *Table) forward(h *packet.Header, p *peer) Action {
	if h.Hops >= packet.MaxHops {
		panic(fmt.Sprintf("flow: agent %08x forwards a packet beyond %d hops", t.self.ID, packet.MaxHops))
	}
	if p.ID == t.self.ID || h.HasVisited(p.ID) {
		panic(fmt.Sprintf("flow: agent %08x forwards a packet to agent %08x for the second time", t.self.ID, p.ID))
	}
	slot := lastVisited(h) + 1
	if slot >= len(h.Visited) {
		panic(fmt.Sprintf("flow: agent %08x finds no room in the visited list", t.self.ID))
	}
	h.Visited[slot] = t.self.ID
	h.Hops++
	t.counters.Forwarded++
	return Action{Kind: Forward, To: p.ID, Addr: p.Addr}
}

// deliver hands the packet to the upstream and, when it was detoured, tells the
// balancer where its flow is.
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

// onlyOffered reports whether the balancer sent the packet to this agent itself and
// all hops since were offers that came back: two hops for each agent visited. Such
// a balancer needs no hint.
func onlyOffered(h *packet.Header) bool {
	return h.Flags&packet.FlagReturned != 0 && int(h.Hops) == 2*(lastVisited(h)+1)
}

// addHints sends a hint to the packet's balancer and to the agents that have passed it
// on, which would otherwise not know where the flow is until they have the next digest.
// The first detoured packet of a flow that is away from its first choice tells the other
// recent balancers too. Hints have no rate limit: in the flow benchmark a limit of 96 a
// second raised both the detours and the control bytes, since each missing hint costs
// another detour.
func (t *Table) addHints(now time.Duration, h *packet.Header, e *entry, a *Action) {
	a.Hint = true
	also := t.hintAlso[:0]
	if t.cfg.Rebuild > 0 {
		for _, id := range h.Visited {
			if p := t.peers.get(id); p != nil {
				also = append(also, p.Addr)
			}
		}
	}
	if e.target != 0 && e.flags&flagHinted == 0 {
		e.flags |= flagHinted
		also = append(also, t.origins.others(now, t.cfg.HintFanOut-1, h.Origin)...)
	}
	a.HintAlso, t.hintAlso = also, also
	t.counters.Hints += uint64(1 + len(also))
}

// Told takes a peer's hint that it holds a flow.
func (t *Table) Told(now time.Duration, k *packet.Key, owner packet.AgentID) {
	hash := k.Hash()
	if t.peers.get(owner) != nil && t.flows.find(hash, k) == nil {
		t.handoffs.remember(now, hash, owner)
	}
}

func (t *Table) drop(r Reason) Action {
	t.counters.Dropped[r]++
	return Action{Kind: Drop, Reason: r}
}
