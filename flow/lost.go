package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// When an upstream ends, its flows are lost. A client that receives a reset at once can open
// a new flow, where it would otherwise wait until its deadline. A flow that some upstream
// still owns must never be reset, so an agent sends a reset only when it knows the flows of
// every upstream.

const (
	// peerListSettleTime is the time without an added or removed peer after which the list of
	// peers counts as complete. A push round takes 200 ms.
	peerListSettleTime = 250 * time.Millisecond
	// suspectTimeout is the time after which a flow without further packets is no longer
	// suspect.
	suspectTimeout = 5 * time.Second
	// peerSilenceTimeout is the time after which a peer that has sent no message counts as
	// absent. An agent restarts within a second.
	peerSilenceTimeout = 5 * time.Second
	// peerSilenceTimeoutNewUpstream replaces peerSilenceTimeout when the upstream has started
	// together with its agent, as after a power failure: then clients of all upstreams wait
	// on lost flows.
	peerSilenceTimeoutNewUpstream = time.Second
	// peerRestartTimeout is the time after which a restarting agent counts as absent together
	// with its upstream. A restart takes one or two seconds. The platform kills an agent that
	// has not stopped 6 s after the stop request.
	peerRestartTimeout = 8 * time.Second
	// maxProbedPeers is the maximum number of peers that a packet of an unknown flow is sent to,
	// which is the number that one packet can visit. With more such peers, agents wait until
	// they know their upstreams' flows.
	maxProbedPeers = packet.MaxHops
	// lostFlowRetention is how long a lost flow is recorded. Clients retransmit at least
	// every 1.6 s and time out after some seconds.
	lostFlowRetention = 20 * time.Second
)

// lostFlows records, by hash, the flows that were lost with the upstream.
type lostFlows struct {
	until map[uint64]time.Duration
	max   int
}

func newLostFlows(max int) lostFlows {
	return lostFlows{until: make(map[uint64]time.Duration), max: max}
}

func (l *lostFlows) record(now time.Duration, hash uint64) {
	if len(l.until) < l.max {
		l.until[hash] = now + lostFlowRetention
	}
}

func (l *lostFlows) has(now time.Duration, hash uint64) bool {
	if len(l.until) == 0 {
		return false
	}
	until, found := l.until[hash]
	return found && now < until
}

func (l *lostFlows) forget(hash uint64) { delete(l.until, hash) }

func (l *lostFlows) expire(now time.Duration) {
	for hash, until := range l.until {
		if now >= until {
			delete(l.until, hash)
		}
	}
}

// LostFlow is a flow that no upstream owns. Ack is the last acknowledgement number that its
// client sent.
type LostFlow struct {
	Key packet.Key
	Ack uint32
}

// markSuspect records that the upstream does not own the flow of a received packet.
func (t *Table) markSuspect(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) {
	// Only the flow's first choice receives the digest of the flow's owner.
	if !t.isFirstChoice(hash) {
		return
	}
	pr, known := t.probes[hash]
	if !known && len(t.probes) >= maxProbes {
		return
	}
	if !known || !pr.returned || now-pr.at >= suspectTimeout {
		pr = probe{at: now, returned: true, key: in.Key}
	}
	pr.ack, pr.mayRepeat = in.Ack, h.Class.Repeatable()
	t.addSuspect(hash, &pr)
	t.probes[hash] = pr
}

// Suspect is a message to another agent about a flow that may be lost.
type Suspect struct {
	Flow   LostFlow
	Passed uint8 // number of agents that have forwarded it
	// MayRepeat says that the flow's requests may run more than once.
	MayRepeat bool
}

// maxSuspectForwards limits how often a suspect is forwarded between agents with different
// views.
const maxSuspectForwards = 3

// forwardSuspect forwards a suspect flow to the flow's first choice. An agent that has just
// started regards itself as the first choice of all flows until it knows its peers, and the
// client may not retransmit its packet for seconds.
func (t *Table) forwardSuspect(to packet.AgentID, pr *probe) {
	p := t.peers.get(to)
	if p == nil || pr.forwards >= maxSuspectForwards {
		return
	}
	m := t.messageTo(p)
	m.Suspects = append(m.Suspects, Suspect{
		Flow: LostFlow{Key: pr.key, Ack: pr.ack}, Passed: pr.forwards + 1, MayRepeat: pr.mayRepeat,
	})
	t.stepDue = true
}

// receiveSuspect processes a suspect flow received from another agent.
func (t *Table) receiveSuspect(now time.Duration, s *Suspect) {
	hash := s.Flow.Key.Hash()
	if t.self.Start == 0 || !t.knowsAllFlows(now) || t.flows.find(hash, &s.Flow.Key) != nil {
		return
	}
	pr, known := t.probes[hash]
	if known && pr.suspected || !known && len(t.probes) >= maxProbes {
		return
	}
	if !known || !pr.returned || now-pr.at >= suspectTimeout {
		pr = probe{at: now, returned: true, key: s.Flow.Key}
	}
	pr.ack, pr.forwards, pr.mayRepeat = s.Flow.Ack, s.Passed, s.MayRepeat
	t.addSuspect(hash, &pr)
	t.probes[hash] = pr
}

// HasSuspects reports whether any flow is suspect.
func (t *Table) HasSuspects() bool { return len(t.suspected) > 0 }

