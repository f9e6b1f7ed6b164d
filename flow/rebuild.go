package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// An agent that starts next to a running upstream knows none of the upstream's flows. It
// rebuilds its table from the upstream itself: the upstream's own packets identify flows that
// it holds, and the upstream returns the packets of flows that it does not hold.

// probeTimeout is the minimum time between two deliveries of packets of an unknown flow. Upstream and
// agent run on one VM, so a returned packet takes well under a millisecond unless one of them waits
// for the processor. A probe that is not returned proves nothing; a packet of the upstream does.
const probeTimeout = 30 * time.Millisecond

// stoppedAnswerTime is the time after which a probe to an upstream that counts as stopped shows nothing: a new
// run that has accepted the flow would have sent a packet of it.
const stoppedAnswerTime = 100 * time.Millisecond

const (
	// maxTried is the number of probes with packets of one flow. A flow counts as misrouted when three
	// of its packets have reached upstreams that do not hold it since the last one that has reached its
	// own, however long ago that was.
	maxTried = 2
)

// unknownFlow is the state of a flow that is not in this agent's table: one of its packets was
// delivered to the upstream, or forwarded to agents that may probe it, or the flow is or was suspect.
//
//	probed  returned  the upstream
//	no      no        has seen no packet of the flow
//	yes     no        may hold the flow: it has not returned the probe and has sent no packet of the flow
//	any     yes       does not hold the flow
type unknownFlow struct {
	at       time.Duration // when the packet was delivered or returned, or the flow became suspect
	probed   bool          // a packet was delivered to the upstream
	returned bool          // the upstream has returned a packet, so it does not hold the flow
	asked    bool          // it was needed, by a packet or an inquiry, while the upstream might hold it
	seen     time.Duration // when a packet of the flow last arrived
	here     uint8         // number of probes at the upstream
	// elsewhere is the highest Header.Tried of the packets that have arrived, and probedBy the agents
	// that are known to have probed, or were sent a packet to probe, which may be lost on its way.
	elsewhere uint8
	probedBy  [maxTried]packet.AgentID
	// mustAsk says that other agents may have probed or look for the flow.
	mustAsk     bool
	forwardedTo packet.AgentID // the agent to which its packets were last forwarded along the ranking
	rerouted    bool           // they were forwarded along the ranking to different agents
	yieldUntil  time.Duration  // until then a higher-ranked agent looks for the flow
	key         packet.Key     // of the flow
	ack         uint32         // acknowledgement number of the client's last packet
	// suspected says that Table.suspected contains the flow.
	suspected bool
	forwards  uint8  // number of agents that have forwarded the suspect
	inquiry   uint32 // number of the inquiry about the flow; 0: none
	// mayRepeat says that the flow's requests may run more than once.
	mayRepeat bool
	// shared says that an upstream of another service may hold the flow, by its last packet (packet.FlagShared), and
	// wasShared that agents of another service may have probed, by any of its packets.
	shared, wasShared bool
	// probedFIN says that a packet that closes the flow was delivered to the upstream.
	probedFIN bool
	// halfOpen says that the upstream has accepted the flow's SYN, and that the flow has left the table since.
	halfOpen bool
}

// noteShared records whether a packet is of a flow that another service may hold. A balancer that has just started
// marks packets until it knows which services those are.
func (f *unknownFlow) noteShared(h *packet.Header) {
	f.shared = h.Flags&packet.FlagShared != 0
	f.wasShared = f.wasShared || f.shared
}

// maxProbes returns the number of probes at which no other is made. The agents of another service that
// may hold the flow make theirs without knowledge of those made here. One is left out while the list of this agent's
// predecessor is missing, which names the probes made before: all agents may have restarted at once. It ends when
// the flows that the predecessor knew have ended.
func (t *Table) maxProbes(f *unknownFlow) uint8 {
	n := uint8(maxTried)
	if f.wasShared {
		n = maxTried / 2
	}
	if t.listMissing() && t.lastStep < t.rebuildStarted+MaxFlowAge {
		n = max(n-1, 1)
	}
	return n
}

// tried returns the number of probes with packets of the flow that this agent knows of.
func (f *unknownFlow) tried() uint8 { return f.triedExcept(0) }

// triedExcept returns the same without the probes of one agent, which counts them itself.
func (f *unknownFlow) triedExcept(id packet.AgentID) uint8 {
	n := uint8(0)
	for _, by := range f.probedBy {
		if by != 0 && by != id {
			n++
		}
	}
	return min(f.here+max(n, f.elsewhere), maxTried)
}

