package flow

import (
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// shouldAccept reports whether this agent accepts a new flow. hops is the number of hops of
// its packet so far; next is the flow's next choice, or nil.
func (t *Table) shouldAccept(now time.Duration, hops uint8, next *peer) bool {
	if !t.accepts() || len(t.flows.entries)+len(t.waiting.byNumber) >= t.cfg.MaxFlows {
		return false
	}
	// Accept if the flow can't be handed off: there is no next choice, or the packet has
	// fewer than two hops left. Two are needed because the next choice may have started to
	// drain without this agent's knowledge, and then forwards the packet once more.
	if next == nil || hops+2 > packet.MaxHops {
		return true
	}
	// The Gate knows the requests that the upstream works on, which open flows do not show: most of
	// them are idle. A flow that left an upstream with free slots because of its open flows might
	// have to wait at a busy one.
	if t.cfg.Gate != nil {
		return true
	}
	if t.Open() >= t.limit(now) {
		return false
	}
	if !next.load.known || next.load.open >= next.load.limit {
		return true
	}
	// An agent near the mean keeps its flows even if a peer has fewer: a hand-off would cost
	// a detour without lowering the maximum load.
	excess := max(t.cfg.Threshold*t.meanAccepting, float64(t.cfg.MinExcess))
	own := float64(t.Open())
	return own-float64(next.load.open) <= excess || own-t.meanAccepting <= excess
}

// limit returns the number of open flows up to which this agent accepts new ones. During slow
// start the limit rises linearly from MinExcess by the mean number of open flows of the
// upstreams that have completed slow start. If no peer has completed it, the whole fleet is
// starting and the limit is MaxFlows.
func (t *Table) limit(now time.Duration) int {
	age := now - t.stateSince
	if t.stateSince == never || age >= t.cfg.SlowStart || !t.slowStartApplies {
		return t.cfg.MaxFlows
	}
	share := float64(age) / float64(t.cfg.SlowStart)
	return min(t.cfg.MaxFlows, t.cfg.MinExcess+int(share*t.meanAfterSlowStart))
}

// updateMeans recomputes the mean numbers of open flows: over all accepting upstreams, and
// over those that have completed slow start.
func (t *Table) updateMeans(now time.Duration) {
	var accepting, afterSlowStart mean
	for _, p := range t.peers.list {
		if !p.load.known || !p.acceptsFlows() {
			continue
		}
		accepting.add(p.load.open)
		if p.acceptedFor(now, t.cfg.SlowStart) {
			afterSlowStart.add(p.load.open)
		}
	}
	t.slowStartApplies = afterSlowStart.n > 0
	if t.accepts() {
		accepting.add(t.Open())
		if t.limit(now) == t.cfg.MaxFlows {
			afterSlowStart.add(t.Open())
		}
	}
	t.meanAccepting, t.meanAfterSlowStart = accepting.value(), afterSlowStart.value()
}

// mean accumulates an average.
type mean struct{ sum, n int }

func (m *mean) add(v int) { m.sum, m.n = m.sum+v, m.n+1 }

func (m *mean) value() float64 { return float64(m.sum) / float64(max(m.n, 1)) }

// takeOwnership makes this agent the owner of a flow and returns the flow's entry.
func (t *Table) takeOwnership(now time.Duration, hash uint64, k *packet.Key) *entry {
	e := t.flows.insert(now, hash, k)
	e.check = t.check
	t.ownerRecords.forget(hash)
	t.lost.forget(hash)
	delete(t.denials.byHash, hash)
	delete(t.unknownFlows, hash)
	t.retarget(now, e)
	t.requestDigestStep(e)
	if t.cfg.Observer != nil {
		t.cfg.Observer.FlowTaken(t.self.ID, k)
	}
	return e
}

// requestDigestStep requests an immediate Step if another agent is the flow's first choice. With
// Rebuild, this Step sends the flow's fingerprint to the first choice, as far as the digest budget
// allows: another balancer may send packets of the flow there within milliseconds.
func (t *Table) requestDigestStep(e *entry) {
	p := t.peers.get(e.target)
	if p == nil {
		return
	}
	t.stepDue = true
	// Without Rebuild no agent declares a peer's flow lost, so the fingerprint may wait for
	// DigestDelay and share a message with others.
	p.outbox.urgent = t.cfg.Rebuild > 0
}