// addSuspect adds a flow to the suspect flows unless it is one already.
func (t *Table) addSuspect(hash uint64, pr *probe) {
	if !pr.suspected {
		pr.suspected, pr.inquiry = true, 0
		t.suspected = append(t.suspected, hash)
		t.suspectsDue = true
	}
}

// collectLost removes and returns the flows that were found to be lost. Receive answers later
// packets of these flows with a reset.
func (t *Table) collectLost(now time.Duration) (out []LostFlow) {
	mayBeLost := t.canDeclareLost(now)
	notHeld := t.unownedFlows(now)
	kept := t.suspected[:0]
	for _, hash := range t.suspected {
		pr, known := t.probes[hash]
		switch {
		case !known || !pr.returned:
		case now-pr.at >= suspectTimeout || t.peerOwns(now, hash):
			pr.suspected = false
			t.probes[hash] = pr
		case t.peersKnown && !t.isFirstChoice(hash):
			to, _ := t.targets(hash)
			t.forwardSuspect(to, &pr)
			pr.suspected = false
			t.probes[hash] = pr
		case !mayBeLost || !notHeld[hash]:
			kept = append(kept, hash)
		default:
			delete(t.probes, hash)
			t.lost.record(now, hash)
			t.counters.Reset++
			out = append(out, LostFlow{Key: pr.key, Ack: pr.ack})
		}
	}
	t.suspected = kept
	return out
}

// peerOwns reports whether a peer is known to own the flow.
func (t *Table) peerOwns(now time.Duration, hash uint64) bool {
	return t.holder(now, hash, &packet.Header{}) != nil
}

// unownedFlows returns the flows that certainly no peer owns.
func (t *Table) unownedFlows(now time.Duration) map[uint64]bool {
	out := make(map[uint64]bool)
	for _, q := range t.inquiries {
		for i, notHeld := range t.notHeld(now, q) {
			out[q.flows[i]] = notHeld
		}
	}
	return out
}

// canDeclareLost reports whether this agent has enough information on its upstream and its
// peers to declare a flow lost.
func (t *Table) canDeclareLost(now time.Duration) bool {
	return t.cfg.Rebuild != 0 && t.self.Start != 0 && t.peersKnown && now-t.membersChanged >= peerListSettleTime
}

// isFirstChoice reports whether this agent is the flow's first choice.
func (t *Table) isFirstChoice(hash uint64) bool {
	target, _ := t.targets(hash)
	return target == 0
}

// peersWithUnknownFlows returns up to maxProbedPeers+1 peers that may own flows unknown to
// this agent, and whether there is such a peer whose agent is restarting. The list is valid
// until the next call.
func (t *Table) peersWithUnknownFlows(now time.Duration) (list []*peer, restarting bool) {
	list = t.unknownFlowPeers[:0]
	for _, p := range t.peers.list {
		switch {
		case p.flowsKnown(now) || t.isUnresponsive(now, p):
		case p.State == AgentRestarting:
			restarting = true
		case len(list) <= maxProbedPeers:
			list = append(list, p)
		}
	}
	t.unknownFlowPeers = list
	return list, restarting
}

// nextPeerToProbe returns the next peer from peersWithUnknownFlows to which a packet of an
// unknown flow is forwarded, or nil. A peer that owns the flow sends a hint. A peer that does
// not delivers the packet to its upstream, which returns it, and forwards it to the next
// peer. It can then answer inquiries about the flow. No reaction is not an answer, because
// the packet may have been lost.
func (t *Table) nextPeerToProbe(now time.Duration, hash uint64, h *packet.Header) *peer {
	if t.cfg.Rebuild == 0 || h.Hops >= packet.MaxHops {
		return nil
	}
	// Only the flow's first choice uses the answers.
	if first, _ := t.targets(hash); first != 0 && !h.HasVisited(first) {
		return nil
	}
	candidates, restarting := t.peersWithUnknownFlows(now)
	if restarting || len(candidates) > maxProbedPeers {
		return nil
	}
	for _, p := range candidates {
		if h.HasVisited(p.ID) || t.hasDenied(hash, p.ID) {
			continue
		}
		h.Flags |= packet.FlagTryAll
		return p
	}
	return nil
}

// flowsKnown reports whether the peer's digest is known to list all flows of its upstream
// whose first choice is this agent. An upstream that has ended owns no flows, nor does one
// whose agent has been restarting for much longer than a restart takes.
func (p *peer) flowsKnown(now time.Duration) bool {
	if p.State == AgentRestarting {
		return now-p.stateChanged >= peerRestartTimeout
	}
	return p.State.Gone() || p.in.coversAllFlows && p.in.verified
}

// isUnresponsive reports whether the peer has been in the list of peers for some time and has
// sent no message. A running agent sends its digest to each peer that starts, so the peer may
// be a VM that was removed before this agent started.
func (t *Table) isUnresponsive(now time.Duration, p *peer) bool {
	limit := peerSilenceTimeout
	if t.upstreamIsNew {
		limit = peerSilenceTimeoutNewUpstream
	}
	return p.State != AgentRestarting && p.in.incarnation != p.Incarnation && now-p.listedSince >= limit
}

// resetLost returns the action for a packet of a lost flow.
func (t *Table) resetLost(in *packet.Info) Action {
	if in.RST {
		return t.drop(ReasonFlowLost)
	}
	t.counters.Reset++
	return Action{Kind: Reset, Reason: ReasonFlowLost}
}