// noteProbeBy records that another agent has probed. Beyond maxTried agents there is nothing to record.
func (f *unknownFlow) noteProbeBy(id packet.AgentID) {
	for i, by := range f.probedBy {
		if by == id {
			return
		}
		if by == 0 {
			f.probedBy[i] = id
			return
		}
	}
}

// noteArrival records that a packet of an unknown flow has arrived, and the probes that its header counts.
func (t *Table) noteArrival(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) {
	f, known := t.unknownFlows[hash]
	if !known && (h.Tried == 0 || t.cfg.Rebuild == 0 || len(t.unknownFlows) >= maxUnknownFlows) {
		return
	}
	if !known {
		f.at, f.key, f.ack = now, in.Key, in.Ack
	}
	f.seen = now
	f.noteShared(h)
	f.elsewhere = max(f.elsewhere, min(h.Tried, maxTried))
	t.unknownFlows[hash] = f
}

// ProbedFlow is a flow that the agent does not own and of which upstreams were shown packets as probes. The
// next process of the agent goes on counting them.
type ProbedFlow struct {
	Hash            uint64 // of the flow's key
	Here, Elsewhere uint8  // number of probes at this agent's upstream and, as far as it knows, at others
	Returned        bool   // the upstream has returned a packet
}

// probedFlows returns the flows with probes, in order of their hashes.
func (t *Table) probedFlows() []ProbedFlow {
	var out []ProbedFlow
	for hash, f := range t.unknownFlows {
		if f.tried() > 0 {
			out = append(out, ProbedFlow{Hash: hash, Here: f.here, Elsewhere: f.tried() - min(f.here, f.tried()), Returned: f.returned})
		}
	}
	slices.SortFunc(out, func(a, b ProbedFlow) int { return cmp.Compare(a.Hash, b.Hash) })
	return out
}

// restoreProbed adds the probes that this agent's earlier process knew of. sameUpstream says that the
// upstream is known not to have started since.
func (t *Table) restoreProbed(now time.Duration, p *ProbedFlow, sameUpstream bool) {
	f, known := t.unknownFlows[p.Hash]
	if t.flows.hasHash(p.Hash) || !known && len(t.unknownFlows) >= maxUnknownFlows {
		return
	}
	if !known {
		f.at = now
	}
	f.seen = now
	f.here = min(f.here+min(p.Here, maxTried), maxTried)
	f.elsewhere = min(max(f.elsewhere, p.Elsewhere), maxTried)
	f.returned = f.returned || p.Returned && sameUpstream
	t.unknownFlows[p.Hash] = f
}

// maxUnknownFlows is the maximum number of records of unknown flows. Beyond it, packets of
// unknown flows are forwarded without a probe.
const maxUnknownFlows = 1 << 14

// rebuildMargin is how much longer than a flow may be idle the rebuilding phase lasts. It covers the
// granularity of the limit and the way of a packet from the upstream to its agent.
const rebuildMargin = time.Second

// maxStepGap is the time without a step after which packets of the upstream may have been lost in the
// full queue of the agent's socket. Agents take a step every 100 ms.
const maxStepGap = 2 * time.Second

// rebuildTime returns the time after which a flow of which no packet has been seen is not open any more:
// a flow that has been idle for longer than the limit, or is older than MaxFlowAge, may be discarded.
func (t *Table) rebuildTime() time.Duration {
	switch {
	case t.cfg.Rebuild == 0 || !t.cfg.AwaitIdleLimit:
		return t.cfg.Rebuild
	case t.idleLimit == 0:
		return max(t.cfg.Rebuild, MaxFlowAge)
	}
	return max(t.cfg.Rebuild, min(t.idleLimit+rebuildMargin, MaxFlowAge))
}

// SetIdleLimit sets the longest time for which a flow that may be open was allowed to be idle; 0 if unknown.
func (t *Table) SetIdleLimit(limit time.Duration) { t.idleLimit = limit }

// rebuilt reports whether the rebuilding phase is over: every flow that the upstream may still hold has
// shown itself by a packet of the upstream. From then on the table counts as complete. A phase in which this process
// was paused does not end with the pause.
func (t *Table) rebuilt(now time.Duration) bool {
	if t.pausedSinceStep(now) {
		now = t.lastStep
	}
	return t.sawAllSince == never || now-t.sawAllSince >= t.rebuildTime()
}

// pausedSinceStep reports whether this process was paused since the last step.
func (t *Table) pausedSinceStep(now time.Duration) bool {
	return t.lastStep != 0 && now-t.lastStep > maxStepGap
}

