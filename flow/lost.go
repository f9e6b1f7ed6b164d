package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// When an upstream ends, its flows are lost. A client that receives a reset at once can open
// a new flow, where it would otherwise wait until its deadline. A flow that some upstream
// still holds must never be reset, so an agent sends a reset only when no upstream can hold
// the flow, except those that count as absent by the time-outs below.

const (
	// peerListSettleTime is the time without an added or removed peer after which the list of
	// peers counts as complete. Balancers push changes of the membership every 200 ms, and one that
	// has restarted may answer an agent before it knows all upstreams.
	peerListSettleTime = 500 * time.Millisecond
	// suspectTimeout is the time from unknownFlow.at after which a flow is no longer suspect.
	// Further packets do not extend it; one that arrives later makes the flow suspect anew.
	suspectTimeout = 5 * time.Second
	// peerSilenceTimeout is how long a peer that nobody has marked as failed must be silent before it
	// counts as absent: its agent may be restarting without this process's knowledge.
	peerSilenceTimeout = AgentRestartTimeout
	// peerSilenceTimeoutAfterOutage replaces peerSilenceTimeout while the fleet starts together, as after
	// a power failure: then clients of all upstreams wait on lost flows. It does not apply to an agent
	// that has restarted since.
	peerSilenceTimeoutAfterOutage = time.Second
	// AgentRestartTimeout is the time after which a restarting agent counts as absent together
	// with its upstream. The platform kills an agent that has not stopped 6 s after the stop
	// request, and its next process takes two seconds, or ten on a VM that runs five times slower
	// than usual.
	AgentRestartTimeout = 20 * time.Second
	// lostFlowRetention is how long a flow is recorded that has ended with this agent's upstream. Clients
	// retransmit at least every 1.6 s and time out after some seconds.
	lostFlowRetention = 20 * time.Second
	// findingRetention replaces lostFlowRetention for a flow that an inquiry has found lost. It covers the packets
	// that were in flight when the client was sent the reset. The answers speak for the time of the inquiry, so
	// the agent asks again for later packets.
	findingRetention = 500 * time.Millisecond
	// unconfirmedLossRetention replaces lostFlowRetention for a flow that the upstream may hold. A
	// client's flow lives for at most a minute without being discarded.
	unconfirmedLossRetention = MaxFlowAge
)

// lostFlows records, by hash, flows that no upstream holds: they ended with this agent's
// upstream or were found to be lost.
type lostFlows struct {
	byHash map[uint64]lostFlow
	max    int
}

type lostFlow struct {
	at    time.Duration // when it was recorded
	until time.Duration
	cause LossCause
	// ack is an acknowledgement number that its client has sent, or the sequence number of the upstream's
	// SYN+ACK; 0 if unknown.
	ack uint32
	// unconfirmed says that the upstream's present process may hold the flow: it has started, and may
	// have accepted flows, before this agent learned of its start.
	unconfirmed bool
}

func newLostFlows(max int) lostFlows {
	return lostFlows{byHash: make(map[uint64]lostFlow), max: max}
}

func (l *lostFlows) record(now time.Duration, hash uint64, cause LossCause, ack uint32) {
	if len(l.byHash) < l.max {
		f := lostFlow{at: now, until: now + lostFlowRetention, cause: cause, ack: ack}
		switch cause {
		case UpstreamRestarted:
			f.unconfirmed, f.until = true, now+unconfirmedLossRetention
		case FoundLost:
			f.until = now + findingRetention
		}
		l.byHash[hash] = f
	}
}

// mayBeElsewhere reports whether a flow that is recorded as lost may be held by an upstream of another
// service, for a packet of which that is possible: the agents of this service only have denied it.
func (l *lostFlows) mayBeElsewhere(now time.Duration, hash uint64, h *packet.Header) bool {
	f, found := l.find(now, hash)
	return found && f.cause == FoundLost && h.Flags&packet.FlagShared != 0
}

// mayBeOf reports whether a client's packet with the hash of a lost flow may be of that flow. One that acknowledges
// what another upstream has sent is of a later flow with the same addresses and ports.
func (l *lostFlows) mayBeOf(hash uint64, in *packet.Info) bool {
	f := l.byHash[hash]
	return f.ack == 0 || in.Ack-f.ack+maxUnseenReply <= 2*maxUnseenReply
}

// has reports whether the flow is certainly lost.
func (l *lostFlows) has(now time.Duration, hash uint64) bool {
	f, found := l.find(now, hash)
	return found && !f.unconfirmed
}

// isUnconfirmed reports whether the flow is lost unless the upstream's present process holds it.
func (l *lostFlows) isUnconfirmed(now time.Duration, hash uint64) bool {
	f, found := l.find(now, hash)
	return found && f.unconfirmed
}

func (l *lostFlows) find(now time.Duration, hash uint64) (lostFlow, bool) {
	if len(l.byHash) == 0 {
		return lostFlow{}, false
	}
	f, found := l.byHash[hash]
	return f, found && now < f.until
}

