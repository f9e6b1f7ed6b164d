package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// The flows of an upstream that has ended are lost. A client that is told so at once
// can go on with a new flow, where it would otherwise wait for its deadline. A reset
// must never end a flow that some upstream still holds, so it is sent only when the
// agent knows what every upstream holds.

const (
	// peersQuiet is the time without a change among the peers after which their list
	// counts as whole: a balancer that has just started learns of all agents within
	// two heartbeats of theirs and a push round.
	peersQuiet = 250 * time.Millisecond
	// LostWait is the time for which a flow must have been unknown everywhere. A flow
	// that was opened elsewhere a moment ago appears in a digest within it: agents
	// send these at once.
	LostWait = 50 * time.Millisecond
	// suspectTime is the time after which a suspected flow is not looked at any more
	// without a further packet.
	suspectTime = 5 * time.Second
	// lostMemory is the time for which a lost flow is remembered: clients repeat a
	// packet at least every 1.6 s and give up after some seconds.
	lostMemory = 20 * time.Second
)

// lostFlows remembers, by hash, the flows that ended with the upstream.
type lostFlows struct {
	until map[uint64]time.Duration
	max   int
}

func newLostFlows(max int) lostFlows {
	return lostFlows{until: make(map[uint64]time.Duration), max: max}
}

func (l *lostFlows) remember(now time.Duration, hash uint64) {
	if len(l.until) < l.max {
		l.until[hash] = now + lostMemory
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

// LostFlow is a flow that no upstream holds. Ack is what its client had acknowledged.
type LostFlow struct {
	Key packet.Key
	Ack uint32
}

// suspectLost notes that the upstream does not hold the flow of a packet that arrived
// here.
func (t *Table) suspectLost(now time.Duration, hash uint64, in *packet.Info) {
	if tr, known := t.trials[hash]; known && tr.returned && now-tr.at < suspectTime {
		tr.ack = in.Ack
		t.trials[hash] = tr
		return
	}
	if len(t.trials) < maxTrials {
		t.trials[hash] = trial{at: now, returned: true, key: in.Key, ack: in.Ack}
		t.suspected = append(t.suspected, hash)
	}
}

// Suspects reports whether some flow may turn out to be lost. The caller then calls
// Lost after LostWait, and again while Suspects is true.
func (t *Table) Suspects() bool { return len(t.suspected) > 0 }

// Lost returns the flows that have turned out to be lost, each once. Later packets of
// them are answered by Receive.
func (t *Table) Lost(now time.Duration) (out []LostFlow) {
	kept := t.suspected[:0]
	for _, hash := range t.suspected {
		tr, known := t.trials[hash]
		switch {
		case !known || !tr.returned || now-tr.at >= suspectTime || t.knownElsewhere(now, hash):
		case now-tr.at < LostWait || !t.heldByNobody(now, hash):
			kept = append(kept, hash)
		default:
			delete(t.trials, hash)
			t.lost.remember(now, hash)
			t.counters.Reset++
			out = append(out, LostFlow{Key: tr.key, Ack: tr.ack})
		}
	}
	t.suspected = kept
	return out
}

// knownElsewhere reports whether the flow is here after all, or at a peer.
func (t *Table) knownElsewhere(now time.Duration, hash uint64) bool {
	return t.holder(now, hash, &packet.Header{}) != nil
}

// heldByNobody reports whether a flow that neither this agent nor a peer's digest knows
// is held by no upstream: it ranks this agent first, and every peer has sent its whole
// digest and knows all flows of its upstream.
func (t *Table) heldByNobody(now time.Duration, hash uint64) bool {
	if t.cfg.Rebuild == 0 || t.self.Start == 0 || now-t.peersChanged < peersQuiet {
		return false
	}
	if target, _ := t.targets(hash); target != 0 {
		return false
	}
	for _, p := range t.peers.list {
		if !p.accountedFor() {
			return false
		}
	}
	return true
}

// accountedFor reports whether the peer's digest names all flows of its upstream that
// rank this agent first. An upstream that has ended holds none.
func (p *peer) accountedFor() bool {
	return p.State.Gone() || p.State != Away && p.in.whole && p.in.complete
}

// resetLost answers a packet of a lost flow.
func (t *Table) resetLost(in *packet.Info) Action {
	if in.RST {
		return t.drop(ReasonFlowLost)
	}
	t.counters.Reset++
	return Action{Kind: Reset, Reason: ReasonFlowLost}
}