// noteStepGap extends the rebuilding phase if this process was paused in it.
func (t *Table) noteStepGap(now time.Duration) {
	if t.pausedSinceStep(now) && !t.rebuilt(now) {
		t.sawAllSince = now
	}
}

// tableComplete reports whether the table, and with it this agent's digests, counts as listing all
// flows of the upstream. If the upstream started together with its agent, the agent has seen all
// its flows.
func (t *Table) tableComplete(now time.Duration) bool { return t.knowsAllFlows() || t.rebuilt(now) }

// probeUpstream delivers a packet of an unknown flow to the upstream as a probe if mayProbe allows it.
// It probes with only one packet of a flow at a time, because an upstream should see as few packets
// of foreign flows as possible. Until the upstream returns a probe or sends a packet of the flow,
// other packets are dropped when maxTried is reached. It returns false if it has not decided on the
// packet.
func (t *Table) probeUpstream(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) (Action, bool) {
	if t.cfg.Rebuild == 0 || in.RST {
		return Action{}, false
	}
	f, known := t.unknownFlows[hash]
	f.noteShared(h)
	pending := f.probed && !f.returned
	switch {
	case f.returned || !pending && !t.mayProbe(now, hash, h) || !known && len(t.unknownFlows) >= maxUnknownFlows:
		return Action{}, false
	case pending && now-f.at < probeTimeout:
		return t.drop(ReasonWaiting), true
	}
	if max(h.Tried, f.tried()) >= t.maxProbes(&f) {
		return t.drop(ReasonWaiting), pending
	}
	f.at, f.probed, f.key, f.ack = now, true, in.Key, in.Ack
	f.probedFIN = f.probedFIN || in.FIN
	f.here++
	h.Tried = max(h.Tried, f.tried())
	t.unknownFlows[hash] = f
	t.counters.Tried++
	return Action{Kind: Deliver, Probe: true}, true
}

// mayProbe reports whether a packet of an unknown flow may be delivered to the upstream: its sender
// expects the flow here, the upstream held it before a restart, or this agent is the flow's first
// choice, to which balancers send packets without a hint, and its upstream may hold the flow. If other
// agents may have probed, the first choice asks them first.
func (t *Table) mayProbe(now time.Duration, hash uint64, h *packet.Header) bool {
	f := t.unknownFlows[hash]
	switch {
	case h.Flags&packet.FlagExpected != 0 || t.lost.isUnconfirmed(now, hash):
		return true
	case t.status(now, hash) == packet.NotHeld || now < f.yieldUntil || t.awaitsList(now):
		return false
	case !t.peersKnown || !t.isFirstChoice(hash):
		// Without peers it would take itself for the first choice of all flows.
		return false
	case t.self.Start == 0 || t.peersIncomplete:
		// An agent whose upstream has not announced its start, or whose list of peers may lack the owner,
		// asks the others first: while a fleet starts, the balancers' views differ, and each
		// retransmission may go to another agent.
		return t.askedAll(now, hash)
	}
	mustAsk := f.mustAsk || h.Flags&packet.FlagAskFirst != 0 || h.Tried > 0 || f.tried() > 0
	return !mustAsk || t.askedRunning(now, hash)
}

// noteForwarded records that a packet of a flow without a known owner was forwarded along the ranking.
// Its receiver may take itself for the first choice and probe, or may be restarting and probe nothing.
func (t *Table) noteForwarded(now time.Duration, hash uint64, h *packet.Header, in *packet.Info, to packet.AgentID) {
	f, known := t.unknownFlows[hash]
	if t.cfg.Rebuild == 0 || !known && len(t.unknownFlows) >= maxUnknownFlows {
		return
	}
	if !known {
		f.at, f.key, f.ack = now, in.Key, in.Ack
	}
	f.seen = now
	if p := t.peers.get(to); p.State != AgentRestarting {
		f.rerouted = f.rerouted || f.forwardedTo != 0 && f.forwardedTo != to
		f.forwardedTo, f.mustAsk = to, true
	}
	if f.rerouted || t.isFirstChoice(hash) {
		h.Flags |= packet.FlagAskFirst
	}
	t.unknownFlows[hash] = f
}