// anyUnconfirmed reports whether the upstream's present process may hold a flow that is recorded as lost.
func (l *lostFlows) anyUnconfirmed(now time.Duration) bool {
	for _, f := range l.byHash {
		if f.unconfirmed && now < f.until {
			return true
		}
	}
	return false
}

// confirm records that the upstream's present process does not hold the flow either.
func (l *lostFlows) confirm(now time.Duration, hash uint64) {
	if f, found := l.byHash[hash]; found {
		f.unconfirmed, f.until = false, now+lostFlowRetention
		l.byHash[hash] = f
	}
}

// confirmStopped does the same for all flows, because the upstream has stopped. unconfirm(UpstreamStopped)
// undoes it.
func (l *lostFlows) confirmStopped(now time.Duration) {
	for hash, f := range l.byHash {
		if f.unconfirmed {
			f.unconfirmed, f.cause, f.until = false, UpstreamStopped, now+lostFlowRetention
			l.byHash[hash] = f
		}
	}
}

// unconfirm records that the upstream may hold the flows that were recorded as lost for the cause.
func (l *lostFlows) unconfirm(cause LossCause) {
	for hash, f := range l.byHash {
		if f.cause == cause {
			f.unconfirmed, f.until = true, f.at+unconfirmedLossRetention
			l.byHash[hash] = f
		}
	}
}

func (l *lostFlows) forget(hash uint64) { delete(l.byHash, hash) }

func (l *lostFlows) expire(now time.Duration) {
	for hash, f := range l.byHash {
		if now >= f.until {
			delete(l.byHash, hash)
		}
	}
}

// LostFlow identifies a flow that is lost or, in a Suspect, may be lost. Ack is the last
// acknowledgement number that its client sent.
type LostFlow struct {
	Key packet.Key
	Ack uint32
}

// markSuspect makes the flow of a received packet suspect, if this agent is its first choice and its
// upstream is not known to hold the flow.
func (t *Table) markSuspect(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) {
	f, known := t.unknownFlows[hash]
	// Only the flow's first choice receives the digest of the flow's owner.
	if !t.isFirstChoice(hash) || f.probed && !f.returned || !known && len(t.unknownFlows) >= maxUnknownFlows {
		return
	}
	f.suspectAgain(now, in.Key)
	f.asked = f.asked || !t.tableComplete(now)
	f.ack, f.mayRepeat = in.Ack, h.Class.Repeatable()
	f.noteShared(h)
	t.addSuspect(hash, &f)
	t.unknownFlows[hash] = f
}

// suspectAgain restarts the time for which the flow is suspect if it has passed.
func (f *unknownFlow) suspectAgain(now time.Duration, k packet.Key) {
	if f.key != k || now-f.at >= suspectTimeout {
		f.at, f.key, f.forwards = now, k, 0
	}
}

// Suspect is the part of a Message about one flow that may be lost.
type Suspect struct {
	Flow   LostFlow
	Passed uint8 // number of agents that have forwarded it
	// MayRepeat says that the flow's requests may run more than once.
	MayRepeat bool
	// Shared says that an upstream of another service may hold the flow.
	Shared bool
}

// maxSuspectForwards limits how often a suspect is forwarded between agents with different
// views.
const maxSuspectForwards = 3

// forwardSuspect forwards a suspect flow to the flow's first choice. An agent that has just
// started regards itself as the first choice of all flows until it knows its peers, and the
// client may not retransmit its packet for seconds.
func (t *Table) forwardSuspect(to packet.AgentID, f *unknownFlow) {
	p := t.peers.get(to)
	if p == nil || f.forwards >= maxSuspectForwards {
		return
	}
	m := t.messageTo(p)
	m.Suspects = append(m.Suspects, Suspect{
		Flow: LostFlow{Key: f.key, Ack: f.ack}, Passed: f.forwards + 1, MayRepeat: f.mayRepeat, Shared: f.shared,
	})
	t.stepDue = true
}

// receiveSuspect processes a suspect flow received from another agent.
func (t *Table) receiveSuspect(now time.Duration, s *Suspect) {
	hash := s.Flow.Key.Hash()
	if t.self.Start == 0 || !t.tableComplete(now) || t.flows.find(hash, &s.Flow.Key) != nil {
		return
	}
	f, known := t.unknownFlows[hash]
	if known && f.suspected || !known && len(t.unknownFlows) >= maxUnknownFlows {
		return
	}
	f.suspectAgain(now, s.Flow.Key)
	f.ack, f.forwards, f.mayRepeat = s.Flow.Ack, s.Passed, s.MayRepeat
	f.shared, f.wasShared = f.shared || s.Shared, f.wasShared || s.Shared
	t.addSuspect(hash, &f)
	t.unknownFlows[hash] = f
}

// HasSuspects reports whether any flow is suspect.
func (t *Table) HasSuspects() bool { return len(t.suspected) > 0 }

// addSuspect adds a flow to the suspect flows unless it is one already.
func (t *Table) addSuspect(hash uint64, f *unknownFlow) {
	if !f.suspected {
		f.suspected, f.inquiry = true, 0
		t.suspected = append(t.suspected, hash)
		t.suspectsDue = true
	}
}

