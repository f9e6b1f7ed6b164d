package flow

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/internal/rendezvous"
	"github.com/nutmegtrack/nutmegtrack/packet"
)

// A digest lists flows that a peer owns, but a flow that is in no digest may still exist: it
// may have been opened so recently that the digest is still on its way, or its owner's view
// may have another first choice. Before an agent declares a flow lost it therefore sends an
// inquiry to every other agent of the service, and each answers from its own table. A digest
// replaces no answer, not even a verified one.

const (
	// inquiryRetryInterval is the time after which an inquiry is sent again to peers that
	// have not answered. It doubles up to inquiryRetryIntervalMax. A round trip takes a few
	// milliseconds, but an agent on a shared processor may not be scheduled for 100 ms.
	inquiryRetryInterval    = 30 * time.Millisecond
	inquiryRetryIntervalMax = 240 * time.Millisecond
	// The time between two new inquiries is inquiryDelayPerPeer times the number of receivers of
	// the first. This limits the load after a power failure, when all agents send inquiries to
	// all others; flows that become suspect meanwhile share the next inquiry.
	inquiryDelayPerPeer = 250 * time.Microsecond
	// confirmedFailureTimeout is how long a peer must be silent to inquiries before flows are declared lost
	// for it, if it has announced its exit, has given no sign of life for failedPeerGracePeriod since it was
	// marked as failed, or has been restarting for AgentRestartTimeout. The inquiry has been sent twice by then.
	confirmedFailureTimeout = 100 * time.Millisecond
	// failedPeerGracePeriod is the time from the failure of a peer that gives no sign of life until flows may
	// be declared lost. The mark shows that two balancers could not reach the agent for some seconds, not
	// that its upstream has ended: the agent may be restarting without this process's knowledge.
	failedPeerGracePeriod = AgentRestartTimeout
)

// inquiry asks all peers whether their upstreams hold some flows.
type inquiry struct {
	number        uint32
	flows         []uint64 // hashes of the flows
	startedAt     time.Duration
	retryAt       time.Duration // when the inquiry is sent again to peers that have not answered
	retryInterval time.Duration
	answers       map[packet.AgentID][]packet.FlowStatus
	// unknownAgents are, by the peer that has listed them in its last answer, the upstreams that this agent did
	// not know or knew as leaving. A peer that is asked again no longer lists those that have left.
	unknownAgents map[packet.AgentID][]packet.AgentID
}

// OutgoingInquiry is an inquiry with the data addresses of the agents to send it to. It is
// valid until the next call of CheckSuspects.
type OutgoingInquiry struct {
	Inquiry packet.Inquiry
	To      []netip.AddrPort
}

// CheckSuspects returns the flows that were found to be lost, each once, the inquiries to
// send, and the time after which to call CheckSuspects again, which is 0 when no flow is
// suspect any more. Call it when SuspectsDue reports true.
func (t *Table) CheckSuspects(now time.Duration) (lost []LostFlow, out []OutgoingInquiry, next time.Duration) {
	t.suspectsDue = false
	if now-t.suspectsChecked > maxInquiryGap {
		t.restartInquiries(now)
	}
	t.suspectsChecked = now
	lost = t.collectLost(now)
	if len(t.suspected) == 0 {
		t.inquiries = t.inquiries[:0]
		return lost, nil, 0
	}
	t.removeEndedInquiries()
	out = t.retryInquiries(now)
	next = suspectCheckInterval
	if wait := t.nextInquiryAt - now; wait > 0 && t.anyWithoutInquiry() {
		next = min(next, wait)
	} else if q, started := t.startInquiry(now); started {
		out = append(out, q)
	}
	return lost, out, next
}

// restartInquiries lets all inquiries begin anew, because this process was paused: answers that have arrived
// meanwhile have not been read yet, and earlier ones are outdated.
func (t *Table) restartInquiries(now time.Duration) {
	for _, q := range t.inquiries {
		q.startedAt, q.retryAt, q.retryInterval = now, now, inquiryRetryInterval
		clear(q.answers)
	}
}

// suspectCheckInterval is the interval between calls of CheckSuspects while answers are missing.
const suspectCheckInterval = 30 * time.Millisecond

// SuspectsDue reports whether CheckSuspects should be called at once: a suspect flow is in no
// inquiry yet, or all peers that are neither leaving nor failed have answered an inquiry.
func (t *Table) SuspectsDue() bool { return t.suspectsDue }