// HandleReturned decides on a packet that the upstream has sent back. h is the header under
// which it was delivered. The upstream does not hold the flow or, if this is a first packet,
// has not accepted it.
func (t *Table) HandleReturned(now time.Duration, h *packet.Header, in *packet.Info) Action {
	t.counters.Returned++
	hash := in.Key.Hash()
	// An upstream that is full or leaving returns a copy of the SYN of a flow that it holds. The copy may open a
	// half-open flow elsewhere.
	if e := t.flows.find(hash, &in.Key); e != nil && opensTCP(in) && e.isAnswered() && (e.synSeq == 0 || e.isLateCopy(in)) {
		if e.handshake.unproven() {
			return t.handOffToNext(now, hash, h, in.Repeat == 0)
		}
		return t.drop(ReasonLateCopy)
	}
	t.removeFlow(now, hash, in, ReturnedByUpstream)
	if in.First {
		return t.handOffToNext(now, hash, h, opensTCP(in) && in.Repeat == 0)
	}
	f, known := t.unknownFlows[hash]
	if !f.probed { // it was delivered as a packet of a flow in the table
		f.here = min(f.here+1, maxTried)
		h.Tried = min(h.Tried+1, maxTried)
	}
	if known || len(t.unknownFlows) < maxUnknownFlows {
		f.at, f.returned, f.key, f.ack = now, true, in.Key, in.Ack
		f.noteShared(h)
		t.unknownFlows[hash] = f
	}
	if t.lost.isUnconfirmed(now, hash) {
		t.lost.confirm(now, hash)
		if t.lost.mayBeOf(hash, in) {
			return t.resetLost(now, hash, in)
		}
	}
	return t.forwardUnknown(now, hash, h, in)
}

// handOffToNext hands a first packet off to the flow's next choice, because this agent's upstream
// did not accept the flow or can't accept it any more. mayReset is that of refuseUnplaced.
func (t *Table) handOffToNext(now time.Duration, hash uint64, h *packet.Header, mayReset bool) Action {
	next := t.nextChoice(hash, h)
	if next == nil {
		return t.refuseUnplaced(mayReset)
	}
	return t.handOff(now, hash, h, next)
}

// removeFlow removes the flow of a packet, which shows that the upstream does not hold it after all.
func (t *Table) removeFlow(now time.Duration, hash uint64, in *packet.Info, cause Removal) {
	if position, found := t.flows.position(hash, &in.Key); found {
		t.reportRemoval(now, &t.flows.entries[position], cause, in)
		t.removeAt(now, position)
	}
}

// noteMissedFlow records that the upstream holds a flow that the table lacks: there was no room for it, or the table
// counted as complete and was not. The table then proves nothing about other flows, as in the rebuilding phase.
func (t *Table) noteMissedFlow(now time.Duration) {
	t.missedFlows = true
	t.sawAllSince = now
}

// adopt adds a flow to the table because a packet of the upstream shows that the upstream
// holds it. missed is why the table counted as complete although it lacked the flow, or Incomplete.
func (t *Table) adopt(now time.Duration, k *packet.Key, in *packet.Info) (e *entry, missed Completeness) {
	if t.cfg.Rebuild == 0 || in.RST || in.ICMPError {
		return nil, Incomplete
	}
	hash := k.Hash()
	if t.unknownFlows[hash].probedFIN && isBareACK(in) {
		return nil, Incomplete
	}
	// An upstream that has announced its exit and accepts no connections closes its flows before it ends.
	if t.self.State == Leaving && t.upstreamStopped && t.lost.has(now, hash) {
		return nil, Incomplete
	}
	if in.Flags&packet.FlagSYN == 0 && !t.unknownFlows[hash].halfOpen {
		missed = t.Completeness(now)
	}
	if len(t.flows.entries) >= t.cfg.MaxFlows {
		if !t.missedFlows {
			t.amendHandover(k)
		}
		t.noteMissedFlow(now)
		return nil, missed
	}
	if missed != Incomplete {
		t.counters.Missed++
		t.noteMissedFlow(now)
	}
	delete(t.unknownFlows, hash)
	t.counters.Adopted++
	t.amendHandover(k)
	return t.takeOwnership(now, hash, k), missed
}

// isBareACK reports whether a packet only acknowledges others. An upstream answers the FIN of a flow that has ended
// with one, so that it does not show that the upstream holds the flow.
func isBareACK(in *packet.Info) bool {
	return in.Flags&(packet.FlagACK|packet.FlagSYN) == packet.FlagACK && !in.FIN && len(in.Payload) == 0
}

// noteHalfOpen records that a flow leaves the table half-open. Its upstream may still open it, by a packet that
// a balancer has held back, which does not show that the table lacks other flows.
func (t *Table) noteHalfOpen(now time.Duration, e *entry) {
	f, known := t.unknownFlows[e.hash]
	if known || len(t.unknownFlows) < maxUnknownFlows {
		f.halfOpen, f.seen = true, now
		t.unknownFlows[e.hash] = f
	}
}

