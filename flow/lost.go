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
	peersQuiet = 400 * time.Millisecond
	// lostWait is the time for which a flow must have been unknown everywhere. A flow
	// that was opened elsewhere a moment ago appears in a digest within it.
	lostWait = 300 * time.Millisecond
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

// lostFor returns the time for which the upstream has been known not to hold the flow
// of a packet that arrived here; 0 for the first one.
func (t *Table) lostFor(now time.Duration, hash uint64) time.Duration {
	tr, known := t.trials[hash]
	switch {
	case known && tr.returned:
		return now - tr.at
	case !known && t.complete(now) && len(t.trials) < maxTrials:
		t.trials[hash] = trial{at: now, returned: true}
	}
	return 0
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
