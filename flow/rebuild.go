package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// An agent that has just started beside an upstream that was running before knows
// none of the upstream's flows. It rebuilds its table from the upstream itself: the
// upstream's own packets show flows that it holds, and it returns the packets of flows
// that it does not hold.

// trialTime is the time after which a packet that was not returned shows that the
// upstream holds its flow. Upstream and agent are on one VM, so that a packet comes
// back in well under a millisecond unless one of them waits for the processor.
const trialTime = 30 * time.Millisecond

// trial is what is known of a flow that this agent does not hold in its table.
type trial struct {
	at       time.Duration
	returned bool       // the upstream does not hold the flow
	key      packet.Key // of the flow
	ack      uint32     // what the client had acknowledged in its last packet
	// suspected marks a trial that Table.suspected lists.
	suspected bool
	passed    uint8  // agents that have passed the suspicion on
	inquiry   uint32 // number of the inquiry about the flow; 0: none
	// mayRepeat says that the flow's requests may run more than once.
	mayRepeat bool
}

// maxTried is the number of upstreams that a packet of an unknown flow is shown to.
const maxTried = 2

// maxTrials bounds the trials; beyond it, packets of unknown flows are forwarded.
const maxTrials = 1 << 14

// complete reports whether the table holds every flow that the upstream holds.
func (t *Table) complete(now time.Duration) bool { return now >= t.rebuildUntil }

// whole reports whether peers may take this agent's digests for all that its upstream
// holds. The upstream that started with its agent holds nothing that the agent has not
// seen; its agent still shows it the packets of unknown flows, in case it is older.
func (t *Table) whole(now time.Duration) bool { return t.fresh || t.complete(now) }

// try applies the rebuilding phase to a packet of an unknown flow. One packet at a
// time is shown to the upstream: each packet that reaches an upstream which does not
// hold its flow is one too many.
func (t *Table) try(now time.Duration, hash uint64, h *packet.Header, in *packet.Info) (Action, bool) {
	if t.complete(now) || in.RST {
		return Action{}, false
	}
	tr, known := t.trials[hash]
	switch {
	case known && tr.returned:
		return Action{}, false
	case known && now-tr.at < trialTime:
		return t.drop(ReasonWaiting), true
	case known:
		delete(t.trials, hash)
		return t.deliver(now, h, t.take(now, hash, &in.Key)), true
	case len(t.trials) >= maxTrials || h.Tried >= maxTried && h.Flags&packet.FlagTryAll == 0:
		return Action{}, false
	}
	t.trials[hash] = trial{at: now, key: in.Key, ack: in.Ack}
	// An upstream that started with its agent holds what the agent knows, but for a
	// doubt about their clocks.
	if !t.fresh {
		h.Tried++
	}
	t.counters.Tried++
	return Action{Kind: Deliver, Tried: true}, true
}

// Returned decides about a packet that the upstream has sent back. The header is the
// one that it was delivered under. The flow is not here; a first packet was not
// accepted.
func (t *Table) Returned(now time.Duration, h *packet.Header, in *packet.Info) Action {
	t.counters.Returned++
	hash := in.Key.Hash()
	if tr, known := t.trials[hash]; known && !tr.returned {
		tr.at, tr.returned = now, true
		t.trials[hash] = tr
		t.suspectLost(now, hash, h, in)
	}
	t.forgetFlow(now, hash, &in.Key)
	if in.First {
		return t.placeElsewhere(now, hash, h)
	}
	return t.passOn(now, hash, h, in)
}

// placeElsewhere hands a first packet that the upstream did not accept to the flow's
// next choice.
func (t *Table) placeElsewhere(now time.Duration, hash uint64, h *packet.Header) Action {
	next := t.nextChoice(hash, h)
	if next == nil {
		return t.drop(ReasonNoUpstream)
	}
	t.handoffs.remember(now, hash, next.ID)
	t.counters.HandedOff++
	return t.forward(h, next)
}

// forgetFlow removes a flow that the upstream turned out not to hold.
func (t *Table) forgetFlow(now time.Duration, hash uint64, k *packet.Key) {
	if position, found := t.flows.position(hash, k); found {
		t.end(now, position)
	}
}

// adopt takes a flow that the upstream's own packet shows it to hold.
func (t *Table) adopt(now time.Duration, k *packet.Key, in *packet.Info) *entry {
	if t.cfg.Rebuild == 0 || in.RST || in.ICMPError || len(t.flows.entries) >= t.cfg.MaxFlows {
		return nil
	}
	hash := k.Hash()
	delete(t.trials, hash)
	t.counters.Adopted++
	return t.take(now, hash, k)
}

// SetStart says which start of the upstream this agent is beside. Fresh says that it
// started no earlier than this agent, which then knows all its flows. Another start than
// before holds no flow of before; the first one that the agent learns of may hold those
// that the upstream's packets have shown already.
func (t *Table) SetStart(now time.Duration, start uint64, fresh bool) {
	before := t.self.Start
	t.self.Start, t.fresh = start, fresh
	if before == 0 || before == start {
		return
	}
	t.loseFlows(now)
}

// EndUpstream says that the upstream does not run: its flows are lost, and it holds none.
func (t *Table) EndUpstream(now time.Duration) {
	t.fresh = true
	t.rebuildUntil = now
	t.loseFlows(now)
}

// loseFlows ends all flows and remembers them as lost.
func (t *Table) loseFlows(now time.Duration) {
	for len(t.flows.entries) > 0 {
		last := len(t.flows.entries) - 1
		t.lost.remember(now, t.flows.entries[last].hash)
		t.end(now, last)
	}
	clear(t.trials)
	t.suspected, t.inquiries = t.suspected[:0], t.inquiries[:0]
}

// expireTrials forgets the trials that are too old to matter.
func (t *Table) expireTrials(now time.Duration) {
	if len(t.trials) == 0 {
		return
	}
	for hash, tr := range t.trials {
		if now-tr.at >= t.cfg.HandoffMemory {
			delete(t.trials, hash)
		}
	}
}
