package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// An agent that starts next to a running upstream knows none of the upstream's flows. It
// rebuilds its table from the upstream itself: the upstream's own packets identify flows that
// it holds, and the upstream returns the packets of flows that it does not hold.

// probeTimeout is the time after which a probe that was not returned proves that the upstream
// holds its flow. Upstream and agent run on one VM, so a returned packet takes well under a
// millisecond unless one of them waits for the processor.
const probeTimeout = 30 * time.Millisecond

// unknownFlow is the state of a flow that is not in this agent's table: one of its packets was
// delivered to the upstream, or the flow is or was suspect.
type unknownFlow struct {
	at       time.Duration // when the packet was delivered or returned, or the flow became suspect
	returned bool          // the upstream does not hold the flow, or this is assumed: see markSuspect
	key      packet.Key    // of the flow
	ack      uint32        // acknowledgement number of the client's last packet
	// suspected says that Table.suspected contains the flow.
	suspected bool
	forwards  uint8  // number of agents that have forwarded the suspect
	inquiry   uint32 // number of the inquiry about the flow; 0: none
	// mayRepeat says that the flow's requests may run more than once.
	mayRepeat bool
}

// maxTried is the value of Header.Tried from which a packet of an unknown flow is not
// delivered to another upstream as a probe, unless it has FlagTryAll.
const maxTried = 2

// maxUnknownFlows is the maximum number of records of unknown flows. Beyond it, packets of
// unknown flows are forwarded without a probe.
const maxUnknownFlows = 1 << 14

// rebuilt reports whether the rebuilding phase is over. From then on the table counts as
// complete. A flow that was idle during the whole phase is not in it.
func (t *Table) rebuilt(now time.Duration) bool { return now >= t.rebuildUntil }

// tableComplete reports whether the table, and with it this agent's digests, counts as listing all
// flows of the upstream. If the upstream started together with its agent, the agent has seen all
// its flows. The agent still delivers packets of unknown flows to it, in case the upstream is older
// than it seems.
func (t *Table) tableComplete(now time.Duration) bool { return t.noEarlierFlows || t.rebuilt(now) }

// probeUpstream handles a packet of an unknown flow in the rebuilding phase. It probes with only
// one packet of a flow at a time, because an upstream should see as few packets of foreign flows as
// possible. It returns false if it has not decided on the packet.
func (t *Table) probeUpstream(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) (Action, bool) {
	if t.rebuilt(now) || in.RST {
		return Action{}, false
	}
	f, known := t.unknownFlows[hash]
	switch {
	case known && f.returned:
		return Action{}, false
	case known && now-f.at < probeTimeout:
		return t.drop(ReasonWaiting), true
	case known:
		delete(t.unknownFlows, hash)
		a := t.deliver(now, h, t.takeOwnership(now, hash, &in.Key))
		a.Unreturned = true
		return a, true
	case len(t.unknownFlows) >= maxUnknownFlows || h.Tried >= maxTried && h.Flags&packet.FlagTryAll == 0:
		return Action{}, false
	}
	t.unknownFlows[hash] = unknownFlow{at: now, key: in.Key, ack: in.Ack}
	// An upstream that started together with its agent very probably holds no unknown flow, so
	// this probe does not count towards maxTried. It is sent all the same, because the clocks by
	// which the start times are compared are too inaccurate to rely on.
	if !t.noEarlierFlows {
		h.Tried++
	}
	t.counters.Tried++
	return Action{Kind: Deliver, Probe: true}, true
}

// HandleReturned decides on a packet that the upstream has sent back. h is the header under
// which it was delivered. The upstream does not hold the flow or, if this is a first packet,
// has not accepted it.
func (t *Table) HandleReturned(now time.Duration, h *packet.Header, in *packet.Info) Action {
	t.counters.Returned++
	hash := in.Key.Hash()
	if f, known := t.unknownFlows[hash]; known && !f.returned {
		f.at, f.returned = now, true
		t.unknownFlows[hash] = f
		t.markSuspect(now, hash, h, in)
	}
	t.removeFlow(now, hash, &in.Key)
	if in.First {
		return t.handOffToNext(now, hash, h)
	}
	return t.forwardUnknown(now, hash, h, in)
}

// handOffToNext hands a first packet off to the flow's next choice, because this agent's upstream
// did not accept the flow or can't accept it any more.
func (t *Table) handOffToNext(now time.Duration, hash uint64, h *packet.Header) Action {
	next := t.nextChoice(hash, h)
	if next == nil {
		return t.drop(ReasonNoUpstream)
	}
	t.ownerRecords.record(now, hash, next.ID)
	t.counters.HandedOff++
	return t.forward(h, next)
}

// removeFlow removes a flow that the upstream does not hold after all.
func (t *Table) removeFlow(now time.Duration, hash uint64, k *packet.Key) {
	if position, found := t.flows.position(hash, k); found {
		t.removeAt(now, position)
	}
}

// adopt adds a flow to the table because a packet of the upstream shows that the upstream
// holds it.
func (t *Table) adopt(now time.Duration, k *packet.Key, in *packet.Info) *entry {
	if t.cfg.Rebuild == 0 || in.RST || in.ICMPError || len(t.flows.entries) >= t.cfg.MaxFlows {
		return nil
	}
	hash := k.Hash()
	delete(t.unknownFlows, hash)
	t.counters.Adopted++
	return t.takeOwnership(now, hash, k)
}

// SetUpstreamStart sets the start ID of the upstream. noEarlierFlows says that the upstream
// started no earlier than this agent, which then knows all its flows. If the ID changes, the
// upstream has restarted and its flows are lost. When the first ID arrives, the table may already
// contain flows adopted from packets of the upstream; they are kept.
func (t *Table) SetUpstreamStart(now time.Duration, start uint64, noEarlierFlows bool) {
	before := t.self.Start
	t.self.Start, t.noEarlierFlows = start, noEarlierFlows
	if before == 0 || before == start {
		return
	}
	t.endAllFlows(now, UpstreamRestarted)
}

// SetUpstreamStopped records that the upstream does not run: its flows are lost.
func (t *Table) SetUpstreamStopped(now time.Duration) {
	t.noEarlierFlows = true
	t.rebuildUntil = now
	t.endAllFlows(now, UpstreamStopped)
}

// endAllFlows ends all flows and records them as lost.
func (t *Table) endAllFlows(now time.Duration, cause LossCause) {
	for len(t.flows.entries) > 0 {
		last := len(t.flows.entries) - 1
		t.lost.record(now, t.flows.entries[last].hash, cause)
		t.removeAt(now, last)
	}
	clear(t.unknownFlows)
	t.suspected, t.inquiries = t.suspected[:0], t.inquiries[:0]
}

// expireUnknownFlows removes outdated records of unknown flows.
func (t *Table) expireUnknownFlows(now time.Duration) {
	if len(t.unknownFlows) == 0 {
		return
	}
	for hash, f := range t.unknownFlows {
		if now-f.at >= t.cfg.RecordRetention {
			delete(t.unknownFlows, hash)
		}
	}
}