// SetUpstreamStart sets the start ID of the upstream, which runs. noEarlierFlows says that the upstream
// started no earlier than this agent, which then knows all its flows. If the ID changes, the
// upstream has restarted and its flows are lost, except those that it has accepted since. They cannot
// be told apart, so the next packet of each is delivered, and returned if the flow is lost. When the
// first ID arrives, the table may already contain flows adopted from packets of the upstream; they are
// kept.
func (t *Table) SetUpstreamStart(now time.Duration, start uint64, noEarlierFlows bool) {
	before := t.self.Start
	t.self.Start, t.noEarlierFlows = start, noEarlierFlows
	if t.upstreamStopped && (before == 0 || before == start) {
		t.reviveUpstream(now)
	}
	t.upstreamStopped = false
	if before == start || before == 0 && (t.restored.start == 0 || t.restored.start == start) {
		return
	}
	t.missedFlows = false
	t.forgetUnknownFlows()
	t.endFlows(now, UpstreamRestarted, func(*entry) bool { return true })
}

// BeginUpstreamCheck returns the number of a check of the upstream that begins now. The number wraps
// around after 256 checks.
func (t *Table) BeginUpstreamCheck() uint8 {
	t.check++
	return t.check
}

// reviveUpstream undoes SetUpstreamStopped: the upstream runs, and may hold the flows that it held then.
func (t *Table) reviveUpstream(now time.Duration) {
	if !t.noEarlierFlows || t.missedFlows {
		t.StartRebuild(now)
	}
	t.lost.unconfirm(UpstreamStopped)
}

// UpstreamStopped reports whether the upstream was found stopped and SetUpstreamStart has not been called since.
func (t *Table) UpstreamStopped() bool { return t.upstreamStopped }

// SetUpstreamStopped records that the upstream did not run at the time of the check with the given
// number: the flows that it held then are lost. Flows that began later are kept: a process that has
// started meanwhile may hold them. The agent calls it at each step while the upstream counts as stopped.
func (t *Table) SetUpstreamStopped(now time.Duration, check uint8) {
	if !t.upstreamStopped {
		t.forgetUnknownFlows()
	}
	t.noEarlierFlows, t.upstreamStopped = true, true
	t.sawAllSince = never
	t.endFlows(now, UpstreamStopped, func(e *entry) bool { return e.check != check })
	t.lost.confirmStopped(now)
}

// endFlows ends the flows for which ended is true and records those that the upstream held as lost.
func (t *Table) endFlows(now time.Duration, cause LossCause, ended func(*entry) bool) {
	for i := len(t.flows.entries) - 1; i >= 0; i-- {
		e := &t.flows.entries[i]
		if !ended(e) {
			continue
		}
		// Without a reply, or with a SYN+ACK only, the upstream may never have held the flow, and a copy
		// of its first packet may have opened it elsewhere.
		if e.flags&flagReplies != 0 && !e.handshake.unproven() {
			t.lost.record(now, e.hash, cause, e.synAckSeq)
		}
		t.reportRemoval(now, e, UpstreamEnded, nil)
		t.removeAt(now, i)
	}
}

// forgetUnknownFlows forgets what is known of unknown flows at a run of the upstream that has ended, and the
// inquiries about them. The probes still count: the other upstreams have been shown these packets, and an
// upstream that counts as stopped may go on returning them.
func (t *Table) forgetUnknownFlows() {
	for hash, f := range t.unknownFlows {
		t.forgetUnknownFlow(hash, f)
	}
	t.suspected, t.inquiries = t.suspected[:0], t.inquiries[:0]
}

// forgetUnknownFlow forgets what is known of an unknown flow but its probes.
func (t *Table) forgetUnknownFlow(hash uint64, f unknownFlow) {
	if f.tried() == 0 {
		delete(t.unknownFlows, hash)
		return
	}
	t.unknownFlows[hash] = unknownFlow{
		at: f.at, seen: f.seen, key: f.key, ack: f.ack, here: f.here, elsewhere: f.elsewhere, probedBy: f.probedBy,
		shared: f.shared, wasShared: f.wasShared, mayRepeat: f.mayRepeat,
	}
}

// expireUnknownFlows removes outdated records of unknown flows.
func (t *Table) expireUnknownFlows(now time.Duration) {
	if len(t.unknownFlows) == 0 {
		return
	}
	for hash, f := range t.unknownFlows {
		retention := t.cfg.RecordRetention
		if f.asked {
			// The end of the rebuilding phase says nothing about this flow.
			retention = max(retention, t.rebuildTime())
		}
		if now-max(f.at, f.seen) >= retention {
			delete(t.unknownFlows, hash)
		}
	}
}