// collectLost removes and returns the flows that were found to be lost. Receive answers later
// packets of these flows with a reset. A flow that an upstream of another service may hold is not found to
// be lost: the inquiry has asked the agents of this service only.
func (t *Table) collectLost(now time.Duration) (out []LostFlow) {
	canDeclare := t.canDeclareLost(now)
	findings := t.inquiryFindings(now)
	t.lossFindings = t.lossFindings[:0]
	kept := t.suspected[:0]
	for _, hash := range t.suspected {
		f, known := t.unknownFlows[hash]
		switch {
		case !known:
		case now-f.at >= suspectTimeout || t.peerOwns(now, hash):
			f.suspected = false
			t.unknownFlows[hash] = f
		case t.peersKnown && !t.isFirstChoice(hash):
			to, _ := t.targets(hash)
			t.forwardSuspect(to, &f)
			f.suspected = false
			t.unknownFlows[hash] = f
		case f.shared || !canDeclare || !findings[hash].lost || t.status(now, hash) != packet.NotHeld:
			kept = append(kept, hash)
		default:
			t.noteDenial(now, hash, true)
			t.forgetUnknownFlow(hash, f)
			t.lost.record(now, hash, FoundLost, f.ack)
			t.lossFindings = append(t.lossFindings, findings[hash])
			t.counters.Reset++
			out = append(out, LostFlow{Key: f.key, Ack: f.ack})
		}
	}
	t.suspected = kept
	return out
}

// peerOwns reports whether a peer is known to own the flow.
func (t *Table) peerOwns(now time.Duration, hash uint64) bool {
	return t.likelyOwner(now, hash, &packet.Header{}) != nil
}

// inquiryFindings returns for each flow of an inquiry whether certainly no peer's upstream holds
// it.
func (t *Table) inquiryFindings(now time.Duration) map[uint64]finding {
	out := make(map[uint64]finding)
	for _, q := range t.inquiries {
		for i, lost := range t.heldByNoPeer(now, q) {
			hash := q.flows[i]
			// A flow that has become suspect again is decided by a new inquiry only.
			if f := t.unknownFlows[hash]; f.inquiry == q.number {
				out[hash] = finding{inquiry: q, index: i, mayRepeat: f.mayRepeat, lost: lost}
			}
		}
	}
	return out
}

// canDeclareLost reports whether this agent has enough information on its upstream and its
// peers to declare a flow lost.
func (t *Table) canDeclareLost(now time.Duration) bool {
	return t.cfg.Rebuild != 0 && t.self.Start != 0 && t.peersKnown && !t.peersIncomplete && now-t.peerListChanged >= peerListSettleTime
}

// isFirstChoice reports whether this agent is the flow's first choice.
func (t *Table) isFirstChoice(hash uint64) bool {
	target, _ := t.targets(hash)
	return target == 0
}

// nextPeerToProbe returns the peer to which a packet of a suspect flow is forwarded as a probe, or nil.
// It is the highest-ranked of those that have answered that their upstreams may hold the flow. There
// is none until all peers have answered, since one of them may own the flow, none before this agent may probe its
// own upstream, which ranks higher, and none beyond maxTried. It counts the probe, although the packet may be lost
// on its way.
func (t *Table) nextPeerToProbe(now time.Duration, hash uint64, h *packet.Header) *peer {
	if t.cfg.Rebuild == 0 || h.Hops >= packet.MaxHops || t.awaitsList(now) {
		return nil
	}
	f := t.unknownFlows[hash]
	if max(h.Tried, f.tried()) >= t.maxProbes(&f) || now < f.yieldUntil || !t.askedAll(now, hash) {
		return nil
	}
	q, i := t.inquiryAbout(hash)
	p, _ := t.peers.best(hash, func(p *peer) bool {
		statuses := q.answers[p.ID]
		return statuses != nil && statuses[i] == packet.MaybeHeld && !h.HasVisited(p.ID)
	})
	if p != nil {
		f.noteProbeBy(p.ID)
		t.unknownFlows[hash] = f
	}
	return p
}

// SilentPeers returns the number of peers that count as absent because nothing has arrived from them.
func (t *Table) SilentPeers(now time.Duration) (n int) {
	for _, p := range t.peers.list {
		if p.State != Leaving && p.silence(now) >= t.silenceTimeout(now, p) {
			n++
		}
	}
	return n
}

func (t *Table) silenceTimeout(now time.Duration, p *peer) time.Duration {
	if t.startedWithFleet(now) && !p.restarted {
		return peerSilenceTimeoutAfterOutage
	}
	return peerSilenceTimeout
}

// resetLost returns the action for a packet of a lost flow.
func (t *Table) resetLost(now time.Duration, hash uint64, in *packet.Info) Action {
	if in.RST {
		return t.drop(ReasonFlowLost)
	}
	t.noteDenial(now, hash, true)
	t.counters.Reset++
	return Action{Kind: Reset, Reason: ReasonFlowLost}
}