// anyWithoutInquiry reports whether a suspect flow is in no inquiry.
func (t *Table) anyWithoutInquiry() bool {
	return slices.ContainsFunc(t.suspected, func(hash uint64) bool { return t.unknownFlows[hash].inquiry == 0 })
}

// startInquiry starts an inquiry to all peers about the suspect flows that are in none.
func (t *Table) startInquiry(now time.Duration) (OutgoingInquiry, bool) {
	q := &inquiry{startedAt: now, retryInterval: inquiryRetryInterval, answers: make(map[packet.AgentID][]packet.FlowStatus), unknownAgents: make(map[packet.AgentID][]packet.AgentID)}
	for _, hash := range t.suspected {
		if f := t.unknownFlows[hash]; f.inquiry == 0 && len(q.flows) < packet.MaxInquiryFlows && t.isFirstChoice(hash) {
			q.flows = append(q.flows, hash)
		}
	}
	if len(q.flows) == 0 {
		return OutgoingInquiry{}, false
	}
	t.lastInquiry++
	if t.lastInquiry == 0 {
		t.lastInquiry++
	}
	q.number = t.lastInquiry
	for _, hash := range q.flows {
		f := t.unknownFlows[hash]
		f.inquiry = q.number
		t.unknownFlows[hash] = f
	}
	t.inquiries = append(t.inquiries, q)
	out := t.addressInquiry(now, q)
	t.nextInquiryAt = now + time.Duration(len(out.To))*inquiryDelayPerPeer
	return out, true
}

// retryInquiries sends inquiries again to the peers that have not answered, or have answered
// packet.MaybeHeld for a flow.
func (t *Table) retryInquiries(now time.Duration) (out []OutgoingInquiry) {
	for _, q := range t.inquiries {
		if now < q.retryAt {
			continue
		}
		if a := t.addressInquiry(now, q); len(a.To) > 0 {
			out = append(out, a)
		}
	}
	return out
}

// addressInquiry returns the inquiry with the peers that have not given a conclusive answer,
// and schedules its next retry.
func (t *Table) addressInquiry(now time.Duration, q *inquiry) OutgoingInquiry {
	a := OutgoingInquiry{Inquiry: packet.Inquiry{From: t.self.ID, Number: q.number, Peers: t.peersChecksum, Flows: q.flows}}
	for _, p := range t.peers.list {
		if !isConclusive(q.answers[p.ID]) || t.listsUnknown(q, p.ID) {
			a.To = append(a.To, p.Addr)
			p.noteInquirySent(now)
		}
	}
	q.retryAt = now + q.retryInterval
	q.retryInterval = min(2*q.retryInterval, inquiryRetryIntervalMax)
	t.counters.Asked += uint64(len(a.To))
	return a
}

// isConclusive reports whether a peer's answer is conclusive for every flow of an inquiry.
func isConclusive(statuses []packet.FlowStatus) bool {
	return statuses != nil && !slices.Contains(statuses, packet.MaybeHeld)
}

// removeEndedInquiries removes the inquiries none of whose flows is suspect any more.
func (t *Table) removeEndedInquiries() {
	t.inquiries = slices.DeleteFunc(t.inquiries, func(q *inquiry) bool {
		return !slices.ContainsFunc(q.flows, func(hash uint64) bool {
			f, known := t.unknownFlows[hash]
			return known && f.suspected && f.inquiry == q.number
		})
	})
}

// AnswerInquiry returns this agent's answer to a peer's inquiry.
func (t *Table) AnswerInquiry(now time.Duration, q *packet.Inquiry) packet.InquiryAnswer {
	if p := t.peers.get(q.From); p != nil {
		p.noteHeard(now)
	}
	a := packet.InquiryAnswer{From: t.self.ID, Number: q.Number, Statuses: make([]packet.FlowStatus, len(q.Flows))}
	for i, hash := range q.Flows {
		a.Statuses[i] = t.status(now, hash)
		if a.Statuses[i] == packet.MaybeHeld && !t.flows.hasHash(hash) {
			t.noteAsked(now, hash, q.From)
		}
		if a.Statuses[i] == packet.NotHeld {
			t.noteDenial(now, hash, false)
		}
		if a.Statuses[i] != packet.Held {
			a.Statuses[i] = a.Statuses[i].WithProbes(t.unknownFlows[hash].here)
		}
	}
	if q.Peers != t.peersChecksum {
		if t.self.State != Leaving {
			a.Peers = append(a.Peers, t.self.ID)
		}
		for _, p := range t.peers.list {
			if p.State != Leaving {
				a.Peers = append(a.Peers, p.ID)
			}
		}
	}
	return a
}

// status returns whether this agent's upstream holds the flow, does not hold it, or may hold it,
// as far as this agent knows. A probe that was not returned shows that it may. The end of the rebuilding
// phase shows nothing about a flow that peers have asked for meanwhile: its client is active, and none
// of its packets may have come here.
func (t *Table) status(now time.Duration, hash uint64) packet.FlowStatus {
	if e := t.flows.findHash(hash); e != nil && !e.handshake.unproven() {
		return packet.Held
	} else if e != nil {
		return packet.MaybeHeld
	}
	f := t.unknownFlows[hash]
	switch {
	case t.lost.has(now, hash), f.returned:
		return packet.NotHeld
	case f.probed && !(t.upstreamStopped && now-f.at >= stoppedAnswerTime) || t.lost.isUnconfirmed(now, hash):
		return packet.MaybeHeld
	case t.knowsAllFlows() || t.rebuilt(now) && !f.asked:
		return packet.NotHeld
	}
	return packet.MaybeHeld
}

// noteAsked records that a peer has asked for a flow that the upstream may hold. If both look for it,
// only the one that ranks higher goes on.
func (t *Table) noteAsked(now time.Duration, hash uint64, from packet.AgentID) {
	f, known := t.unknownFlows[hash]
	if !known && len(t.unknownFlows) >= maxUnknownFlows {
		return
	}
	if !f.probed && !f.suspected {
		f.at = now
	}
	f.asked, f.mustAsk = true, true
	if score(hash, seedOf(from)) > score(hash, t.seed) {
		f.yieldUntil = now + maxInquiryGap
	}
	t.unknownFlows[hash] = f
}

// HandleInquiryAnswer processes a peer's answer to an inquiry. Answers of unknown agents and to
// inquiries that have ended are ignored.
func (t *Table) HandleInquiryAnswer(now time.Duration, a *packet.InquiryAnswer) {
	p := t.peers.get(a.From)
	if p != nil {
		p.noteHeard(now)
	}
	i := slices.IndexFunc(t.inquiries, func(q *inquiry) bool { return q.number == a.Number })
	if i < 0 || p == nil || len(a.Statuses) != len(t.inquiries[i].flows) {
		return
	}
	q := t.inquiries[i]
	q.answers[a.From] = a.Statuses
	t.noteProbes(q, a)
	for j, s := range a.Statuses {
		if s == packet.Held && !t.flows.hasHash(q.flows[j]) {
			t.ownerRecords.record(now, q.flows[j], a.From)
			t.counters.Found++
		}
	}
	q.unknownAgents[a.From] = slices.DeleteFunc(slices.Clone(a.Peers), func(id packet.AgentID) bool { return !t.isUnknown(id) })
	t.suspectsDue = t.suspectsDue || !slices.ContainsFunc(t.peers.list, func(p *peer) bool {
		return !p.State.Gone() && q.answers[p.ID] == nil
	})
}

// noteProbes records the probes that a peer's answer tells of, and replaces its statuses by those that
// tell only whether the flows are held.
func (t *Table) noteProbes(q *inquiry, a *packet.InquiryAnswer) {
	for i, s := range a.Statuses {
		base, probes := s.Split()
		a.Statuses[i] = base
		if f, known := t.unknownFlows[q.flows[i]]; known && probes > 0 {
			f.noteProbeBy(a.From)
			f.elsewhere = max(f.elsewhere, min(probes, maxTried))
			t.unknownFlows[q.flows[i]] = f
		}
	}
}

// isUnknown reports whether an upstream that a peer lists is not known to this agent, or only as leaving. The
// record may be outdated: an upstream that is replaced in place leaves and comes back under its name.
func (t *Table) isUnknown(id packet.AgentID) bool {
	p := t.peers.get(id)
	return id != t.self.ID && (p == nil || p.State == Leaving)
}

// listsUnknown reports whether the peer's last answer lists an upstream that is still unknown.
func (t *Table) listsUnknown(q *inquiry, from packet.AgentID) bool {
	return slices.ContainsFunc(q.unknownAgents[from], t.isUnknown)
}

// heldByNoPeer returns, for each flow of an inquiry, whether no peer's upstream can hold it any more.
func (t *Table) heldByNoPeer(now time.Duration, q *inquiry) []bool {
	out := make([]bool, len(q.flows))
	for from := range q.unknownAgents {
		if t.listsUnknown(q, from) {
			return out
		}
	}
	for i := range out {
		out[i] = true
	}
	for _, p := range t.peers.list {
		for i, hash := range q.flows {
			out[i] = out[i] && t.exclusion(now, q, p, i, t.unknownFlows[hash].mayRepeat) != NotExcluded
		}
	}
	return out
}

// inquiryAbout returns the inquiry about a suspect flow and the flow's position in it, or nil.
func (t *Table) inquiryAbout(hash uint64) (*inquiry, int) {
	number := t.unknownFlows[hash].inquiry
	for _, q := range t.inquiries {
		if q.number == number {
			return q, slices.Index(q.flows, hash)
		}
	}
	return nil, 0
}

// askedAll reports whether each peer has answered an inquiry about the flow or counts as absent.
func (t *Table) askedAll(now time.Duration, hash uint64) bool {
	q, _ := t.inquiryAbout(hash)
	if q == nil || !t.peersKnown || t.peersIncomplete {
		return false
	}
	mayRepeat := t.unknownFlows[hash].mayRepeat
	return !slices.ContainsFunc(t.peers.list, func(p *peer) bool {
		return q.answers[p.ID] == nil && t.excludedAsAbsent(now, p, mayRepeat) == NotExcluded
	})
}

// askedRunning is askedAll for probes that have been made: an agent that does not run makes none.
func (t *Table) askedRunning(now time.Duration, hash uint64) bool {
	q, _ := t.inquiryAbout(hash)
	if q == nil || !t.peersKnown {
		return false
	}
	mayRepeat := t.unknownFlows[hash].mayRepeat
	return !slices.ContainsFunc(t.peers.list, func(p *peer) bool {
		return q.answers[p.ID] == nil && p.State != AgentRestarting && !p.State.Gone() &&
			t.excludedAsAbsent(now, p, mayRepeat) == NotExcluded
	})
}

// exclusion returns the rule by which the upstream of a peer counts as not holding flow i of an
// inquiry. mayRepeat says whether the flow's requests may be repeated.
func (t *Table) exclusion(now time.Duration, q *inquiry, p *peer, i int, mayRepeat bool) Exclusion {
	switch statuses := q.answers[p.ID]; {
	case statuses == nil && p.State == Leaving && now-q.startedAt < confirmedFailureTimeout:
		// Its silence to earlier inquiries may be that of a process that has ended; the present one is asked now.
	case statuses == nil || statuses[i] == packet.MaybeHeld:
		return t.excludedAsAbsent(now, p, mayRepeat)
	case statuses[i] == packet.NotHeld:
		return ExcludedByAnswer
	}
	return NotExcluded
}

// excludedAsAbsent returns the rule by which a peer that has given no conclusive answer to an
// inquiry counts as absent together with its upstream. The peer's own word shows that its upstream has ended, but
// an upstream may have started again in place since: its agent would answer. A mark by others and silence are
// suspicions: they count only after a time in which a peer that runs would have refuted them.
func (t *Table) excludedAsAbsent(now time.Duration, p *peer, mayRepeat bool) Exclusion {
	silence := p.silence(now)
	switch {
	case p.State == Leaving:
		if silence >= confirmedFailureTimeout {
			return ExcludedLeaving
		}
	case p.restartingSince != never:
		// A peer that answers is back, although the notice of its new process is late.
		if now-p.restartingSince >= AgentRestartTimeout && silence >= confirmedFailureTimeout {
			return ExcludedRestarting
		}
	case p.State == Failed:
		startedSilent := mayRepeat && t.startedWithFleet(now) && !p.restarted && silence >= peerSilenceTimeoutAfterOutage
		if p.failureConfirmed(now) && silence >= confirmedFailureTimeout || startedSilent {
			return ExcludedFailed
		}
	case silence < t.silenceTimeout(now, p):
	case p.heardAt == never:
		return ExcludedUnresponsive
	case mayRepeat:
		return ExcludedSilent
	}
	return NotExcluded
}

// computePeersChecksum returns a checksum of the IDs of the upstreams that may hold flows,
// including this agent's.
func (t *Table) computePeersChecksum() uint64 {
	sum := rendezvous.Mix(uint64(t.self.ID))
	for _, p := range t.peers.list {
		if p.State != Leaving {
			sum += rendezvous.Mix(uint64(p.ID))
		}
	}
	return sum
}
